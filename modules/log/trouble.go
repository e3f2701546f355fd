// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package log

import (
	"sync"

	"go.uber.org/zap"
)

// TroubleConfig says what to log when something begins to fail and when it works again.
type TroubleConfig struct {
	Logger *zap.Logger
	Began  string
	Ended  string
}

// Trouble logs the changes of something that is tried again and again: the first
// failure and the first success after it. It may be used by several goroutines.
type Trouble struct {
	config  TroubleConfig
	mu      sync.Mutex
	failing bool
}

// NewTrouble makes one that has not failed.
func NewTrouble(config TroubleConfig) *Trouble { return &Trouble{config: config} }

// Note takes the result of a try.
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
