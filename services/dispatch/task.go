// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// taskState is what is known of where a task runs.
type taskState uint8

const (
	taskWaiting  taskState = iota // proved not to run
	taskUnknown                   // a former owner may have started it on a worker not heard of yet
	taskStarting                  // the start is not answered yet
	taskRunning
	taskStopping // the stop is not proved yet
	taskDone
	taskMoving    // proved not to run; about to be handed to another cell
	taskElsewhere // another cell has it
)

// task is one task of an open or closed step, with its latest run.
type task struct {
	step      *step
	index     int
	state     taskState
	worker    *worker
	position  int // in the worker's tasks
	failures  jobs.Failures
	suspicion jobs.Suspicion
	weighedAt time.Time      // when its latest loss is weighed for good
	byChance  []jobs.LostRun // losses that chance explains better, unless a later one is like them; this owner's alone
	onTrial   bool           // a suspect that has not run for long enough yet
	counted   uint64         // the job's version when a loss was last counted
	unseen    int            // runs that may have been lost between two owners; see unseen.go
	lapsed    jobs.RunID     // the latest run, when a worker has shown after the takeover that it has lapsed; 0: none has

	run           jobs.RunID
	starts        int          // in this epoch
	ordered       bool         // this owner ordered the run, and knows since when it is under way
	answeredAt    time.Time    // when the order in flight was answered; zero while it is not
	orderedAt     time.Time    // when the last order was given
	startSentAt   time.Time    // when its start was last ordered
	retried       bool         // the start was repeated
	open          bool         // a start of the run was ordered and is not answered; it may be carried out yet
	barred        bool         // it was ordered at a former incarnation of the worker, and is to be barred at this one
	waits         time.Time    // since when it waits, while it does; zero: for long, or for another cell
	began         time.Time    // when the run was ordered, then when it was known to be under way
	lastReport    uint64       // the worker's report that last showed it
	saved         *saved       // what the next run goes on from; nil: it begins anew
	pace          jobs.Percent // as ordered
	pacedAt       time.Time    // when it began or its pace was last changed
	paceUncertain bool         // an order had no answer: the pace in force may be higher
	figure        int          // as last reported

	sampledAt       time.Time // when sampledProgress was taken for the worker's speed
	sampledProgress jobs.Percent

	shownLoad   float64 // load of a serving task in the latest report
	averageLoad float64 // its average over the last few reports; zero: none yet
	loadOffset  float64 // by which a serving task's load differs from that of its step's others
}

func (t *task) id() jobs.TaskID {
	return jobs.TaskID{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

// initTask lets a task wait, or keeps it from starting while it may run unseen.
func (c *Core) initTask(t *task) {
	switch {
	case t.state == taskDone, t.state == taskElsewhere:
	case c.mayRunUnobserved(t):
		t.state = taskUnknown
	default:
		t.step.waiting++
		// What comes from another cell has waited there: with that time forgotten, a task that lasts
		// left room to short work anew in each cell it came to.
		if j := t.step.job; j.fresh && !j.fromOtherCell {
			t.waits = c.now
		}
	}
}

// mayRunUnobserved tells whether a worker that has not answered since the takeover may know of runs of
// the task.
func (c *Core) mayRunUnobserved(t *task) bool { return c.blind && !t.step.job.fresh }

// finishTask marks a task as succeeded; it must not be on a worker.
func (c *Core) finishTask(t *task) {
	if t.state == taskDone {
		return
	}
	t.state = taskDone
	t.step.done++
	t.step.job.begun = true
	if t.step.done == len(t.step.tasks) {
		t.step.job.remainingSteps--
	}
}

// wait puts a task back among those to be placed; it is proved not to run.
func (c *Core) wait(t *task) {
	c.leave(t)
	if t.state == taskDone {
		return
	}
	c.closeRun(t)
	t.pace = jobs.FullSpeed
	// That this run has ended says nothing of those before it: a worker that has not answered
	// may know of failures that leave the task no attempt. Tasks that last have no such bound.
	if c.mayRunUnobserved(t) && !t.step.spec.Lasts {
		if t.state == taskWaiting {
			t.step.waiting--
		}
		t.state = taskUnknown
		return
	}
	if t.state != taskWaiting {
		t.step.waiting++
		t.waits = c.now
	}
	t.state = taskWaiting
	c.listOpen(t.step)
	c.settle(t.step.job)
}

// leave takes a task off its worker.
func (c *Core) leave(t *task) {
	if t.worker == nil {
		return
	}
	if t.step.spec.Fills {
		t.worker.fillersChangedAt = c.now
	}
	t.worker.remove(t)
	t.worker = nil
	t.step.job.running--
}

// find finds a task of an active job that this cell has; nil when there is none.
func (c *Core) find(id jobs.TaskID) *task {
	j, ok := c.jobs[id.Job]
	if !ok || id.Step >= len(j.spec.Steps) || id.Occurrence >= j.spec.Occurrences() {
		return nil
	}
	s := j.steps[id.Occurrence*len(j.spec.Steps)+id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	if s.tasks[id.Index].state == taskElsewhere {
		return nil
	}
	return &s.tasks[id.Index]
}
