// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

// retryBudget is a budget for repeated starts that is earned by answered starts. When answers are lost one by one, each
// start may be repeated; when hardly any answer arrives, repeating would double a load that the owner or its link
// cannot carry already.
type retryBudget struct{ tokens float64 }

const (
	// retriesPerAnswer is how many repetitions an answered start pays for. With half of all answers lost one by one,
	// four starts need two repetitions and yield three answers, so two thirds are enough.
	retriesPerAnswer = 0.7
	// maxRetryTokens bounds the saved budget: it covers a burst of lost answers, not an outage.
	maxRetryTokens = 50
)

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

// earn credits an answered start.
func (r *retryBudget) earn() { r.tokens = min(maxRetryTokens, r.tokens+retriesPerAnswer) }

// take reports whether a start may be repeated, and debits the budget for it.
func (r *retryBudget) take() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
