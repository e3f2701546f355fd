// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/modules/log"
)

// newClock creates the clock by which this daemon judges leases, proofs and the age of its data.
// docs/design/clocks.md says which clock each other use needs.
func newClock(c Config) *clock.Clock {
	trouble := log.NewOutageLogger(log.OutageLoggerConfig{
		Logger: c.Logger, Began: "suspensions of the VM cannot be measured", Ended: "suspensions of the VM are measured again",
	})
	return clock.New(clock.Config{
		OnReading: trouble.Observe,
		OnSuspension: func(suspended time.Duration) {
			c.Scope.Counter("suspensions").Inc(1)
			c.Logger.Warn("VM was suspended; the age of all known state grows by that time", zap.Duration("for", suspended))
		},
	})
}
