// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package place chooses the worker for a task: it filters the workers that may hold the task and picks the one with the
// highest score. It keeps no state, so equal requests always result in equal choices.
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

// Policy selects what placement takes into account besides free capacity and rules. The set is closed: first fit,
// feedback and pair prediction.
type Policy interface{ policy() }

type (
	// FirstFit places a batch task on the first worker with free capacity. It serves as a baseline.
	FirstFit struct{}
	// Feedback avoids workers on which a service currently exceeds its target. It serves as a baseline.
	Feedback struct{}
	// PairPrediction also predicts by how much a task will slow down the services on the same VM.
	PairPrediction struct{}
)

func (FirstFit) policy()       {}
func (Feedback) policy()       {}
func (PairPrediction) policy() {}

// PolicyOf returns the policy with the given name in the settings, by default pair prediction.
func PolicyOf(name string) Policy {
	switch name {
	case "first-fit":
		return FirstFit{}
	case "feedback":
		return Feedback{}
	default:
		return PairPrediction{}
	}
}

// Predictor predicts the interference between pairs of tasks; package interference implements it.
type Predictor interface {
	// Slowdown returns by how much the batch task raises the service's latency, as a fraction of the baseline
	// latency; known is false for a pair that was never observed.
	Slowdown(service, batch map[string]string) (fraction float64, known bool)
	// Headroom returns by how much the service's latency may rise until it reaches the target, as a fraction of the
	// baseline latency; known is false for a service that was never measured.
	Headroom(service map[string]string) (fraction float64, known bool)
}

// Worker describes a worker to placement.
type Worker struct {
	VM                models.VM
	Free              models.Resources
	Tasks             []models.Task // that hold resources on the worker
	Usable            bool          // the worker is live, answers, and is neither draining nor quarantined
	UnusableReason    string        // reason for which the worker is not usable
	ServiceOverTarget bool          // a service on the worker exceeds its target
	ReservedFor       models.TaskID // capacity on the worker is being freed for this task
	TryingUnknownPair bool          // a pair that is not known yet is being tried on the worker
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

// Choice is the result of a request. Reason explains it to operators.
type Choice struct {
	Found  bool
	Worker models.VMID
	Reason string
	// NeverFits is set when the task exceeds the capacity of every worker of the request.
	NeverFits bool
}

// Choose returns the best worker: the one with the highest score among those that may hold the task, or for a batch task
// under first fit the first of them.
func Choose(r Request) Choice {
	var best *Worker
	bestScore := 0.0
	rejected := rejections{}
	for i := range r.Workers {
		w := &r.Workers[i]
		if why := r.rejectionReason(w); why != "" {
			rejected.add(why)
			continue
		}
		score, why := r.score(w)
		if why != "" {
			rejected.add(why)
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
		return Choice{Reason: rejected.String(), NeverFits: !r.fitsEmptyWorker()}
	}
	return Choice{Found: true, Worker: best.VM.ID, Reason: fmt.Sprintf("best of %d workers, score %.2f", len(r.Workers), bestScore)}
}

// fitsEmptyWorker reports whether the task fits the capacity of any worker.
func (r Request) fitsEmptyWorker() bool {
	return slices.ContainsFunc(r.Workers, func(w Worker) bool { return r.Task.Size.Fits(w.VM.Capacity) })
}

func (r Request) rejectionReason(w *Worker) string {
	switch {
	case !w.Usable:
		return w.UnusableReason
	case w.ReservedFor != "" && w.ReservedFor != r.Task.ID:
		return "room is held for another task"
	case !r.Task.Size.Fits(w.Free):
		return "no room"
	case slices.Contains(r.Task.FailedOn, w.VM.ID):
		return "the task has failed there"
	default:
		return r.violatedRule(w)
	}
}

// violatedRule checks the operators' rules against the tasks on the worker; empty when none is violated.
func (r Request) violatedRule(w *Worker) string {
	for _, other := range w.Tasks {
		if why := ViolatedRule(r.Rules, r.Selectors, r.Task.Labels, other.Labels); why != "" {
			return why
		}
	}
	return ""
}

// ViolatedRule returns the reason for which the rules keep two tasks from sharing a VM; empty when they may share one.
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

// sharing is the result of the share rules for one of two tasks: a task that share rules select may share a VM only with
// the tasks that one of these rules names.
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

// rejections counts the workers that cannot take the task, by reason.
type rejections map[string]int

func (r rejections) add(why string) { r[why]++ }

// String lists the reasons, the most frequent first.
func (r rejections) String() string {
	reasons := make([]string, 0, len(r))
	for why := range r {
		reasons = append(reasons, why)
	}
	slices.SortFunc(reasons, func(a, b string) int {
		if r[a] != r[b] {
			return r[b] - r[a]
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	text := ""
	for i, why := range reasons {
		if i > 0 {
			text += "; "
		}
		text += fmt.Sprintf("%s (%d workers)", why, r[why])
	}
	if text == "" {
		return "the cell has no workers"
	}
	return text
}
