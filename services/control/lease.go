// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// renewalsPerLease is how many times the lease is renewed within its duration.
const renewalsPerLease = 4

// leaseLoop renews the daemon's lease in the store until ctx ends.
func (c *Cells) leaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.renewLease(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(c.config.Settings.OwnerLease / renewalsPerLease):
		case <-c.wakeLease:
		}
	}
}

// renewLease renews the daemon's lease, or requests a new one if there is none. It drops all cells if the
// lease has expired.
func (c *Cells) renewLease(ctx context.Context) {
	sent := c.config.Clock.Read()
	c.mu.Lock()
	lease := c.lease
	c.mu.Unlock()
	var err error
	if lease == 0 {
		lease, err = c.config.Store.Grant(ctx, c.config.Settings.OwnerLease)
	} else {
		err = c.config.Store.KeepAlive(ctx, lease)
	}
	c.health.record(err)
	switch {
	case err == nil:
		c.mu.Lock()
		c.lease, c.leaseRenewedAt = lease, sent
		registered := c.registeredVersion
		c.mu.Unlock()
		if registered == 0 {
			c.register(ctx, lease)
			c.wakeClaimLoop() // cells may have no owner
		}
	case errors.Is(err, platform.ErrNoLease):
		c.config.Logger.Warn("lease in the store is over", zap.Duration("after", sent.Sub(c.leaseRenewedAt)))
		c.mu.Lock()
		c.lease, c.registeredVersion = 0, 0
		c.mu.Unlock()
		c.dropAllOwners("lease in the store is over")
		if lease != 0 {
			c.renewLease(ctx) // request a new lease at once: cells without owner wait for it
		}
	}
}

// register writes this daemon's own key under its lease.
func (c *Cells) register(ctx context.Context, lease platform.LeaseID) {
	value, err := json.Marshal(c.self())
	if err != nil {
		c.config.Logger.Error("own daemon key not written: encoding failed", log.Err(err)...)
		return
	}
	version, err := c.config.Store.Commit(ctx, platform.Txn{
		Put: []platform.Write{{Key: daemonKey(c.config.Self), Value: value, Lease: lease}},
	})
	c.health.record(err)
	if err != nil {
		return // retried with the next renewal of the lease
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.registeredVersion = version
	}
}

// registrationVersion returns the version of this daemon's own key, or 0 if the daemon is not registered.
func (c *Cells) registrationVersion() platform.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registeredVersion
}

// markUnregistered records that this daemon's own key no longer has that version, or must not keep it
// because a write that depends on it has an unknown outcome. The daemon registers again at once, because
// it accepts no jobs until then.
func (c *Cells) markUnregistered(version platform.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registeredVersion == version {
		c.registeredVersion = 0
		wake(c.wakeLease)
	}
}
