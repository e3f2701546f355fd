// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

const (
	roomLasts  = 2 * time.Second // shorter than maxIdleTime
	roomIsGone = time.Second
)

// acceptLarge accepts lastingJob with one task that does not fit beside a task of busyJob's first step.
func (p *progressTest) acceptLarge() {
	p.changeSpec(lastingJob, func(spec *jobs.Spec) { spec.Steps[0].Count, spec.Steps[0].Size.CPU = 1, 2000 })
	p.Accepted(lastingJob)
}

// passRoom lets others take all room and give it back.
func (p *progressTest) passRoom(run jobs.RunID) {
	p.pass(roomLasts)
	for place := range 4 {
		p.start(place, busyJob, 0, place, run)
	}
	p.pass(roomIsGone)
	for place := range 4 {
		p.stop(place, jobs.TaskID{Job: busyJob, Index: place}, run)
	}
	p.pass(testStopTime)
}

// TestRoomThatComesAndGoesIsAddedUp guards against a task that waits without end while others take all room again and again,
// because each time without room begins its wait anew.
func TestRoomThatComesAndGoesIsAddedUp(t *testing.T) {
	runProgressTest(t, Config{}, func(p *progressTest) {
		p.acceptLarge()
		p.passRoom(1)
		require.Empty(t, p.Breaches())
		p.passRoom(2)
		p.requireWait(string(lastingJob) + ".0.0.0")
		require.Contains(t, p.Breaches()[0], "in sum")
		p.passRoom(3)
		require.Len(t, p.Breaches(), 1, "it is reported once")
	})
}

// TestSumOfRoomBeginsAnew guards against a sum that counts room before the task ran, or before a fault.
func TestSumOfRoomBeginsAnew(t *testing.T) {
	for name, between := range map[string]func(p *progressTest){
		"the task ran": func(p *progressTest) {
			task := jobs.TaskID{Job: lastingJob}
			p.start(0, lastingJob, 0, 0, 1)
			p.stop(0, task, 1)
			p.pass(testStopTime)
		},
		"a fault of the store": func(p *progressTest) { p.NoteFault(); p.pass(calmTime - progressTick) },
		"a fault that lasts":   func(p *progressTest) { p.BeginFault("store"); p.pass(time.Second); p.EndFault("store") },
		"a worker restarts":    func(p *progressTest) { p.Crash(3) },
	} {
		t.Run(name, func(t *testing.T) {
			runProgressTest(t, Config{}, func(p *progressTest) {
				p.acceptLarge()
				p.passRoom(1)
				between(p)
				p.pass(roomLasts)
				require.Empty(t, p.Breaches())
			})
		})
	}
}
