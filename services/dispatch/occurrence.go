// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// An owner holds the tasks of an occurrence from the time at which it is due, or from when a report or the stored progress
// names one of them, until all of them are done and that is stored. So what it holds grows with the work that is
// open now, however many times a job has. While the tasks that are held would be too many for an owner's memory, the others
// wait for their turn with their jobs' specifications only, for example after many times of a job have fallen due while no
// owner was up.

const (
	// maxIdleTasksOfJob is how many tasks that neither run nor are done a job holds at most in several occurrences.
	maxIdleTasksOfJob = 2_000
	// maxAdditionalTasks is how many tasks of such additional occurrences all jobs together hold at most.
	maxAdditionalTasks = 50_000
	// maxHeldTasks is how many tasks all jobs together hold at most, without those that reports or the stored progress name.
	// A task takes some 800 bytes, and the garbage collector as much again.
	maxHeldTasks = 100_000
)

// occurrence is one time of a job, with its tasks.
type occurrence struct {
	job            *job
	number         int
	steps          []*step
	openedAt       time.Time // when the first of its steps was opened, or of the one before it if that was not done yet
	isNew          bool      // its tasks have no state yet; see Core.beginOccurrence
	additional     bool      // held beside another occurrence that was due
	remainingSteps int       // that are not done
	doneVersion    uint64    // the job's version that records that all are; 0: some are not
}

// open records that a step is opened.
func (o *occurrence) open(now time.Time) {
	if !o.openedAt.IsZero() {
		return
	}
	o.openedAt = now
	for _, other := range o.job.occurrences {
		if !other.isDone() && !other.openedAt.IsZero() && other.openedAt.Before(o.openedAt) {
			o.openedAt = other.openedAt
		}
	}
}

// isDone reports whether all tasks of the occurrence are done.
func (o *occurrence) isDone() bool { return o.doneVersion != 0 }

// finishStep records that all tasks of one more step are done. The caller marks the job as changed.
func (o *occurrence) finishStep() {
	o.remainingSteps--
	if o.remainingSteps == 0 {
		o.doneVersion = o.job.version + 1
		o.job.doneOccurrences = o.job.doneOccurrences.With(o.number)
	}
}

// heldIndex returns where a held occurrence with the number is in the list or would be, and whether it is.
func (j *job) heldIndex(number int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
}

// heldSteps returns the steps of all occurrences that are held, in their order.
func (j *job) heldSteps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !yield(s) {
					return
				}
			}
		}
	}
}

// heldStep returns the step with a number that is counted over all occurrences; nil if it is not held.
func (j *job) heldStep(flat int) *step {
	at, held := j.heldIndex(flat / len(j.spec.Steps))
	if !held {
		return nil
	}
	return j.occurrences[at].steps[flat%len(j.spec.Steps)]
}

// isTooLarge reports whether the job has more tasks at a time than an owner holds at all. Such a job can have been accepted by
// an older version only. It is not run: it would end its owner.
func (j *job) isTooLarge() bool { return j.spec.OccurrenceTasks() > maxHeldTasks }

// occurrence returns an occurrence of the job, which is held from then on; nil if the job has none with the number, has let
// it go, or is too large.
func (c *Core) occurrence(j *job, number int) *occurrence {
	at, held := j.heldIndex(number)
	switch {
	case held:
		return j.occurrences[at]
	case number < 0 || number >= j.spec.Occurrences() || j.doneOccurrences.Has(number) || j.end != "" || j.isTooLarge():
		return nil
	}
	o := j.newOccurrence(number)
	j.occurrences = slices.Insert(j.occurrences, at, o)
	j.heldTasks += j.spec.OccurrenceTasks()
	c.heldTasks += j.spec.OccurrenceTasks()
	c.restoreLoads(o)
	return o
}

// newOccurrence returns an occurrence of which no task has run.
func (j *job) newOccurrence(number int) *occurrence {
	o := &occurrence{job: j, number: number, isNew: true, remainingSteps: len(j.spec.Steps), steps: make([]*step, len(j.spec.Steps))}
	for n := range o.steps {
		s := &step{job: j, occurrence: o, number: n, spec: &j.spec.Steps[n], tasks: make([]task, j.spec.Steps[n].Count)}
		for i := range s.tasks {
			s.tasks[i] = task{step: s, index: i, pace: jobs.FullSpeed, run: j.highestRun}
		}
		o.steps[n] = s
	}
	return o
}

// task returns the task with a stored step number, counted over all occurrences, and an index, whose occurrence is held from
// then on; nil when the job has no such task, or has let its occurrence go.
func (c *Core) task(j *job, flat, index int) *task {
	if flat < 0 || index < 0 || index >= j.spec.Steps[flat%len(j.spec.Steps)].Count {
		return nil
	}
	o := c.occurrence(j, flat/len(j.spec.Steps))
	if o == nil {
		return nil
	}
	return &o.steps[flat%len(j.spec.Steps)].tasks[index]
}

// beginOccurrence gives the tasks of an occurrence that has just become held their states.
func (c *Core) beginOccurrence(o *occurrence) {
	o.isNew = false
	if c.wasDueBeforeTakeover(o) {
		c.restoreTakeoverLosses(o)
	}
	for _, s := range o.steps {
		for i := range s.tasks {
			c.initTask(&s.tasks[i])
		}
	}
	c.openSteps(o, c.now)
}

// wasDueBeforeTakeover reports whether previous owners may have started tasks of the occurrence.
func (c *Core) wasDueBeforeTakeover(o *occurrence) bool {
	return o.job.spec.DueAt(o.number) <= c.timeOfDayThen(c.config.Taken, c.now)
}

// isDue reports whether the time of a job's occurrence has come.
func (c *Core) isDue(j *job, number int) bool {
	due := j.spec.DueAt(number)
	return due == 0 || c.timeOfDay(c.now) >= due
}

// holdAllDueOccurrences holds the occurrences whose time has come, first those of the most urgent queues and among them
// the earliest ones.
func (c *Core) holdAllDueOccurrences() {
	var due []*job
	for _, j := range c.unheld {
		if c.isDue(j, j.nextOccurrence) && c.mayHoldAnother(j) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int {
		return cmp.Or(cmp.Compare(c.terms(a).Priority, c.terms(b).Priority), cmp.Compare(a.nextDue(), b.nextDue()), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	for _, j := range due {
		c.holdDueOccurrences(j)
	}
}

// nextDue returns when the next occurrence that is not held is due.
func (j *job) nextDue() models.UnixMilli { return j.spec.DueAt(j.nextOccurrence) }

// holdDueOccurrences holds the occurrences of a job whose time has come, as far as the limits allow.
func (c *Core) holdDueOccurrences(j *job) {
	for ; j.nextOccurrence < j.spec.Occurrences(); j.nextOccurrence++ {
		if j.isOver() || !c.isDue(j, j.nextOccurrence) {
			return
		}
		if j.doneOccurrences.Has(j.nextOccurrence) {
			continue
		}
		if at, held := j.heldIndex(j.nextOccurrence); held { // since before it was due
			c.openSteps(j.occurrences[at], c.now)
			continue
		}
		if !c.mayHoldAnother(j) {
			return
		}
		additional := j.holdsWork()
		o := c.occurrence(j, j.nextOccurrence)
		if additional {
			o.additional = true
			c.additionalTasks += j.spec.OccurrenceTasks()
		}
		c.beginOccurrence(o)
	}
	delete(c.unheld, j.spec.ID)
}

// mayHoldAnother reports whether the job may hold another occurrence that is due.
func (c *Core) mayHoldAnother(j *job) bool {
	tasks := j.spec.OccurrenceTasks()
	switch {
	case j.isTooLarge():
		c.logTooLarge(j)
		return false
	case c.heldTasks+tasks > maxHeldTasks:
		return false
	case !j.holdsWork():
		return true
	default:
		return j.idleTasks()+tasks <= maxIdleTasksOfJob && c.additionalTasks+tasks <= maxAdditionalTasks
	}
}

// logTooLarge logs once that a job has too many tasks.
func (c *Core) logTooLarge(j *job) {
	if j.tooLargeLogged {
		return
	}
	j.tooLargeLogged = true
	c.config.Logger.Error("job has too many tasks at a time and is not run", zap.String("job", string(j.spec.ID)),
		zap.Int("tasks", j.spec.OccurrenceTasks()), zap.Int("allowed", maxHeldTasks))
}

// holdsWork reports whether the job holds an occurrence that is not done.
func (j *job) holdsWork() bool {
	return slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return !o.isDone() })
}

// idleTasks returns how many tasks of the occurrences that are held neither run nor are done.
func (j *job) idleTasks() int {
	idle := j.heldTasks - j.running
	for s := range j.heldSteps() {
		idle -= s.done
	}
	return idle
}

// letDoneOccurrencesGo forgets the tasks of the occurrences that are stored as done.
func (c *Core) letDoneOccurrencesGo(j *job) {
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool {
		if !o.isDone() || o.doneVersion > j.storedVersion {
			return false
		}
		c.letGo(o)
		return true
	})
}

// letGo counts the tasks of an occurrence as no longer held.
func (c *Core) letGo(o *occurrence) {
	tasks := o.job.spec.OccurrenceTasks()
	o.job.heldTasks -= tasks
	c.heldTasks -= tasks
	if o.additional {
		c.additionalTasks -= tasks
	}
}

// addDoneOccurrences adds the occurrences all of whose tasks a progress lists one by one, as owners of older versions
// store them.
func (j *job) addDoneOccurrences(done map[int][]int) {
	succeeded := map[int]int{} // tasks, by occurrence
	for flat, indexes := range done {
		succeeded[flat/len(j.spec.Steps)] += len(indexes)
	}
	for number, tasks := range succeeded {
		if tasks == j.spec.OccurrenceTasks() {
			j.doneOccurrences = j.doneOccurrences.With(number)
		}
	}
}
