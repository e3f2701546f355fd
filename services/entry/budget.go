// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors of an upstream's answer.
var (
	errForeignAnswer   = errors.New("the answer belongs to another request")
	errShortAnswer     = errors.New("the answer was cut off")
	errUpstreamRefused = errors.New("the upstream refused without running the request")
)

func statusError(status int) error {
	return errors.New("the upstream answered " + strconv.Itoa(status))
}

// retryBudget limits retries to a fraction of the requests, so that retries cannot multiply
// the load while upstreams fail.
type retryBudget struct {
	mu         sync.Mutex
	perRequest float64 // tokens that a request adds
	tokens     float64 // retries available
}

// maxRetryTokens bounds the retries that can accumulate.
const maxRetryTokens = 20

func newRetryBudget(percent int) *retryBudget {
	return &retryBudget{perRequest: float64(percent) / 100, tokens: maxRetryTokens / 2}
}

// deposit adds the tokens of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+b.perRequest)
}

// tryWithdraw consumes the token of one retry; false if less than one token is left.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
