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

// Faults are what goes wrong with the calls to one worker.
type Faults struct {
	// Cut: calls have neither effect nor answer.
	Cut bool
	// Late: orders have no answer and are carried out so much later.
	Late time.Duration
	// LoseAnswers: calls take effect and have no answer.
	LoseAnswers bool
	// LateAnswers: calls take effect at once, and their answers come up to so much later, each
	// after another time: they pass each other.
	LateAnswers time.Duration
	// Again: calls take effect and are answered, and take effect once more so much later, after
	// newer ones.
	Again time.Duration
	// FailsAll: each run that is started fails soon, some of them at once. Reports are as usual.
	FailsAll bool
	// WrongTexts: ends of runs that fail show the latest checkpoint of another task.
	WrongTexts bool
	// Stalled: runs make no progress. Reports are as usual.
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
	change(&w.faults)
	for _, r := range w.runs {
		if r.stalled != w.faults.Stalled {
			r.updateRemaining(time.Now())
			r.stalled = w.faults.Stalled
			g.scheduleEnd(w, r)
		}
	}
}

// SetListed lets the worker in a place be in the list, or missing there.
func (g *Grid) SetListed(place int, listed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlisted[g.slots[place]] = !listed
	g.noteChange(g.slots[place])
}

// Drain lets the worker in a place say that it leaves after some time.
func (g *Grid) Drain(place int, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining[g.slots[place]] = time.Now().Add(remaining)
	g.noteChange(g.slots[place])
}

// StopDraining lets the worker in a place say that it stays.
func (g *Grid) StopDraining(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.draining, g.slots[place])
	g.noteChange(g.slots[place])
}

// Crash ends the worker in a place with all that runs there; another incarnation comes
// up at its address.
func (g *Grid) Crash(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restart(place)
}

// restart ends the worker in a place and brings up the next incarnation.
func (g *Grid) restart(place int) (ended, next *incarnation) {
	ended = g.incarnationAt(place)
	g.endIncarnation(ended)
	g.replace(ended)
	return ended, g.incarnationAt(place)
}

// CrashBehind does the same, and what goes wrong with the calls to the worker goes on.
func (g *Grid) CrashBehind(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended, next := g.restart(place)
	next.faults = ended.faults
}

// CrashSilently does the same as Crash, as a loss of power would: calls under way hang.
func (g *Grid) CrashSilently(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended, _ := g.restart(place)
	ended.crashedSilently = true
}

// CrashFor ends the worker in a place with all that runs there. Nobody listens at its address
// for Config.Down, and its entry stays in the list for a while.
func (g *Grid) CrashFor(place int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.incarnationAt(place); w.up {
		g.takeDown(w)
	}
}

// endIncarnation ends a worker with all that runs there.
func (g *Grid) endIncarnation(w *incarnation) {
	w.up = false
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		g.audit.runEnded(w, r.task, jobs.EndLapsed)
	}
	w.runs = map[jobs.TaskID]*run{}
	close(w.changed)
	w.changed = make(chan struct{})
}

// replace brings up another incarnation at the address of a worker that has ended.
func (g *Grid) replace(w *incarnation) {
	g.slots[w.place] = g.boot(w.place)
	g.noteChange(w.info.ID)
	g.noteChange(g.slots[w.place])
}

// staleEntryLifetime is how long the entry of a crashed worker stays in the list: three of its
// heartbeats, as on the users' platform.
const staleEntryLifetime = 4400 * time.Millisecond

// takeDown ends a worker for some time.
func (g *Grid) takeDown(w *incarnation) {
	g.endIncarnation(w)
	time.AfterFunc(g.config.Down, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.incarnationAt(w.place) == w {
			g.replace(w)
		}
	})
	if g.config.Naming == SameID {
		return // the next incarnation writes the entry
	}
	g.staleEntries[w.info.ID] = true
	time.AfterFunc(staleEntryLifetime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.staleEntries, w.info.ID)
		g.noteChange(w.info.ID)
	})
}

// scheduleCrash lets a run end its worker when its time has come, and tells whether it is to do so
// at once.
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
		g.takeDown(w)
		return true
	}
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if w.up && w.runs[r.task] == r {
			g.audit.workerCrashed(r.task)
			g.takeDown(w)
		}
	})
	return false
}

// maxFailDelay bounds how long a run goes on that fails only because of its worker.
const maxFailDelay = 400 * time.Millisecond

// minFailDelay is how long it takes at least: a timer of no time ends the process of a test that
// runs in a bubble with the race detector (Go 1.26).
const minFailDelay = time.Millisecond

// scheduleFailure lets a run fail soon whose worker fails all; every other one fails at once.
func (g *Grid) scheduleFailure(w *incarnation, r *run) {
	if !w.faults.FailsAll {
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

// absenceError is why a worker that is not there doesn't answer.
func (g *Grid) absenceError(w *incarnation) error {
	if w != nil && g.incarnationAt(w.place) == w {
		return errors.Mark(errors.Mark(errors.New("connection is refused"), platform.ErrUnreached), platform.ErrNobodyListens)
	}
	return platform.ErrIncarnation
}

// callWorker finds the worker that a call is meant for and applies its faults. The order is
// carried out by perform, now or later, or twice.
func (g *Grid) callWorker(ctx context.Context, worker jobs.Worker, perform operation) (answer, error) {
	g.mu.Lock()
	w := g.workers[worker.ID]
	if w == nil || !w.up {
		defer g.mu.Unlock()
		return answer{}, g.absenceError(w)
	}
	if worker.Incarnation().Differs(w.info.Incarnation()) {
		defer g.mu.Unlock()
		return answer{}, &platform.IncarnationError{Born: w.info.Born}
	}
	faults := w.faults
	g.performLater(w, faults.Late, perform, deliverToSuccessor)
	if faults.Cut || faults.Late > 0 {
		g.mu.Unlock()
		<-ctx.Done()
		return answer{}, platform.ErrUnknown
	}
	g.performLater(w, faults.Again, perform, dropWithIncarnation)
	var a answer
	err := perform(w, &a)
	late := g.answerDelay(faults)
	g.mu.Unlock()
	if faults.LoseAnswers {
		<-ctx.Done()
		return answer{}, platform.ErrUnknown
	}
	if !sleep(ctx, late) {
		return answer{}, platform.ErrUnknown
	}
	return a, err
}

// What becomes of an order that is carried out later when its worker has ended meanwhile: the next
// incarnation with its id carries it out, as it may one that had no answer, or it ends with the worker.
const (
	deliverToSuccessor  = true
	dropWithIncarnation = false
)

// performLater carries an order out after some time; 0: never. Nobody hears what comes of it.
func (g *Grid) performLater(w *incarnation, after time.Duration, perform operation, atNext bool) {
	if after == 0 {
		return
	}
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if now := g.workers[w.info.ID]; now.up && (atNext || now == w) {
			_ = perform(now, &answer{})
		}
	})
}

// latenesses is how many different times answers are late by. Each call's number takes it
// delayStride further, so that one may come after several later ones.
const (
	delaySteps  = 7
	delayStride = 4
)

// answerDelay is by how much the answer of the next call is late.
func (g *Grid) answerDelay(faults Faults) time.Duration {
	g.calls++
	return faults.LateAnswers * time.Duration(g.calls*delayStride%delaySteps) / (delaySteps - 1)
}

// sleep waits for some time; false: the caller has left before.
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
