// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import "context"

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
		o.core.SetCordons(o.cordons.all(), o.config.Clock.Now())
		o.core.CordonsReadAsOf(sent)
		o.mu.Unlock()
		wake(o.wakeDecide)
	}
}
