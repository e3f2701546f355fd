// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

// closing is how workers of a script are closed to starts.
type closing string

const (
	closeByDrain  closing = "drain"
	closeByCordon closing = "cordon"
	closeByList   closing = "unlist" // the list does not name them, and they answer
	closeBefore   closing = "before" // they drain since before the owner knew them, and run nothing
)

// countedRoomScript is a script of testdata/counted_room.json: workers that each have a small serving task, and a job of ordinary
// tasks, fullJob, that fills some of them beyond mostlyFreeBelow, before a job of filler tasks comes.
type countedRoomScript struct {
	Name   string  `json:"name"`
	Open   int     `json:"open"`
	Closed int     `json:"closed"` // more workers, which get no starts but go on
	Close  closing `json:"close"`
	// ClosedAreFull says that the closed workers have a task of the ordinary job, too.
	ClosedAreFull bool `json:"closed_are_full"`
	// Unanswered says that starts of the ordinary job are not carried out, and neither they nor the stops are answered.
	Unanswered bool `json:"unanswered"`
	// CallersCountClosed says that callers count closed workers.
	CallersCountClosed bool `json:"callers_count_closed"`
	// Starts says that a filler task starts, which it has to if callers find less than half in use.
	Starts bool `json:"starts"`
}

const fullJob = jobs.ID("00000000000000dd")

// drainTime is longer than a script.
const drainTime = time.Minute

// countedRoom is a play of one script.
type countedRoom struct {
	countedRoomScript
	*standbyBench
}

func newCountedRoom(t *testing.T, script countedRoomScript) *countedRoom {
	known := script.Open + script.Closed
	if script.Close == closeBefore {
		known = script.Open
	}
	p := &countedRoom{countedRoomScript: script, standbyBench: newHarmedBench(t, known)}
	p.started = func(order StartOrder) Outcome { return p.outcome(order.Call.Task) }
	p.stopped = func(order StopOrder) Outcome { return p.outcome(order.Call.Task) }
	return p
}

// outcome returns what becomes of an order about a task.
func (p *countedRoom) outcome(id jobs.TaskID) Outcome {
	if p.Unanswered && id.Job == fullJob {
		return OutcomeUnknown
	}
	return OutcomeDone
}

// fill hands the ordinary job in, a task for each worker that is open to starts.
func (p *countedRoom) fill(workers int) {
	step := servingStepOn(workers)
	step.Size.CPU, step.Image = 1500, "other"
	p.submit(fullJob, step)
	p.pass(2*time.Second, nil)
}

// close closes the workers that are to be closed, which are the last ones.
func (p *countedRoom) close() {
	list := p.Workers()
	closed := list[p.Open:]
	for n := range closed {
		switch p.Close {
		case closeByDrain:
			closed[n].Draining, closed[n].Remaining = true, drainTime
		case closeByCordon:
			closed[n].Domain = cordonedDomain
		case closeByList, closeBefore:
		}
	}
	switch p.Close {
	case closeByList:
		list = slices.Clip(list[:p.Open])
	case closeBefore:
		list = append(list, p.unknownDraining()...)
	case closeByDrain, closeByCordon:
	}
	p.SetWorkers(list, p.now)
	p.cordon(cordonedDomain)
	p.pass(standbyTick, nil)
}

// unknownDraining returns entries of the closed workers, which the owner has not known before.
func (p *countedRoom) unknownDraining() []jobs.Worker {
	var list []jobs.Worker
	for n := range p.Closed {
		entry := p.Worker(p.ids[0])
		entry.ID = jobs.WorkerID(fmt.Sprintf("d%d", n))
		entry.Address, entry.Draining, entry.Remaining = string(entry.ID), true, drainTime
		list = append(list, entry)
	}
	return list
}

// callersUse returns the use that callers see: that of the runs which are under way.
func (p *countedRoom) callersUse() jobs.Use {
	var use jobs.Use
	counted := p.Open
	if p.CallersCountClosed {
		counted += p.Closed
	}
	for n := range counted {
		use.Present = use.Present.Add(models.Resources{CPU: 4000, Memory: 8000})
		if n >= len(p.runs) {
			continue
		}
		for _, r := range p.runs[n] {
			size := r.step.Size
			if r.step.Filler {
				size.CPU = 0
			}
			use.Used = use.Used.Add(size)
		}
	}
	return use
}

// play plays the script.
func (p *countedRoom) play(t *testing.T) {
	if p.ClosedAreFull {
		p.fill(p.Open + p.Closed)
		p.close()
	} else {
		p.close()
		p.fill(p.Open)
	}
	require.Equal(t, p.Starts, p.callersUse().IsBelow(crowdMostUsed), "callers find less than half in use")
	p.submit(testJob, fillerStep)
	p.pass(fillerAllowed, nil)
	if p.Starts {
		require.Len(t, p.runsOf(testJob), 1)
	} else {
		p.pass(fillerAllowed, nil)
		require.Empty(t, p.runsOf(testJob))
	}
}

// TestIdleFillerJobsStandByWhereCallersCountLessInUse guards against jobs of filler tasks of which nothing runs because their owner
// counts more as in use than callers may: without workers that get no starts but go on, or with runs that are not under way; and
// against harm where callers count as much.
func TestIdleFillerJobsStandByWhereCallersCountLessInUse(t *testing.T) {
	for _, script := range casefile.Read[[]countedRoomScript](t, "testdata/counted_room.json") {
		t.Run(script.Name, func(t *testing.T) { newCountedRoom(t, script).play(t) })
	}
}

// TestStartsWithoutAnswerLeaveMemory guards against tasks on standby that take the memory of a cell because their starts, which are
// answered late, do not count as in use until then.
func TestStartsWithoutAnswerLeaveMemory(t *testing.T) {
	const crowd = 20
	b := newHarmedBench(t, 2)
	step := fillerStep
	step.Size.Memory = 800
	for n := range crowd {
		b.submit(crowdID(n), step)
	}
	b.pass(standbyAfter-standbyTick, nil)
	started := models.MiB(0)
	for range 16 {
		b.now = b.now.Add(standbyTick)
		for n := range b.ids {
			b.answer(n)
		}
		for range b.starts() { // in flight
			started += step.Size.Memory
		}
	}
	require.Positive(t, started)
	require.LessOrEqual(t, float64(started), mostlyFreeBelow*2*8000+float64(step.Size.Memory), fmt.Sprint(started))
}

// TestIdleFillerJobsStandByBesideShortRuns guards against jobs of filler tasks of which nothing runs because their owner counts short
// runs as in use until it learns of their ends, when callers have found less than half in use for long.
func TestIdleFillerJobsStandByBesideShortRuns(t *testing.T) {
	const (
		workers     = 24
		startsATick = 22 // of four ticks each, so that callers find 0.46 of the memory in use
		reportTicks = 8
	)
	short := jobs.Step{Count: startsATick, Size: models.Resources{CPU: 100, Memory: 1000}, Estimate: models.MilliOf(4 * standbyTick), Image: "short"}
	p := &countedRoom{countedRoomScript{Open: workers}, newHarmedBench(t, workers)}
	p.reportTicks = reportTicks
	submitted := 0
	submit := func() {
		p.submit(crowdID(submitted), short)
		submitted++
	}
	p.pass(time.Second, submit)
	p.submit(testJob, fillerStep)
	idleSince := p.now
	p.pass(3*fillerAllowed, func() {
		submit()
		if len(p.runsOf(testJob)) > 0 || !p.callersUse().IsBelow(crowdMostUsed) {
			idleSince = p.now
		}
		require.Less(t, p.now.Sub(idleSince), fillerAllowed, "owner %+v, callers %+v", p.use(p.now)[testPool], p.callersUse())
	})
	require.Len(t, p.runsOf(testJob), 1)
}

// TestIdleFillerJobsStandByOnceOtherCellsAreKnownToBeFree guards against jobs of filler tasks that begin to wait anew when their owner
// learns that most of the other cells has become free, which callers have found some time before.
func TestIdleFillerJobsStandByOnceOtherCellsAreKnownToBeFree(t *testing.T) {
	const learnedAfter = 2 * time.Second // longer than owners ask each other
	p := newCountedRoom(t, countedRoomScript{Open: 2})
	p.fill(p.Open)
	p.submit(testJob, fillerStep)
	p.pass(learnedAfter, nil)
	require.Empty(t, p.runsOf(testJob))
	p.addOtherCell()
	p.addOtherCell()
	p.pass(fillerAllowed-learnedAfter, nil)
	require.Len(t, p.runsOf(testJob), 1)
}

// TestTasksOnStandbyLeaveRoomBesideClosedWorkers guards against tasks on standby that take all the memory of the workers that are open to
// starts, because those that are closed are free.
func TestTasksOnStandbyLeaveRoomBesideClosedWorkers(t *testing.T) {
	for _, how := range []closing{closeByDrain, closeByCordon, closeByList} {
		t.Run(string(how), func(t *testing.T) {
			p := newCountedRoom(t, countedRoomScript{Open: 2, Closed: 8, Close: how})
			p.close()
			p.requireRoomBesideStandby(t)
		})
	}
}
