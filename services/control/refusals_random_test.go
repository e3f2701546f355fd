// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/platform"
)

// replyKind is the kind of the reply to a change.
type replyKind string

const (
	replyDone    replyKind = "done"
	replyNotDone replyKind = "not done"
	replyMaybe   replyKind = "maybe"
	replyNoJob   replyKind = "no such job"
)

// reply is the reply to a change. advised tells that the caller was told when to retry, or that a retry is useless.
type reply struct {
	kind    replyKind
	advised bool
}

// submitReply submits a job. Only submitReply and cancelReply depend on the form in which the service reports the
// outcome of a change.
func submitReply(ctx context.Context, s *Service, spec jobs.Spec) reply {
	return replyOf(s.Submit(ctx, spec, jobs.Queue{Name: testQueue, Terms: testTerms}))
}

// cancelReply cancels a job.
func cancelReply(ctx context.Context, s *Service, id jobs.ID) reply {
	return replyOf(s.Cancel(ctx, id))
}

func replyOf(outcome platform.Outcome) reply {
	switch o := outcome.(type) {
	case platform.Done:
		return reply{replyDone, true}
	case platform.NotDone:
		if o.Refusal == platform.RefusedJobNotFound {
			return reply{replyNoJob, true}
		}
		return reply{replyNotDone, o.Refusal == platform.RefusedInvalid || o.RetryAfter > 0}
	default:
		return reply{replyMaybe, true}
	}
}

// refusalStep is one step of a script, and the time until the next step.
type refusalStep struct {
	What   string        `json:"what"`
	Daemon int           `json:"daemon"`
	Job    int           `json:"job"`
	Leaves time.Duration `json:"leaves,omitempty"` // the caller leaves after this time; 0: it waits
	Writes []plannedCall `json:"writes,omitempty"` // outcomes of the daemon's next writes about the job
	Reads  []plannedCall `json:"reads,omitempty"`
	Wait   time.Duration `json:"wait"`
}

// Kinds of steps. A step that changes the default outcome of a daemon's store is named by that outcome.
const (
	stepSubmit      = "hand in"
	stepCancel      = "cancel"
	stepRevokeLease = "lapse lease"
	stepKill        = "kill daemon"
	stepForget      = "store forgets"
	refusalJobs     = 4
)

var refusalStepKinds = []string{
	stepSubmit, stepSubmit, stepSubmit, stepSubmit, stepSubmit, stepSubmit, stepCancel, stepCancel, stepCancel,
	stepRevokeLease, stepKill, stepForget,
	string(outcomeDone), string(outcomeDone), string(outcomeUnavailable), string(outcomeLimited), string(outcomeSilent), string(outcomeLost), string(outcomeWritesLimited),
}

const (
	// scriptTaskTime is how long the tasks of the scripts' jobs run.
	scriptTaskTime = 800 * time.Millisecond
	// wideCount is the number of tasks of a wide job: more tasks of refusalSize than one of two cells can run at once.
	wideCount = 8
	// callerTimeout is how long a caller waits that doesn't leave early.
	callerTimeout = 3 * time.Second
	// storeUnusableAfter is how long a daemon may take to detect that the store performs nothing.
	storeUnusableAfter = 3 * time.Second
	// maxRefusalTime limits the time of a refusal once the daemon must have detected that.
	maxRefusalTime = 100 * time.Millisecond
	// maxStartAfterCancel is how long after a cancellation tasks may still start.
	maxStartAfterCancel = 3 * time.Second
	// daemonStartPause is the pause between the starts of two daemons, so that their calls come in the same order in
	// each run.
	daemonStartPause = 11 * time.Millisecond
	// stagger keeps two calls from being made at the same instant.
	stagger = 37 * time.Microsecond
)

var refusalSize = models.Resources{CPU: 1500, Memory: 500}

func drawPlan(rt *rapid.T, name string, outcomes []callOutcome) []plannedCall {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) plannedCall {
		planned := plannedCall{Outcome: rapid.SampledFrom(outcomes).Draw(rt, "fate")}
		if planned.Outcome == outcomeLate {
			planned.Late = time.Duration(rapid.IntRange(200, 5000).Draw(rt, "late")) * time.Millisecond
		}
		return planned
	}), 0, 4).Draw(rt, name)
}

func drawRefusalStep(rt *rapid.T) refusalStep {
	step := refusalStep{
		What:   rapid.SampledFrom(refusalStepKinds).Draw(rt, "what"),
		Daemon: rapid.IntRange(0, scriptDaemons-1).Draw(rt, "daemon"),
		Job:    rapid.IntRange(1, refusalJobs).Draw(rt, "job"),
		Wait:   time.Duration(rapid.OneOf(rapid.IntRange(0, 400), rapid.IntRange(0, 4000)).Draw(rt, "wait")) * time.Millisecond,
	}
	if step.What == stepSubmit || step.What == stepCancel {
		if rapid.Bool().Draw(rt, "leaves early") {
			step.Leaves = time.Duration(rapid.IntRange(1, 1500).Draw(rt, "leaves")) * time.Millisecond
		}
		step.Writes = drawPlan(rt, "writes", []callOutcome{outcomeDone, outcomeLost, outcomeUnavailable, outcomeLimited, outcomeLate, outcomeSilent})
		step.Reads = drawPlan(rt, "reads", []callOutcome{outcomeDone, outcomeSlow, outcomeUnavailable, outcomeLimited, outcomeSilent})
	}
	return step
}

// refusalCheck looks for one kind of violation.
type refusalCheck struct {
	fault string                     // the same for each violation of the kind, so that rapid shrinks the script
	find  func(p *refusalRun) string // describes a violation; empty: none
}

var (
	refusalChecks = []refusalCheck{
		{"a call that stored its job is refused", (*refusalRun).refusedThoughStored},
		{"a daemon refuses a job that it may have stored, or may still store", (*refusalRun).refusedThoughUnknown},
		{"a daemon refuses a job that it stores for another call", (*refusalRun).refusedBesideAnother},
		{"a job that was refused to all callers is stored or has run", (*refusalRun).refusedAndStored},
		{"a refusal comes late, or has no retry advice", (*refusalRun).slowRefusals},
		{"an accepted job is not stored, or does not end", (*refusalRun).lostJobs},
	}
	cancellationChecks = []refusalCheck{
		{"a job starts after its cancellation was answered with no such job", (*refusalRun).startedThoughUnknown},
		{"a cancellation that was reported as done has no effect", (*refusalRun).startedThoughCancelled},
	}
	acceptanceChecks = []refusalCheck{
		{"a daemon refuses a job that it has accepted", (*refusalRun).refusedThoughAccepted},
	}
)

// refusalCellSizes are the numbers of workers per cell: all workers in one cell, and in two.
var refusalCellSizes = []int{scriptWorkers, scriptWorkers / 2}

// TestRandomRefusals runs scripts in which the store performs, refuses, delays or loses individual calls while callers
// submit jobs repeatedly, cancel them and leave. A job that was refused to all callers never runs, and a change that
// was reported as done has taken effect.
func TestRandomRefusals(t *testing.T) {
	t.Run("scripts", func(t *testing.T) {
		runRefusalScripts(t, "testdata/refusals/*.json", slices.Concat(refusalChecks, cancellationChecks))
	})
	for _, perCell := range refusalCellSizes {
		t.Run(fmt.Sprintf("refusals with %d workers to a cell", perCell), func(t *testing.T) { checkRandomRefusals(t, perCell, refusalChecks) })
		t.Run(fmt.Sprintf("cancellations with %d workers to a cell", perCell), func(t *testing.T) { checkRandomRefusals(t, perCell, cancellationChecks) })
	}
}

// TestRandomRefusalsOfAcceptedJobs looks for daemons that accepted a job and refuse a repeated submission of it.
func TestRandomRefusalsOfAcceptedJobs(t *testing.T) {
	t.Run("scripts", func(t *testing.T) {
		runRefusalScripts(t, "testdata/refusals/accepted/*.json", acceptanceChecks)
	})
	for _, perCell := range refusalCellSizes {
		t.Run(fmt.Sprintf("%d workers to a cell", perCell), func(t *testing.T) { checkRandomRefusals(t, perCell, acceptanceChecks) })
	}
}

// runRefusalScripts runs the scripts of data files, which are failures found by random runs.
func runRefusalScripts(t *testing.T, files string, checks []refusalCheck) {
	casefile.Each(t, files, func(t *testing.T, script []refusalStep) {
		for _, perCell := range refusalCellSizes {
			fault, found := runRefusalScript(t, script, perCell, checks)
			require.Empty(t, fault, found)
		}
	})
}

func checkRandomRefusals(t *testing.T, perCell int, checks []refusalCheck) {
	rapid.Check(t, func(rt *rapid.T) {
		script := slices.Concat(rapid.SliceOfN(rapid.SliceOfN(rapid.Custom(drawRefusalStep), 1, 8), 1, 6).Draw(rt, "script")...)
		if fault, found := runRefusalScript(t, script, perCell, checks); found != "" {
			data, err := json.Marshal(script)
			require.NoError(t, err)
			rt.Logf("%s\n%s", found, data)
			rt.Fatal(fault)
		}
	})
}
