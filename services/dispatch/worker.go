// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// silentAfter is when a worker that doesn't answer gets no new tasks: somewhat more than
// the longest wait of a report with its way.
const silentAfter = 2500 * time.Millisecond

// worker is one incarnation of a worker of the cell.
type worker struct {
	info            jobs.Worker
	fence           jobs.Fence // of all calls to it
	listed          bool
	enrolled        bool      // the stored roster names it
	youngStored     bool      // its young runs are stored, for its address refuses connections
	former          bool      // a former owner's roster named it
	retired         bool      // it was silent until nothing ran there; the roster leaves it out
	missing         time.Time // since when the list doesn't name it; zero: it does, or was not read yet
	leaves          time.Time // when a draining worker may leave; zero: it doesn't drain
	tasks           []*task
	used            models.Resources // declared by its tasks; of filling ones the memory only
	longRunningCPU  models.MilliCPU  // declared by those that last
	fillerCPU       models.MilliCPU  // declared by those that fill
	answered        bool             // reported in this epoch
	heard           time.Time        // when the last report came
	asked           time.Time        // when the call was sent that it answers
	overdue         bool             // the latest call that asked for a report was not answered
	failed          time.Time        // when the first call after the last report turned out not to be answered; zero: none has
	refused         bool             // that call was turned away at the worker's address
	clock           models.Milli     // of that report
	entry           *jobs.Worker     // what the list says of another incarnation with this id; nil: nothing
	hurried         bool             // its next report is wanted at once
	hurriedFor      models.UnixMilli // the start of the incarnation for whose entry it was last
	since           time.Time        // calls that were sent before are answered by a former incarnation, if by another one
	bornTold        bool             // that it can't be read was logged
	reportDiscarded bool             // the latest report was not taken
	granted         models.Milli     // the latest end of a lease that was sent, on its clock
	renewing        bool             // the latest call that asked for a report prolongs the lease
	renewed         bool             // the latest report answers a call that prolonged the lease
	unwell          time.Time        // no starts before
	avoidUntil      time.Time        // all others go before it until then
	ends            []unacknowledgedEnd
	lastEnd         uint64 // highest number applied
	acked           uint64 // highest number that may be forgotten

	strays      map[jobs.TaskID]stray // runs that should not be there
	reportCount uint64

	speed            speed     // of its tasks, compared with the usual
	stalledUntil     time.Time // no new tasks before
	failedAt         time.Time
	failedJobs       []jobs.ID // different jobs that failed here since the last success
	throttledAt      time.Time // when a pace was last changed, or a task moved away
	maxLoad          float64   // the highest load of a serving task, of the last report
	maxExcess        float64   // by how much a load is over that at its target, the most of all; below zero: none is
	averageExcess    float64   // the same of the averages of the last few reports
	overTargetSince  time.Time // since when a tail is over its target; zero: none
	fillersChangedAt time.Time // when what fills there, or its pace, last changed
	trials           int       // suspects on trial there; nothing else starts meanwhile
	keptUntil        time.Time // nothing starts before but keptFor
	keptFor          *task     // a suspect that waits

	loadExpectations []servingTask // see Core.expectedLoads
	expectedValid    bool
	expectedAt       time.Time
}

// noteFailed notes that a call which asks for a report was not answered; refused says that the worker's
// address turned it away, so that it had ended just then and not at some time before.
func (w *worker) noteFailed(refused bool, now time.Time) {
	if w.failed.IsZero() {
		w.failed, w.refused = now, refused
	}
}

// lastAlive is the latest time at which the worker may have been alive: it can have ended no
// later than the first call turned out not to be answered.
func (w *worker) lastAlive(now time.Time) time.Time {
	if w.failed.IsZero() {
		return now
	}
	return w.failed
}

// SetWorkers takes the platform's list. Workers that are missing in it stay until they
// are proved to run nothing.
func (c *Core) SetWorkers(list []jobs.Worker, now time.Time) {
	for _, w := range c.workers {
		w.listed, w.entry = false, nil
	}
	c.forgetReplaced(list)
	for _, info := range list {
		if _, gone := c.replaced[info.Incarnation()]; gone {
			continue
		}
		w, known := c.workers[info.ID]
		if !known && info.Draining {
			continue // it gets no starts; if a former owner started something there, the roster has it
		}
		if !known {
			w = c.addWorker(info, now)
		}
		if w.info.Incarnation().Differs(info.Incarnation()) {
			c.noteEntry(w, info)
			continue
		}
		if info.Draining && !w.info.Draining {
			c.config.Logger.Info("worker drains", zap.String("worker", string(info.ID)), zap.Duration("remaining", info.Remaining))
		}
		c.rosterChanged = c.rosterChanged || info.Draining != (w.info.Leaves != 0)
		c.takeEntry(w, info, now)
	}
	for _, w := range c.workers {
		if !w.listed && w.missing.IsZero() {
			w.missing = now
		}
	}
}

// forgetReplaced forgets the incarnations proved to be gone that the list names no more.
func (c *Core) forgetReplaced(list []jobs.Worker) {
	if len(c.replaced) == 0 {
		return
	}
	named := make(map[jobs.Incarnation]struct{}, len(list))
	for _, info := range list {
		named[info.Incarnation()] = struct{}{}
	}
	maps.DeleteFunc(c.replaced, func(i jobs.Incarnation, _ struct{}) bool {
		_, ok := named[i]
		return !ok
	})
}

// takeEntry takes what the list says of the worker.
func (c *Core) takeEntry(w *worker, info jobs.Worker, now time.Time) {
	before, born := w.leaves, w.info.Born
	w.info = info
	if born != 0 || w.answered {
		w.info.Born = born // as it says itself in its reports
	}
	w.listed = true
	w.missing, w.leaves = time.Time{}, time.Time{}
	if !info.Draining {
		return
	}
	w.leaves = now.Add(info.Remaining)
	if !before.IsZero() && before.Before(w.leaves) {
		w.leaves = before // the entry is older than what was known, as after an outage of the store
	}
	w.info.Leaves = c.rosterLeaveTime(w, now)
}

// rosterLeaveTime is when a draining worker may leave, as the roster says it; 0: it does not drain.
func (c *Core) rosterLeaveTime(w *worker, now time.Time) models.UnixMilli {
	if w.leaves.IsZero() {
		return 0
	}
	return c.timeOfDayThen(w.leaves, now)
}

// addWorker takes a worker that was not known; it gets tasks once it is enrolled.
func (c *Core) addWorker(info jobs.Worker, now time.Time) *worker {
	c.workersAdded++
	w := &worker{info: info, fence: c.config.Epoch.Fence(c.workersAdded), heard: now, strays: map[jobs.TaskID]stray{}}
	c.workers[info.ID] = w
	c.order = append(c.order, w)
	slices.SortFunc(c.order, func(a, b *worker) int { return strings.Compare(string(a.info.ID), string(b.info.ID)) })
	c.config.Logger.Info("worker joins", zap.String("worker", string(info.ID)), zap.String("address", info.Address),
		zap.Int64("born", int64(info.Born)))
	c.rosterChanged = true
	return w
}

// Workers gives the workers that have to be called.
func (c *Core) Workers() []jobs.Worker {
	list := make([]jobs.Worker, 0, len(c.order))
	for _, w := range c.order {
		list = append(list, w.info)
	}
	return list
}

// Worker gives what is known of the worker that has an id now; it is empty when there is none.
func (c *Core) Worker(id jobs.WorkerID) jobs.Worker {
	if w, ok := c.workers[id]; ok {
		return w.info
	}
	return jobs.Worker{}
}

// A worker on which so many different jobs failed one after the other, with no success
// between them, is left alone for a while: one job in fifty fails by its own fault, so
// three by chance are rare.
const (
	failingJobs  = 3
	failingPause = 3 * time.Second
)

// recordFailure notes that a run of the job failed here.
func (w *worker) recordFailure(j *job, now time.Time) {
	w.failedAt = now
	if !slices.Contains(w.failedJobs, j.spec.ID) {
		w.failedJobs = append(w.failedJobs, j.spec.ID)
	}
}

// isFailing tells whether the worker seems to fail whatever it is given.
func (w *worker) isFailing(now time.Time) bool {
	return len(w.failedJobs) >= failingJobs && now.Sub(w.failedAt) < failingPause
}

// usable tells whether new tasks may start on the worker.
func (c *Core) usable(w *worker, now time.Time) bool {
	stays := w.listed && w.enrolled && !w.info.Draining
	heard := w.renewed && now.Sub(w.heard) < silentAfter // a start alone carries no more than startWithin
	well := !w.isFailing(now) && now.After(w.unwell) && now.After(w.stalledUntil)
	return stays && heard && well && len(w.strays) == 0
}
