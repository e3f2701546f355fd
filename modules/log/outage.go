// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package log

import (
	"sync"

	"go.uber.org/zap"
)

// OutageLoggerConfig sets the messages for the beginning and the end of an outage.
type OutageLoggerConfig struct {
	Logger *zap.Logger
	Began  string // message of the first failure, logged as a warning
	Ended  string // message of the first success after a failure
}

// OutageLogger logs the beginning and the end of an outage of an operation that is repeated: the first failure and
// the first success after it. It is safe for concurrent use.
type OutageLogger struct {
	config  OutageLoggerConfig
	mu      sync.Mutex
	failing bool
}

// NewOutageLogger returns a logger for an operation that has not failed yet.
func NewOutageLogger(config OutageLoggerConfig) *OutageLogger { return &OutageLogger{config: config} }

// Observe takes the result of an attempt, and logs if the operation starts or stops failing.
func (o *OutageLogger) Observe(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if failing := err != nil; failing == o.failing {
		return
	}
	o.failing = err != nil
	if o.failing {
		o.config.Logger.Warn(o.config.Began, Err(err)...)
		return
	}
	o.config.Logger.Info(o.config.Ended)
}
