// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/interference"
	"rillsail.example/rillsail/services/standin/fleet"
)

var measureTo = flag.String("measure", "", "file to write the figures of the whole measurement to")

var measureMinutes = flag.Int("minutes", 10, "length of each run of the whole measurement")

// trial is one run of a real owner on synctest's clock. The services of its workers are slowed down by
// batch tasks according to a table that the owner can't see.
type trial struct {
	policy    string
	oracle    bool // the policy "pairs" with a learner that knows the table
	seed      uint64
	minutes   int
	waves     bool    // batch tasks arrive in waves instead of steadily
	changing  bool    // the table is replaced halfway through
	lossy     bool    // 3 of 10 answers of workers are lost
	sizeError float64 // declared run times are wrong by a factor of up to 1+sizeError, too long or too short
	faulty    bool    // one worker fails every task that it starts
	unfit     bool    // a job that fits on no VM is first in the queue
}

const (
	trialWorkers  = 8
	trialServices = 3
	trialApps     = 5
	trialTarget   = 100
)

var trialCell = models.CellID("cell-rack-0")

var trialSettings = setting.Cell{
	Lease: 20 * time.Second, Renew: time.Second, Append: 500 * time.Millisecond, Tick: 500 * time.Millisecond,
	RingSlots: 32, KeepJobs: 1000, SettleAfter: 4 * time.Second,
}

// oracle predicts slowdowns from the table itself.
type oracle struct {
	*interference.Learner
	table func() fleet.SlowdownTable
}

// Slowdown implements place.Predictor.
func (o oracle) Slowdown(service, batch map[string]string) (float64, bool) {
	return o.table().Slowdown(service["app"], batch["app"]), true
}

// Headroom implements place.Predictor: the latency without neighbours is half the target.
func (o oracle) Headroom(map[string]string) (float64, bool) { return 1, true }

// trialFigures are the results of a trial.
type trialFigures struct {
	overTarget    float64 // fraction of the service time samples that are over target
	finished      int64
	evictions     int64
	throttles     int64
	failed        int64
	mostEvictions int // most evictions of a single task
}

func (t trial) run(tt *testing.T) trialFigures {
	tt.Helper()
	var f trialFigures
	failure := runInBubble(tt, func(tt *testing.T, v *verdict) {
		table := newTable(t.seed)
		settings := trialSettings
		settings.Policy = t.policy
		w := newWorldOf(tt, v, settings, fleet.Config{
			RunName: "trial", Workers: trialWorkers, PerRack: trialWorkers, Worker: models.Resources{CPU: 16_000, Memory: 61_440},
			Domains: []string{"south/a"}, ListLag: 2 * time.Second, ReportLag: 3 * time.Second, NoListeners: true,
			Slowdowns: table.now, SizeError: t.sizeError, Tick: 100 * time.Millisecond,
		})
		if t.oracle {
			w.learner = func() Learner {
				return oracle{interference.New(interference.Config{}), table.now}
			}
		}
		f = t.runLoad(w, table)
	})
	require.Empty(tt, failure)
	return f
}

// runLoad sets up the cell, submits jobs for the duration of the trial and returns the figures.
func (t trial) runLoad(w *world, table *trialTable) trialFigures {
	objects := []models.Object{models.Team{Name: "office"}}
	for s := range trialServices {
		objects = append(objects, models.Service{
			Name: models.ServiceName(fmt.Sprint("s", s)), Team: "office", Labels: map[string]string{"app": fmt.Sprint("s", s)},
			Replicas: 4, Size: models.Resources{CPU: 4000, Memory: 8192}, Target: trialTarget,
		})
	}
	w.setView(viewOf(2, objects...))
	o, err := w.takeOver(0, trialCell)
	require.NoError(w.t, err)
	w.advance(20 * time.Second)
	if t.faulty {
		require.NoError(w.t, w.fleet.Apply(fleet.Control{VM: "worker-0", Action: fleet.ActionFaulty}))
	}
	if t.unfit {
		_, err := w.forward(o, models.ForwardCall{Submit: []models.JobSpec{t.job("unfit", 0, 1, 20_000)}})
		require.NoError(w.t, err)
	}
	if t.lossy {
		w.setFaults(func(f *worldFaults) { f.lossyReplies = rand.New(rand.NewPCG(t.seed, 4)) })
	}
	before := w.fleet.Audit()
	steps := t.minutes * 6
	for step := range steps {
		if t.changing && step == steps/2 {
			table.set(drawTable(t.seed + 1000))
		}
		t.feed(w, o, step)
		w.advance(10 * time.Second)
	}
	return t.count(w, o, before)
}

// feed submits a job for each app every 10 s; in waves, the tasks of one minute are submitted at once.
func (t trial) feed(w *world, o *testOwner, step int) {
	tasks := 4
	if t.waves {
		if step%6 != 0 {
			return
		}
		tasks *= 6
	}
	var call models.ForwardCall
	for app := range trialApps {
		call.Submit = append(call.Submit, t.job(fmt.Sprintf("job-%d-%d", step, app), app, tasks, 2000))
	}
	_, err := w.forward(o, call)
	require.NoError(w.t, err)
}

func (t trial) job(id string, app, tasks int, cpu models.MilliCPU) models.JobSpec {
	return models.JobSpec{
		ID: models.JobID(id), Team: "office", Labels: map[string]string{"app": fmt.Sprint("b", app)}, Tasks: tasks,
		Size: models.Resources{CPU: cpu, Memory: 1024}, Work: 20_000,
	}
}

func (t trial) count(w *world, o *testOwner, before fleet.Audit) trialFigures {
	after := w.fleet.Audit()
	f := trialFigures{
		overTarget: float64(after.SlowSamples-before.SlowSamples) / float64(max(1, after.Samples-before.Samples)),
		finished:   after.Finished - before.Finished, failed: after.Failed - before.Failed, evictions: o.counts.Evictions, throttles: o.counts.Throttles,
	}
	for _, task := range o.working.Tasks {
		f.mostEvictions = max(f.mostEvictions, task.Evictions)
	}
	return f
}

// policyVariants are the compared policies, the baselines first.
var policyVariants = []struct {
	name string
	trial
}{
	{"first fit", trial{policy: "first-fit"}},
	{"feedback", trial{policy: "feedback"}},
	{"pairs", trial{policy: "pairs"}},
	{"oracle", trial{policy: "pairs", oracle: true}},
}

// TestPairsKeepTargets compares the policies on one table: "pairs" keeps services closer to their
// targets than the baselines and still finishes most of the work.
func TestPairsKeepTargets(t *testing.T) {
	results := map[string]trialFigures{}
	for _, v := range policyVariants {
		v.seed, v.minutes = 1, 4
		results[v.name] = v.run(t)
	}
	assert.Less(t, results["pairs"].overTarget, results["feedback"].overTarget)
	assert.Less(t, results["pairs"].overTarget, results["first fit"].overTarget/2)
	assert.Greater(t, results["pairs"].finished, results["first fit"].finished/2)
	assert.LessOrEqual(t, results["pairs"].mostEvictions, maxEvictions)
}

// quarantineFailures bounds the tasks that may fail before the worker is quarantined: the tasks that
// start on it before the owner has seen the third job's failure.
const quarantineFailures = 25

// TestFaultyWorkerAndUnfitJob makes one worker fail every task that it starts and queues a job first
// that fits on no VM. The other jobs must continue, and no task may be abandoned because of either.
func TestFaultyWorkerAndUnfitJob(t *testing.T) {
	settings := trial{policy: "pairs", seed: 2, minutes: 3, faulty: true, unfit: true}
	f := settings.run(t)
	t.Log("tasks failed:", f.failed)
	assert.Less(t, f.failed, int64(quarantineFailures), "the worker gets no more tasks once different jobs have failed on it")
	settings.faulty, settings.unfit = false, false
	sound := settings.run(t)
	assert.Greater(t, float64(f.finished), 0.6*float64(sound.finished))
}

// TestMeasureInterference compares all policies in all scenes; "make measure" runs it in full length.
func TestMeasureInterference(t *testing.T) {
	minutes, seeds := 1, []uint64{1}
	if *measureTo != "" {
		minutes, seeds = *measureMinutes, []uint64{1, 2, 3, 4, 5}
	}
	scenes := []struct {
		name   string
		change func(*trial)
	}{
		{"steady", func(*trial) {}},
		{"waves", func(t *trial) { t.waves = true }},
		{"table changes", func(t *trial) { t.changing = true }},
		{"3 of 10 reports lost", func(t *trial) { t.lossy = true }},
		{"run times off", func(t *trial) { t.sizeError = 2 }},
		{"a faulty worker", func(t *trial) { t.faulty = true }},
	}
	var b strings.Builder
	fmt.Fprintf(&b, "| scene | policy | service time over target %%: median (least to most) | batch tasks finished | evictions | throttles | most evictions of a task |\n|---|---|---|---|---|---|---|\n")
	for _, s := range scenes {
		for _, v := range policyVariants {
			var runs []trialFigures
			for _, seed := range seeds {
				v.seed, v.minutes = seed, minutes
				s.change(&v.trial)
				runs = append(runs, v.run(t))
			}
			fmt.Fprintf(&b, "| %s | %s | %s |\n", s.name, v.name, row(runs))
		}
	}
	if *measureTo == "" {
		assert.Contains(t, b.String(), "oracle")
		return
	}
	require.NoError(t, os.WriteFile(*measureTo, []byte(b.String()), 0o600))
}

func row(runs []trialFigures) string {
	column := func(value func(trialFigures) float64) []float64 {
		values := make([]float64, len(runs))
		for i, f := range runs {
			values[i] = value(f)
		}
		for i := range values {
			for j := i; j > 0 && values[j] < values[j-1]; j-- {
				values[j], values[j-1] = values[j-1], values[j]
			}
		}
		return values
	}
	over := column(func(f trialFigures) float64 { return 100 * f.overTarget })
	middle := func(values []float64) float64 { return values[len(values)/2] }
	return fmt.Sprintf("%.1f (%.1f to %.1f) | %.0f | %.0f | %.0f | %.0f", middle(over), over[0], over[len(over)-1],
		middle(column(func(f trialFigures) float64 { return float64(f.finished) })),
		middle(column(func(f trialFigures) float64 { return float64(f.evictions) })),
		middle(column(func(f trialFigures) float64 { return float64(f.throttles) })),
		middle(column(func(f trialFigures) float64 { return float64(f.mostEvictions) })))
}
