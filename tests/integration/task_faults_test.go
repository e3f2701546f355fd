// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/routers/operator"
	"rillsail.example/rillsail/services/standin/fleet"
	"rillsail.example/rillsail/services/standin/kv"
)

// smallFleet has eight workers in four racks, and three upstreams.
var smallFleet = []string{"--workers", "8", "--per-rack", "2", "--upstreams", "3", "--cpu", "4000", "--memory", "4096"}

// ownedCells returns the cells that one daemon owns according to another.
func ownedCells(by, asked *daemonProcess) []models.CellID {
	s, err := statusOf(asked)
	if err != nil {
		return nil
	}
	var cells []models.CellID
	for _, c := range s.Cells {
		if string(c.Owner) == by.id {
			cells = append(cells, c.Cell)
		}
	}
	return cells
}

// busiest returns the daemon that owns the most cells, as the victim of a fault, and another daemon.
func (c *cluster) busiest() (victim, other *daemonProcess) {
	c.t.Helper()
	most := -1
	for _, d := range c.daemons {
		if n := len(ownedCells(d, c.daemons[0])); n > most {
			victim, most = d, n
		}
	}
	require.Positive(c.t, most)
	for _, d := range c.daemons {
		if d != victim {
			return victim, d
		}
	}
	return nil, nil
}

// TestOwnerFrozenAndContinued freezes the owner of cells with SIGSTOP until other daemons have taken the
// cells over, and resumes it while it still believes that it owns them.
func TestOwnerFrozenAndContinued(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 3, fleetFlags: smallFleet})
	victim, other := c.busiest()
	c.apply(other, testTeam, testService)
	for i := range 4 {
		c.submit(other, batchJob(models.JobID(fmt.Sprint("before-", i)), 6, 2000))
	}
	for range 2 { // twice: the second time, the victim meets state of its own earlier ownership
		victim.signal(syscall.SIGSTOP)
		eventually(t, "other daemons own the cells", func() bool {
			return len(ownedCells(victim, other)) == 0 && len(ownedCells(other, other)) > 0
		})
		victim.signal(syscall.SIGCONT)
		eventually(t, "the resumed daemon owns cells again", func() bool { return len(ownedCells(victim, other)) > 0 })
	}
	for i := range 4 {
		job := c.waitEnded(other, models.JobID(fmt.Sprint("before-", i)))
		assert.Equal(t, 6, job.Succeeded)
	}
	c.requireNoViolations()
}

// TestOwnerKilled kills the owner of cells while evictions and starts are at different stages. Each evicted
// task must be resumed exactly once.
func TestOwnerKilled(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 3, fleetFlags: smallFleet})
	victim, other := c.busiest()
	c.apply(other, testTeam)
	for i := range 4 {
		c.submit(other, batchJob(models.JobID(fmt.Sprint("evicted-", i)), 6, 3000))
	}
	eventually(t, "tasks run", func() bool { return c.audit().Running >= 16 })
	for i := range 4 { // drain half the workers; their tasks are evicted
		c.apply(other, models.VMLabels{VM: models.VMID(fmt.Sprint("worker-", 2*i)), Labels: map[string]string{models.LabelDrain: "true"}})
	}
	victim.kill()
	replacement := c.startDaemon(victim.number, nil)
	for i := range 4 {
		job := c.waitEnded(replacement, models.JobID(fmt.Sprint("evicted-", i)))
		assert.Equal(t, 6, job.Succeeded, "%+v", job)
	}
	c.requireNoViolations()
	audit := c.audit()
	assert.EqualValues(t, 24, audit.Finished, "each task ended once")
	assert.EqualValues(t, audit.Starts, audit.Finished+audit.Stopped, "each stop was followed by one start")
}

// TestContractsOnAVMThatVanishes kills a worker that runs unrepeatable tasks. None of them may run a second
// time, and the job must count them as tasks that may have run.
func TestContractsOnAVMThatVanishes(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 2, fleetFlags: smallFleet})
	d := c.daemons[0]
	c.apply(d, testTeam)
	contracts := batchJob("contracts", 8, 4000)
	contracts.Unrepeatable = true
	c.submit(d, contracts)
	c.submit(d, batchJob("reports", 8, 4000))
	eventually(t, "tasks run", func() bool { return c.audit().Running == 16 })
	c.control("worker-0", fleet.ActionKill)
	c.control("worker-1", fleet.ActionRestart)
	job := c.waitEnded(d, "contracts")
	assert.Equal(t, 8, job.Succeeded+job.MayHaveRun, "%+v", job)
	reports := c.waitEnded(d, "reports")
	assert.Equal(t, 8, reports.Succeeded)
	c.requireNoViolations()
}

// TestStoreOutage makes the store unavailable for longer than every lease; meanwhile one daemon is killed
// and one is stopped as planned. Running tasks must continue, requests must be answered, submissions must be
// refused as not run, and after the outage all work must be completed.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 4, fleetFlags: smallFleet})
	victim, other := c.busiest()
	accepted := c.apply(other, testTeam, testClass, testService)
	eventually(t, "replicas run", func() bool { return c.runningReplicas(other, "quotes") == 3 })
	c.submit(other, batchJob("long", 8, 12000))
	eventually(t, "tasks run", func() bool { return c.audit().Running == 11 })
	stopped := c.audit().Stopped

	c.setStoreFaults(kv.Faults{Outage: true})
	victim.kill()
	leaving := c.daemons[(victim.number+1)%4]
	if leaving == other {
		leaving = c.daemons[(victim.number+2)%4]
	}
	leftCells := len(ownedCells(leaving, other))
	leaving.stop()
	assert.Equal(t, leftCells, strings.Count(leaving.stderr.String(), "cell is handed over"), "each cell was handed over to one peer")
	fresh := c.startDaemon(victim.number, map[string]string{"member.seeds": other.peer})
	eventually(t, "a daemon that starts during the outage gets the configuration", func() bool {
		s, err := statusOf(fresh)
		return err == nil && s.Revision == accepted.Revision
	})
	refused := 0
	eventually(t, "submissions are refused as not run, after some of unknown outcome", func() bool {
		refused++
		outage := batchJob(models.JobID(fmt.Sprint("in-outage-", refused)), 1, 100)
		results, err := call[models.JobResults](other, http.MethodPost, operator.PathJobs, models.Submission{Jobs: []models.JobSpec{outage}})
		require.NoError(t, err)
		require.Nil(t, results.Results[0].Job, "the job was accepted although the store is unavailable")
		return results.Results[0].Outcome == models.RequestNotRun
	})
	for i := range 20 {
		response, body := send(t, other, "app=quote", fmt.Sprint("outage-", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode, body)
	}
	// The batch tasks run three times as long as a lease, so they end only if their leases are renewed
	// throughout the outage.
	eventually(t, "batch tasks end during the outage", func() bool { return c.audit().Finished == 8 })
	assert.Equal(t, stopped, c.audit().Stopped, "no lease has lapsed")

	c.setStoreFaults(kv.Faults{})
	job := c.waitEnded(fresh, "long")
	assert.Equal(t, 8, job.Succeeded)
	c.submit(fresh, batchJob("after", 4, 100))
	c.waitEnded(fresh, "after")
	assert.Equal(t, 3, c.runningReplicas(fresh, "quotes"))
	c.requireNoViolations()
}

// TestRackAndFailureDomainGone kills the workers of a rack and then of a failure domain. Services must get
// their replicas again, and batch jobs must complete.
func TestRackAndFailureDomainGone(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 3, fleetFlags: smallFleet})
	d := c.daemons[0]
	c.apply(d, testTeam, testService)
	eventually(t, "replicas run", func() bool { return c.runningReplicas(d, "quotes") == 3 })
	c.submit(d, batchJob("work", 12, 1500))
	for _, vm := range []models.VMID{"worker-0", "worker-1"} { // rack-0 of domain a
		c.control(vm, fleet.ActionKill)
	}
	job := c.waitEnded(d, "work")
	assert.Equal(t, 12, job.Succeeded)
	for _, vm := range []models.VMID{"worker-4", "worker-5"} { // the rest of domain a
		c.control(vm, fleet.ActionKill)
	}
	eventually(t, "three replicas run on the remaining workers", func() bool {
		return c.runningReplicas(d, "quotes") == 3 && c.audit().Running == 3
	})
	c.submit(d, batchJob("after", 4, 100))
	c.waitEnded(d, "after")
	c.requireNoViolations()
}

// TestCancellationsInWaves cancels many jobs at once. Tasks that have not started must never start, and
// running tasks must be stopped.
func TestCancellationsInWaves(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 2, fleetFlags: smallFleet})
	d := c.daemons[0]
	c.apply(d, testTeam)
	var cancellation models.Cancellation
	for i := range 20 {
		id := models.JobID(fmt.Sprint("wave-", i))
		c.submit(d, batchJob(id, 50, 60_000))
		cancellation.Jobs = append(cancellation.Jobs, id)
	}
	results, err := call[models.JobResults](d, http.MethodPost, operator.PathCancel, cancellation)
	require.NoError(t, err)
	for _, r := range results.Results {
		require.NotNil(t, r.Job, "%+v", r)
		assert.Equal(t, models.JobCancelled, r.Job.State)
	}
	eventually(t, "nothing runs", func() bool { return c.audit().Running == 0 })
	for _, id := range cancellation.Jobs {
		job := c.waitEnded(d, id)
		assert.Equal(t, 50, job.Stopped, "%+v", job)
	}
	c.requireNoViolations()
}

// TestHalfTheDaemonsReplaced kills two of four daemons at once, starts two new daemons, and then replaces
// the other two one after the other. Configuration, job and service must survive.
func TestHalfTheDaemonsReplaced(t *testing.T) {
	c := newCluster(t, clusterConfig{daemons: 4, fleetFlags: smallFleet})
	accepted := c.apply(c.daemons[0], testTeam, testService)
	c.submit(c.daemons[0], batchJob("work", 12, 4000))
	c.daemons[0].kill()
	c.daemons[1].kill()
	for i := range 2 {
		c.daemons[i] = c.startDaemon(4+i, nil)
	}
	for i := 2; i < 4; i++ {
		c.daemons[i].stop()
		c.daemons[i] = c.startDaemon(4+i, nil)
	}
	last := c.daemons[3]
	eventually(t, "the last daemon has the accepted configuration", func() bool {
		s, err := statusOf(last)
		return err == nil && s.Revision == accepted.Revision
	})
	job := c.waitEnded(last, "work")
	assert.Equal(t, 12, job.Succeeded)
	eventually(t, "replicas run", func() bool { return c.runningReplicas(last, "quotes") == 3 })
	c.requireNoViolations()
}
