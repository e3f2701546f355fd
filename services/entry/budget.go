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

// budget allows retries as a part of requests, so that retries can't multiply the
// load when upstreams fail.
type budget struct {
	mu      sync.Mutex
	percent float64
	tokens  float64
}

// budgetMost is how many retries can be saved up.
const budgetMost = 20

func newBudget(percent int) *budget {
	return &budget{percent: float64(percent) / 100, tokens: budgetMost / 2}
}

// earn counts one request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMost, b.tokens+b.percent)
}

// take uses up one retry; false when there is none.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
