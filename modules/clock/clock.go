// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package clock waits, and tells the time by which leases are judged.
//
// # Usage
//
//	if !clock.Sleep(ctx, time.Second) {
//		return // ctx has ended
//	}
//	lease := clock.New(clock.Config{})
//	if lease.Read().Before(end) { … } // also right after the VM was suspended
package clock

import (
	"context"
	"time"
)

// Sleep waits for d; false when ctx ended before.
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
