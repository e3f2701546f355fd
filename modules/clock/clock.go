// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package clock provides a cancellable sleep, and the clock that leases are checked against.
//
// # Usage
//
//	if !clock.Sleep(ctx, time.Second) {
//		return // ctx has ended
//	}
//	lease := clock.New(clock.Config{})
//	if lease.Read().Before(end) { … } // correct even right after the VM was suspended
package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
