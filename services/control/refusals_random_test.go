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

// replyKind is what a caller was told of a change.
type replyKind string

const (
	replyDone    replyKind = "done"
	replyNotDone replyKind = "not done"
	replyMaybe   replyKind = "maybe"
	replyNoJob   replyKind = "no such job"
)

// reply is the verdict on a change, and whether the caller was told when to come back, or
// that it is no use.
type reply struct {
	kind    replyKind
	advised bool
}

// submitReply hands a job in. Together with cancelled it is all that knows the form in which
// the service tells what became of a change.
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
		if o.Why == platform.RefusedNoJob {
			return reply{replyNoJob, true}
		}
		return reply{replyNotDone, o.Why == platform.RefusedUnfit || o.RetryAfter > 0}
	default:
		return reply{replyMaybe, true}
	}
}

// refusalStep is one step of a script, and the time until the next.
type refusalStep struct {
	What   string        `json:"what"`
	Daemon int           `json:"daemon"`
	Job    int           `json:"job"`
	Leaves time.Duration `json:"leaves,omitempty"` // the caller is gone then; 0: it waits
	Writes []plannedCall `json:"writes,omitempty"` // of the daemon's next writes about the job
	Reads  []plannedCall `json:"reads,omitempty"`
	Wait   time.Duration `json:"wait"`
}

// What a step does beside changing the weather of a daemon's store, which is named by the fate.
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
	// scriptTaskTime is how long the tasks of the scripts' jobs work.
	scriptTaskTime = 800 * time.Millisecond
	// wideCount tasks of refusalSize are more than one of two cells can run at once.
	wideCount = 8
	// callerTimeout is how long a caller that doesn't leave waits.
	callerTimeout = 3 * time.Second
	// storeUnusableAfter is how long a daemon may take to know that the store is of no use.
	storeUnusableAfter = 3 * time.Second
	// maxRefusalTime bounds the time of a refusal then.
	maxRefusalTime = 100 * time.Millisecond
	// maxStartAfterCancel is how long after a cancellation that is done the last start may come.
	maxStartAfterCancel = 3 * time.Second
	// daemonStartPause lies between the starts of two daemons, so that their calls are made in the
	// same order each time.
	daemonStartPause = 11 * time.Millisecond
	// stagger keeps two calls from being made in the same instant.
	stagger = 37 * time.Microsecond
)

var refusalSize = models.Resources{CPU: 1500, Memory: 500}

func drawPlan(rt *rapid.T, name string, fates []callOutcome) []plannedCall {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) plannedCall {
		planned := plannedCall{Outcome: rapid.SampledFrom(fates).Draw(rt, "fate")}
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

// refusalCheck looks for one thing that must not be.
type refusalCheck struct {
	fault string                     // the same each time, so that scripts are made shorter
	find  func(p *refusalRun) string // what happened; empty: nothing
}

var (
	refusalChecks = []refusalCheck{
		{"a call is refused that has stored its job", (*refusalRun).refusedThoughStored},
		{"a daemon refuses a job that it may have stored, or may still store", (*refusalRun).refusedThoughUnknown},
		{"a daemon refuses a job that it stores for another call", (*refusalRun).refusedBesideAnother},
		{"a job that all callers were refused is stored or has run", (*refusalRun).refusedAndStored},
		{"a refusal comes late, or does not say when to come back", (*refusalRun).slowRefusals},
		{"an accepted job is not stored, or does not end", (*refusalRun).lostJobs},
	}
	cancellationChecks = []refusalCheck{
		{"a job starts after its cancellation was told that there is no such job", (*refusalRun).startedThoughUnknown},
		{"a cancellation that is done does not hold", (*refusalRun).startedThoughCancelled},
	}
	acceptanceChecks = []refusalCheck{
		{"a daemon refuses a job that it has accepted", (*refusalRun).refusedThoughAccepted},
	}
)

// refusalCellSizes are how many workers a cell may have: one cell, and two.
var refusalCellSizes = []int{scriptWorkers, scriptWorkers / 2}

// TestRandomRefusals plays scripts in which the store does, refuses, delays or loses calls
// one by one while callers hand jobs in again and again, cancel them and leave: what was
// refused by all never runs, and what is said to be done is so.
func TestRandomRefusals(t *testing.T) {
	t.Run("scripts", func(t *testing.T) {
		runRefusalScripts(t, "testdata/refusals/*.json", slices.Concat(refusalChecks, cancellationChecks))
	})
	for _, perCell := range refusalCellSizes {
		t.Run(fmt.Sprintf("refusals with %d workers to a cell", perCell), func(t *testing.T) { checkRandomRefusals(t, perCell, refusalChecks) })
		t.Run(fmt.Sprintf("cancellations with %d workers to a cell", perCell), func(t *testing.T) { checkRandomRefusals(t, perCell, cancellationChecks) })
	}
}

// TestRandomRefusalsOfAcceptedJobs looks for daemons that accepted a job and refuse it when it
// is handed in again.
func TestRandomRefusalsOfAcceptedJobs(t *testing.T) {
	t.Run("scripts", func(t *testing.T) {
		runRefusalScripts(t, "testdata/refusals/accepted/*.json", acceptanceChecks)
	})
	for _, perCell := range refusalCellSizes {
		t.Run(fmt.Sprintf("%d workers to a cell", perCell), func(t *testing.T) { checkRandomRefusals(t, perCell, acceptanceChecks) })
	}
}

// runRefusalScripts plays scripts of data files: failures that random runs have found.
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
