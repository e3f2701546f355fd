// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
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
	Name    string      `json:"name"`
	Workers int         `json:"workers"`
	Serving bool        `json:"serving"` // each worker has a serving task, which a filler task pushes over its target
	Jobs    int         `json:"jobs"`
	Losses  int         `json:"losses"` // runs that each task has lost; two make it a suspect
	Steps   []shortStep `json:"steps"`  // one after the other
}

// shortStep is a step of each job of a script.
type shortStep struct {
	Tasks int            `json:"tasks"`
	Work  []models.Milli `json:"work_ms"` // of the tasks, in turn
}

const (
	// shortPaceDelay is how long after its order a pace is in force.
	shortPaceDelay = 100 * time.Millisecond
	// lookInterval is the time between two looks of a caller at what runs.
	lookInterval = time.Second
	shortTime    = 30 * time.Second
)

// lookers are callers who look at what runs, each at other moments.
type lookers struct {
	lastSeen map[jobs.ID]*[lookInterval / standbyTick]time.Time // by the moment of a look within lookInterval
}

// expect notes a job that is submitted.
func (l *lookers) expect(id jobs.ID, now time.Time) {
	var seen [lookInterval / standbyTick]time.Time
	for moment := range seen {
		seen[moment] = now
	}
	l.lastSeen[id] = &seen
}

// look notes which of the jobs run now, and returns for how long a caller who looks now has not seen one of them at most.
func (l *lookers) look(b *standbyBench, crowd int, finished func(jobs.ID) bool) (longest time.Duration) {
	moment := b.now.Sub(time.Unix(1_000_000, 0)) % lookInterval / standbyTick
	for n := range crowd {
		id := crowdID(n)
		seen := l.lastSeen[id]
		if len(b.runsOf(id)) > 0 || finished(id) {
			seen[moment] = b.now
		}
		longest = max(longest, b.now.Sub(seen[moment]))
	}
	return longest
}

// shortTasksSize is the size of a task of the jobs of a script.
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
		others.Count, others.Size.CPU = script.Workers, 4000
		b.submit(otherJob, others)
		b.pass(time.Second, nil)
		require.Len(t, b.runsOf(otherJob), script.Workers)
	}
	b.paceDelay = shortPaceDelay
	b.workOf = func(id jobs.TaskID) time.Duration {
		if id.Job == otherJob {
			return time.Hour
		}
		work := script.Steps[id.Step].Work
		return work[id.Index%len(work)].Duration()
	}
	return b
}

// submitShort adds a job with the steps of a script, whose tasks have lost some runs.
func (b *standbyBench) submitShort(id jobs.ID, steps []shortStep, losses int) {
	lost := jobs.Suspicion{Lost: slices.Repeat([]jobs.LostRun{{Run: 1, EvidenceVsChance: 1, EvidenceVsAll: 1, RanAtMost: 100}}, losses)}
	suspicions := jobs.Suspicions{}
	record := b.job()
	record.Spec.ID = id
	for n, each := range steps {
		step := jobs.Step{Count: each.Tasks, Size: shortTasksSize, Image: fillerStep.Image, Estimate: each.Work[0], Filler: true}
		if n > 0 {
			step.After = []int{n - 1}
		}
		record.Spec.Steps = append(record.Spec.Steps, step)
		suspicions[n] = map[int]jobs.Suspicion{}
		for index := range each.Tasks {
			suspicions[n][index] = lost
		}
	}
	if losses == 0 {
		suspicions = nil
	}
	b.AddJob(record, jobs.Progress{Suspected: suspicions}, true, b.now)
}

// TestJobsOfShortTasksAreSeenRunning guards against jobs of which short runs end the wait again and again, so that callers, who look at
// what runs from time to time, see nothing of the job for longer than they allow.
func TestJobsOfShortTasksAreSeenRunning(t *testing.T) {
	for _, script := range casefile.Read[[]shortTasksScript](t, "testdata/short_tasks.json") {
		t.Run(script.Name, func(t *testing.T) {
			t.Parallel()
			b := newShortTasksBench(t, script)
			l := lookers{map[jobs.ID]*[lookInterval / standbyTick]time.Time{}}
			for n := range script.Jobs {
				b.submitShort(crowdID(n), script.Steps, script.Losses)
				l.expect(crowdID(n), b.now)
			}
			tasks := 0
			for _, step := range script.Steps {
				tasks += step.Tasks
			}
			longest := time.Duration(0)
			b.pass(shortTime, func() {
				longest = max(longest, l.look(b, script.Jobs, func(id jobs.ID) bool { return b.succeeded[id] == tasks }))
			})
			t.Logf("a caller who looks each %v has not seen a job for %v", lookInterval, longest)
			require.Less(t, longest, fillerAllowed+lookInterval)
		})
	}
}
