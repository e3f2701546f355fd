// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

const (
	testJob  = jobs.ID("00000000000000aa")
	testPool = jobs.PoolName("pool")
)

// servingStep is a step that serves, alone on its worker.
var servingStep = jobs.Step{Count: 1, Size: models.Resources{CPU: 2000, Memory: 10}, Lasts: true, Image: "serving", Target: 100}

// bench is a core with workers that have answered, and a clock.
type bench struct {
	*Core
	now time.Time
	ids []jobs.WorkerID
}

func newBench(t *testing.T, workers int) *bench {
	t.Helper()
	b := &bench{now: time.Unix(1_000_000, 0)}
	b.Core = New(Config{
		Epoch: 5, Taken: b.now, Lease: 4 * time.Second, LongestLease: 8 * time.Second, Logger: zap.NewNop(),
	})
	var list []jobs.Worker
	for n := range workers {
		id := jobs.WorkerID([]string{"w0", "w1", "w2", "w3"}[n])
		b.ids = append(b.ids, id)
		list = append(list, jobs.Worker{ID: id, Pool: testPool, Address: string(id), Capacity: models.Resources{CPU: 4000, Memory: 8000}})
	}
	b.SetWorkers(list, b.now)
	b.Stored(b.TakeChanges(10, b.now), b.now) // the roster
	return b
}

func (b *bench) report(n int, report jobs.Report) {
	b.now = b.now.Add(100 * time.Millisecond)
	report.Clock = models.MilliOf(b.now.Sub(time.Unix(1_000_000, 0)))
	b.Reported(b.ids[n], b.now.Add(-time.Millisecond), report, b.now)
}

func (b *bench) job(steps ...jobs.Step) jobs.Record {
	return jobs.Record{
		Spec:  jobs.Spec{ID: testJob, Queue: "q", Steps: steps},
		Terms: jobs.Terms{Pool: testPool, MaxAttempts: 3, Slack: 250, Stretch: 1.5}, Accepted: models.UnixMilliOf(b.now),
	}
}

func (b *bench) starts() []StartOrder {
	var starts []StartOrder
	for _, order := range b.Decide(b.now) {
		if start, ok := order.(StartOrder); ok {
			starts = append(starts, start)
		}
	}
	return starts
}

var one = jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 100}, Estimate: 500}

func taskOf(index int) jobs.TaskID { return jobs.TaskID{Job: testJob, Index: index} }

func TestFailuresAreCountedInAnyOrder(t *testing.T) {
	b := newBench(t, 3)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	for n, run := range []jobs.RunID{3, 1, 2} { // the reports of three workers after a takeover
		b.report(n, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: taskOf(0), Run: run, How: jobs.EndFailed}}})
	}
	require.Empty(t, b.starts(), "it has no attempt left")
	changes := b.TakeChanges(10, b.now)
	require.Len(t, changes.Jobs, 1)
	require.Equal(t, jobs.StateFailed, changes.Jobs[0].Ended.Ended)
}

func TestFailureIsCountedOnce(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(one), jobs.Progress{Failed: map[int]map[int]jobs.Failures{0: {0: {7}}}}, false, b.now)
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: taskOf(0), Run: 7, How: jobs.EndFailed}}})
	require.Len(t, b.starts(), 1, "two attempts are left")
	require.Empty(t, b.TakeChanges(10, b.now).Jobs, "nothing new is known")
}

func TestEndsAreAcknowledgedOnceStored(t *testing.T) {
	b := newBench(t, 1)
	b.AddJob(b.job(jobs.Step{Count: 2, Size: one.Size, Estimate: 500}), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: starts[0].Call.Task, Run: starts[0].Call.Run, How: jobs.EndSucceeded}}})
	call, _ := b.LeaseCall(b.ids[0], time.Second, b.now)
	require.Zero(t, call.Acknowledged)
	changes := b.TakeChanges(10, b.now)
	require.Equal(t, []int{starts[0].Call.Task.Index}, changes.Jobs[0].Progress.Done[0])
	b.Stored(changes, b.now)
	call, _ = b.LeaseCall(b.ids[0], time.Second, b.now)
	require.EqualValues(t, 1, call.Acknowledged)
}

func TestTaskWaitsForSilentWorkerAfterATakeover(t *testing.T) {
	b := newBench(t, 3)
	b.Enrol(jobs.Roster{Workers: b.Workers()}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Empty(t, b.starts(), "the third worker may run it")
	b.report(2, jobs.Report{Running: []jobs.Run{{Task: taskOf(0), Run: 2}}})
	require.Empty(t, b.starts(), "it does")
	state, ok := b.State(testJob)
	require.True(t, ok)
	require.Equal(t, jobs.StateRunning, state)
}

// TestWorkerThatHasLeftEndsTheWaitAfterATakeover holds what cost 14 s of all lasting tasks
// on a played day: one worker of the roster had left while all daemons were down.
func TestWorkerThatHasLeftEndsTheWaitAfterATakeover(t *testing.T) {
	b := newBench(t, 3)
	gone := jobs.Worker{ID: "gone", Pool: testPool, Address: "gone"}
	b.Enrol(jobs.Roster{Workers: []jobs.Worker{gone}}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	listed := make([]jobs.Worker, 0, len(b.ids))
	for _, id := range b.ids {
		listed = append(listed, b.workers[id].info)
	}
	look := func() []StartOrder {
		for n := range b.ids {
			b.report(n, jobs.Report{})
		}
		b.SetWorkers(listed, b.now)
		return b.starts()
	}
	require.Empty(t, look(), "the worker that doesn't answer may run it")
	b.Unreached(gone.ID, true, b.now)
	require.Empty(t, look(), "it may be cut off, and come back into the list")
	began := b.now
	for b.now.Sub(began) <= returnsWithin {
		b.Unreached(gone.ID, false, b.now)
		require.Empty(t, look(), "a connection that doesn't come about proves nothing")
	}
	b.Unreached(gone.ID, true, b.now)
	require.Len(t, look(), 1)
}

// TestWorkerThatDrainedBeforeATakeoverIsNotWaitedFor holds what the incident inc-c56b of the
// grown site of Samferð showed: 27 workers had drained and left while all daemons were down.
func TestWorkerThatDrainedBeforeATakeoverIsNotWaitedFor(t *testing.T) {
	former := newBench(t, 3)
	drains := former.workers[former.ids[2]].info
	drains.Draining, drains.Remaining = true, time.Second
	former.SetWorkers([]jobs.Worker{drains}, former.now)
	roster := former.TakeChanges(10, former.now).Roster
	require.NotNil(t, roster, "that it drains is stored")

	b := newBench(t, 2)
	b.now = b.now.Add(2 * time.Second)
	b.Enrol(*roster, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	b.SetWorkers([]jobs.Worker{b.workers[b.ids[0]].info, b.workers[b.ids[1]].info}, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Empty(t, b.starts())
	b.Unreached(drains.ID, false, b.now)
	require.Len(t, b.starts(), 1)
}

// TestStaleEntryOfADrainedWorkerIsNotWaitedFor holds what cost 7 s of 1,172 tasks on day
// trouble-3 of the grown site of Samferð: workers had drained and left during an outage of
// the store, whose list went on naming them, with the rest of time that they had before it.
func TestStaleEntryOfADrainedWorkerIsNotWaitedFor(t *testing.T) {
	former := newBench(t, 3)
	drains := former.workers[former.ids[2]].info
	drains.Draining, drains.Remaining = true, 2*time.Second
	former.SetWorkers([]jobs.Worker{drains}, former.now)
	roster := former.TakeChanges(10, former.now).Roster

	b := newBench(t, 2)
	b.now = b.now.Add(time.Second)
	b.Enrol(*roster, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	list := []jobs.Worker{b.workers[b.ids[0]].info, b.workers[b.ids[1]].info, drains}
	look := func() []StartOrder {
		b.SetWorkers(list, b.now)
		b.report(0, jobs.Report{})
		b.report(1, jobs.Report{})
		return b.starts()
	}
	b.Unreached(drains.ID, true, b.now)
	require.Empty(t, look(), "it has a second left by the roster")
	b.now = b.now.Add(time.Second)
	b.Unreached(drains.ID, false, b.now)
	require.Empty(t, look(), "it is in the list, and may be cut off")
	b.Unreached(drains.ID, true, b.now)
	require.Len(t, look(), 1)
	require.NotContains(t, b.workers, drains.ID, "its entry doesn't bring it back")
}

// TestWorkerThatCertainlyRunsNothingIsNotInTheRoster: the next owner needn't wait for it.
func TestWorkerThatCertainlyRunsNothingIsNotInTheRoster(t *testing.T) {
	former := newBench(t, 3)
	former.report(2, jobs.Report{})
	silent := former.ids[2]
	for former.now.Before(former.lapsed(former.workers[silent]).Add(silentAfter)) {
		former.report(0, jobs.Report{})
		former.report(1, jobs.Report{})
		former.starts()
	}
	changes := former.TakeChanges(10, former.now)
	require.NotNil(t, changes.Roster)
	require.Len(t, changes.Roster.Workers, 2)

	b := newBench(t, 0)
	b.now = former.now
	b.Enrol(*changes.Roster, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	b.ids = former.ids
	b.SetWorkers(former.Workers(), b.now) // the list still names it
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Len(t, b.starts(), 1)
}

func TestWorkerThatComesBackIsInTheRosterBeforeItGetsStarts(t *testing.T) {
	b := newBench(t, 1)
	b.report(0, jobs.Report{})
	b.now = b.lapsed(b.workers[b.ids[0]]).Add(silentAfter)
	b.starts()
	without := b.TakeChanges(10, b.now)
	require.Empty(t, without.Roster.Workers)
	b.AddJob(b.job(one), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.Stored(without, b.now)
	require.Empty(t, b.starts(), "the stored roster doesn't name it")
	with := b.TakeChanges(10, b.now)
	require.Len(t, with.Roster.Workers, 1)
	b.Stored(with, b.now)
	b.now = b.now.Add(scanPause + time.Millisecond)
	require.Len(t, b.starts(), 1)
}

func TestWaitAfterATakeoverIsAsLongAsTheRosterSays(t *testing.T) {
	b := newBench(t, 3)
	b.Enrol(jobs.Roster{Workers: []jobs.Worker{{ID: "silent", Pool: testPool}}, Lease: 4000}, b.now)
	b.AddJob(b.job(one), jobs.Progress{}, false, b.now)
	began := b.now
	for {
		for n := range b.ids {
			b.report(n, jobs.Report{})
		}
		if len(b.starts()) > 0 {
			break
		}
		require.Less(t, b.now.Sub(began), 8*time.Second, "the longest lease is 8 s, the roster says 4 s")
	}
	require.Greater(t, b.now.Sub(began), 7*time.Second, "the former owner may have gone on for 3 s")
	require.EqualValues(t, 4000, b.roster().Lease)
}

func TestTaskOfLostWorkerRunsOnceItsLeaseIsOver(t *testing.T) {
	b := newBench(t, 2)
	b.AddJob(b.job(one), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	first := b.starts()
	require.Len(t, first, 1)
	b.Started(first[0], Result{Outcome: OutcomeDone}, b.now)
	other := 1
	if first[0].Worker.ID == b.ids[1] {
		other = 0
	}
	lost := b.now
	for range 100 {
		b.report(other, jobs.Report{})
		if again := b.starts(); len(again) > 0 {
			require.Greater(t, b.now.Sub(lost), 4*time.Second, "its lease was 4 s")
			require.Less(t, b.now.Sub(lost), 6*time.Second)
			require.Greater(t, again[0].Call.Run, first[0].Call.Run)
			return
		}
	}
	require.Fail(t, "never run again")
}

func TestDependentStepWaits(t *testing.T) {
	b := newBench(t, 1)
	second := one
	second.After = []int{0}
	b.AddJob(b.job(one, second), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 1)
	require.Zero(t, starts[0].Call.Task.Step)
	b.report(0, jobs.Report{Ended: []jobs.Ended{{Number: 1, Task: starts[0].Call.Task, Run: starts[0].Call.Run, How: jobs.EndSucceeded}}})
	starts = b.starts()
	require.Len(t, starts, 1)
	require.Equal(t, 1, starts[0].Call.Task.Step)
}

func TestRoomPerWorkerAndPerStep(t *testing.T) {
	b := newBench(t, 2)
	b.AddJob(b.job(jobs.Step{Count: 10, Size: models.Resources{CPU: 1500, Memory: 10}, Estimate: 500}), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Len(t, b.starts(), 4, "two of 1.5 cores fit on each worker of 4")

	b = newBench(t, 2)
	b.AddJob(b.job(jobs.Step{Count: 10, Size: models.Resources{CPU: 100, Memory: 10}, Estimate: 500, PerWorker: 3}), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	b.report(1, jobs.Report{})
	require.Len(t, b.starts(), 6)
}

func TestPressureIsLearnedByPairs(t *testing.T) {
	p := newPressure()
	heavy, light := p.indexOf("heavy"), p.indexOf("light")
	f := p.factorsOf("serving")
	for n := range 200 {
		shares := []float64{0.1, 0.1}
		shares[n%2] = 0
		expected, variance, gain := f.expectation(shares)
		f.correct(1.4*shares[heavy]+0.1*shares[light]-expected, variance+noise*noise, gain)
	}
	p.share()
	require.InDelta(t, 1.4, p.factor("serving", "heavy"), 0.1)
	require.InDelta(t, 0.1, p.factor("serving", "light"), 0.1)
	require.InDelta(t, startFactor, p.factor("other", "heavy"), 1e-9, "another serving image is another pair")
}

func TestHeavyFillingTaskIsThrottledAndGivenBack(t *testing.T) {
	b := newBench(t, 1)
	serving := servingStep
	filling := jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Fills: true}
	b.AddJob(b.job(serving, filling), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	tail := func(ms int) {
		var running []jobs.Run
		for _, s := range starts {
			figure := 900
			if s.Call.Task.Step == 0 {
				figure = ms
			}
			running = append(running, jobs.Run{Task: s.Call.Task, Run: s.Call.Run, Figure: figure})
		}
		b.report(0, jobs.Report{Running: running})
	}
	paces := func() (last jobs.Percent, orders int) {
		for range 20 {
			for _, order := range b.Decide(b.now) {
				if pace, ok := order.(PaceOrder); ok {
					last = pace.Call.Pace
					orders++
				}
			}
			b.now = b.now.Add(100 * time.Millisecond)
			tail(map[bool]int{true: 150, false: 30}[orders == 0])
		}
		return last, orders
	}
	tail(150)
	last, orders := paces()
	require.Positive(t, orders, "the tail is over its target")
	require.Equal(t, jobs.FullSpeed, last, "and far below it afterwards")
}

func TestOutcomeOfAnOlderOrderChangesNoPace(t *testing.T) {
	b := newBench(t, 1)
	filling := jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Fills: true}
	b.AddJob(b.job(filling), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	b.Started(starts[0], Result{Outcome: OutcomeDone}, b.now)
	running := b.find(starts[0].Call.Task)
	b.setPace(running.worker, running, 20, b.now)
	b.setPace(running.worker, running, 80, b.now)
	var paces []PaceOrder
	for _, order := range b.Decide(b.now) {
		if pace, ok := order.(PaceOrder); ok {
			paces = append(paces, pace)
		}
	}
	require.GreaterOrEqual(t, len(paces), 2)
	now := running.pace
	b.Paced(paces[0], Result{Outcome: OutcomeUnknown}, b.now)
	require.Equal(t, now, running.pace)
}

// TestThrottledRunIsGivenSpeedBackByASuccessor holds what seed 202 of the soak found: a
// former owner had throttled a run to a standstill, and its successor took it to be at full
// pace for ever.
func TestThrottledRunIsGivenSpeedBackByASuccessor(t *testing.T) {
	b := newBench(t, 1)
	filling := jobs.Step{Count: 2, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Fills: true}
	b.AddJob(b.job(filling), jobs.Progress{}, false, b.now)
	stands := jobs.Run{Task: taskOf(0), Run: 2, Figure: 0}
	works := jobs.Run{Task: taskOf(1), Run: 2, Figure: 850}
	for range 20 {
		b.report(0, jobs.Report{Running: []jobs.Run{stands, works}})
		for _, order := range b.Decide(b.now) {
			pace, ok := order.(PaceOrder)
			require.True(t, ok, "nothing else is to be done")
			require.Equal(t, stands.Task, pace.Call.Task, "the other one works at full pace")
			require.Equal(t, jobs.FullSpeed, pace.Call.Pace)
			return
		}
	}
	require.Fail(t, "it stands still for ever")
}

// TestRunThatAnOldOrderThrottledGoesOn: an order to throttle may be done seconds late, after
// the one that gave the speed back.
func TestRunThatAnOldOrderThrottledGoesOn(t *testing.T) {
	b := newBench(t, 1)
	filling := jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Fills: true}
	b.AddJob(b.job(filling), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 1)
	run := jobs.Run{Task: starts[0].Call.Task, Run: starts[0].Call.Run, Figure: 850}
	for range 10 {
		b.report(0, jobs.Report{Running: []jobs.Run{run}})
		require.Empty(t, b.Decide(b.now))
	}
	run.Figure = 0
	for range 30 {
		b.report(0, jobs.Report{Running: []jobs.Run{run}})
		if orders := b.Decide(b.now); len(orders) > 0 {
			require.Equal(t, jobs.FullSpeed, orders[0].(PaceOrder).Call.Pace)
			return
		}
	}
	require.Fail(t, "it stands still for ever")
}

func TestSlowWorkerIsLeftAlone(t *testing.T) {
	b := newBench(t, 3)
	b.AddJob(b.job(jobs.Step{Count: 3, Size: models.Resources{CPU: 3000, Memory: 10}, Estimate: 20_000, Checkpoints: true}), jobs.Progress{}, true, b.now)
	for n := range 3 {
		b.report(n, jobs.Report{})
	}
	starts := b.starts()
	require.Len(t, starts, 3)
	var stopped []jobs.WorkerID
	for tick := range 60 {
		for _, s := range starts {
			progress := jobs.Percent(2 * tick)
			if s.Worker.ID == b.ids[0] {
				progress = 1 // stands still
			}
			index := map[jobs.WorkerID]int{b.ids[0]: 0, b.ids[1]: 1, b.ids[2]: 2}[s.Worker.ID]
			b.report(index, jobs.Report{Running: []jobs.Run{{Task: s.Call.Task, Run: s.Call.Run, Progress: min(99, progress), Figure: 3000}}})
		}
		for _, order := range b.Decide(b.now) {
			if stop, ok := order.(StopOrder); ok {
				stopped = append(stopped, stop.Worker.ID)
			}
		}
		if len(stopped) > 0 {
			break
		}
	}
	require.Equal(t, []jobs.WorkerID{b.ids[0]}, stopped)
	require.False(t, b.usable(b.workers[b.ids[0]], b.now))
	require.True(t, b.usable(b.workers[b.ids[1]], b.now))
}

func TestRepeatedStartThatIsNotDoneIsBarred(t *testing.T) {
	for _, second := range []Result{{Outcome: OutcomeNotDone}, {Outcome: OutcomeRefused, Refusal: jobs.RefusedRoom}} {
		b := newBench(t, 2)
		b.AddJob(b.job(one), jobs.Progress{}, true, b.now)
		b.report(0, jobs.Report{})
		b.report(1, jobs.Report{})
		first := b.starts()
		require.Len(t, first, 1)
		b.Started(first[0], Result{Outcome: OutcomeUnknown}, b.now)
		again := b.starts()
		require.Len(t, again, 1)
		require.Equal(t, first[0], again[0], "the same run is asked for again")
		b.Started(again[0], second, b.now)
		for _, order := range b.Decide(b.now) {
			stop, ok := order.(StopOrder)
			require.True(t, ok, "the first call may still be done: nothing starts elsewhere")
			require.Equal(t, first[0].Call.Run, stop.Call.Run)
		}
	}
}

// TestHarmEndsInTime has a tail over its target that the model doesn't explain: what fills
// beside it must be at a stand well before the four seconds after which harm counts.
func TestHarmEndsInTime(t *testing.T) {
	b := newBench(t, 1)
	serving := servingStep
	filling := jobs.Step{Count: 1, Size: models.Resources{CPU: 1000, Memory: 10}, Estimate: 60_000, Image: "filling", Fills: true, Checkpoints: true}
	b.AddJob(b.job(serving, filling), jobs.Progress{}, true, b.now)
	b.report(0, jobs.Report{})
	starts := b.starts()
	require.Len(t, starts, 2)
	tail := 30
	report := func() {
		var running []jobs.Run
		for _, s := range starts {
			figure := 900
			if s.Call.Task.Step == 0 {
				figure = tail
			}
			running = append(running, jobs.Run{Task: s.Call.Task, Run: s.Call.Run, Figure: figure})
		}
		known := b.pressure.factorsOf("serving")
		i := b.pressure.indexOf("filling")
		known.mean[i], known.shared[i], known.covariance[i][i] = 0, 0, 0 // as if learned for sure
		b.report(0, jobs.Report{Running: running})
	}
	report()
	b.Decide(b.now)
	tail = 150 // just after a report
	over := b.now
	for b.now.Sub(over) < 10*time.Second {
		call, ok := b.LeaseCall(b.ids[0], time.Second, b.now)
		require.True(t, ok)
		b.now = b.now.Add(call.Wait)
		report()
		for _, order := range b.Decide(b.now) {
			if pace, ok := order.(PaceOrder); ok && pace.Call.Pace == 0 {
				require.Less(t, b.now.Sub(over), 3*time.Second)
				return
			}
		}
	}
	require.Fail(t, "it fills on")
}
