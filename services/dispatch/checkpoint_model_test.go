// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// taskRun identifies a run of a task.
type taskRun struct {
	task jobs.TaskID
	run  jobs.RunID
}

// checkpointOrigin is the true origin of a checkpoint, known to the model that made it.
type checkpointOrigin struct {
	task    jobs.TaskID
	ordered bool // by a run that some owner had ordered
}

// shownCheckpoint is the newest checkpoint of a task that an owner has been shown.
type shownCheckpoint struct {
	run   jobs.RunID
	text  jobs.Text
	final bool // the run has ended with it
}

// checkpointModel knows the origin of each checkpoint, and what the present owner has been shown.
type checkpointModel struct {
	owner            jobs.Epoch
	checkpoints      map[jobs.Text]checkpointOrigin
	ordered          map[taskRun]jobs.StartCall
	runs             map[jobs.TaskID][]jobs.RunID    // ordered runs
	highest          map[jobs.TaskID]jobs.RunID      // of the ordered and invented runs, and of the runs that other cells started
	highestElsewhere map[jobs.ID]jobs.RunID          // highest run id that other cells assigned before their tasks were moved back
	shown            map[jobs.TaskID]shownCheckpoint // to this owner
}

func newCheckpointModel() checkpointModel {
	return checkpointModel{
		checkpoints: map[jobs.Text]checkpointOrigin{}, ordered: map[taskRun]jobs.StartCall{}, runs: map[jobs.TaskID][]jobs.RunID{},
		highest: map[jobs.TaskID]jobs.RunID{}, highestElsewhere: map[jobs.ID]jobs.RunID{}, shown: map[jobs.TaskID]shownCheckpoint{},
	}
}

// startOwner begins a new owner, which has been shown nothing.
func (m *checkpointModel) startOwner(epoch jobs.Epoch) {
	m.owner = epoch
	clear(m.shown)
}

// minInventedRun is above all run ids that owners up to the present one can have assigned to the task, unless a worker
// has reported an invented run, which raises later ids.
func (m *checkpointModel) minInventedRun(task jobs.TaskID) jobs.RunID {
	return m.highestElsewhere[task.Job] + jobs.RunID(m.owner+1)*runsPerEpoch
}

// inventedRunOffset is above the run ids of all owners of a simulation: an id just above those of one owner could be one
// that its successor assigns.
const inventedRunOffset = 1 << 40

// inventRun returns a run id that no owner has assigned or will assign.
func (m *checkpointModel) inventRun(task jobs.TaskID) jobs.RunID {
	m.highest[task] = max(m.highest[task], m.minInventedRun(task)+inventedRunOffset) + 1
	return m.highest[task]
}

// mayBeOrderedRun reports whether the owner must accept a run as ordered: the run is the present one, ordered by this
// owner, or may be a previous owner's.
func (m *checkpointModel) mayBeOrderedRun(t *task, run jobs.RunID) bool {
	own := t.run == run && m.ordered[taskRun{t.id(), run}].Fence.Epoch() == m.owner
	return own || m.isOrdered(t.id(), run) && run < m.minInventedRun(t.id())
}

func (m *checkpointModel) newCheckpoint(task jobs.TaskID, ordered bool) jobs.Text {
	text := jobs.Text(fmt.Sprintf("text %d", len(m.checkpoints)))
	m.checkpoints[text] = checkpointOrigin{task, ordered}
	return text
}

func (m *checkpointModel) isOrdered(task jobs.TaskID, run jobs.RunID) bool {
	_, ordered := m.ordered[taskRun{task, run}]
	return ordered
}

// recordShown records that a report row of an ordered run has shown a checkpoint. A run's end is its final row.
func (m *checkpointModel) recordShown(core *Core, task jobs.TaskID, shown shownCheckpoint) {
	t := core.find(task)
	if shown.text == "" || t == nil || !t.step.spec.Checkpoints || !m.mayBeOrderedRun(t, shown.run) {
		return
	}
	before, known := m.shown[task]
	if known && (before.run > shown.run || before.run == shown.run && before.final && !shown.final) {
		return
	}
	m.shown[task] = shown
}

// reportBefore is what an owner knows of a worker before its report arrives.
type reportBefore struct {
	taken   bool // no later report was applied before this one
	lastEnd uint64
}

func (m *checkpointModel) beginReport(core *Core, f flight) reportBefore {
	w := core.workers[f.worker.info.ID]
	if w == nil || f.report.Clock < w.reportClock {
		return reportBefore{}
	}
	return reportBefore{taken: true, lastEnd: w.lastEnd}
}

// endReport records the checkpoints that the owner has been shown: in running rows of the run that the owner has assigned
// to the task, and in ends that are listed for the first time, except ends of failed runs.
func (m *checkpointModel) endReport(core *Core, f flight, before reportBefore) {
	if !before.taken {
		return
	}
	for _, run := range f.report.Running {
		t := core.find(run.Task)
		if t != nil && t.worker != nil && t.worker.info.ID == f.worker.info.ID && t.run == run.Run {
			m.recordShown(core, run.Task, shownCheckpoint{run: run.Run, text: run.Checkpoint})
		}
	}
	for _, ended := range f.report.Ended {
		if ended.Number > before.lastEnd && ended.How != jobs.EndFailed {
			m.recordShown(core, ended.Task, shownCheckpoint{run: ended.Run, text: ended.Checkpoint, final: true})
		}
	}
}

// checkStart fails the test when a start brings anything but the newest checkpoint of its task's newest run that has
// shown one. A repeated start must be the same message again.
func (m *checkpointModel) checkStart(t require.TestingT, start StartOrder) {
	call := start.Call
	key := taskRun{call.Task, call.Run}
	if first, repeated := m.ordered[key]; repeated {
		require.Equal(t, first.Fence, call.Fence, "the number of a previous owner's run is given again")
		require.Equal(t, first, call, "a repeated start differs from the first")
		return
	}
	m.ordered[key] = call
	m.runs[call.Task] = append(m.runs[call.Task], call.Run)
	m.highest[call.Task] = max(m.highest[call.Task], call.Run)
	if call.Checkpoint != "" {
		origin, known := m.checkpoints[call.Checkpoint]
		require.True(t, known, "a checkpoint that no run has saved: %q", call.Checkpoint)
		require.Equal(t, call.Task, origin.task, "a checkpoint of another task")
		require.True(t, origin.ordered, "a checkpoint of a run that nobody has ordered")
	}
	require.Equal(t, m.shown[call.Task].text, call.Checkpoint, "not the newest checkpoint of the newest run that has shown one")
}
