// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package log

import (
	"sync"

	"go.uber.org/zap"
)

// TroubleConfig sets the messages for the beginning and the end of an outage.
type TroubleConfig struct {
	Logger *zap.Logger
	Began  string // message of the first failure, logged as a warning
	Ended  string // message of the first success after a failure
}

// Trouble logs the beginning and the end of an outage of an operation that is repeated: the first failure and
// the first success after it. It is safe for concurrent use.
type Trouble struct {
	config  TroubleConfig
	mu      sync.Mutex
	failing bool
}

// NewTrouble returns a logger for an operation that has not failed yet.
func NewTrouble(config TroubleConfig) *Trouble { return &Trouble{config: config} }

// Note takes the result of an attempt, and logs if the operation starts or stops failing.
func (t *Trouble) Note(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if failing := err != nil; failing == t.failing {
		return
	}
	t.failing = err != nil
	if t.failing {
		t.config.Logger.Warn(t.config.Began, Err(err)...)
		return
	}
	t.config.Logger.Info(t.config.Ended)
}
