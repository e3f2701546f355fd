// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Failures of an answer.
var (
	errForeignAnswer   = errors.New("the answer belongs to another request")
	errShortAnswer     = errors.New("the answer was cut off")
	errUpstreamRefused = errors.New("the upstream refused without running the request")
)

func statusError(status int) error {
	return errors.New("the upstream answered " + strconv.Itoa(status))
}

// retryBudget allows retries as a part of requests, so that retries can't multiply the
// load when upstreams fail.
type retryBudget struct {
	mu         sync.Mutex
	perRequest float64
	tokens     float64
}

// maxRetryTokens is how many retries can be saved up.
const maxRetryTokens = 20

func newRetryBudget(percent int) *retryBudget {
	return &retryBudget{perRequest: float64(percent) / 100, tokens: maxRetryTokens / 2}
}

// deposit counts one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+b.perRequest)
}

// tryWithdraw uses up one retry; false when there is none.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
