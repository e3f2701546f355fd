// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
)

// These tests check that a refusal is about the job and not about the call that it answers: a refused
// job will not run, whatever earlier calls with the job have done.

// answerOutcome is the outcome of a job according to the answer to a call.
type answerOutcome string

const (
	answerAccepted answerOutcome = "accepted"
	answerRefused  answerOutcome = "refused"
	answerUnknown  answerOutcome = "unknown"
)

type forwarded struct {
	answer models.ForwardAnswer
	err    error
}

// outcomeOf returns the outcome of one job according to the answer.
func (f forwarded) outcomeOf(id models.JobID) answerOutcome {
	for _, job := range append(f.answer.Submitted, f.answer.Cancelled...) {
		if job.ID == id {
			return answerAccepted
		}
	}
	if _, refused := f.answer.Refused[id]; refused {
		return answerRefused
	}
	if _, refused := RefusalOf(f.err); refused {
		return answerRefused
	}
	return answerUnknown
}

// refusalWorld returns a world with one cell, which daemon 0 owns.
func refusalWorld(t *testing.T) (*world, *testOwner) {
	w := newWorld(t, t, 4)
	o, err := w.takeOver(0, worldCells[0])
	require.NoError(t, err)
	w.advance(time.Second)
	return w, o
}

func (w *world) submit(o *testOwner, specs ...models.JobSpec) forwarded {
	answer, err := w.forward(o, models.ForwardCall{Submit: specs})
	return forwarded{answer, err}
}

func (w *world) cancelJob(o *testOwner, id models.JobID) forwarded {
	answer, err := w.forward(o, models.ForwardCall{Cancel: []models.JobID{id}})
	return forwarded{answer, err}
}

// startConcurrently starts a call in a goroutine and lets it get under way before it returns.
func (w *world) startConcurrently(call func() forwarded) <-chan forwarded {
	result := make(chan forwarded, 1)
	go func() { result <- call() }()
	w.advance(200 * time.Millisecond)
	return result
}

// untilJob waits until the owner holds the job.
func (w *world) untilJob(o *testOwner, id models.JobID) {
	w.waitUntil(10*time.Second, "job "+string(id)+" is known to its owner", func() bool {
		answer, err := w.forward(o, models.ForwardCall{ListJobs: true})
		for _, job := range answer.Jobs {
			if job.ID == id {
				return err == nil
			}
		}
		return false
	})
}

// TestRepeatBesideLostAnswer submits a job again while the append that contains it is under way; then
// the answer of the append is lost. The repeated call must not be refused.
func TestRepeatBesideLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, o := refusalWorld(t)
		spec, other := testJob("first", 1, 100), testJob("other", 1, 100)
		w.pause(0)
		first := w.startConcurrently(func() forwarded { return w.submit(o, spec) })
		again := w.startConcurrently(func() forwarded { return w.submit(o, spec) })
		mixed := w.startConcurrently(func() forwarded { return w.submit(o, spec, other) })
		w.setFaults(func(f *worldFaults) { f.lostAnswers = 1 })
		w.resume(0)
		require.Equal(t, answerUnknown, (<-first).outcomeOf("first"))
		require.Equal(t, answerUnknown, (<-again).outcomeOf("first"), "the job is written")
		both := <-mixed
		require.Equal(t, answerUnknown, both.outcomeOf("first"), "the job is written")
		require.Equal(t, answerRefused, both.outcomeOf("other"), "no append contains the job")
		w.untilJob(o, "first")
	})
}

// TestRepeatInOutage submits an accepted job again while the store can't be written, alone and together
// with a new job. Only the new job may be refused.
func TestRepeatInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, o := refusalWorld(t)
		spec, other := testJob("first", 1, 100), testJob("other", 1, 100)
		require.Equal(t, answerAccepted, w.submit(o, spec).outcomeOf("first"))
		w.setFaults(func(f *worldFaults) { f.outage = true })
		require.Equal(t, answerRefused, w.submit(o, other).outcomeOf("other"))
		require.Equal(t, answerAccepted, w.submit(o, spec).outcomeOf("first"), "the job is journalled")
		mixed := w.submit(o, spec, other)
		require.Equal(t, answerAccepted, mixed.outcomeOf("first"), "the job is journalled")
		require.Equal(t, answerRefused, mixed.outcomeOf("other"))
	})
}

// TestRepeatWithWrongJob submits an accepted job together with a job whose id is in use. Only the latter
// may be refused.
func TestRepeatWithWrongJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, o := refusalWorld(t)
		first, second := testJob("first", 1, 100), testJob("second", 1, 100)
		require.Equal(t, answerAccepted, w.submit(o, first, second).outcomeOf("first"))
		changed := testJob("second", 2, 100)
		require.Equal(t, answerRefused, w.submit(o, changed).outcomeOf("second"))
		mixed := w.submit(o, first, changed)
		require.Equal(t, answerAccepted, mixed.outcomeOf("first"), "the job is journalled")
		require.Equal(t, answerRefused, mixed.outcomeOf("second"))
	})
}

// TestRepeatAtFrozenOwner submits an accepted job and a job of unknown outcome again at an owner that has
// handed the cell over. Neither may be refused.
func TestRepeatAtFrozenOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, o := refusalWorld(t)
		spec, open := testJob("first", 1, 100), testJob("open", 1, 100)
		require.Equal(t, answerAccepted, w.submit(o, spec).outcomeOf("first"))
		w.setFaults(func(f *worldFaults) { f.lostAnswers = 1 })
		require.Equal(t, answerUnknown, w.submit(o, open).outcomeOf("open"))
		reply := make(chan models.HandoverCall, 1)
		_, err := awaitReply(w.ctx, o.Owner, freezeMessage{reply: reply}, reply)
		require.NoError(t, err)
		require.Equal(t, answerAccepted, w.submit(o, spec).outcomeOf("first"), "the job is journalled")
		require.NotEqual(t, answerRefused, w.submit(o, open).outcomeOf("open"), "the append with the job is handed over")
	})
}

// idleOwner returns an owner whose loop doesn't run; the test calls its handlers.
func (w *world) idleOwner(daemon int) *Owner {
	vms, j, err := w.newDependencies(daemon, worldCells[0])
	require.NoError(w.t, err)
	require.NoError(w.t, j.Acquire(w.ctx))
	return NewOwner(OwnerConfig{
		Cell: worldCells[0], Epoch: j.Epoch(), Settings: w.settings, Journal: j, Workers: w.workersFor(daemon), Inventory: vms,
		View: w.config, Peers: &worldPeers{w}, Learner: w.learner(), Logger: zap.NewNop(), Scope: tally.NoopScope,
	})
}

// TestRepeatAtEndingOwner ends an owner while its inbox holds a call that repeats a job of the append
// under way. The append may be written, so the call must not be refused.
func TestRepeatAtEndingOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t, 4)
		o := w.idleOwner(0)
		call := models.ForwardCall{Submit: []models.JobSpec{testJob("first", 1, 100)}}
		w.pause(0)
		first, again := make(chan forwardReply, 1), make(chan forwardReply, 1)
		o.handleForward(forwardMessage{call: call, reply: first})
		o.commit(w.ctx)
		o.inbox <- forwardMessage{call: call, reply: again}
		o.refusePending()
		require.Equal(t, answerUnknown, forwardedOf(<-first).outcomeOf("first"), "the job may be written")
		require.Equal(t, answerUnknown, forwardedOf(<-again).outcomeOf("first"), "the job may be written")
	})
}

// TestAppendCutOff cancels an append that is under way, as the end of its owner does, and lets the owner
// handle the result before it ends. The append may be written, so the call must not be refused.
func TestAppendCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t, 4)
		o := w.idleOwner(0)
		call := models.ForwardCall{Submit: []models.JobSpec{testJob("first", 1, 100)}}
		w.pause(0)
		first := make(chan forwardReply, 1)
		o.handleForward(forwardMessage{call: call, reply: first})
		o.commit(w.ctx)
		o.cancelAppend()
		o.handle(<-o.inbox)
		o.refusePending()
		require.Equal(t, answerUnknown, forwardedOf(<-first).outcomeOf("first"), "the job may be written")
	})
}

// TestOverwrittenEntry loses the answer of an append and lets other owners overwrite its slot in the
// ring. The job is then submitted again at the first owner, which can no longer find its entry and
// must not refuse the job, because the entry was written.
func TestOverwrittenEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t, 4)
		o := w.idleOwner(0)
		call := models.ForwardCall{Submit: []models.JobSpec{testJob("first", 1, 100)}}
		first, again := make(chan forwardReply, 1), make(chan forwardReply, 1)
		o.handleForward(forwardMessage{call: call, reply: first})
		w.setFaults(func(f *worldFaults) { f.lostAnswers = 1 })
		o.commit(w.ctx)
		o.handle(<-o.inbox) // the answer is lost
		w.pause(0)
		require.Equal(t, answerUnknown, forwardedOf(<-first).outcomeOf("first"))
		for range w.settings.RingSlots + 1 {
			_, j, err := w.newDependencies(1, worldCells[0])
			require.NoError(t, err)
			require.NoError(t, j.Acquire(w.ctx))
			require.NoError(t, j.Append(w.ctx, models.CellChange{}))
		}
		w.resume(0)
		for !o.superseded {
			o.handle(<-o.inbox)
		}
		o.handleForward(forwardMessage{call: call, reply: again})
		require.Equal(t, answerUnknown, forwardedOf(<-again).outcomeOf("first"), "the job was written")
	})
}

func forwardedOf(r forwardReply) forwarded { return forwarded{r.answer, r.err} }

// TestRepeatedCancellation cancels jobs again while the store can't be written. A job whose first
// cancellation was journalled is accepted, and a job whose first answer was lost must not be refused.
func TestRepeatedCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, o := refusalWorld(t)
		require.Equal(t, answerAccepted, w.submit(o, testJob("first", 1, 100_000), testJob("second", 1, 100_000)).outcomeOf("first"))
		require.Equal(t, answerAccepted, w.cancelJob(o, "first").outcomeOf("first"))
		w.setFaults(func(f *worldFaults) { f.lostAnswers = 1 })
		w.pause(0)
		lost := w.startConcurrently(func() forwarded { return w.cancelJob(o, "second") })
		w.resume(0)
		require.Equal(t, answerUnknown, (<-lost).outcomeOf("second"))
		w.setFaults(func(f *worldFaults) { f.outage = true })
		require.NotEqual(t, answerRefused, w.cancelJob(o, "second").outcomeOf("second"), "the cancellation may be written")
		require.Equal(t, answerAccepted, w.cancelJob(o, "first").outcomeOf("first"), "the cancellation is journalled")
	})
}

// TestCancellationBesideSubmission cancels a job whose submission waits for its append. The answer must
// wait until the cancellation is journalled too. Cancelling a job that doesn't exist is refused.
func TestCancellationBesideSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t, 4)
		o := w.idleOwner(0)
		submitted, cancelled := make(chan forwardReply, 1), make(chan forwardReply, 1)
		cancel := models.ForwardCall{Cancel: []models.JobID{"first", "none"}}
		o.handleForward(forwardMessage{call: models.ForwardCall{Submit: []models.JobSpec{testJob("first", 1, 100)}}, reply: submitted})
		o.handleForward(forwardMessage{call: cancel, reply: cancelled})
		o.commit(w.ctx)
		o.handle(<-o.inbox)
		require.Equal(t, answerAccepted, forwardedOf(<-submitted).outcomeOf("first"))
		require.Empty(t, cancelled, "the cancellation is not journalled yet")
		w.advance(w.settings.Append)
		o.commit(w.ctx)
		o.handle(<-o.inbox)
		answer := forwardedOf(<-cancelled)
		require.Equal(t, answerAccepted, answer.outcomeOf("first"))
		require.Equal(t, answerRefused, answer.outcomeOf("none"))
		require.Equal(t, models.JobCancelled, o.journal.State().Jobs["first"].State)
	})
}

// TestOfferForSuccessor offers a task to an owner in the epoch of its successor, and then delivers
// another cell's report, which runs the waiters. That the owner holds no record of the task must not
// be taken for an acceptance.
func TestOfferForSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t, 4)
		o := w.idleOwner(0)
		offered := models.Job{JobSpec: testJob("away", 1, 100)}.NewTask(0)
		offered.State, offered.Attempt = models.TaskOffered, 1
		offers, reports := make(chan models.OfferAnswer, 1), make(chan models.ReportAnswer, 1)
		o.handleOffer(offerMessage{reply: offers, call: models.OfferCall{
			From: worldCells[1], To: worldCells[0], Epoch: o.config.Epoch + 1, Tasks: []models.Task{offered},
		}})
		o.handleReport(reportMessage{reply: reports, call: models.ReportCall{To: worldCells[0]}})
		select {
		case answer := <-offers:
			require.Empty(t, answer.Accepted, "no owner has accepted the task")
		default:
		}
	})
}

// TestReportToFormerHome reports the end of a task to an owner that has been superseded without noticing
// and doesn't know the task. The owner must not settle the report, because its successor's journal
// holds the task.
func TestReportToFormerHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t, 4)
		o := w.idleOwner(0)
		_, j, err := w.newDependencies(1, worldCells[0])
		require.NoError(t, err)
		require.NoError(t, j.Acquire(w.ctx))
		moved := models.Job{JobSpec: testJob("away", 1, 100)}.NewTask(0)
		moved.State, moved.Attempt, moved.Peer = models.TaskMoved, 1, worldCells[1]
		require.NoError(t, j.Append(w.ctx, models.CellChange{Tasks: []models.Task{moved}}))
		ended := moved
		ended.State, ended.Attempt, ended.Outcome, ended.Home, ended.Peer = models.TaskDone, 2, models.OutcomeSucceeded, worldCells[0], ""
		reports := make(chan models.ReportAnswer, 1)
		o.handleReport(reportMessage{reply: reports, call: models.ReportCall{To: worldCells[0], Tasks: []models.Task{ended}}})
		o.commit(w.ctx)
		w.advance(time.Second)
		for len(o.inbox) > 0 {
			o.handle(<-o.inbox)
		}
		require.Empty(t, reports, "the home cell's owner has not journalled the end of the task")
	})
}

// TestReportOfForgottenTask reports the end of a task that the home cell has already settled and dropped.
// The home must settle the report again.
func TestReportOfForgottenTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t, 4)
		o := w.idleOwner(0)
		ended := models.Job{JobSpec: testJob("away", 1, 100)}.NewTask(0)
		ended.State, ended.Attempt, ended.Outcome, ended.Home = models.TaskDone, 2, models.OutcomeSucceeded, worldCells[0]
		reports := make(chan models.ReportAnswer, 1)
		o.handleReport(reportMessage{reply: reports, call: models.ReportCall{To: worldCells[0], Tasks: []models.Task{ended}}})
		o.commit(w.ctx)
		w.advance(time.Second)
		for len(o.inbox) > 0 {
			o.handle(<-o.inbox)
		}
		require.Equal(t, []models.TaskID{ended.ID}, (<-reports).Settled)
	})
}

// TestUnansweredMessage sends a message to an owner that receives it and ends without a reply. The message
// may have been executed, so the error must not be a refusal.
func TestUnansweredMessage(t *testing.T) {
	ended := &Owner{inbox: make(chan message, inboxSize), done: make(chan struct{})}
	var msg message = forwardMessage{call: models.ForwardCall{Submit: []models.JobSpec{testJob("first", 1, 100)}}}
	go func() {
		<-ended.inbox
		close(ended.done)
	}()
	_, err := awaitReply(context.Background(), ended, msg, make(chan forwardReply))
	_, refused := RefusalOf(err)
	require.False(t, refused, "the loop has received the message and may have executed it: %v", err)
}
