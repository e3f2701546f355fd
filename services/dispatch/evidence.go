// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"iter"
	"math"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// The evidence that the loss of a worker gives against a task that ran there. A task that crashes workers may do so at
// any time after its start, with the same probability in each order of magnitude of the runtime; so the shorter the
// run, the likelier the task is the cause. Without this task the worker would have been lost by chance or by one of its
// neighbours on the worker. The evidence of a loss is the logarithm of the ratio of the likelihoods with and without
// the task as the cause; a negative value is evidence that the task is not the cause. The evidence of several
// losses adds up, because each loss is of another run on another worker. A task that crashes nothing reaches a sum of x
// with a probability of at most e to the minus x, however many losses the task has.

const (
	// meanTimeBetweenLosses is how long a worker runs on average between two losses by chance. On the worst days of
	// the users' fleets 15 % of the workers are lost within half a minute.
	meanTimeBetweenLosses = 200 * time.Second
	// crasherPrior is the share of tasks assumed to crash workers when nothing is known about them: one task in
	// every tenth job, with about ten tasks per job.
	crasherPrior = 0.01
	// minRuntime is the shortest runtime that is assumed for a run: the owner's calls do not tell the end of a
	// worker more precisely.
	minRuntime = 10 * time.Millisecond
	// maxTimeToCrash is the longest time for which a task that crashes workers runs before it does.
	maxTimeToCrash = 10 * time.Second
)

// neighbour is another task on a worker that was lost.
type neighbour struct {
	runtime            time.Duration
	earlierRuntimes    []time.Duration // see lossContext
	crasherProbability float64         // probability that the task crashes workers
}

// logRuntimeRange divides the density of the time to a crash so that it integrates to one.
var logRuntimeRange = math.Log(float64(maxTimeToCrash) / float64(minRuntime))

// crashDensity is the probability per second that a task which crashes workers does so after this runtime.
func crashDensity(ran time.Duration) float64 {
	return 1 / (max(ran, minRuntime).Seconds() * logRuntimeRange)
}

// A task that crashes its workers mostly does so at the same point of its work, that is as long after each start.
// This distinguishes such a task from a task that was lost beside others, at arbitrary times: a second loss after the
// same runtime is stronger evidence against the task, a second loss after ten times the runtime is weaker.
const (
	// recurringShare is the share of the tasks that crash workers which do so at the same point each time.
	recurringShare = 0.8
	// recurringTolerance is how far apart two runtimes of a recurring crash are at most, as a fraction of the earlier
	// runtime, and minRecurringTolerance is the least difference allowed, for short runtimes: where nothing listens on
	// the port any more, calls do not tell the end of a worker more precisely.
	recurringTolerance    = 0.3
	minRecurringTolerance = 100 * time.Millisecond
	// preciseShare is the share of recurring crashes whose runtimes agree as closely as a connection can tell that
	// breaks at the end of the worker; preciseTolerance and minPreciseTolerance are to these what recurringTolerance
	// and minRecurringTolerance are to all recurring crashes.
	preciseShare        = 0.5
	preciseTolerance    = 0.03
	minPreciseTolerance = 20 * time.Millisecond
)

// crashDensityAfter is crashDensity for a task whose earlier runs were lost after the given runtimes.
func crashDensityAfter(ran time.Duration, earlierRuntimes []time.Duration) float64 {
	anyTime := crashDensity(ran)
	if len(earlierRuntimes) == 0 {
		return anyTime
	}
	near := 0.0
	for _, earlier := range earlierRuntimes {
		near += (1 - preciseShare) * uniformDensityAround(earlier, ran, max(minRecurringTolerance, time.Duration(recurringTolerance*float64(earlier))))
		near += preciseShare * uniformDensityAround(earlier, ran, max(minPreciseTolerance, time.Duration(preciseTolerance*float64(earlier))))
	}
	return (1-recurringShare)*anyTime + recurringShare*near/float64(len(earlierRuntimes))
}

// uniformDensityAround is the density at ran of a runtime that is uniformly distributed around an earlier runtime, at
// most within away from it and not below zero.
func uniformDensityAround(earlier, ran, within time.Duration) float64 {
	if (ran - earlier).Abs() > within {
		return 0
	}
	return 1 / (min(within, earlier) + within).Seconds()
}

// crashProbabilityBy is the probability that a task which crashes workers has done so by this runtime, when its
// earlier runs were lost after the given runtimes.
func crashProbabilityBy(ran time.Duration, earlierRuntimes []time.Duration) float64 {
	anyTime := math.Log(float64(ran)/float64(minRuntime)) / logRuntimeRange
	earlier := 0
	for _, each := range earlierRuntimes {
		if each <= ran {
			earlier++
		}
	}
	return (1-recurringShare)*anyTime + recurringShare*float64(earlier)/float64(len(earlierRuntimes))
}

// crashRate is the probability per second that the task crashes the worker now.
func (n neighbour) crashRate() float64 {
	return n.crasherProbability * crashDensityAfter(n.runtime, n.earlierRuntimes)
}

// crashRates are the probabilities per second that the tasks on a worker crash it now. They are computed once for all tasks
// on the worker, of which there may be thousands, before any of their losses is counted.
type crashRates struct {
	byTask map[*task]float64
	sum    float64
}

// beside is the probability per second that one of the other tasks on the worker crashes it.
func (r crashRates) beside(t *task) float64 { return max(0, r.sum-r.byTask[t]) }

// lossContext describes the circumstances in which a run was lost with its worker.
type lossContext struct {
	runtime         time.Duration
	earlierRuntimes []time.Duration // after which earlier runs of the task were lost
	neighbourRate   float64         // losses caused by the other tasks on the worker per second, at that time
	chanceRate      float64         // losses of a worker by chance per second, at that time
	// runtimeIsUpperBound is set when the run was lost at an unknown time up to runtime, because calls to its worker
	// timed out.
	runtimeIsUpperBound bool
}

// evidence returns the evidence of the loss against the task: vsChance compares the task with chance alone, vsAll also
// with its neighbours on the worker.
func (e lossContext) evidence() (vsChance, vsAll float64) {
	byTask := crashDensityAfter(e.runtime, e.earlierRuntimes)
	if e.runtimeIsUpperBound && len(e.earlierRuntimes) > 0 {
		byTask = crashProbabilityBy(e.runtime, e.earlierRuntimes) / e.runtime.Seconds()
	}
	return math.Log(byTask / e.chanceRate), math.Log(byTask / (e.chanceRate + e.neighbourRate))
}

// crasherProbability is the probability that the task crashes workers, as used for its neighbours. A suspect is
// assumed to do so: if it does not, then a task that was lost with it does. For other tasks their own losses count:
// they may have been lost to the same cause, and they start beside others without a trial.
func (t *task) crasherProbability() float64 {
	if t.suspected() {
		return 1
	}
	odds := crasherPrior * math.Exp(t.suspicion.EvidenceVsChance())
	return odds / (1 + odds)
}

// minTimeoutDetectionDelay is how long after the end of a worker its owner detects the loss at the earliest if calls
// time out. A connection that breaks or is refused shows the loss at once.
const minTimeoutDetectionDelay = 500 * time.Millisecond

// endTimeUnknown reports whether a lost worker may have ended at any time since the run began: the worker has not
// reported since then, and calls to it timed out.
func (w *worker) endTimeUnknown(t *task) bool {
	return !w.connectionRefused && w.reportedAt.Before(t.startedAt) && w.unansweredSince.Sub(t.startedAt) >= minTimeoutDetectionDelay
}

// runtimeAtLoss returns an upper bound of a run's runtime when its worker was lost. It returns false when the bound
// is not known to be short enough to be evidence: a previous owner started the run, or the worker had stopped
// answering before the start.
func (c *Core) runtimeAtLoss(w *worker, t *task, now time.Time) (time.Duration, bool) {
	ran := w.lastAlive(now).Sub(t.startedAt)
	return ran, !t.endHidden && ran >= 0 && (t.orderedHere || t.suspected())
}

// crashRateOfEach yields the crash rates of the tasks on a worker that is lost, or may be.
func (c *Core) crashRateOfEach(w *worker, now time.Time) iter.Seq2[*task, float64] {
	return func(yield func(*task, float64) bool) {
		for _, t := range w.tasks {
			ran, known := c.runtimeAtLoss(w, t, now)
			if !known {
				continue
			}
			n := neighbour{runtime: ran, earlierRuntimes: t.lostRuntimes(), crasherProbability: t.crasherProbability()}
			if !yield(t, n.crashRate()) {
				return
			}
		}
	}
}

// crashRatesOn returns the crash rates of the tasks on a worker, by task.
func (c *Core) crashRatesOn(w *worker, now time.Time) crashRates {
	rates := crashRates{byTask: make(map[*task]float64, len(w.tasks))}
	for t, rate := range c.crashRateOfEach(w, now) {
		rates.byTask[t] = rate
		rates.sum += rate
	}
	return rates
}

// crashRateOn is the probability per second that a task on a worker crashes it, except for the given one; nil: no exception.
func (c *Core) crashRateOn(w *worker, except *task, now time.Time) float64 {
	sum := 0.0
	for t, rate := range c.crashRateOfEach(w, now) {
		if t != except {
			sum += rate
		}
	}
	return sum
}

// lostRuns returns the task's lost runs that an owner observed, whether chance explains them or not.
func (t *task) lostRuns() []jobs.LostRun { return slices.Concat(t.suspicion.Lost, t.chanceLosses) }

// lostRuntimes returns the runtimes after which runs of the task were lost, as far as they were observed.
func (t *task) lostRuntimes() []time.Duration {
	var times []time.Duration
	for _, lost := range t.lostRuns() {
		if lost.RanAtMost > 0 {
			times = append(times, lost.RanAtMost.Duration())
		}
	}
	return times
}

// lossContextOf describes the circumstances in which a task's run is lost with a worker.
func lossContextOf(w *worker, t *task, ran time.Duration, history lossHistory, rates crashRates) lossContext {
	return lossContext{
		runtime: ran, earlierRuntimes: t.lostRuntimes(), neighbourRate: rates.beside(t),
		chanceRate: history.rateFor(t), runtimeIsUpperBound: w.endTimeUnknown(t),
	}
}

// lostRun returns what is recorded against a task for the loss of a worker.
func (e lossContext) lostRun(w *worker, t *task) jobs.LostRun {
	vsChance, vsAll := e.evidence()
	return jobs.LostRun{
		Run: t.run, RanAtMost: models.MilliOf(max(e.runtime, minRuntime)), EvidenceVsChance: roundToHundredths(vsChance), EvidenceVsAll: roundToHundredths(vsAll),
		LossID: w.info.Incarnation().LossID(),
	}
}

// weighUnobserved returns the evidence of a lost run that began the given time ago, when no owner observed its
// runtime. If the task was the cause, the worker was lost early in that time.
func weighUnobserved(unresolved *jobs.UnresolvedRun, ago time.Duration) jobs.LostRun {
	lost := unresolved.LostRun
	lost.EvidenceVsChance = roundToHundredths(math.Log(recurringShare / lossProbabilityWithin(unresolved.ChanceRate, ago)))
	lost.EvidenceVsAll = roundToHundredths(math.Log(recurringShare / lossProbabilityWithin(unresolved.ChanceRate+unresolved.NeighbourRate, ago)))
	return lost
}

// lossProbabilityWithin is the probability that a worker is lost within a time, at the given losses per second.
func lossProbabilityWithin(rate float64, within time.Duration) float64 {
	return 1 - math.Exp(-max(rate, baselineLossRate)*within.Seconds())
}

// roundToHundredths rounds evidence for storage: more digits carry no information.
func roundToHundredths(x float64) float64 { return math.Round(100*x) / 100 }

// roundToThousandths does the same for rates, most of which are below a tenth.
func roundToThousandths(x float64) float64 { return math.Round(1000*x) / 1000 }
