// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"math"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// What the loss of a worker says against a task that ran there. A task that crashes workers may
// do so at any time after its start, at short times as likely as at long ones on a scale of
// magnitudes; so the shorter it had run, the likelier it is the cause. Without it the worker would
// have been lost by chance, or by one of the tasks beside it. What a loss says is the logarithm of
// the likelihood with the task as the cause over that without: below zero it speaks for the task.
// Losses add up, for each is of another run, on another worker. A task that crashes nothing gets
// to a sum of x with a probability of at most e to the minus x, however many losses it sees.

const (
	// meanTimeBetweenLosses is how long a worker runs between two losses by chance. On the worst days of
	// the users' fleets 15 % of the workers go within half a minute.
	meanTimeBetweenLosses = 200 * time.Second
	// crasherPrior is how many of the tasks that nothing is known of are taken to crash workers:
	// one task in each tenth job, of ten tasks or so.
	crasherPrior = 0.01
	// minRuntime is the shortest time that a run is taken to have had: the owner's calls tell the
	// end of a worker no better.
	minRuntime = 10 * time.Millisecond
	// maxTimeToCrash is the longest that a task which crashes workers runs before it does.
	maxTimeToCrash = 10 * time.Second
)

// neighbour is another task on a worker that was lost.
type neighbour struct {
	runtime            time.Duration
	earlierRuntimes    []time.Duration // see circumstances
	crasherProbability float64         // how likely it is one that crashes workers
}

// logRuntimeRange is what the density of a crash's time is divided by, so that it sums up to one.
var logRuntimeRange = math.Log(float64(maxTimeToCrash) / float64(minRuntime))

// crashDensity is how likely a second it is for a task that crashes workers to do so now.
func crashDensity(ran time.Duration) float64 {
	return 1 / (max(ran, minRuntime).Seconds() * logRuntimeRange)
}

// A task that crashes its workers mostly does so at the same place of its work, that is as long
// after each start; with this it is told from one that was lost beside others, at any times: a
// second loss after as long says more against it, one after ten times as long less.
const (
	// recurringShare is the share of such tasks that does.
	recurringShare = 0.8
	// recurringTolerance is how far apart two such times are at most, as a part of the earlier one, and
	// minRecurringTolerance the same for short ones: where nothing listens any more, calls tell the end of a worker no better.
	recurringTolerance    = 0.3
	minRecurringTolerance = 100 * time.Millisecond
	// preciseShare is the share of those whose times are as close as connections tell that break at the end of a
	// worker; preciseTolerance and minPreciseTolerance are for them what recurringTolerance and minRecurringTolerance are for all.
	preciseShare        = 0.5
	preciseTolerance    = 0.03
	minPreciseTolerance = 20 * time.Millisecond
)

// crashDensityAfter is the density for a task whose earlier runs were lost after these times.
func crashDensityAfter(ran time.Duration, before []time.Duration) float64 {
	anyTime := crashDensity(ran)
	if len(before) == 0 {
		return anyTime
	}
	near := 0.0
	for _, earlier := range before {
		near += (1 - preciseShare) * uniformDensityAround(earlier, ran, max(minRecurringTolerance, time.Duration(recurringTolerance*float64(earlier))))
		near += preciseShare * uniformDensityAround(earlier, ran, max(minPreciseTolerance, time.Duration(preciseTolerance*float64(earlier))))
	}
	return (1-recurringShare)*anyTime + recurringShare*near/float64(len(before))
}

// uniformDensityAround is the density at a time of those that are at most so far from an earlier one, none of which is below zero.
func uniformDensityAround(earlier, ran, within time.Duration) float64 {
	if (ran - earlier).Abs() > within {
		return 0
	}
	return 1 / (min(within, earlier) + within).Seconds()
}

// crashProbabilityBy is how likely a task that crashes workers has done so by that time, when its earlier runs were
// lost after these.
func crashProbabilityBy(ran time.Duration, before []time.Duration) float64 {
	anyTime := math.Log(float64(ran)/float64(minRuntime)) / logRuntimeRange
	earlier := 0
	for _, each := range before {
		if each <= ran {
			earlier++
		}
	}
	return (1-recurringShare)*anyTime + recurringShare*float64(earlier)/float64(len(before))
}

// crashRate is how likely a second it is for one of the tasks on a worker to crash it now.
func crashRate(tasks []neighbour) float64 {
	sum := 0.0
	for _, t := range tasks {
		sum += t.crasherProbability * crashDensityAfter(t.runtime, t.earlierRuntimes)
	}
	return sum
}

// lossContext are those in which a run was lost with its worker.
type lossContext struct {
	runtime         time.Duration
	earlierRuntimes []time.Duration // after which earlier runs of the task were lost
	neighbours      []neighbour
	chanceRate      float64 // losses of a worker by chance a second, at that time
	// runtimeIsUpperBound says that the run was lost at some time up to ran: calls to its worker were not answered.
	runtimeIsUpperBound bool
}

// evidence gives what the loss says against the task: doubt, compared with chance alone, and weight,
// compared with the tasks beside it as well.
func (e lossContext) evidence() (doubt, weight float64) {
	byTask := crashDensityAfter(e.runtime, e.earlierRuntimes)
	if e.runtimeIsUpperBound && len(e.earlierRuntimes) > 0 {
		byTask = crashProbabilityBy(e.runtime, e.earlierRuntimes) / e.runtime.Seconds()
	}
	return math.Log(byTask / e.chanceRate), math.Log(byTask / (e.chanceRate + crashRate(e.neighbours)))
}

// crasherProbability is how likely the task is one that crashes workers, for those beside it. A suspect is
// taken to be: if it is not, then one that was lost with it is. Of others what their losses say
// counts: they may have been lost to the same cause, and start beside others without a trial.
func (t *task) crasherProbability() float64 {
	if t.suspected() {
		return 1
	}
	odds := crasherPrior * math.Exp(t.suspicion.Doubt())
	return odds / (1 + odds)
}

// minTimeoutDetectionDelay is how long after the end of a worker its owner notices it at the earliest, if calls are
// not answered: after their time limit. A connection that breaks, or is refused, tells at once.
const minTimeoutDetectionDelay = 500 * time.Millisecond

// endTimeUnknown tells whether a worker that is lost may have ended at any time since the run began:
// it has not reported since, and calls to it ran into their time limit.
func (w *worker) endTimeUnknown(t *task) bool {
	return !w.refused && w.heard.Before(t.began) && w.failed.Sub(t.began) >= minTimeoutDetectionDelay
}

// runtimeAtLoss is for how long a run had run at most when its worker was lost; false when that isn't
// known to be short enough to say anything: it was started by a former owner, or when the worker
// had stopped answering already.
func (c *Core) runtimeAtLoss(w *worker, t *task, now time.Time) (time.Duration, bool) {
	ran := w.lastAlive(now).Sub(t.began)
	return ran, ran >= 0 && (t.ordered || t.suspected())
}

// neighboursOf are the other tasks on a worker that was lost.
func (c *Core) neighboursOf(w *worker, t *task, now time.Time) []neighbour {
	var beside []neighbour
	for _, other := range w.tasks {
		ran, known := c.runtimeAtLoss(w, other, now)
		if other == t || !known {
			continue
		}
		beside = append(beside, neighbour{runtime: ran, earlierRuntimes: other.lostRuntimes(), crasherProbability: other.crasherProbability()})
	}
	return beside
}

// lostRuntimes is after which times runs of the task were lost, as far as that was seen.
func (t *task) lostRuntimes() []time.Duration {
	var times []time.Duration
	for _, lost := range slices.Concat(t.suspicion.Lost, t.byChance) {
		if lost.Ran > 0 {
			times = append(times, lost.Ran.Duration())
		}
	}
	return times
}

// lossContextOf are those in which a task's run is lost with a worker.
func (c *Core) lossContextOf(w *worker, t *task, ran time.Duration, chance float64, now time.Time) lossContext {
	return lossContext{
		runtime: ran, earlierRuntimes: t.lostRuntimes(), neighbours: c.neighboursOf(w, t, now), chanceRate: chance, runtimeIsUpperBound: w.endTimeUnknown(t),
	}
}

// lostRun is what the loss of a worker says against a task.
func (e lossContext) lostRun(w *worker, t *task) jobs.LostRun {
	doubt, weight := e.evidence()
	return jobs.LostRun{
		Run: t.run, Ran: models.MilliOf(max(e.runtime, minRuntime)), Doubt: roundToHundredths(doubt), Weight: roundToHundredths(weight),
		With: w.info.Incarnation().Loss(),
	}
}

// weighUnobserved gives what the loss of a run says that began so long ago, when nobody has seen how long
// it ran. With the task as the cause it was lost early.
func weighUnobserved(open *jobs.OpenRun, ago time.Duration) jobs.LostRun {
	lost := open.LostRun
	lost.Doubt = roundToHundredths(math.Log(recurringShare / lossProbabilityWithin(open.Chance, ago)))
	lost.Weight = roundToHundredths(math.Log(recurringShare / lossProbabilityWithin(open.Chance+open.Beside, ago)))
	return lost
}

// lossProbabilityWithin is how likely a worker is lost within a time, at so many losses a second.
func lossProbabilityWithin(rate float64, within time.Duration) float64 {
	return 1 - math.Exp(-max(rate, baselineLossRate)*within.Seconds())
}

// roundToHundredths rounds what is stored: more digits say nothing.
func roundToHundredths(x float64) float64 { return math.Round(100*x) / 100 }

// roundToThousandths does the same with rates, most of which are below a tenth.
func roundToThousandths(x float64) float64 { return math.Round(1000*x) / 1000 }
