// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/routers/operator"
	"rillsail.example/rillsail/services/standin/fleet"
)

var (
	measureTo      = flag.String("measure", "", "file to write the results of the full measurement to")
	measureSeconds = flag.Int("seconds", 30, "length of each run of the measurement")
)

// fleetSize is a size of the fleet with the corresponding load.
type fleetSize struct {
	name     string
	daemons  int
	workers  int
	services int     // running replicas of services
	batch    int     // batch tasks that run throughout the measurement
	starts   float64 // task starts per second
	changes  float64 // configuration changes per second
}

// cost is the resource usage of a daemon during a run.
type cost struct {
	cpu      float64 // percent of a core
	memory   float64 // MB
	peerRate float64 // bytes per second to and from peers
}

// capacity is the result of one run of the measurement.
type capacity struct {
	fleetSize
	daemon        cost // mean of the daemons
	worst         cost // maximum of each value over the daemons
	writes        float64
	reads         float64
	storeBytes    float64
	started       float64
	startP50      models.Milli
	startP99      models.Milli
	byKind        map[string]float64
	bytesPerStart float64
}

// measure runs a fleet under its load for the given time and computes the result from the counters before
// and after.
func measure(t *testing.T, s fleetSize, length time.Duration) capacity {
	t.Helper()
	c := newCluster(t, clusterConfig{
		daemons:    s.daemons,
		fleetFlags: []string{"--workers", fmt.Sprint(s.workers), "--per-rack", "8", "--upstreams", fmt.Sprint(s.workers), "--tick", "100ms", "--cpu", "64000", "--memory", "256000"},
		extraSettings: map[string]string{
			"platform.list_every": "2s", "platform.call_timeout": "2s", "platform.watch_wait": "30s",
			"member.heartbeat": "1s", "member.silent_after": "4s", "member.lease": "10s", "member.sync": "15s",
			"cell.lease": "20s", "cell.renew": "3s", "cell.append": "1s", "cell.tick": "1s", "daemon.log_level": "warn",
		},
	})
	service := testService
	service.Replicas = s.services
	c.apply(c.daemons[0], testTeam, service)
	filler := batchJob("filling", s.batch, 3_600_000)
	c.submit(c.daemons[0], filler)
	eventually(t, "all services and batch tasks run", func() bool { return c.audit().Running >= s.services+s.batch })
	before := c.readCounters()
	c.generateLoad(s, length)
	after := c.readCounters()
	c.requireNoViolations()
	return c.computeCapacity(s, before, after)
}

// generateLoad submits jobs of ten tasks and changes the configuration at the rates of the fleet size,
// without waiting for an answer before the next call.
func (c *cluster) generateLoad(s fleetSize, length time.Duration) {
	const perJob = 10
	end := time.Now().Add(length)
	jobs := time.NewTicker(time.Duration(perJob / s.starts * float64(time.Second)))
	defer jobs.Stop()
	changes := time.NewTicker(time.Duration(float64(time.Second) / s.changes))
	defer changes.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; time.Now().Before(end); n++ {
		select {
		case <-jobs.C:
			group.Add(1)
			go func() {
				defer group.Done()
				c.submitTimed(n, perJob)
			}()
		case <-changes.C:
			group.Add(1)
			go func() {
				defer group.Done()
				c.apply(c.daemons[n%len(c.daemons)], models.Team{Name: models.TeamName(fmt.Sprint("team-", n%68)), Quota: models.Resources{CPU: models.MilliCPU(n + 1)}})
			}()
		}
	}
}

// submitTimed submits an urgent job whose id carries the time of submission.
func (c *cluster) submitTimed(n, tasks int) {
	job := batchJob(fleet.TimedJob(time.Now(), n), tasks, 2000)
	job.Urgent = true
	_, err := call[models.JobResults](c.daemons[n%len(c.daemons)], http.MethodPost, operator.PathJobs, models.Submission{Jobs: []models.JobSpec{job}})
	assert.NoError(c.t, err)
}

func (c *cluster) computeCapacity(s fleetSize, before, after counterReading) capacity {
	seconds := after.at.Sub(before.at).Seconds()
	sum := capacity{
		fleetSize: s, byKind: map[string]float64{},
		writes: float64(after.store.Writes-before.store.Writes) / seconds, reads: float64(after.store.Reads-before.store.Reads) / seconds,
		storeBytes: float64(after.store.BytesIn-before.store.BytesIn+after.store.BytesOut-before.store.BytesOut) / seconds,
		started:    float64(after.audit.Starts-before.audit.Starts) / seconds,
		startP50:   after.audit.StartP50, startP99: after.audit.StartP99,
	}
	for kind, n := range after.store.WritesByKind {
		sum.byKind[kind] = float64(n-before.store.WritesByKind[kind]) / seconds
	}
	sum.bytesPerStart = float64(after.store.BytesIn-before.store.BytesIn) / max(1, float64(after.audit.Starts-before.audit.Starts))
	n := float64(len(c.daemons))
	for i, d := range c.daemons {
		own := cost{
			cpu: 100 * (after.cpu[i] - before.cpu[i]) / seconds, memory: residentMB(c.t, d.process),
			peerRate: (after.peers[i] - before.peers[i]) / seconds,
		}
		sum.daemon.cpu += own.cpu / n
		sum.daemon.memory += own.memory / n
		sum.daemon.peerRate += own.peerRate / n
		sum.worst.cpu = max(sum.worst.cpu, own.cpu)
		sum.worst.memory = max(sum.worst.memory, own.memory)
		sum.worst.peerRate = max(sum.worst.peerRate, own.peerRate)
	}
	return sum
}

// row formats the result as a line of the table.
func (c capacity) row() string {
	return fmt.Sprintf("| %s | %d | %d | %d + %d | %.1f (%.1f) | %.2f (%.2f) | %.0f (%.0f) | %.0f (%.0f) | %.1f (cells %.1f, config %.1f) | %.1f | %.0f | %.0f | %d / %d |\n",
		c.name, c.daemons, c.workers, c.services, c.batch, c.started, c.starts, c.daemon.cpu, c.worst.cpu, c.daemon.memory, c.worst.memory,
		c.daemon.peerRate, c.worst.peerRate, c.writes, c.byKind["cells"], c.byKind["config"], c.reads, c.storeBytes, c.bytesPerStart, c.startP50, c.startP99)
}

// sizes returns fleets in the proportions of the planned fleet: 2.9 services and 9.3 batch tasks per
// worker, and starts and changes by the number of workers.
func sizes() []fleetSize {
	var all []fleetSize
	for _, workers := range []int{64, 160, 320} {
		part := float64(workers) / 1500
		all = append(all, fleetSize{
			name: fmt.Sprint(workers, " workers"), daemons: 6, workers: workers,
			services: int(4400 * part), batch: int(14_000 * part), starts: 110 * part, changes: 0.1,
		})
	}
	return append(all,
		fleetSize{name: "more starts", daemons: 6, workers: 160, services: 469, batch: 1493, starts: 110, changes: 0.1},
		fleetSize{name: "more daemons", daemons: 12, workers: 160, services: 469, batch: 1493, starts: 11.7, changes: 0.1})
}

// TestMeasureCapacity runs the full measurement if the flag -measure is given, as by "make measure".
// Without the flag it runs one small size for a few seconds, to keep the measurement working.
func TestMeasureCapacity(t *testing.T) {
	if *measureTo == "" {
		small := measure(t, fleetSize{name: "small", daemons: 2, workers: 16, services: 8, batch: 20, starts: 10, changes: 1}, 4*time.Second)
		assert.Positive(t, small.started)
		assert.Positive(t, small.startP99)
		assert.Less(t, small.writes, 100.0)
		return
	}
	table := "| size | daemons | workers | tasks running | starts/s measured (asked) | CPU %% of a core: mean (worst) | MB: mean (worst) | B/s with peers: mean (worst) | store writes/s | store reads/s | store B/s | store B a start | start p50 / p99 ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
	table = strings.ReplaceAll(table, "%%", "%")
	for _, s := range sizes() {
		t.Run(s.name, func(t *testing.T) {
			table += measure(t, s, time.Duration(*measureSeconds)*time.Second).row()
		})
		require.NoError(t, os.WriteFile(filepath.Clean(*measureTo), []byte(table), 0o600))
	}
}
