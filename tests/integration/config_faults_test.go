// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/routers/operator"
	"rillsail.example/rillsail/services/standin/kv"
)

// waitRevision waits until every daemon has at least the given revision, and returns how long that took.
func (c *cluster) waitRevision(revision models.Revision) time.Duration {
	c.t.Helper()
	began := time.Now()
	for _, d := range c.daemons {
		eventually(c.t, fmt.Sprint(d.id, " has revision ", revision), func() bool { return revisionAt(d) >= revision })
	}
	return time.Since(began)
}

func teamChange(base models.Revision, names ...models.TeamName) models.ConfigChange {
	change := models.ConfigChange{Base: base}
	for i, name := range names {
		team := models.Team{Name: name, Quota: models.Resources{CPU: models.MilliCPU(1000 * (i + 1))}}
		change.Put = append(change.Put, models.ObjectBox{Object: team})
	}
	return change
}

// TestOperatorsRace has operators change the same object and different objects concurrently through
// different daemons. Of the changes to the same object with the same base, exactly one must win, and no
// accepted change may be lost.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 3, fleetFlags: smallFleet})
	accepted := c.apply(c.daemons[0], models.Team{Name: "shared"})
	c.waitRevision(accepted.Revision)
	const operators = 12
	outcomes := make([]error, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Add(1)
		go func() {
			defer group.Done()
			change := teamChange(accepted.Revision, "shared")
			if i%2 == 1 {
				change = teamChange(accepted.Revision, models.TeamName(fmt.Sprint("own-", i)))
			}
			_, outcomes[i] = call[models.ConfigResult](c.daemons[i%3], http.MethodPost, operator.PathConfig, change)
		}()
	}
	group.Wait()
	won := 0
	for i, err := range outcomes {
		var statusErr *wire.StatusError
		switch {
		case i%2 == 1:
			require.NoError(t, err, "a change of another object")
		case err == nil:
			won++
		default:
			require.ErrorAs(t, err, &statusErr)
			assert.Equal(t, http.StatusConflict, statusErr.Status)
			assert.Contains(t, statusErr.Problem.Error, "team/shared")
		}
	}
	assert.Equal(t, 1, won, "exactly one of the changes with the same base wins")
	c.waitRevision(accepted.Revision + operators/2 + 1)
	got, err := call[models.Configuration](c.daemons[2], http.MethodGet, operator.PathConfig, nil)
	require.NoError(t, err)
	assert.Len(t, got.Objects, 1+operators/2)
	assert.Equal(t, accepted.Revision+operators/2+1, got.Revision)
}

// TestConfigurationOutlivesOutage begins an outage of the store right after a change was accepted, and
// replaces every daemon during and after the outage. The change must be in force at all daemons within
// seconds and never revert.
func TestConfigurationOutlivesOutage(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 3, fleetFlags: smallFleet})
	// The outage begins when only the accepting daemon is sure to have the change: its peers get it from there.
	fourth := c.startDaemon(3, nil)
	c.daemons = append(c.daemons, fourth)
	eventually(t, "the fourth daemon knows all members", func() bool {
		s, err := statusOf(fourth)
		return err == nil && len(s.Members) == 4
	})
	result, err := call[models.ConfigResult](c.daemons[0], http.MethodPost, operator.PathConfig, teamChange(0, "office"))
	require.NoError(t, err)
	c.setStoreFaults(kv.Faults{Outage: true})
	assert.Less(t, c.waitRevision(result.Revision), 7*time.Second)
	_, err = call[models.ConfigResult](c.daemons[1], http.MethodPost, operator.PathConfig, teamChange(0, "never"))
	var statusErr *wire.StatusError
	require.ErrorAs(t, err, &statusErr)
	assert.Equal(t, operator.KindNotRun, statusErr.Kind)
	for i := range c.daemons {
		next := c.startDaemon(10+i, map[string]string{"member.seeds": c.daemons[(i+1)%len(c.daemons)].peer})
		eventually(t, "a daemon that starts has the revision", func() bool { return revisionAt(next) >= result.Revision })
		c.daemons[i].kill()
		c.daemons[i] = next
	}
	c.setStoreFaults(kv.Faults{})
	again, err := call[models.ConfigResult](c.daemons[2], http.MethodPost, operator.PathConfig, teamChange(0, "after"))
	require.NoError(t, err)
	assert.Equal(t, result.Revision+1, again.Revision)
	assert.Less(t, c.waitRevision(again.Revision), 7*time.Second)
}

// TestLostAnswerOfAConfigurationWrite has the store swap the head of the configuration and lose the answer.
// The operator must be told that the change was accepted, and the change must be applied only once.
func TestLostAnswerOfAConfigurationWrite(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 2, fleetFlags: smallFleet})
	c.setStoreFaults(kv.Faults{LoseAnswers: 1, LosePrefix: "config/head"})
	result, err := call[models.ConfigResult](c.daemons[0], http.MethodPost, operator.PathConfig, teamChange(0, "office"))
	require.NoError(t, err)
	assert.EqualValues(t, 1, result.Revision)
	assert.Less(t, c.waitRevision(1), 7*time.Second)
	c.setStoreFaults(kv.Faults{Delay: 300})
	slow, err := call[models.ConfigResult](c.daemons[1], http.MethodPost, operator.PathConfig, teamChange(0, "second"))
	require.NoError(t, err)
	assert.EqualValues(t, 2, slow.Revision, "a slow store only delays the change")
	assert.Less(t, c.waitRevision(2), 7*time.Second)
}

// TestStoreAtItsLimit submits far more jobs and tasks than the store could take as single writes; the
// stand-in enforces limits of 100 writes and 2,000 reads per second.
func TestStoreAtItsLimit(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 3, fleetFlags: smallFleet})
	c.apply(c.daemons[0], testTeam)
	for i := range 60 {
		c.submit(c.daemons[i%3], batchJob(models.JobID(fmt.Sprint("many-", i)), 5, 50))
	}
	for i := range 60 {
		job := c.waitEnded(c.daemons[0], models.JobID(fmt.Sprint("many-", i)))
		require.Equal(t, 5, job.Succeeded)
	}
	c.requireNoViolations()
	assert.EqualValues(t, 300, c.audit().Finished)
}
