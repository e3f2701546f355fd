// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Ids of the jobs of progressTest.
const (
	waitingJob jobs.ID = "000000000000000c"
	lastingJob jobs.ID = "000000000000000d"
	busyJob    jobs.ID = "000000000000000e"
)

// progressTick is the interval of the checks.
const progressTick = 100 * time.Millisecond

// progressTest is a grid of four workers with a job of two steps and a job with a long-running task, both accepted in a
// time of calm, and a job that the test may use to fill the workers.
type progressTest struct {
	*gridTest
	ended map[jobs.ID]bool // jobs that the daemons show as ended
}

func runProgressTest(t *testing.T, config Config, test func(p *progressTest)) {
	synctest.Test(t, func(t *testing.T) {
		config.Workers, config.PerRack, config.Capacity = 4, 2, models.Resources{CPU: 4000, Memory: 8000}
		config.LongestLease, config.StopTime, config.RestartDelay = time.Hour, testStopTime, time.Second
		p := &progressTest{&gridTest{t, New(config)}, map[jobs.ID]bool{}}
		size := models.Resources{CPU: 1000, Memory: 500}
		p.Expect(jobs.Spec{ID: waitingJob, Payload: "payload", Steps: []jobs.Step{
			{Count: 1, Size: size, Estimate: models.MilliOf(testWork)},
			{Count: 2, Size: size, Estimate: models.MilliOf(testWork), After: []int{0}},
		}}, 3)
		p.Expect(jobs.Spec{ID: lastingJob, Payload: "payload", Steps: []jobs.Step{{Count: 2, Size: size, LongRunning: true}}}, 3)
		p.Expect(jobs.Spec{ID: busyJob, Payload: "payload", Steps: []jobs.Step{
			{Count: 4, Size: models.Resources{CPU: 3000, Memory: 500}, LongRunning: true},
			{Count: 4, Size: models.Resources{CPU: 2000, Memory: 500}, LongRunning: true},
		}}, 3)
		p.pass(2 * calmTime)
		test(p)
	})
}

// pass lets time pass, with checks at each tick.
func (p *progressTest) pass(d time.Duration) {
	for ; d > 0; d -= progressTick {
		p.CheckProgress(func(id jobs.ID) bool { return p.ended[id] })
		time.Sleep(progressTick)
	}
	p.CheckProgress(func(id jobs.ID) bool { return p.ended[id] })
}

// start starts a task of a step of a job.
func (p *progressTest) start(place int, id jobs.ID, step, index int, run jobs.RunID) {
	call := jobs.StartCall{Task: jobs.TaskID{Job: id, Step: step, Index: index}, Run: run, Payload: "payload"}
	call.Until = p.clock(p.incarnationAt(place), time.Now().Add(time.Hour))
	_, err := p.StartRun(p.t.Context(), p.worker(place), call)
	require.NoError(p.t, err)
}

// changeSpec changes the accepted description of a job.
func (p *progressTest) changeSpec(id jobs.ID, change func(spec *jobs.Spec)) {
	spec := p.audit.specs[id]
	change(&spec)
	p.Expect(spec, 3)
}

// fill starts a task of the given step of busyJob on each worker.
func (p *progressTest) fill(step int) {
	for place := range 4 {
		p.start(place, busyJob, step, place, 1)
	}
}

// requireWait requires exactly one breach, of a task that could run and doesn't.
func (p *progressTest) requireWait(task string) {
	p.t.Helper()
	require.Len(p.t, p.Breaches(), 1)
	require.Contains(p.t, p.Breaches()[0], task+" of job")
	require.Contains(p.t, p.Breaches()[0], "could run and doesn't")
}

// TestWaitsAreFound guards against a check that overlooks a task which could run and doesn't.
func TestWaitsAreFound(t *testing.T) {
	for name, test := range map[string]func(p *progressTest) (task string){
		"a job of which nothing was ever started": func(p *progressTest) string {
			p.Accepted(waitingJob)
			p.pass(maxIdleTime)
			require.Empty(p.t, p.Breaches())
			return string(waitingJob) + ".0.0.0"
		},
		"a job whose next step is not started": func(p *progressTest) string {
			p.Accepted(waitingJob)
			p.start(0, waitingJob, 0, 0, 1)
			p.pass(testWork + maxIdleTime - progressTick)
			require.Empty(p.t, p.Breaches())
			return string(waitingJob) + ".0.1.0"
		},
		"a job whose only task was stopped": func(p *progressTest) string {
			p.Accepted(waitingJob)
			p.start(0, waitingJob, 0, 0, 1)
			p.stop(0, jobs.TaskID{Job: waitingJob}, 1)
			p.pass(maxIdleTime - progressTick)
			require.Empty(p.t, p.Breaches())
			return string(waitingJob) + ".0.0.0"
		},
		"a long-running task that was never started, beside one that runs": func(p *progressTest) string {
			p.Accepted(lastingJob)
			p.start(0, lastingJob, 0, 0, 1)
			p.pass(maxIdleTime)
			require.Empty(p.t, p.Breaches())
			return string(lastingJob) + ".0.0.1"
		},
		"a long-running task that was stopped": func(p *progressTest) string {
			p.Accepted(lastingJob)
			p.start(0, lastingJob, 0, 0, 1)
			p.start(1, lastingJob, 0, 1, 1)
			p.stop(0, jobs.TaskID{Job: lastingJob}, 1)
			p.pass(maxAwayTime - progressTick)
			require.Empty(p.t, p.Breaches())
			return string(lastingJob) + ".0.0.0"
		},
		"a long-running task while the pool is three quarters in use": func(p *progressTest) string {
			p.fill(0)
			p.Accepted(lastingJob)
			p.start(0, lastingJob, 0, 0, 1)
			p.pass(maxIdleTime)
			return string(lastingJob) + ".0.0.1"
		},
		"a job on a worker half of which is in use, beside free ones that drain": func(p *progressTest) string {
			p.start(0, busyJob, 1, 0, 1)
			p.drainAllBut(0)
			p.Accepted(waitingJob)
			p.pass(calmTime + maxIdleTime)
			require.Empty(p.t, p.Breaches())
			return string(waitingJob) + ".0.0.0"
		},
		"a job whose due time has come": func(p *progressTest) string {
			p.changeSpec(waitingJob, func(spec *jobs.Spec) {
				spec.Repeat = jobs.Repeat{Count: 1, First: models.UnixMilliOf(time.Now().Add(testWork))}
			})
			p.Accepted(waitingJob)
			p.pass(testWork + maxIdleTime)
			require.Empty(p.t, p.Breaches())
			return string(waitingJob) + ".0.0.0"
		},
		"a job whose success was lost with its worker": func(p *progressTest) string {
			p.changeSpec(waitingJob, func(spec *jobs.Spec) { spec.Steps = spec.Steps[:1] })
			p.Accepted(waitingJob)
			p.start(0, waitingJob, 0, 0, 1)
			p.pass(testWork)
			p.Crash(0)
			p.pass(calmTime + maxIdleTime)
			require.Empty(p.t, p.Breaches())
			return string(waitingJob) + ".0.0.0"
		},
		"a long-running task whose worker is gone for good": func(p *progressTest) string {
			p.Accepted(lastingJob)
			p.start(0, lastingJob, 0, 0, 1)
			p.start(1, lastingJob, 0, 1, 1)
			p.CrashForGood(0)
			p.pass(calmTime + maxIdleTime)
			require.Empty(p.t, p.Breaches())
			return string(lastingJob) + ".0.0.0"
		},
		"a job that waits longer than the time of calm after a fault": func(p *progressTest) string {
			p.Accepted(waitingJob)
			p.BeginFault("store")
			p.pass(time.Minute)
			p.EndFault("store")
			p.pass(calmTime + maxIdleTime)
			require.Empty(p.t, p.Breaches())
			return string(waitingJob) + ".0.0.0"
		},
	} {
		t.Run(name, func(t *testing.T) {
			runProgressTest(t, Config{}, func(p *progressTest) {
				task := test(p)
				p.pass(3 * progressTick)
				p.requireWait(task)
				p.pass(time.Minute)
				require.LessOrEqual(t, len(p.Breaches()), 2, "each wait is reported once")
			})
		})
	}
}

// TestWaitsThatAreAllowed guards against a check that reports tasks which cannot run or need not run.
func TestWaitsThatAreAllowed(t *testing.T) {
	for name, test := range map[string]func(p *progressTest){
		"the job was not accepted":        func(*progressTest) {},
		"the job is cancelled":            func(p *progressTest) { p.Accepted(waitingJob); p.pass(time.Second); p.Cancelled(waitingJob) },
		"the job has ended":               func(p *progressTest) { p.Accepted(waitingJob); p.Ended(waitingJob) },
		"the daemons show the job ended":  func(p *progressTest) { p.Accepted(waitingJob); p.ended[waitingJob] = true },
		"a worker is cut off":             func(p *progressTest) { p.SetFaults(3, Faults{Cut: true}); p.Accepted(waitingJob) },
		"a worker is not listed":          func(p *progressTest) { p.SetListed(3, false); p.Accepted(waitingJob) },
		"a fault of the store lasts":      func(p *progressTest) { p.BeginFault("store"); p.Accepted(waitingJob) },
		"the label fits no worker":        func(p *progressTest) { p.acceptWith(jobs.Step{Requires: "kind-b"}) },
		"the task is too large":           func(p *progressTest) { p.acceptWith(jobs.Step{Size: models.Resources{CPU: 4001}}) },
		"the due time has not come":       func(p *progressTest) { p.acceptDueIn(time.Hour) },
		"half of the pool is in use":      func(p *progressTest) { p.fill(1); p.Accepted(waitingJob) },
		"the workers drain":               func(p *progressTest) { p.drainAllBut(4); p.Accepted(waitingJob) },
		"the workers are too small":       func(p *progressTest) { p.shrinkAll(0.2); p.Accepted(waitingJob) },
		"a task runs all the time":        func(p *progressTest) { p.acceptRunning() },
		"the last worker with room is up": func(p *progressTest) { p.drainAllBut(3); p.fillPlace(3); p.Accepted(lastingJob) },
	} {
		t.Run(name, func(t *testing.T) {
			runProgressTest(t, Config{}, func(p *progressTest) {
				test(p)
				p.pass(time.Minute)
				require.Empty(t, p.Breaches())
			})
		})
	}
}

// acceptWith accepts waitingJob with one task of the given step.
func (p *progressTest) acceptWith(step jobs.Step) {
	step.Count = 1
	p.changeSpec(waitingJob, func(spec *jobs.Spec) { spec.Steps = []jobs.Step{step} })
	p.Accepted(waitingJob)
}

// acceptDueIn accepts waitingJob with its first due time after the given time.
func (p *progressTest) acceptDueIn(d time.Duration) {
	p.changeSpec(waitingJob, func(spec *jobs.Spec) {
		spec.Repeat = jobs.Repeat{Count: 1, First: models.UnixMilliOf(time.Now().Add(d))}
	})
	p.Accepted(waitingJob)
}

// acceptRunning accepts waitingJob, whose only task that is due works for hours.
func (p *progressTest) acceptRunning() {
	p.changeSpec(waitingJob, func(spec *jobs.Spec) { spec.Steps[0].Estimate = models.MilliOf(time.Hour) })
	p.Accepted(waitingJob)
	p.start(0, waitingJob, 0, 0, 1)
}

// drainAllBut drains all workers but the one in a place.
func (p *progressTest) drainAllBut(kept int) {
	for place := range 4 {
		if place != kept {
			p.Drain(place, time.Hour)
		}
	}
}

// shrinkAll sets the capacity of all workers to a part of the configured one.
func (p *progressTest) shrinkAll(part float64) {
	for place := range 4 {
		p.SetCapacity(place, part)
	}
}

// fillPlace leaves room for one task of lastingJob on the worker in a place.
func (p *progressTest) fillPlace(place int) { p.start(place, busyJob, 0, 0, 1) }

// TestPerWorkerLimitsRoom guards against a task that counts as able to run on a worker which has as many tasks of its
// step as it may: two workers with room are enough, one is not.
func TestPerWorkerLimitsRoom(t *testing.T) {
	for free, breaches := range map[int]int{1: 0, 2: 1} {
		runProgressTest(t, Config{}, func(p *progressTest) {
			p.changeSpec(lastingJob, func(spec *jobs.Spec) { spec.Steps[0].Count, spec.Steps[0].PerWorker = 5-free, 1 })
			p.Accepted(lastingJob)
			for place := range 4 - free {
				p.start(place, lastingJob, 0, place, 1)
			}
			p.pass(time.Minute)
			require.Len(t, p.Breaches(), breaches)
		})
	}
}

// TestBoundsOfProgress guards against bounds that differ from the users'.
func TestBoundsOfProgress(t *testing.T) {
	require.Equal(t, []time.Duration{3 * time.Second, 6 * time.Second, 4 * time.Second}, []time.Duration{maxIdleTime, maxAwayTime, calmTime})
	require.Equal(t, 2, requiredRoom)
	require.InDelta(t, 0.5, maxBusyShare, 0)
}

// TestFillersHaveRoomBesideServingTasks guards against a filler task that does not count as able to run on workers where it
// might harm a serving task: callers count only the capacity that it declares.
func TestFillersHaveRoomBesideServingTasks(t *testing.T) {
	for serving, breaches := range map[int]int{3: 1, 4: 1} {
		runProgressTest(t, Config{}, func(p *progressTest) {
			p.changeSpec(busyJob, func(spec *jobs.Spec) {
				spec.Steps = []jobs.Step{{Count: 4, Size: models.Resources{CPU: 500, Memory: 500}, LongRunning: true, Target: 100}}
			})
			p.changeSpec(waitingJob, func(spec *jobs.Spec) { spec.Steps[0].Filler = true })
			for place := range serving {
				p.start(place, busyJob, 0, place, 1)
			}
			p.Accepted(waitingJob)
			p.pass(time.Minute)
			require.Len(t, p.Breaches(), breaches)
		})
	}
}

// TestShortRunEndsWait guards against a wait that goes on although a task ran between two checks.
func TestShortRunEndsWait(t *testing.T) {
	runProgressTest(t, Config{}, func(p *progressTest) {
		p.changeSpec(waitingJob, func(spec *jobs.Spec) { spec.Steps[0].Estimate = 10 })
		p.Accepted(waitingJob)
		p.pass(maxIdleTime - progressTick)
		p.start(0, waitingJob, 0, 0, 1)
		time.Sleep(progressTick / 2)
		p.pass(maxIdleTime)
		require.Empty(t, p.Breaches())
		p.pass(2 * progressTick)
		p.requireWait(string(waitingJob) + ".0.1.0")
	})
}

// TestSuccessLostWithCrashedWorkerIsHeld guards against a task that counts as able to run although it has succeeded on a
// worker that another task has crashed since, and whose loss no owner can know of yet.
func TestSuccessLostWithCrashedWorkerIsHeld(t *testing.T) {
	const downtime = 5 * time.Second
	crash := func(task jobs.TaskID, _ jobs.RunID) (time.Duration, bool) {
		return testWork + time.Second, task.Job == busyJob
	}
	runProgressTest(t, Config{CrashRule: CrashesHoldTheirTasks, Crash: crash}, func(p *progressTest) {
		p.config.RestartDelay = downtime
		p.Accepted(waitingJob)
		p.start(0, busyJob, 0, 0, 1)
		p.start(0, waitingJob, 0, 0, 1)
		p.pass(testWork + time.Second + downtime + maxIdleTime - progressTick)
		require.Empty(t, p.Breaches())
		p.pass(3 * progressTick)
		p.requireWait(string(waitingJob) + ".0.0.0")
	})
}

// TestCrashedWorkerAndCalm guards against a worker that its task crashes and that breaks the calm under a rule under which
// it must not, or doesn't under another.
func TestCrashedWorkerAndCalm(t *testing.T) {
	const downtime = time.Second
	for rule, allowed := range map[CrashRule]time.Duration{
		CrashesAreFaults: downtime + calmTime + maxIdleTime, CrashesHoldTheirTasks: downtime + maxIdleTime, CrashesAreCalm: maxIdleTime,
	} {
		config := Config{CrashRule: rule, Crash: func(jobs.TaskID, jobs.RunID) (time.Duration, bool) { return time.Second, true }}
		runProgressTest(t, config, func(p *progressTest) {
			p.Accepted(waitingJob)
			p.start(0, waitingJob, 0, 0, 1)
			p.pass(time.Second + allowed - progressTick)
			require.Empty(t, p.Breaches())
			p.pass(3 * progressTick)
			p.requireWait(string(waitingJob) + ".0.0.0")
			require.Contains(t, p.Breaches()[0], "crashes its workers")
		})
	}
}
