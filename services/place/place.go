// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package place chooses the worker for a task: first which workers may hold it,
// then which of them it suits best. It decides from what it is given and keeps no
// state, so that the same picture always gives the same choice.
//
// # Usage
//
//	choice := place.Choose(place.Request{Task: t, Workers: workers, Rules: rules, Predict: learner})
//	if choice.Found { start(choice.Worker) } else { explain(choice.Reason) }
package place

import (
	"fmt"
	"slices"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/selector"
)

// Policy says what placement takes into account beside room and rules. The set is
// closed: FirstFit, Feedback and Pairs.
type Policy interface{ policy() }

type (
	// FirstFit takes the first worker with room for batch tasks. A baseline.
	FirstFit struct{}
	// Feedback avoids workers whose services are over target now. A baseline.
	Feedback struct{}
	// Pairs also predicts what a task will do to the services beside it.
	Pairs struct{}
)

func (FirstFit) policy() {}
func (Feedback) policy() {}
func (Pairs) policy()    {}

// PolicyOf finds a policy by its name in the settings.
func PolicyOf(name string) Policy {
	switch name {
	case "first-fit":
		return FirstFit{}
	case "feedback":
		return Feedback{}
	default:
		return Pairs{}
	}
}

// Predictor tells what is known of pairs of tasks; package interference learns it.
type Predictor interface {
	// Slowdown is by how much the batch task raises the service's latency, as a
	// fraction of the latency alone; known is false for a pair never observed.
	Slowdown(service, batch map[string]string) (fraction float64, known bool)
	// Headroom is by how much the service's latency may rise before its target.
	Headroom(service map[string]string) (fraction float64, known bool)
}

// Worker is a worker as placement sees it.
type Worker struct {
	VM      models.VM
	Free    models.Resources
	Tasks   []models.Task // that hold room there
	Usable  bool          // live, answering, not draining, not quarantined
	Why     string        // when not usable
	OverNow bool          // a service there is over its target
	Held    models.TaskID // room there is being freed for this task
	Trying  bool          // a pair that isn't known yet is being tried there
}

// Request is one task to place.
type Request struct {
	Task      models.Task
	Workers   []Worker
	Rules     []models.Rule
	Selectors *selector.Set
	Policy    Policy
	Predict   Predictor
}

// Choice is the result, with the reason in words for operators.
type Choice struct {
	Found  bool
	Worker models.VMID
	Reason string
	// Never tells that no worker of the request could hold the task even if empty.
	Never bool
}

// Choose picks the best worker.
func Choose(r Request) Choice {
	var best *Worker
	bestScore := 0.0
	misses := rejections{}
	for i := range r.Workers {
		w := &r.Workers[i]
		if why := r.rejectionReason(w); why != "" {
			misses.add(why)
			continue
		}
		score, why := r.score(w)
		if why != "" {
			misses.add(why)
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
		if _, first := r.Policy.(FirstFit); first && r.Task.Kind == models.TaskBatch {
			break
		}
	}
	if best == nil {
		return Choice{Reason: misses.String(), Never: !r.fitsEmptyWorker()}
	}
	return Choice{Found: true, Worker: best.VM.ID, Reason: fmt.Sprintf("best of %d workers, score %.2f", len(r.Workers), bestScore)}
}

// fitsEmptyWorker tells whether any worker is large enough when empty.
func (r Request) fitsEmptyWorker() bool {
	return slices.ContainsFunc(r.Workers, func(w Worker) bool { return r.Task.Size.Fits(w.VM.Capacity) })
}

func (r Request) rejectionReason(w *Worker) string {
	switch {
	case !w.Usable:
		return w.Why
	case w.Held != "" && w.Held != r.Task.ID:
		return "room is held for another task"
	case !r.Task.Size.Fits(w.Free):
		return "no room"
	case slices.Contains(r.Task.FailedOn, w.VM.ID):
		return "the task has failed there"
	default:
		return r.violatedRule(w)
	}
}

// violatedRule checks the operators' rules against what runs on the worker.
func (r Request) violatedRule(w *Worker) string {
	for _, other := range w.Tasks {
		if why := ViolatedRule(r.Rules, r.Selectors, r.Task.Labels, other.Labels); why != "" {
			return why
		}
	}
	return ""
}

// ViolatedRule names the rule by which two tasks must not share a VM; empty when they may.
func ViolatedRule(rules []models.Rule, selectors *selector.Set, a, b map[string]string) string {
	shareA, shareB := shareUnset, shareUnset
	for _, rule := range rules {
		switch rule.Kind {
		case models.RuleApart:
			if matchesPair(rule, selectors, a, b) || matchesPair(rule, selectors, b, a) {
				return "rule " + rule.Name + " keeps them apart"
			}
		case models.RuleShare:
			shareA = shareA.with(rule, selectors, a, b)
			shareB = shareB.with(rule, selectors, b, a)
		case models.RuleYield:
		}
	}
	if shareA == shareDenied || shareB == shareDenied {
		return "a share rule doesn't name the other task"
	}
	return ""
}

// sharing sums up the share rules for one side: a task that share rules select
// shares only with the tasks that one of them names.
type sharing int

const (
	shareUnset sharing = iota
	shareDenied
	shareAllowed
)

func (s sharing) with(rule models.Rule, selectors *selector.Set, own, other map[string]string) sharing {
	if s == shareAllowed || !selectors.Matches(rule.Selector, own) {
		return s
	}
	if selectors.Matches(rule.With, other) || selectors.Matches(rule.Selector, other) {
		return shareAllowed
	}
	return shareDenied
}

func matchesPair(rule models.Rule, selectors *selector.Set, a, b map[string]string) bool {
	return selectors.Matches(rule.Selector, a) && selectors.Matches(rule.With, b)
}

// rejections counts why workers could not take the task.
type rejections map[string]int

func (m rejections) add(why string) { m[why]++ }

// String lists the reasons, the most frequent first.
func (m rejections) String() string {
	reasons := make([]string, 0, len(m))
	for why := range m {
		reasons = append(reasons, why)
	}
	slices.SortFunc(reasons, func(a, b string) int {
		if m[a] != m[b] {
			return m[b] - m[a]
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	text := ""
	for i, why := range reasons {
		if i > 0 {
			text += "; "
		}
		text += fmt.Sprintf("%s (%d workers)", why, m[why])
	}
	if text == "" {
		return "the cell has no workers"
	}
	return text
}
