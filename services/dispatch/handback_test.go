// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// handover is a play of two cells with one worker each and a task that they may hand to each other. Each worker carries a
// suspect that has outlived its trial.
type handover struct {
	t       *testing.T
	cells   [2]*bench
	carried [2]jobs.Run
	records [2]jobs.Record // of the job that they hand to each other
	moves   int
}

var twoLosses = []jobs.LostRun{lostRunWith(lossShared, 1, 4, 3), lostRunWith(lossAlone, 2, 4, 3)}

func newHandover(t *testing.T) *handover {
	t.Helper()
	p := &handover{t: t}
	for n := range p.cells {
		b := newBench(t, 1)
		b.config.OtherCells = true
		b.report(0, jobs.Report{})
		record := b.job(waitSuspectStep)
		record.Spec.ID = otherJob
		b.AddJob(record, jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Lost: twoLosses}}}}, true, b.now)
		start := b.startOne(t)
		p.cells[n], p.carried[n] = b, jobs.Run{Task: start.Call.Task, Run: start.Call.Run}
	}
	for range 5 {
		require.Empty(t, p.report())
	}
	return p
}

// report lets the workers of both cells report, and returns what starts.
func (p *handover) report() []StartOrder {
	var starts []StartOrder
	for n, b := range p.cells {
		b.report(0, jobs.Report{Running: []jobs.Run{p.carried[n]}})
		b.store()
		starts = append(starts, b.storedStarts()...)
	}
	return starts
}

// offer lets a cell hand over the work that the other one says it has places for, as their owners do.
func (p *handover) offer(from int) {
	here, there := p.cells[from], p.cells[1-from]
	for _, move := range here.Movable(4, here.now) {
		if there.Places([]jobs.Demand{move.Demand}, there.now)[0] < move.Demand.Step.Count {
			continue
		}
		require.True(p.t, here.BeginMove(move))
		p.moves++
		received := p.records[from].NewPart(move.Tasks, move.HighestRun)
		if p.records[1-from].Version != 0 {
			received = p.records[1-from].WithTasks(move.Tasks, move.HighestRun)
		}
		received.Suspected = received.Suspected.MergedWith(move.Suspected)
		p.records[from] = p.records[from].WithoutTasks(move.Tasks)
		p.records[1-from] = received
		for n := range p.records {
			p.records[n].Version = uint64(100 + p.moves)
		}
		here.Moved(move, p.records[from].Version)
		there.AddJob(p.records[1-from], jobs.Progress{}, true, there.now)
	}
}

// TestCellsDoNotHandASuspectBackAndForth guards against a suspect that waits for many seconds beside free room: two cells
// handed it to each other, and it waited anew for a worker without other suspects in each.
func TestCellsDoNotHandASuspectBackAndForth(t *testing.T) {
	p := newHandover(t)
	p.records[0] = p.cells[0].job(waitSuspectStep)
	p.records[0].Version = 100
	p.cells[0].AddJob(p.records[0], jobs.Progress{Suspected: jobs.Suspicions{0: {0: {Lost: twoLosses}}}}, true, p.cells[0].now)
	began := p.cells[0].now
	for reports := 1; len(p.report()) == 0; reports++ {
		if reports%2 == 0 {
			p.offer(0)
			p.offer(1)
		}
		require.LessOrEqual(t, p.cells[0].now.Sub(began), waitAllowed, "after %d moves", p.moves)
	}
	t.Logf("starts after %v and %d moves", p.cells[0].now.Sub(began), p.moves)
}
