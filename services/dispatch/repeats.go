// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

// repeats is a budget of starts that are sent again, earned by starts that are answered: when
// answers get lost one by one each start may be repeated, when hardly any comes repeating
// would double what the owner or its link can't carry already.
type repeats struct{ tokens float64 }

const (
	// retriesPerAnswer is how many repetitions an answered start pays for: enough where half of all answers
	// are lost one by one, for half of the first tries are repeated for two thirds as many answers.
	retriesPerAnswer = 0.7
	// maxRetryTokens bounds what is saved up: a burst of lost answers, not an outage.
	maxRetryTokens = 50
)

func newRepeats() repeats { return repeats{tokens: maxRetryTokens} }

// earn notes a start that was answered.
func (r *repeats) earn() { r.tokens = min(maxRetryTokens, r.tokens+retriesPerAnswer) }

// take tells whether a start may be repeated, and pays for it.
func (r *repeats) take() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
