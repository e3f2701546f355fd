// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"
)

// cordonsLoop follows the operators' cordons until ctx ends.
func (o *Owner) cordonsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sent := o.config.Clock.Now()
		err := o.cordons.update(ctx)
		o.cells.health.record(err)
		if err != nil {
			sleep(ctx, loadRetryPause)
			continue
		}
		o.mu.Lock()
		o.applyCordons(sent)
		o.mu.Unlock()
		wake(o.wakeDecide)
	}
}

// applyCordons passes the cordons as of the given time to the core. The caller holds o.mu.
func (o *Owner) applyCordons(asOf time.Time) {
	o.core.SetCordons(o.cordons.all(), o.config.Clock.Now())
	o.core.CordonsReadAsOf(asOf)
}
