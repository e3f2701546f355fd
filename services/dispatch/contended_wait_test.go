// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

const (
	contendedShortEvery = 50 * time.Millisecond // from one short job to the next
	contendedTime       = 30 * time.Second      // watched from the submission of the large task
	// contendedPlaces is for how many tasks of its size there has to be room at once, so that a task is taken to have room.
	contendedPlaces = 2
	// contendedJoin is the time after which a worker that is up and named by the list may get starts: two reports and one
	// transaction.
	contendedJoin   = 2*reportInterval + simulationStep
	contendedBefore = 6 * time.Second // after the first job whose task crashes its workers
)

var contendedShortStep = jobs.Step{Count: 8, Size: models.Resources{CPU: 2000, Memory: 2000}, Estimate: models.MilliOf(waitRuntime)}

// contendedWait is a script in which a large long-running task waits in a cell that is nearly full, while short jobs, some of
// which crash their workers, and tasks that were lost with them take the room that appears.
type contendedWait struct {
	name       string
	losses     []jobs.LostRun // of the large task
	size       models.MilliCPU
	sharers    int           // suspects of the same size that share its first four losses, submitted before it
	lasting    int           // more jobs of long-running tasks
	crashEvery int           // each so many jobs have a task that crashes its workers
	crashAfter time.Duration // the task's runtime
}

// play plays the script, and returns how long the large task has waited in sum while there was room for it on workers that
// are up, and how long in all.
func (s contendedWait) play(t *testing.T) (besideRoom, waited time.Duration) {
	t.Helper()
	p := newWaitSimulation(t)
	p.crashAfter = map[jobs.ID]time.Duration{}
	for range s.lasting {
		p.submit(waitLastingStep)
	}
	p.advance(waitBefore)
	p.crashEvery, p.crashTime = s.crashEvery, s.crashAfter
	s.advance(p, contendedBefore, func() bool { return false })
	for range s.sharers {
		s.submitLarge(p, s.losses[:4])
	}
	large := s.submitLarge(p, s.losses)
	runs := func() bool {
		task := p.find(large)
		if _, waits := p.waitsSince[large]; !waits || task == nil || task.isOver() {
			return true
		}
		waited += simulationStep
		if p.placesOnWorkers(s.size) >= contendedPlaces {
			besideRoom += simulationStep
		}
		return false
	}
	s.advance(p, contendedTime, runs)
	t.Logf("%s: %v beside room, %v in all; %d workers crashed, %d starts, %d trials, %d starts too many, %d innocent given up",
		s.name, besideRoom, waited, p.crashed, p.counts.Starts, p.counts.Trials, p.startsTooMany, p.innocentGivenUp())
	return besideRoom, waited
}

// advance lets time pass while more short jobs are submitted, until done reports true.
func (s contendedWait) advance(p *waitSimulation, passed time.Duration, done func() bool) {
	for until := p.now.Add(passed); p.now.Before(until) && !done(); {
		p.advance(simulationStep)
		if p.now.Sub(p.began)%contendedShortEvery < simulationStep {
			p.submit(contendedShortStep)
		}
	}
}

// submitLarge submits the large task as one that has lost its runs under a previous owner.
func (s contendedWait) submitLarge(p *waitSimulation, losses []jobs.LostRun) jobs.TaskID {
	id := p.nextID()
	p.submitted++
	record := jobs.Record{
		Spec: jobs.Spec{ID: id, Queue: "q", Steps: []jobs.Step{{
			Count: 1, Size: models.Resources{CPU: s.size, Memory: 1000}, LongRunning: true, Image: "serving",
		}}},
		Terms: jobs.Terms{Pool: testPool, MaxAttempts: 3, Slack: 250, Stretch: 1.5}, Accepted: models.UnixMilliOf(p.now),
		Version: uint64(p.stored.epoch),
	}
	progress := jobs.Progress{}
	if losses != nil {
		progress.Suspected = jobs.Suspicions{0: {0: {Lost: slices.Clone(losses)}}}
	}
	p.stored.active[id] = record
	p.AddJob(record, progress, true, p.now)
	p.waitsSince[jobs.TaskID{Job: id}] = p.now
	return jobs.TaskID{Job: id}
}

// placesOnWorkers counts the tasks of a size for which there is room, by what runs, on workers that have been up and named by
// the list for long enough.
func (p *waitSimulation) placesOnWorkers(size models.MilliCPU) int {
	places := models.MilliCPU(0)
	for _, w := range p.workers {
		if p.now.Sub(latest(w.upAt, w.listedAt)) < contendedJoin {
			continue
		}
		free := waitCapacity.CPU
		for id := range w.runs {
			free -= p.find(id).step.spec.Size.CPU
		}
		places += free / size
	}
	return int(places)
}

var contendedWaits = []contendedWait{
	{name: "no suspect", size: 13_000, lasting: 80, crashEvery: 16, crashAfter: 300 * time.Millisecond},
	{name: "no suspect, many crashes", size: 13_000, lasting: 70, crashEvery: 4, crashAfter: 300 * time.Millisecond},
	{name: "one loss", losses: []jobs.LostRun{lostRunWith(lossAlone, 1, 9, 8)}, size: 13_000, lasting: 70, crashEvery: 4, crashAfter: 20 * time.Millisecond},
	{name: "one loss, largest size", losses: []jobs.LostRun{lostRunWith(lossAlone, 1, 9, 8)}, size: 20_000, lasting: 70, crashEvery: 4, crashAfter: 20 * time.Millisecond},
	{name: "two losses by chance", losses: weakLosses, size: 13_000, lasting: 80, crashEvery: 16, crashAfter: 20 * time.Millisecond},
	{name: "five losses, contested", losses: fiveLosses, sharers: 4, size: 13_000, lasting: 70, crashEvery: 4, crashAfter: 300 * time.Millisecond},
	{name: "five losses, contested, few crashes", losses: fiveLosses, sharers: 4, size: 13_000, lasting: 80, crashEvery: 16, crashAfter: 300 * time.Millisecond},
}

// TestLargeTaskRunsSoonWhileOthersTakeTheRoom guards against a long-running task that waits without end beside room that others,
// which have come later, take whenever it appears.
func TestLargeTaskRunsSoonWhileOthersTakeTheRoom(t *testing.T) {
	for _, s := range contendedWaits {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			besideRoom, _ := s.play(t)
			require.LessOrEqual(t, besideRoom, stormAllowed)
		})
	}
}
