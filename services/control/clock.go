// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/modules/log"
)

// newClock makes the clock by which this daemon judges leases, proofs and the age of what it
// knows. docs/design/clocks.md says which time each other use needs.
func newClock(c Config) *clock.Clock {
	trouble := log.NewTrouble(log.TroubleConfig{
		Logger: c.Logger, Began: "suspensions of the VM are not counted", Ended: "suspensions of the VM are counted again",
	})
	return clock.New(clock.Config{
		Note: trouble.Note,
		Seen: func(suspended time.Duration) {
			c.Scope.Counter("suspensions").Inc(1)
			c.Logger.Warn("VM was suspended, what was known is older by that", zap.Duration("for", suspended))
		},
	})
}
