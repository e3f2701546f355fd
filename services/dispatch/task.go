// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// taskState is what is known about where a task runs.
type taskState uint8

const (
	taskWaiting  taskState = iota // proved not to run
	taskUnknown                   // a previous owner may have started it on a worker that has not reported yet
	taskStarting                  // the start has not been answered yet
	taskRunning
	taskStopping // the stop has not been proved by a report yet
	taskDone
	taskMoving    // proved not to run; being handed to another cell
	taskElsewhere // assigned to another cell
)

// task is one task of a step, with its latest run.
type task struct {
	step                 *step
	index                int
	state                taskState
	worker               *worker
	position             int // index in the worker's list of tasks
	failures             jobs.Failures
	suspicion            jobs.Suspicion
	lossFinalAt          time.Time      // when the evaluation of its latest loss becomes final
	chanceLosses         []jobs.LostRun // losses that chance explains better than the task, unless a later loss is similar; known to this owner only
	onTrial              bool           // a suspect that has not run for long enough yet
	lossVersion          uint64         // the job's version when a loss was last counted
	unobservedAtTakeover int            // runs that may have been lost between two owners, not yet in suspicion.Unobserved; see unobserved_losses.go
	lapsedRun            jobs.RunID     // the latest run, if a worker has reported since the takeover that it lapsed; 0: no such report

	run                     jobs.RunID
	starts                  int              // starts ordered in this epoch
	orderedHere             bool             // this owner ordered the run, and so knows when it began
	answeredAt              time.Time        // when the pending order was answered; zero while it has no answer
	orderedAt               time.Time        // when the last order was given
	startSentAt             time.Time        // when its start was last ordered
	startRepeated           bool             // the start was repeated
	lateStart               lateStart        // a start sent to a previous incarnation of a worker, which may still be carried out
	startUnanswered         bool             // a start of the run has no answer and may still be carried out
	confirmed               bool             // the worker has answered the start of the run, or shown the run
	fromPreviousIncarnation bool             // ordered at the worker's previous incarnation; has to be barred at the present one
	waitingSince            time.Time        // since when the task waits; zero: waiting for long, or moved from another cell
	idleSince               time.Time        // since when this owner has known the task, or knows that it does not run, whichever is later; starts that were not carried out change nothing
	lastRunAt               time.Time        // when it was last known to run for long enough to be seen, or else when its job was added; zero: not known to this owner
	cameWaiting             bool             // it came from another cell and has not run since
	leftCapacityAt          time.Time        // when it last left capacity to short work instead of starting
	trialWait               trialWait        // why it has not been tried yet since it waits; for suspects
	startedAt               time.Time        // when the run was ordered, then when it was known to be under way
	lastReport              uint64           // number of the worker's report that last showed the run
	endHidden               bool             // the run is not running any more, and its end, if it has one, is not listed yet
	checkpoint              *savedCheckpoint // where the next run resumes; nil: the run starts from the beginning
	pace                    jobs.Percent     // as ordered
	pacedAt                 time.Time        // when the run began or its pace was last changed
	standby                 bool             // its run stands at pace 0 until its turn comes; see standby.go
	paceUncertain           bool             // a pace order had no answer: the pace in force may be higher
	figure                  int              // as last reported; see jobs.Run

	sampledAt       time.Time // when sampledProgress was taken for the worker's speed
	sampledProgress jobs.Percent

	shownLoad   float64 // load of a serving task in the latest report
	averageLoad float64 // moving average of shownLoad; zero: no report yet
	loadOffset  float64 // how far a serving task's load differs from the baseline load of its step
}

func (t *task) id() jobs.TaskID {
	return jobs.TaskID{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence.number, Step: t.step.number, Index: t.index}
}

// initTask sets a task of a new job to waiting, or to unknown while it may run on a worker that has not
// reported yet.
func (c *Core) initTask(t *task) {
	t.idleSince, t.cameWaiting = c.now, t.step.job.fromOtherCell
	switch {
	case t.state == taskDone, t.state == taskElsewhere:
	case c.mayRunUnobserved(t):
		t.state = taskUnknown
	default:
		t.step.waiting++
		// A task from another cell has already waited there. When that time was not counted, a long-running
		// task left capacity to short work for the full time again in each cell that it was moved to.
		if j := t.step.job; j.fresh && !j.fromOtherCell {
			t.waitingSince, t.lastRunAt = c.now, c.now
		}
	}
}

// mayRunUnobserved reports whether a worker that has not reported since the takeover may know of runs of the
// task.
func (c *Core) mayRunUnobserved(t *task) bool { return c.recovering && !t.step.job.fresh }

// finishTask marks a task as succeeded. The task must not be assigned to a worker.
func (c *Core) finishTask(t *task) {
	if t.state == taskDone {
		return
	}
	t.state = taskDone
	t.step.done++
	t.step.job.begun = true
	if t.step.done == len(t.step.tasks) {
		t.step.occurrence.finishStep()
	}
}

// requeue puts a task that is proved not to run back among the waiting tasks.
func (c *Core) requeue(t *task) {
	c.unassign(t)
	t.cameWaiting = false
	if t.state == taskDone {
		return
	}
	c.clearUnresolvedRun(t)
	t.pace = jobs.FullSpeed
	// The end of this run does not show how earlier runs ended: a worker that has not reported since the takeover
	// may know of failures that use up the task's attempts. Long-running tasks have no such limit.
	if c.mayRunUnobserved(t) && !t.step.spec.LongRunning {
		if t.state == taskWaiting {
			t.step.waiting--
		}
		t.state = taskUnknown
		return
	}
	if t.state != taskWaiting {
		t.step.waiting++
		t.waitingSince, t.idleSince = c.now, c.now
	}
	t.state = taskWaiting
	c.listWaiting(t.step)
	c.endIfDone(t.step.job)
}

// requeueUnstarted puts a task back whose start was certainly not carried out: it has been without a run all the time.
func (c *Core) requeueUnstarted(t *task) {
	idleSince := t.idleSince
	c.requeue(t)
	t.idleSince = idleSince
}

// unassign removes a task from its worker.
func (c *Core) unassign(t *task) {
	if t.worker == nil {
		return
	}
	if t.step.spec.Filler {
		t.worker.fillersChangedAt = c.now
	}
	if j := t.step.job; t.confirmed {
		endedAt := t.worker.lastAlive(c.now)
		j.lastRunEndedAt = latest(j.lastRunEndedAt, endedAt)
		j.runSpan.end(endedAt)
		t.confirmed = false
	}
	c.endStandby(t)
	t.worker.remove(t)
	c.recordChange(t.worker)
	t.worker, t.endHidden = nil, false
	t.step.job.running--
}

// find returns a task of an active job that this cell has; nil when there is none. An occurrence that is not held yet is
// held from then on: a previous owner, whose clock may have been ahead, has started the task.
func (c *Core) find(id jobs.TaskID) *task {
	j, ok := c.jobs[id.Job]
	if !ok || id.Step < 0 || id.Step >= len(j.spec.Steps) || id.Index < 0 || id.Index >= j.spec.Steps[id.Step].Count {
		return nil
	}
	o := c.occurrence(j, id.Occurrence)
	if o == nil {
		return nil
	}
	if o.isNew {
		c.beginOccurrence(o)
	}
	if t := &o.steps[id.Step].tasks[id.Index]; t.state != taskElsewhere {
		return t
	}
	return nil
}
