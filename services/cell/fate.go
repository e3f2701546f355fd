// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// outcome is what an owner knows of one job of a call: accepted, refused or doubtful. The set
// is closed, and a value is one of them only. It is taken from what is journalled and what
// is being written, and not from what the call itself has done: a call that could do
// nothing may name a job that an earlier one has brought in.
type outcome interface{ fate() }

type (
	// accepted says that what was asked for is journalled.
	accepted struct{ job models.Job }
	// refused says that it is not, and that no write of this owner's that may still be
	// done holds it.
	refused struct{ cause error }
	// unknown says that a write holds it of which nobody knows whether it is done.
	unknown struct{}
)

func (accepted) fate() {}
func (refused) fate()  {}
func (unknown) fate()  {}

// submissionOutcome is the fate of a submitted job. cause is why nothing of the call is written;
// nil when it is.
func (o *Owner) submissionOutcome(spec models.JobSpec, cause error) outcome {
	kept, journalled := o.journalled.Jobs[spec.ID]
	written, writing := o.pendingJob(spec.ID)
	switch {
	case journalled && reflect.DeepEqual(kept.JobSpec, spec):
		return accepted{o.latestRecord(kept)}
	case journalled, writing && !reflect.DeepEqual(written.JobSpec, spec):
		return refused{errors.Wrapf(ErrOtherSpec, "job %s", spec.ID)}
	case writing:
		return unknown{}
	case cause == nil: // it was part of an earlier append, which failed
		return refused{ErrNoStore}
	default:
		return refused{cause}
	}
}

// cancellationOutcome is the fate of a job that is to be cancelled, with cause as above.
func (o *Owner) cancellationOutcome(id models.JobID, cause error) outcome {
	kept, journalled := o.journalled.Jobs[id]
	written, writing := o.pendingJob(id)
	switch {
	case journalled && kept.State != models.JobActive:
		return accepted{o.latestRecord(kept)}
	case writing && (!journalled || written.State != models.JobActive):
		return unknown{}
	case cause != nil:
		return refused{cause}
	case journalled: // its submission was part of the same append
		return unknown{}
	default:
		return refused{errors.Wrapf(ErrNoJob, "job %s", id)}
	}
}

// latestRecord is the record of a journalled job with what has come of it since.
func (o *Owner) latestRecord(kept models.Job) models.Job {
	if current, ok := o.working.Jobs[kept.ID]; ok {
		return current
	}
	return kept
}

// pendingJob gives the record of a job in the append under way, or in the one that was when
// this owner ended.
func (o *Owner) pendingJob(id models.JobID) (models.Job, bool) {
	for i := len(o.pendingChange.Jobs) - 1; i >= 0; i-- { // a later record counts
		if o.pendingChange.Jobs[i].ID == id {
			return o.pendingChange.Jobs[i], true
		}
	}
	return models.Job{}, false
}

// changeReply answers a call that changes jobs; cause is why those are refused that are.
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

// replyBuilder puts the fates of a call's jobs together. A job that the answer names
// nowhere is doubtful.
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

// reply gives the answer, or an error when it is the same for all jobs of the call.
func (r *replyBuilder) reply(jobs int) forwardReply {
	switch {
	case len(r.refused) == jobs && len(slices.Compact(r.refused)) == 1:
		return forwardReply{err: r.refused[0]}
	case len(r.refused)+len(r.answer.Submitted)+len(r.answer.Cancelled) == 0:
		return forwardReply{err: ErrMaybe}
	default:
		return forwardReply{answer: r.answer}
	}
}
