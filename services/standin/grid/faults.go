// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// Faults are the faults of one worker and of the calls to it.
type Faults struct {
	// Cut: calls have no effect and get no answer.
	Cut bool
	// Isolated: no connection to the worker is established, and the worker runs on. Pending calls get no answer.
	Isolated bool
	// RefusesConnections: connections to an isolated worker are refused at once. Otherwise they hang until callers give up.
	RefusesConnections bool
	// LateOrders: calls get no answer and take effect after this delay.
	LateOrders time.Duration
	// LoseAnswers: calls take effect and get no answer.
	LoseAnswers bool
	// LateAnswers: calls take effect at once and their answers are delayed by up to this time. The delay
	// differs from call to call, so that answers overtake each other.
	LateAnswers time.Duration
	// RepeatAfter: calls take effect and are answered, and take effect a second time after this delay, possibly
	// after newer calls.
	RepeatAfter time.Duration
	// FailRuns: each run that is started fails soon, some at once. Reports are unaffected.
	FailRuns bool
	// WrongCheckpoints: failed runs report the latest checkpoint of another task with their end.
	WrongCheckpoints bool
	// Stalled: runs make no progress. Reports are unaffected.
	Stalled bool
}

// SetFaults replaces the faults of the worker in a place.
func (g *Grid) SetFaults(place int, faults Faults) {
	g.ChangeFaults(place, func(f *Faults) { *f = faults })
}

// ChangeFaults changes some faults of the worker in a place.
func (g *Grid) ChangeFaults(place int, change func(faults *Faults)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.incarnationAt(place)
	before := w.faults
	change(&w.faults)
	if w.faults != before {
		g.audit.noteFault()
	}
	for _, r := range w.runs {
		if r.stalled != w.faults.Stalled {
			r.updateRemaining(time.Now())
			r.stalled = w.faults.Stalled
			g.scheduleEnd(w, r)
		}
	}
}

// SetListed sets whether the list contains the worker in a place.
func (g *Grid) SetListed(place int, listed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnationAt(place).gone {
		return
	}
	if g.unlisted[g.idsByPlace[place]] == listed {
		g.audit.noteFault()
	}
	g.unlisted[g.idsByPlace[place]] = !listed
	g.noteChange(g.idsByPlace[place])
}

// Drain marks the worker in a place as draining, to leave after the remaining time.
func (g *Grid) Drain(place int, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining[g.idsByPlace[place]] = time.Now().Add(remaining)
	g.audit.noteFault()
	g.noteChange(g.idsByPlace[place])
}

// StopDraining marks the worker in a place as no longer draining.
func (g *Grid) StopDraining(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, drains := g.draining[g.idsByPlace[place]]; drains {
		g.audit.noteFault()
	}
	delete(g.draining, g.idsByPlace[place])
	g.noteChange(g.idsByPlace[place])
}

// Isolate cuts the worker in a place off from everything: it runs on, no connection to it is established, and its list
// entry goes after staleEntryLifetime. SetFaults and SetListed put an end to that.
func (g *Grid) Isolate(place int, refusesConnections bool) {
	g.ChangeFaults(place, func(f *Faults) { f.Isolated, f.RefusesConnections = true, refusesConnections })
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.incarnationAt(place)
	time.AfterFunc(staleEntryLifetime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.workers[w.info.ID].faults.Isolated {
			g.unlisted[w.info.ID] = true
			g.noteChange(w.info.ID)
		}
	})
}

// Crash ends the worker in a place with all its runs and starts another incarnation at its address at once.
func (g *Grid) Crash(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restart(place)
}

// restart ends the worker in a place and starts the next incarnation, unless the worker is gone for good.
func (g *Grid) restart(place int) (ended, next *incarnation) {
	ended = g.incarnationAt(place)
	if ended.gone {
		return ended, ended
	}
	g.endIncarnation(ended)
	g.replace(ended)
	return ended, g.incarnationAt(place)
}

// CrashKeepingFaults does the same as Crash, and the next incarnation keeps the worker's faults.
func (g *Grid) CrashKeepingFaults(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended, next := g.restart(place)
	next.faults = ended.faults
}

// CrashSilently does the same as Crash, but like a power loss: pending calls hang instead of breaking.
func (g *Grid) CrashSilently(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended, _ := g.restart(place)
	ended.crashedSilently = true
}

// CrashWithDowntime ends the worker in a place with all its runs. Its address refuses connections for Config.RestartDelay, and
// its list entry outlives it.
func (g *Grid) CrashWithDowntime(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.incarnationAt(place); w.up {
		g.takeDown(w)
	}
}

// CrashForGood ends the worker in a place with all its runs and starts no other, like a VM that is gone without notice:
// calls to the worker hang, and its list entry outlives it. Later faults of the place have no effect.
func (g *Grid) CrashForGood(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.incarnationAt(place)
	if w.gone {
		return
	}
	w.gone, w.crashedSilently, w.faults = true, true, Faults{}
	g.endIncarnation(w)
	time.AfterFunc(staleEntryLifetime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.unlisted[w.info.ID] = true
		g.noteChange(w.info.ID)
	})
}

// endIncarnation ends a worker with all its runs.
func (g *Grid) endIncarnation(w *incarnation) {
	w.up = false
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		g.audit.lostWith[r.task] = w
		g.audit.runEnded(w, r.task, jobs.EndLapsed)
	}
	w.runs = map[jobs.TaskID]*run{}
	g.audit.noteLostEnds(w)
	g.audit.noteLapse(w)
	g.noteLossOrRestart(w)
	close(w.changed)
	w.changed = make(chan struct{})
}

// noteLossOrRestart notes that a worker is lost or its successor starts, which is a fault unless a task has crashed it and
// Config.CrashRule excepts that.
func (g *Grid) noteLossOrRestart(w *incarnation) {
	if !w.crashedByTask || g.config.CrashRule == CrashesAreFaults {
		g.audit.noteFault()
	}
}

// replace starts another incarnation at the address of a worker that has ended.
func (g *Grid) replace(w *incarnation) {
	g.idsByPlace[w.place] = g.boot(w.place)
	g.noteLossOrRestart(w)
	g.noteChange(w.info.ID)
	g.noteChange(g.idsByPlace[w.place])
}

// staleEntryLifetime is how long the entry of a crashed worker stays in the list: three of its heartbeats, as on
// the users' platform.
const staleEntryLifetime = 4400 * time.Millisecond

// takeDown ends a worker and starts the next incarnation after Config.RestartDelay.
func (g *Grid) takeDown(w *incarnation) {
	g.endIncarnation(w)
	time.AfterFunc(g.config.RestartDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.incarnationAt(w.place) == w {
			g.replace(w)
		}
	})
	if g.config.Naming == SameID {
		return // the next incarnation overwrites the entry
	}
	g.staleEntries[w.info.ID] = true
	time.AfterFunc(staleEntryLifetime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.staleEntries, w.info.ID)
		g.noteChange(w.info.ID)
	})
}

// scheduleCrash schedules the crash of the worker that Config.Crash asks for. If the crash is due at the start of the
// run, scheduleCrash takes the worker down and returns true.
func (g *Grid) scheduleCrash(w *incarnation, r *run) (atOnce bool) {
	if g.config.Crash == nil {
		return false
	}
	after, crashes := g.config.Crash(r.task, r.id)
	if !crashes {
		return false
	}
	if after == 0 {
		g.audit.workerCrashed(r.task)
		w.crashedByTask = true
		g.takeDown(w)
		return true
	}
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if w.up && w.runs[r.task] == r {
			g.audit.workerCrashed(r.task)
			w.crashedByTask = true
			g.takeDown(w)
		}
	})
	return false
}

// maxFailDelay bounds how much later than minFailDelay a run fails on a worker with FailRuns.
const maxFailDelay = 400 * time.Millisecond

// minFailDelay is the least time until such a failure: with Go 1.26, a timer of duration 0 ends the process of a
// test that runs in a synctest bubble with the race detector.
const minFailDelay = time.Millisecond

// scheduleFailure schedules the failure of a run whose worker has FailRuns; about every other run fails after the
// least delay.
func (g *Grid) scheduleFailure(w *incarnation, r *run) {
	if !w.faults.FailRuns {
		return
	}
	after := minFailDelay
	if draw := xxhash.Sum64String(fmt.Sprint(r.task, "/", r.id)); draw%2 == 1 {
		after += time.Duration(draw>>1) % maxFailDelay
	}
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if w.up && w.runs[r.task] == r && !r.stopping {
			g.endRun(w, r, jobs.EndFailed)
		}
	})
}

// absenceError returns the error of a call to an incarnation that does not exist or has ended: the connection is
// refused while the place is down, otherwise the call reaches another incarnation.
func (g *Grid) absenceError(w *incarnation) error {
	if w != nil && g.incarnationAt(w.place) == w {
		return refusedConnectionError()
	}
	return platform.ErrIncarnationMismatch
}

// refusedConnectionError returns the error of a call whose connection is refused.
func refusedConnectionError() error {
	return errors.Mark(errors.Mark(errors.New("connection is refused"), platform.ErrUnreachable), platform.ErrConnectionRefused)
}

// dialTimeout is how long callers wait for a connection to an isolated worker.
const dialTimeout = 300 * time.Millisecond

// connectToIsolated returns the error of a call to an isolated worker.
func connectToIsolated(ctx context.Context, refused bool) error {
	if refused {
		return refusedConnectionError()
	}
	if !sleep(ctx, dialTimeout) {
		return platform.ErrUnknownOutcome
	}
	return platform.ErrUnreachable
}

// callWorker finds the worker that a call is addressed to and applies its faults, which decide whether perform is
// carried out now, later, twice or never, and whether the answer arrives.
func (g *Grid) callWorker(ctx context.Context, worker jobs.Worker, perform operation) (answer, error) {
	g.mu.Lock()
	w := g.workers[worker.ID]
	if w != nil && w.gone {
		g.mu.Unlock()
		<-ctx.Done()
		return answer{}, platform.ErrUnknownOutcome
	}
	if w == nil || !w.up {
		defer g.mu.Unlock()
		return answer{}, g.absenceError(w)
	}
	if worker.Incarnation().Differs(w.info.Incarnation()) {
		defer g.mu.Unlock()
		return answer{}, &platform.IncarnationMismatchError{StartTime: w.info.Born}
	}
	faults := w.faults
	if faults.Isolated {
		g.mu.Unlock()
		return answer{}, connectToIsolated(ctx, faults.RefusesConnections)
	}
	g.performLater(w, faults.LateOrders, perform, deliverToSuccessor)
	if faults.Cut || faults.LateOrders > 0 {
		g.mu.Unlock()
		<-ctx.Done()
		return answer{}, platform.ErrUnknownOutcome
	}
	g.performLater(w, faults.RepeatAfter, perform, dropWithIncarnation)
	var a answer
	err := perform(w, &a)
	late := g.answerDelay(faults)
	g.mu.Unlock()
	if faults.LoseAnswers {
		<-ctx.Done()
		return answer{}, platform.ErrUnknownOutcome
	}
	if !sleep(ctx, late) {
		return answer{}, platform.ErrUnknownOutcome
	}
	return a, err
}

// What happens to a delayed call whose worker has ended by then: the next incarnation with the same id carries it
// out, which is possible for a call that was not answered, or it is dropped.
const (
	deliverToSuccessor  = true
	dropWithIncarnation = false
)

// performLater carries out a call after some time, or never if after is 0. Its result is discarded.
func (g *Grid) performLater(w *incarnation, after time.Duration, perform operation, toSuccessor bool) {
	if after == 0 {
		return
	}
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.audit.noteFault()
		if current := g.workers[w.info.ID]; current.up && (toSuccessor || current == w) {
			_ = perform(current, &answer{})
		}
	})
}

// delaySteps is the number of different delays of answers. The delay advances by delayStride steps with each call,
// so that an answer may arrive after those of several later calls.
const (
	delaySteps  = 7
	delayStride = 4
)

// answerDelay returns the delay of the next call's answer.
func (g *Grid) answerDelay(faults Faults) time.Duration {
	g.calls++
	return faults.LateAnswers * time.Duration(g.calls*delayStride%delaySteps) / (delaySteps - 1)
}

// sleep waits for some time; it returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
