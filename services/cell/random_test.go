// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/config"
	"rillsail.example/rillsail/services/standin/fleet"
)

// TestMain fixes the seed of the random tests, so that CI is reproducible; "make long" passes other
// seeds and more runs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "60", "rapid.shrinktime": "10s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	code := m.Run()
	fmt.Println("random steps taken:", randomSteps)
	os.Exit(code)
}

var randomSteps int

var worldCells = []models.CellID{"cell-rack-0", "cell-rack-1"}

// step is one event of a script, with the parameters of all kinds of events.
type step struct {
	What         string
	Daemon       int
	Cell         models.CellID
	Worker       models.VMID
	Number       int
	Work         models.Milli
	Unrepeatable bool
	Urgent       bool
	Wait         time.Duration
}

var stepKinds = []string{
	"submit", "submit", "submit again", "cancel", "take", "crash", "hand over", "pause", "resume", "outage", "end outage", "lose answers",
	"repeat", "lose replies", "late starts", "late offers", "cut worker", "heal worker", "restart worker", "drain", "cut daemon", "join", "service", "wait",
}

func drawStep(rt *rapid.T) step {
	return step{
		What:         rapid.SampledFrom(stepKinds).Draw(rt, "what"),
		Daemon:       rapid.IntRange(0, 3).Draw(rt, "daemon"),
		Cell:         rapid.SampledFrom(worldCells).Draw(rt, "cell"),
		Worker:       models.VMID(fmt.Sprintf("worker-%d", rapid.IntRange(0, 3).Draw(rt, "worker"))),
		Number:       rapid.IntRange(0, 5).Draw(rt, "number"),
		Work:         models.Milli(rapid.IntRange(100, 6000).Draw(rt, "work")),
		Unrepeatable: rapid.Bool().Draw(rt, "unrepeatable"),
		Urgent:       rapid.Bool().Draw(rt, "urgent"),
		Wait:         time.Duration(rapid.IntRange(1, 60).Draw(rt, "tenths")) * 100 * time.Millisecond,
	}
}

// machine runs a script of steps and records the expected outcome.
type machine struct {
	*world
	specs    map[models.JobID]models.JobSpec // jobs that were or may have been accepted
	homes    map[models.JobID]models.CellID  // home cells of the submitted jobs
	accepted map[models.JobID]bool           // jobs whose acceptance was confirmed
	refused  map[models.JobID]bool           // jobs that were refused and must not run
	canceled map[models.JobID]bool
	drained  map[models.VMID]bool
	wanted   int // number of replicas of the service
}

// TestRandomInterleavings drives owners, successors, workers and the store through random faults. It
// checks after every step that no task runs twice and no VM is overcommitted, and at the end that
// every job has ended as expected.
func TestRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawStep), 5, 40).Draw(rt, "script")
		if failure := runInBubble(t, func(t *testing.T, v *verdict) { play(t, v, script) }); failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}

// TestNamedScripts plays the scripts of testdata: failures that random runs have found, and failures
// that the product is specified to survive.
func TestNamedScripts(t *testing.T) {
	casefile.Each(t, "testdata/scripts/*.json", func(t *testing.T, script []step) {
		require.Empty(t, runInBubble(t, func(t *testing.T, v *verdict) { play(t, v, script) }))
	})
}

// play runs a script, ends all faults and checks the final state.
func play(t *testing.T, v *verdict, script []step) {
	m := &machine{
		world: newWorld(t, v, 4), specs: map[models.JobID]models.JobSpec{}, homes: map[models.JobID]models.CellID{}, accepted: map[models.JobID]bool{},
		refused: map[models.JobID]bool{}, canceled: map[models.JobID]bool{}, drained: map[models.VMID]bool{},
	}
	for i, cell := range worldCells {
		_, err := m.takeOver(i, cell)
		require.NoError(v, err)
	}
	m.advance(time.Second)
	for i, s := range script {
		m.step(i, s)
		randomSteps++
	}
	m.recover()
}

func (m *machine) step(number int, s step) {
	switch s.What {
	case "submit":
		m.submit(number, s)
	case "submit again":
		m.submitAgain(number, s)
	case "cancel":
		m.cancel(s)
	case "take":
		_, _ = m.tryTakeOver(s.Daemon, s.Cell)
	case "crash":
		m.owner(s.Cell).cancel()
		_, _ = m.tryTakeOver(s.Daemon, s.Cell)
	case "hand over":
		m.handOver(s.Daemon, s.Cell)
	case "pause":
		m.pause(s.Daemon)
	case "resume":
		m.resume(s.Daemon)
	case "outage", "end outage":
		m.setFaults(func(f *worldFaults) { f.outage = s.What == "outage" })
	case "lose answers":
		m.setFaults(func(f *worldFaults) { f.lostAnswers = s.Number })
	case "repeat":
		m.setFaults(func(f *worldFaults) { f.repeatCalls = !f.repeatCalls })
	case "lose replies":
		m.setFaults(func(f *worldFaults) { f.lostReplies = s.Number })
	case "late starts":
		m.setFaults(func(f *worldFaults) { f.lateStarts = s.Number })
	case "late offers":
		m.setFaults(func(f *worldFaults) { f.lateOffers = s.Number })
	case "cut worker":
		m.control(s.Worker, fleet.ActionCut)
	case "heal worker":
		m.control(s.Worker, fleet.ActionHeal)
	case "restart worker":
		m.control(s.Worker, fleet.ActionRestart)
	case "drain":
		m.drain(s.Worker)
	case "cut daemon", "join":
		m.setFaults(func(f *worldFaults) { f.cutOff[s.Daemon] = s.What == "cut daemon" })
	case "service":
		m.replicas(s.Number)
	case "wait":
	}
	m.advance(s.Wait)
}

// handOver hands a cell over in its epoch, as an owner does that is stopped during an outage.
func (m *machine) handOver(daemon int, cell models.CellID) {
	o := m.owner(cell)
	m.mu.Lock()
	blocked := m.faults.paused[daemon] != nil || m.faults.paused[o.daemon] != nil
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.ctx, 3*time.Second)
	defer cancel()
	reply := make(chan models.HandoverCall, 1)
	if blocked || daemon == o.daemon {
		return
	}
	call, err := awaitReply(ctx, o.Owner, freezeMessage{reply: reply}, reply)
	if err != nil || call.Epoch == 0 {
		return
	}
	m.adopt(daemon, cell, call)
}

// tryTakeOver takes over a cell, unless the daemon is paused or the store has an outage.
func (m *machine) tryTakeOver(daemon int, cell models.CellID) (*testOwner, error) {
	m.mu.Lock()
	blocked := m.faults.paused[daemon] != nil || m.faults.outage
	m.mu.Unlock()
	if blocked {
		return nil, ErrStoreUnavailable
	}
	return m.takeOver(daemon, cell)
}

func (m *machine) control(vm models.VMID, action fleet.Action) {
	require.NoError(m.t, m.fleet.Apply(fleet.Control{VM: vm, Action: action}))
}

func (m *machine) submit(number int, s step) {
	id := models.JobID(fmt.Sprintf("job-%d", number))
	spec := testJob(id, s.Number+1, s.Work)
	spec.Unrepeatable, spec.Urgent = s.Unrepeatable, s.Urgent
	_, err := m.forward(m.owner(s.Cell), models.ForwardCall{Submit: []models.JobSpec{spec}})
	if _, notRun := RefusalOf(err); notRun {
		m.refused[id] = true
		return
	}
	m.specs[id], m.homes[id] = spec, s.Cell
	m.accepted[id] = err == nil
}

// submitAgain submits in one call a job that may have been accepted and a new one. A daemon that
// doesn't own the cell doesn't know the first job, so its refusal applies to this call only.
func (m *machine) submitAgain(number int, s step) {
	ids := slices.Sorted(maps.Keys(m.specs))
	if len(ids) == 0 {
		return
	}
	known := m.specs[ids[s.Number%len(ids)]]
	fresh := testJob(models.JobID(fmt.Sprintf("job-%d", number)), s.Number+1, s.Work)
	// The job's home is the cell that it was first submitted to.
	answer, err := m.forward(m.owner(m.homes[known.ID]), models.ForwardCall{Submit: []models.JobSpec{known, fresh}})
	result := forwarded{answer, err}
	m.homes[fresh.ID] = m.homes[known.ID]
	switch result.outcomeOf(known.ID) {
	case answerAccepted:
		m.accepted[known.ID] = true
	case answerRefused:
		m.refused[known.ID] = m.refused[known.ID] || !errors.Is(err, ErrNotOwner)
	case answerUnknown:
	}
	switch result.outcomeOf(fresh.ID) {
	case answerRefused:
		m.refused[fresh.ID] = true
	default:
		m.specs[fresh.ID] = fresh
		m.accepted[fresh.ID] = result.outcomeOf(fresh.ID) == answerAccepted
	}
}

func (m *machine) cancel(s step) {
	for id := range m.specs {
		if int(id[len(id)-1]-'0')%6 != s.Number {
			continue
		}
		m.canceled[id] = true
		_, _ = m.forward(m.owner(s.Cell), models.ForwardCall{Cancel: []models.JobID{id}})
	}
}

func (m *machine) drain(vm models.VMID) {
	m.drained[vm] = !m.drained[vm]
	m.rebuildConfig()
}

func (m *machine) replicas(n int) {
	m.wanted = n
	m.rebuildConfig()
}

// rebuildConfig sets a new revision of the configuration with the current drains and service.
func (m *machine) rebuildConfig() {
	objects := []models.Object{models.Team{Name: "office"}}
	for vm, drained := range m.drained {
		if drained {
			objects = append(objects, models.VMLabels{VM: vm, Labels: map[string]string{models.LabelDrain: "true"}})
		}
	}
	if m.wanted > 0 {
		objects = append(objects, models.Service{
			Name: "quotes", Team: "office", Labels: map[string]string{"app": "quotes"}, Replicas: m.wanted,
			Size: models.Resources{CPU: 1500, Memory: 256}, Target: 100,
		})
	}
	m.setView(config.ViewOf(m.config().Revision()+1, objects...))
}

// recover ends all faults and checks that every job ends and the service has its replicas.
func (m *machine) recover() {
	m.healAll()
	m.drained = map[models.VMID]bool{}
	m.rebuildConfig()
	for i, cell := range worldCells {
		m.waitUntil(time.Minute, "a successor takes over "+string(cell), func() bool {
			_, err := m.takeOver(4+i, cell) // a previous owner's append may win
			return err == nil
		})
	}
	m.waitUntil(10*time.Minute, "every job ends", func() bool {
		jobs := m.jobs()
		for id := range m.specs {
			job, known := jobs[id]
			if known && job.EndedAt == 0 || !known && m.accepted[id] {
				return false
			}
		}
		return true
	})
	for id, job := range m.jobs() {
		require.False(m.t, m.refused[id], "job %s was refused and yet is known to its cell", id)
		m.checkJob(id, job)
	}
	m.waitUntil(time.Minute, "the configured number of replicas runs", func() bool { return m.runningReplicas() == m.wanted })
}

// checkJob compares the journalled counts of a job with the runs that the fleet has recorded.
func (m *machine) checkJob(id models.JobID, job models.Job) {
	require.Equal(m.t, job.Tasks, job.Succeeded+job.Failed+job.MayHaveRun+job.Stopped, "job %s: %+v", id, job)
	finished := 0
	for i := range job.Tasks {
		task := models.JobTaskID(id, i)
		all, kept := m.fleet.FinishedRuns(task)
		require.LessOrEqual(m.t, kept, 1, "task %s", task)
		if job.Unrepeatable {
			require.LessOrEqual(m.t, all, 1, "unrepeatable task %s", task)
		}
		finished += all
	}
	require.GreaterOrEqual(m.t, finished, job.Succeeded, "job %s: %+v", id, job)
	if !job.Unrepeatable && !m.canceled[id] {
		require.Equal(m.t, job.Tasks, job.Succeeded, "job %s: %+v", id, job)
	}
}

func (m *machine) runningReplicas() int {
	n := 0
	for _, cell := range worldCells {
		answer, err := m.forward(m.owner(cell), models.ForwardCall{ListTasks: true})
		if err != nil {
			return -1
		}
		for _, t := range answer.Tasks {
			if t.Kind == models.TaskService && t.State == models.TaskRunning {
				n++
			}
		}
	}
	return n
}
