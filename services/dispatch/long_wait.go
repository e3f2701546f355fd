// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Work that waits although there is room leaves no line when it is started at last, or when its owner is lost. So the log
// and the state dump sum up, once a second, what has waited for long and why, and how much room the usable workers have.

const (
	// longWait is how long a task waits before it is summed up: as long as callers allow a job to have nothing running.
	longWait = 3 * time.Second
	// longWaitInterval is the time between two summaries.
	longWaitInterval = time.Second
)

// waitReason is why a task that could run waits.
type waitReason string

const (
	waitRecovery      waitReason = "recovery"       // a previous owner may have started it on a worker that has not answered
	waitUnstored      waitReason = "unstored"       // losses are not stored yet
	waitContested     waitReason = "contested"      // a suspect: other tasks may have caused its losses
	waitNoTrialWorker waitReason = "no_trial"       // a suspect: no worker with room takes it on trial
	waitShortWork     waitReason = "short_work"     // it leaves capacity to short work
	waitInterference  waitReason = "interference"   // a filler task: it would push serving tasks over their targets, or no CPU is unused
	waitNoRoom        waitReason = "no_room"        // no worker that stays has room for it
	waitWorkersClosed waitReason = "workers_closed" // each worker with room is kept for suspects or not usable now
	waitOther         waitReason = "other"          // starts are held back, or it is to start on a certain worker
	waitUnconfirmed   waitReason = "unconfirmed"    // its start has no answer, and it may not start elsewhere yet
	waitSilentWorker  waitReason = "silent_worker"  // it may run on a worker that does not answer
)

// LongWaits sums up the tasks that have waited for longer than longWait, as far as this owner knows.
type LongWaits struct {
	Tasks   map[waitReason]int `json:"tasks"`
	Longest models.Milli       `json:"longest_ms"`
	Task    string             `json:"task"`     // that has waited longest
	Reason  waitReason         `json:"reason"`   // why that one waits
	Size    models.MilliCPU    `json:"size"`     // that it needs, in thousandths of a core
	Fitting int                `json:"fitting"`  // usable workers with room for it
	Starts  int64              `json:"starts"`   // ordered since the previous summary, of all tasks
	Usable  int                `json:"usable"`   // workers
	FreeCPU models.MilliCPU    `json:"free_cpu"` // on usable workers, in thousandths of a core
	// Closed counts the workers on which no task without losses may start now, by reason, and ClosedCPU is the free
	// capacity on these, in thousandths of a core.
	Closed    map[closedReason]int             `json:"closed"`
	ClosedCPU map[closedReason]models.MilliCPU `json:"closed_cpu"`

	IdleJobs       int          `json:"idle_jobs"`      // with a task that could run, and nothing running for longWait
	LongestIdleJob models.Milli `json:"idle_job_ms"`    // for how long nothing of the longest of these has run
	UnseenJobs     int          `json:"unseen_jobs"`    // see step.isHardlySeen
	LongestUnseen  models.Milli `json:"unseen_for_ms"`  // for how long nothing of the longest of these has run long enough to be seen
	UnseenJob      jobs.ID      `json:"unseen_job"`     // the longest of these
	Fillers        int          `json:"fillers"`        // filler tasks on workers
	HaltedFillers  int          `json:"halted_fillers"` // of these, those at pace 0
	UsedCPU        float64      `json:"used_cpu"`       // share of the CPU of workers that stay that other than filler tasks declare
	UsedMemory     float64      `json:"used_memory"`    // share of their memory that all tasks declare
	LimitReached   int64        `json:"limit_reached"`  // decisions since the previous summary that ordered all the starts that they might

	step *step     // of Task
	full fullSizes // sizes without room, found so far
}

// sumUpLongWaits updates the summary of what waits for long, and logs it, at most each longWaitInterval.
func (c *Core) sumUpLongWaits(now time.Time) {
	if now.Sub(c.longWaitsAt) < longWaitInterval {
		return
	}
	c.longWaitsAt = now
	c.longWaits = c.findLongWaits(now)
	c.longWaitsStarts, c.longWaitsLimited = c.counts.Starts, c.counts.LimitReached
	if waits := c.longWaits; waits != nil {
		c.config.Logger.Info("tasks wait for long", zap.Any("tasks", waits.Tasks), zap.Duration("longest", waits.Longest.Duration()),
			zap.String("task", waits.Task), zap.String("reason", string(waits.Reason)), zap.Int64("size", int64(waits.Size)),
			zap.Int("fitting", waits.Fitting), zap.Int64("starts", waits.Starts), zap.Int("usable", waits.Usable), zap.Int64("free_cpu", int64(waits.FreeCPU)),
			zap.Any("closed", waits.Closed), zap.Any("closed_cpu", waits.ClosedCPU),
			zap.Int("idle_jobs", waits.IdleJobs), zap.Duration("idle_job", waits.LongestIdleJob.Duration()),
			zap.Int("unseen_jobs", waits.UnseenJobs), zap.Duration("unseen_for", waits.LongestUnseen.Duration()), zap.String("unseen_job", string(waits.UnseenJob)),
			zap.Int("fillers", waits.Fillers), zap.Int("halted_fillers", waits.HaltedFillers), zap.Float64("used_cpu", waits.UsedCPU),
			zap.Float64("used_memory", waits.UsedMemory), zap.Int64("limit_reached", waits.LimitReached))
	}
}

// findLongWaits returns the summary of what waits for long; nil: nothing.
func (c *Core) findLongWaits(now time.Time) *LongWaits {
	waits := &LongWaits{full: fullSizes{}, Tasks: map[waitReason]int{}, Closed: map[closedReason]int{}, ClosedCPU: map[closedReason]models.MilliCPU{}}
	idle, unseen := map[*job]time.Duration{}, map[*job]time.Duration{}
	for _, s := range c.stepsWithIdleTasks() {
		c.addLongWaits(waits, s, now)
		if waited := s.idleTime(now); waited >= longWait {
			idle[s.job] = max(idle[s.job], waited)
		}
		if s.isHardlySeen(now) {
			unseen[s.job] = s.unseenTime(now)
		}
	}
	for _, w := range c.sortedWorkers {
		waits.addUncertainRuns(w, now)
	}
	if len(waits.Tasks) == 0 {
		return nil
	}
	waits.addIdleJobs(idle)
	waits.addUnseenJobs(unseen)
	waits.Starts, waits.LimitReached = c.counts.Starts-c.longWaitsStarts, c.counts.LimitReached-c.longWaitsLimited
	c.addUse(waits, now)
	for _, w := range c.sortedWorkers {
		waits.addWorker(w, c.usable(w, now), c.closedReason(w, now))
		if c.mayTakeSuspect(w, waits.step, now) {
			waits.Fitting++
		}
	}
	return waits
}

// addIdleJobs adds the jobs of which nothing has run for long.
func (l *LongWaits) addIdleJobs(idle map[*job]time.Duration) {
	l.IdleJobs = len(idle)
	_, l.LongestIdleJob = longestOf(idle)
}

// addUnseenJobs adds the jobs that callers have hardly seen running for long.
func (l *LongWaits) addUnseenJobs(unseen map[*job]time.Duration) {
	l.UnseenJobs = len(unseen)
	l.UnseenJob, l.LongestUnseen = longestOf(unseen)
}

// longestOf returns the job that has waited longest, and for how long.
func longestOf(waits map[*job]time.Duration) (id jobs.ID, longest models.Milli) {
	for j, waited := range waits {
		if ms := models.MilliOf(waited); ms > longest {
			id, longest = j.spec.ID, ms
		}
	}
	return id, longest
}

// addUse adds the use of the workers that stay, and the filler tasks on workers.
func (c *Core) addUse(l *LongWaits, now time.Time) {
	var use jobs.Use
	for _, ofPool := range c.use(now) {
		use = use.Add(ofPool)
	}
	l.UsedCPU = float64(use.Used.CPU) / float64(max(1, use.Present.CPU))
	l.UsedMemory = float64(use.Used.Memory) / float64(max(1, use.Present.Memory))
	for _, w := range c.sortedWorkers {
		for _, t := range w.tasks {
			if !t.step.spec.Filler {
				continue
			}
			l.Fillers++
			if t.pace == 0 {
				l.HaltedFillers++
			}
		}
	}
}

// addLongWaits adds the tasks of a step that wait for long.
func (c *Core) addLongWaits(waits *LongWaits, s *step, now time.Time) {
	var hasRoom, roomKnown bool // of all tasks of the step
	for i := range s.tasks {
		t := &s.tasks[i]
		waited := now.Sub(latest(t.idleSince, s.openedAt))
		if t.state != taskWaiting && t.state != taskUnknown || waited < longWait {
			continue
		}
		if !roomKnown {
			hasRoom, roomKnown = c.hasRoomBeside(waits.full, s), true
		}
		waits.add(t, c.waitReasonOf(t, hasRoom, now), waited)
	}
}

// addUncertainRuns adds the tasks on a worker that may not run: their starts have no answer, or the worker has not answered
// for long.
func (l *LongWaits) addUncertainRuns(w *worker, now time.Time) {
	for _, t := range w.tasks {
		waited, reason := now.Sub(w.reportedAt), waitSilentWorker
		if !t.confirmed && now.Sub(t.startedAt) >= longWaitInterval {
			waited, reason = now.Sub(latest(t.idleSince, t.step.openedAt)), waitUnconfirmed
		}
		if waited >= longWait {
			l.add(t, reason, waited)
		}
	}
}

// addWorker adds the room on a worker.
func (l *LongWaits) addWorker(w *worker, usable bool, closed closedReason) {
	free := w.free().CPU
	if usable {
		l.Usable++
		l.FreeCPU += free
	}
	if closed != "" {
		l.Closed[closed]++
		l.ClosedCPU[closed] += free
	}
}

func (l *LongWaits) add(t *task, reason waitReason, waited time.Duration) {
	l.Tasks[reason]++
	if ms := models.MilliOf(waited); ms > l.Longest {
		l.Longest, l.Task, l.Reason, l.Size, l.step = ms, t.id().String(), reason, t.step.spec.Size.CPU, t.step
	}
}

// stepsWithIdleTasks returns the opened steps that may have tasks that do not run.
func (c *Core) stepsWithIdleTasks() []*step {
	var steps []*step
	for _, s := range c.waitingSteps {
		if s.mayHaveIdleTasks() {
			steps = append(steps, s)
		}
	}
	if !c.recovering {
		return steps
	}
	for _, j := range c.jobs {
		for s := range j.heldSteps() {
			if !s.inWaitingSteps && s.opened && s.mayHaveIdleTasks() {
				steps = append(steps, s)
			}
		}
	}
	return steps
}

func (s *step) mayHaveIdleTasks() bool {
	return s.done < len(s.tasks) && s.job.end == "" && !s.job.cancelled
}

// waitReasonOf returns why a task does not run.
func (c *Core) waitReasonOf(t *task, hasRoom bool, now time.Time) waitReason {
	switch {
	case t.state == taskUnknown:
		return waitRecovery
	case c.awaitingProof:
		return waitOther
	case !t.lossesAreStored() || c.takeovers.blocksStarts(t.step.job):
		return waitUnstored
	case !hasRoom && t.step.spec.Filler:
		return waitInterference
	case !hasRoom:
		return waitNoRoom
	case t.suspected() && t.trialWait.contested:
		return waitContested
	case t.suspected() && !t.trialWait.noWorkerSince.IsZero():
		return waitNoTrialWorker
	case now.Sub(t.leftCapacityAt) < capacityLeftFor:
		return waitShortWork
	case !t.step.stuckSince.IsZero():
		return waitWorkersClosed
	default:
		return waitOther
	}
}
