// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"
)

// cordonsInterval is the pause between two readings of the cordons, which are to be in force within a second. They are
// read whole, because they are few, and because one more call that waits for changes, and fails with the others when the
// link of a small VM is full, kept its owner from catching up.
const cordonsInterval = 700 * time.Millisecond

// cordonsLoop reads the operators' cordons again and again until ctx ends.
func (o *Owner) cordonsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sent := o.config.Clock.Now()
		cordons, err := o.config.Cordons.Cordons(ctx)
		o.cells.health.record(err)
		if err != nil {
			sleep(ctx, loadRetryPause)
			continue
		}
		o.mu.Lock()
		o.core.SetCordons(cordons, o.config.Clock.Now())
		o.core.CordonsReadAsOf(sent)
		o.mu.Unlock()
		wake(o.wakeDecide)
		sleep(ctx, cordonsInterval)
	}
}
