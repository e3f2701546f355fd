// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

// shortTasksScript is a script of testdata/short_tasks.json: jobs of filler tasks in a cell whose CPU others use to the last core.
type shortTasksScript struct {
	Name    string         `json:"name"`
	Workers int            `json:"workers"`
	Serving bool           `json:"serving"` // each worker has a serving task, which a filler task pushes over its target
	Jobs    int            `json:"jobs"`
	Losses  int            `json:"losses"`         // runs that each task has lost; two make it a suspect
	Others  []models.Milli `json:"others_work_ms"` // work of the other filler tasks that use the CPU, in turn; empty: they don't end
	LookMS  []models.Milli `json:"look_ms"`        // the times between two looks of callers
	Steps   []shortStep    `json:"steps"`          // one after the other
}

// progress returns the progress of a job whose tasks have lost some runs.
func (s *shortTasksScript) progress() jobs.Progress {
	tasks := make([]int, 0, len(s.Steps))
	for _, step := range s.Steps {
		tasks = append(tasks, step.Tasks)
	}
	return progressWithLosses(s.Losses, tasks...)
}

// progressWithLosses returns the progress of a job with so many tasks in its steps, each of which has lost some runs.
func progressWithLosses(losses int, tasks ...int) jobs.Progress {
	if losses == 0 {
		return jobs.Progress{}
	}
	lost := jobs.Suspicion{Lost: slices.Repeat([]jobs.LostRun{{Run: 1, EvidenceVsChance: 1, EvidenceVsAll: 1, RanAtMost: 100}}, losses)}
	suspicions := jobs.Suspicions{}
	for n, count := range tasks {
		suspicions[n] = map[int]jobs.Suspicion{}
		for index := range count {
			suspicions[n][index] = lost
		}
	}
	return jobs.Progress{Suspected: suspicions}
}

// shortStep is a step of each job of a script.
type shortStep struct {
	Tasks int             `json:"tasks"`
	CPU   models.MilliCPU `json:"cpu"`     // that a task declares; 0: shortTasksSize
	Work  []models.Milli  `json:"work_ms"` // of the tasks, in turn
}

const (
	// shortPaceDelay is how long after its order a pace is in force.
	shortPaceDelay = 100 * time.Millisecond
	shortTime      = 30 * time.Second
)

// lookers are callers who look at what runs at the same interval, each at other moments.
type lookers struct {
	interval time.Duration
	tick     time.Duration           // between the moments at which they look
	lastSeen map[jobs.ID][]time.Time // by the moment of a look within the interval
	longest  time.Duration           // for which one has not seen a job
	of       jobs.ID
}

func newLookers(interval, tick time.Duration) *lookers {
	return &lookers{interval: interval, tick: tick, lastSeen: map[jobs.ID][]time.Time{}}
}

// expect notes a job that is submitted, unless it is known.
func (l *lookers) expect(id jobs.ID, now time.Time) {
	if l.lastSeen[id] == nil {
		l.lastSeen[id] = slices.Repeat([]time.Time{now}, int(l.interval/l.tick))
	}
}

// look notes for how long a caller who looks now has not seen one of the jobs.
func (l *lookers) look(now time.Time, isSeen func(jobs.ID) bool) {
	moment := now.Sub(time.Unix(1_000_000, 0)) % l.interval / l.tick
	for id, seen := range l.lastSeen {
		if isSeen(id) {
			seen[moment] = now
		}
		if unseen := now.Sub(seen[moment]); unseen > l.longest {
			l.longest, l.of = unseen, id
		}
	}
}

// requireSeen checks that they have seen something of each job in time.
func (l *lookers) requireSeen(t *testing.T) {
	t.Helper()
	t.Logf("a caller who looks each %v has not seen a job for %v (%s)", l.interval, l.longest, l.of)
	require.Less(t, l.longest, fillerAllowed+l.interval)
}

// shortTasksSize is the size of a task of the jobs of a script, unless its step names another one.
var shortTasksSize = models.Resources{CPU: 500, Memory: 10}

// newShortTasksBench returns a bench whose workers have no CPU to spare for filler tasks: serving tasks or other filler tasks need it.
func newShortTasksBench(t *testing.T, script shortTasksScript) *standbyBench {
	t.Helper()
	var b *standbyBench
	if script.Serving {
		b = newHarmedBench(t, script.Workers)
	} else {
		b = newStandbyBench(t, script.Workers)
		others := fillerStep
		others.Count, others.Size.CPU, others.Size.Memory = max(1, 200*len(script.Others))*script.Workers, 4000, 1
		b.submit(otherJob, others)
		b.pass(time.Second, nil)
		require.GreaterOrEqual(t, len(b.runsOf(otherJob)), script.Workers)
	}
	b.paceDelay = shortPaceDelay
	b.workOf = func(id jobs.TaskID) time.Duration {
		work := script.Others
		switch {
		case id.Job != otherJob:
			work = script.Steps[id.Step].Work
		case len(work) == 0:
			return time.Hour
		}
		return work[id.Index%len(work)].Duration()
	}
	return b
}

// submitShort adds a job with the steps of a script.
func (b *standbyBench) submitShort(id jobs.ID, steps []shortStep) {
	b.AddJob(b.shortJob(id, steps), jobs.Progress{}, true, b.now)
}

// shortJob returns the record of a job with the steps of a script.
func (b *standbyBench) shortJob(id jobs.ID, steps []shortStep) jobs.Record {
	record := b.job()
	record.Spec.ID = id
	for n, each := range steps {
		step := jobs.Step{Count: each.Tasks, Size: shortTasksSize, Image: fillerStep.Image, Estimate: each.Work[0], Filler: true}
		step.Size.CPU = cmp.Or(each.CPU, step.Size.CPU)
		if n > 0 {
			step.After = []int{n - 1}
		}
		record.Spec.Steps = append(record.Spec.Steps, step)
	}
	return record
}

// seenJobs returns the jobs of a script of which something runs, or which have ended.
func (b *standbyBench) seenJobs(script shortTasksScript) map[jobs.ID]bool {
	tasks := 0
	for _, step := range script.Steps {
		tasks += step.Tasks
	}
	seen := map[jobs.ID]bool{}
	for id, done := range b.succeeded {
		seen[id] = done == tasks
	}
	for _, runs := range b.runs {
		for _, r := range runs {
			seen[r.row.Task.Job] = true
		}
	}
	return seen
}

// TestJobsOfShortTasksAreSeenRunning guards against jobs of which short runs end the wait again and again, so that callers, who look at
// what runs from time to time, see nothing of the job for longer than they allow.
func TestJobsOfShortTasksAreSeenRunning(t *testing.T) { playShortTasks(t, "testdata/short_tasks.json") }

// TestJobsOfShortSuspectsAreSeenRunning guards against the same for tasks that are suspects, which do not stand by.
func TestJobsOfShortSuspectsAreSeenRunning(t *testing.T) {
	playShortTasks(t, "testdata/short_suspects.json")
}

// playShortTasks plays scripts, and requires that callers see something of each job.
func playShortTasks(t *testing.T, scripts string) {
	t.Helper()
	for _, script := range casefile.Read[[]shortTasksScript](t, scripts) {
		t.Run(script.Name, func(t *testing.T) {
			t.Parallel()
			b := newShortTasksBench(t, script)
			var callers []*lookers
			for _, interval := range script.LookMS {
				callers = append(callers, newLookers(interval.Duration(), standbyTick))
			}
			for n := range script.Jobs {
				b.AddJob(b.shortJob(crowdID(n), script.Steps), script.progress(), true, b.now)
				for _, l := range callers {
					l.expect(crowdID(n), b.now)
				}
			}
			b.pass(shortTime, func() {
				seen := b.seenJobs(script)
				for _, l := range callers {
					l.look(b.now, func(id jobs.ID) bool { return seen[id] })
				}
			})
			for _, l := range callers {
				l.requireSeen(t)
			}
		})
	}
}
