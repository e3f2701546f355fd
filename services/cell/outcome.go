// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// outcome is what an owner knows about one job of a call: accepted, refused or unknown. The set of
// types is closed and a value is exactly one of them. It is derived from the journalled state and
// the append under way, and not from what the call itself has done, because a call that had no
// effect may name a job that an earlier call has submitted.
type outcome interface{ outcome() }

type (
	// accepted means that the requested change is journalled.
	accepted struct{ job models.Job }
	// refused means that the change is not journalled, and that no append of this owner that may
	// still be written contains it.
	refused struct{ cause error }
	// unknown means that an append whose outcome is unknown contains the change.
	unknown struct{}
)

func (accepted) outcome() {}
func (refused) outcome()  {}
func (unknown) outcome()  {}

// submissionOutcome returns the outcome of a submitted job. cause tells why the call was not
// written; it is nil when the call was written.
func (o *Owner) submissionOutcome(spec models.JobSpec, cause error) outcome {
	job, journalled := o.journalled.Jobs[spec.ID]
	pending, isPending := o.pendingJob(spec.ID)
	switch {
	case journalled && reflect.DeepEqual(job.JobSpec, spec):
		return accepted{o.latestRecord(job)}
	case journalled, isPending && !reflect.DeepEqual(pending.JobSpec, spec):
		return refused{errors.Wrapf(ErrJobIDConflict, "job %s", spec.ID)}
	case isPending:
		return unknown{}
	case cause == nil: // the job was part of an earlier append, which failed
		return refused{ErrStoreUnavailable}
	default:
		return refused{cause}
	}
}

// cancellationOutcome returns the outcome of cancelling a job; cause is the same as for
// submissionOutcome.
func (o *Owner) cancellationOutcome(id models.JobID, cause error) outcome {
	job, journalled := o.journalled.Jobs[id]
	pending, isPending := o.pendingJob(id)
	switch {
	case journalled && job.State != models.JobActive:
		return accepted{o.latestRecord(job)}
	case isPending && (!journalled || pending.State != models.JobActive):
		return unknown{}
	case cause != nil:
		return refused{cause}
	case journalled: // the job's submission was part of the same append
		return unknown{}
	default:
		return refused{errors.Wrapf(ErrJobNotFound, "job %s", id)}
	}
}

// latestRecord returns the working record of a journalled job, or the journalled record when the job
// has been dropped from the working state.
func (o *Owner) latestRecord(journalled models.Job) models.Job {
	if current, ok := o.working.Jobs[journalled.ID]; ok {
		return current
	}
	return journalled
}

// pendingJob returns the record of a job in the append under way, or in the append that was under
// way when this owner ended.
func (o *Owner) pendingJob(id models.JobID) (models.Job, bool) {
	for i := len(o.pendingChange.Jobs) - 1; i >= 0; i-- { // the last record of a job counts
		if o.pendingChange.Jobs[i].ID == id {
			return o.pendingChange.Jobs[i], true
		}
	}
	return models.Job{}, false
}

// changeReply builds the reply to a call that changes jobs; cause tells why the call was not written.
func (o *Owner) changeReply(call models.ForwardCall, cause error) forwardReply {
	var r replyBuilder
	for _, spec := range call.Submit {
		r.add(spec.ID, o.submissionOutcome(spec, cause), &r.answer.Submitted)
	}
	for _, id := range call.Cancel {
		r.add(id, o.cancellationOutcome(id, cause), &r.answer.Cancelled)
	}
	return r.reply(len(call.Submit) + len(call.Cancel))
}

// replyBuilder collects the outcomes of a call's jobs. A job that the answer doesn't name has an
// unknown outcome.
type replyBuilder struct {
	answer  models.ForwardAnswer
	refused []error
}

func (r *replyBuilder) add(id models.JobID, f outcome, done *[]models.Job) {
	switch f := f.(type) {
	case accepted:
		*done = append(*done, f.job)
	case refused:
		if r.answer.Refused == nil {
			r.answer.Refused = map[models.JobID]models.JobRefusal{}
		}
		kind, _ := RefusalOf(f.cause)
		r.answer.Refused[id] = models.JobRefusal{Kind: kind, Reason: f.cause.Error()}
		r.refused = append(r.refused, f.cause)
	case unknown:
	}
}

// reply returns the answer, or an error when all jobs of the call were refused with the same error or
// all have an unknown outcome.
func (r *replyBuilder) reply(jobs int) forwardReply {
	switch {
	case len(r.refused) == jobs && len(slices.Compact(r.refused)) == 1:
		return forwardReply{err: r.refused[0]}
	case len(r.refused)+len(r.answer.Submitted)+len(r.answer.Cancelled) == 0:
		return forwardReply{err: ErrUnknownOutcome}
	default:
		return forwardReply{answer: r.answer}
	}
}
