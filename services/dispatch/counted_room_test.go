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
	"rillsail.example/rillsail/modules/casefile"
)

// closing is how workers of a script are closed to starts.
type closing string

const (
	closeByDrain  closing = "drain"
	closeByCordon closing = "cordon"
	closeByList   closing = "unlist" // the list does not name them, and they answer
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
	return &countedRoom{countedRoomScript: script, standbyBench: newHarmedBench(t, script.Open+script.Closed)}
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
		case closeByList:
		}
	}
	if p.Close == closeByList {
		list = slices.Clip(list[:p.Open])
	}
	p.SetWorkers(list, p.now)
	p.cordon(cordonedDomain)
	p.pass(standbyTick, nil)
}

// callersUse returns the use that callers see: that of the runs which are under way.
func (p *countedRoom) callersUse() jobs.Use {
	var use jobs.Use
	for n, runs := range p.runs {
		if n >= p.Open && !p.CallersCountClosed {
			continue
		}
		use.Present = use.Present.Add(models.Resources{CPU: 4000, Memory: 8000})
		for _, r := range runs {
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
// counts more as in use than callers may: without workers that get no starts but go on; and against harm where callers count
// as much.
func TestIdleFillerJobsStandByWhereCallersCountLessInUse(t *testing.T) {
	for _, script := range casefile.Read[[]countedRoomScript](t, "testdata/counted_room.json") {
		t.Run(script.Name, func(t *testing.T) { newCountedRoom(t, script).play(t) })
	}
}
