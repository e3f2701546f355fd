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

// silentAfter is how long after its last report a worker gets no new tasks: slightly longer than the longest
// wait of a report plus its transmission.
const silentAfter = 2500 * time.Millisecond

// worker is one incarnation of a worker of the cell.
type worker struct {
	info                      jobs.Worker
	fence                     jobs.Fence // sent with all calls to this incarnation
	listed                    bool       // the platform's list names it
	cordoned                  bool       // its failure domain is cordoned
	inRoster                  bool       // a roster that names it has been stored since it was last left out, so that it may get starts
	inStoredRoster            bool       // the latest roster that is known to be stored names it, or an earlier incarnation of it
	inPendingRoster           bool       // the same of the latest roster that was to be stored
	youngRunsStored           bool       // its young runs are stored, because its address refuses connections
	inPreviousRoster          bool       // the roster of a previous owner named it
	retired                   bool       // left out of the roster, because it was silent until its lease was over
	missingSince              time.Time  // since when the platform's list does not name it; zero: the list does, or has not been read yet
	leavesAt                  time.Time  // when a draining worker may leave; zero: it does not drain
	tasks                     []*task
	used                      models.Resources // declared by its tasks; of filler tasks the memory only
	longRunningCPU            models.MilliCPU  // declared by its long-running tasks
	fillerCPU                 models.MilliCPU  // declared by its filler tasks
	standbyCPU                models.MilliCPU  // of this, declared by those on standby
	answered                  bool             // has reported in this epoch
	fenceSent                 bool             // a call with its fence has asked for a report
	everAnswered              bool             // an incarnation of it has answered this owner, or the roster of a previous owner named it
	reportedAt                time.Time        // when the last report was received
	reportAskedAt             time.Time        // when the call that the last report answers was sent
	firstCalledAt             time.Time        // when it was first called by this owner; zero: not yet
	overdue                   bool             // the latest call that asked for a report was not answered
	unansweredSince           time.Time        // when the first call since the last report was found to be unanswered; zero: none
	connectionRefused         bool             // the worker's address refused that call's connection
	reportClock               models.Milli     // the worker's clock in the last report
	otherEntry                *jobs.Worker     // the list's entry for another incarnation with this id; nil: none
	reportUrgent              bool             // its next report is to be requested without wait
	reportUrgentFor           models.UnixMilli // start time of the incarnation whose list entry last requested an immediate report
	incarnationSince          time.Time        // another incarnation that answers a call sent before this is an earlier one
	unreadableStartTimeLogged bool             // it was logged that its reported start time is not valid
	reportDiscarded           bool             // the latest report was discarded
	leaseEnd                  models.Milli     // the latest lease end that was sent, on the worker's clock
	renewing                  bool             // the latest call that asked for a report renews the lease
	renewed                   bool             // the latest report answers a call that renewed the lease
	noStartsUntil             time.Time        // no tasks are started until then
	avoidUntil                time.Time        // placed last until then
	startOverdueAt            time.Time        // when a start was last seen to have had no answer for long
	ends                      []unacknowledgedEnd
	endsHidden                bool   // the latest report may not list all ended runs
	endsKnown                 bool   // a report in this epoch has listed all ended runs
	lastEnd                   uint64 // highest end number applied
	acked                     uint64 // highest end number that the worker may forget

	strays      map[jobs.TaskID]stray // runs that should not be on the worker
	reportCount uint64                // reports applied so far

	speed            speed     // of its tasks, relative to the usual speed of their queues
	stalledUntil     time.Time // no new tasks until then, because the worker has stalled
	failedAt         time.Time // when a run last failed here
	failedJobs       []jobs.ID // distinct jobs of which a run failed here since the last success
	throttledAt      time.Time // when a pace was last changed or a task moved away
	maxLoad          float64   // the highest load of a serving task in the last report
	maxExcess        float64   // the largest amount by which a load in the last report exceeds its target load; negative: none does
	averageExcess    float64   // the same for the moving averages of the loads
	overTargetSince  time.Time // since when a tail latency is over its target; zero: none is
	fillersChangedAt time.Time // when its filler tasks or their paces last changed
	standbyFrom      time.Time // when the first of the latest starts on standby was ordered here
	claimedAt        time.Time // when a task on standby elsewhere was last stopped to go on here
	loadsIgnoredAt   time.Time // when a filler task that the loads did not allow was last placed here
	trials           int       // suspects on trial here; nothing else starts meanwhile
	trialsSince      time.Time // when the first of these trials began
	reservedUntil    time.Time // reserved until then for the task in the next field
	reservedFor      *task     // a waiting suspect

	loadExpectations []servingTask // cached by Core.expectedLoads
	expectedValid    bool
	expectedAt       time.Time
	changedAs        int // the number of the latest change of its tasks, figures or paces
}

// recordUnanswered records that a call which asks for a report was not answered. refused says that the worker's
// address refused the connection, so that the worker had ended by then.
func (w *worker) recordUnanswered(refused bool, now time.Time) {
	if w.unansweredSince.IsZero() {
		w.unansweredSince, w.connectionRefused = now, refused
	}
}

// lastAlive returns the latest time at which the worker may have been alive: it ended no later than when the
// first call was found to be unanswered.
func (w *worker) lastAlive(now time.Time) time.Time {
	if w.unansweredSince.IsZero() {
		return now
	}
	return w.unansweredSince
}

// SetWorkers takes the platform's list of workers. Workers that the list does not name are kept until they are
// proved to run nothing.
func (c *Core) SetWorkers(list []jobs.Worker, now time.Time) {
	c.listRead, c.unknownDraining = true, jobs.UseOfPools{}
	for _, w := range c.workers {
		w.listed, w.otherEntry = false, nil
	}
	c.forgetReplaced(list)
	for _, info := range list {
		if _, ended := c.replaced[info.Incarnation()]; ended {
			continue
		}
		w, known := c.workers[info.ID]
		if !known && info.Draining { // gets no starts; if a previous owner started tasks there, the roster names it
			c.unknownDraining.Add(jobs.UseOfPools{info.Pool: {Present: info.Capacity}})
			continue
		}
		if !known {
			w = c.addWorker(info, now) // the roster names it once it has answered
		}
		if w.info.Incarnation().Differs(info.Incarnation()) {
			c.recordListEntry(w, info)
			continue
		}
		if info.Draining && !w.info.Draining {
			c.config.Logger.Info("worker drains", zap.String("worker", string(info.ID)), zap.Duration("remaining", info.Remaining))
		}
		c.rosterChanged = c.rosterChanged || info.Draining != (w.info.LeavesAt != 0)
		c.applyListEntry(w, info, now)
	}
	for _, w := range c.workers {
		if !w.listed && w.missingSince.IsZero() {
			w.missingSince = now
		}
	}
}

// forgetReplaced forgets ended incarnations that the list no longer names.
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

// applyListEntry applies the list's entry for the worker.
func (c *Core) applyListEntry(w *worker, info jobs.Worker, now time.Time) {
	before, born := w.leavesAt, w.info.Born
	w.info = info
	if born != 0 || w.answered {
		w.info.Born = born // the worker's own reports take precedence
	}
	w.listed = true
	c.markCordoned(w)
	w.missingSince, w.leavesAt = time.Time{}, time.Time{}
	if !info.Draining {
		return
	}
	w.leavesAt = now.Add(info.Remaining)
	if !before.IsZero() && before.Before(w.leavesAt) {
		w.leavesAt = before // the entry is older than what is known, for example after an outage of the store
	}
	w.info.LeavesAt = c.rosterLeaveTime(w, now)
}

// rosterLeaveTime returns the time of day at which a draining worker may leave, as stored in the roster; 0 if
// the worker does not drain.
func (c *Core) rosterLeaveTime(w *worker, now time.Time) models.UnixMilli {
	if w.leavesAt.IsZero() {
		return 0
	}
	return c.timeOfDayThen(w.leavesAt, now)
}

// isInRosters reports whether a roster that is taken now names the worker. One that has answered no owner yet may get no
// starts, so that a successor need not wait for it.
func (w *worker) isInRosters() bool { return w.everAnswered && !w.retired }

// recordFirstAnswer lets the roster name a worker that has answered an owner for the first time.
func (c *Core) recordFirstAnswer(w *worker) {
	if !w.everAnswered {
		w.everAnswered, c.rosterChanged = true, true
	}
}

// addWorker adds a worker that was not known. It gets tasks once the stored roster names it.
func (c *Core) addWorker(info jobs.Worker, now time.Time) *worker {
	c.workersAdded++
	w := &worker{info: info, fence: c.config.Epoch.Fence(c.workersAdded), reportedAt: now, strays: map[jobs.TaskID]stray{}}
	c.markCordoned(w)
	c.workers[info.ID] = w
	c.sortedWorkers = append(c.sortedWorkers, w)
	slices.SortFunc(c.sortedWorkers, func(a, b *worker) int { return strings.Compare(string(a.info.ID), string(b.info.ID)) })
	c.config.Logger.Info("worker joins", zap.String("worker", string(info.ID)), zap.String("address", info.Address),
		zap.Int64("born", int64(info.Born)))
	return w
}

// Workers returns the workers to be called.
func (c *Core) Workers() []jobs.Worker {
	list := make([]jobs.Worker, 0, len(c.sortedWorkers))
	for _, w := range c.sortedWorkers {
		list = append(list, w.info)
	}
	return list
}

// Worker returns the worker that has the id now, or an empty one when there is none.
func (c *Core) Worker(id jobs.WorkerID) jobs.Worker {
	if w, ok := c.workers[id]; ok {
		return w.info
	}
	return jobs.Worker{}
}

// A worker gets no tasks for failingPause when failingJobs different jobs failed there in a row without a success in
// between. One job in fifty fails by its own fault, so three such failures in a row by chance are rare.
const (
	failingJobs  = 3
	failingPause = 3 * time.Second
)

// recordFailure records that a run of the job failed on the worker.
func (w *worker) recordFailure(j *job, now time.Time) {
	w.failedAt = now
	if !slices.Contains(w.failedJobs, j.spec.ID) {
		w.failedJobs = append(w.failedJobs, j.spec.ID)
	}
}

// isFailing reports whether the worker appears to fail every task that it is given.
func (w *worker) isFailing(now time.Time) bool {
	return len(w.failedJobs) >= failingJobs && now.Sub(w.failedAt) < failingPause
}
