// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// Configurations watches the operators' configuration and applies its newest version.
type Configurations struct {
	config   Config
	health   *storeHealth
	current  atomic.Pointer[jobs.Configuration]
	onChange func(*jobs.Configuration)
	version  platform.Version // store version to watch from; 0: read first; used by the loop only
	trouble  *log.OutageLogger
	// confirmedAt is when the store last returned a configuration, or said that there is no newer one.
	confirmedAt atomic.Pointer[time.Time]
}

func newConfigurations(c Config, health *storeHealth) *Configurations {
	f := &Configurations{config: c, health: health, trouble: log.NewOutageLogger(log.OutageLoggerConfig{
		Logger: c.Logger, Began: "configuration can't be followed", Ended: "configuration is followed again",
	})}
	f.markConfirmed()
	return f
}

func (c *Configurations) markConfirmed() {
	now := c.config.Clock.Now()
	c.confirmedAt.Store(&now)
}

// unconfirmedFor returns the time since the store last confirmed that the configuration in force is the newest.
func (c *Configurations) unconfirmedFor() time.Duration {
	return c.config.Clock.Since(*c.confirmedAt.Load())
}

// publishMetrics publishes the version in force and the time since it was last confirmed as the newest.
func (c *Configurations) publishMetrics(scope tally.Scope) {
	if current := c.current.Load(); current != nil {
		scope.Gauge("configuration_version").Update(float64(current.Version))
	}
	scope.Gauge("configuration_unconfirmed").Update(c.unconfirmedFor().Seconds())
}

// configurationRetryPause is the pause after a failed read.
const configurationRetryPause = 200 * time.Millisecond

// Run watches the configuration until ctx ends.
func (c *Configurations) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.fetchNext(ctx)
		if ctx.Err() != nil {
			return
		}
		c.trouble.Observe(err)
		if err != nil {
			c.health.record(err)
			sleep(ctx, configurationRetryPause)
		}
	}
}

// fetchNext waits for the next configuration. It reads the configuration instead if there is none
// yet, or if the store no longer keeps the changes since the current one.
func (c *Configurations) fetchNext(ctx context.Context) error {
	read := func() (jobs.Configuration, platform.Version, error) { return c.config.Feed.Configuration(ctx) }
	if c.version > 0 {
		read = func() (jobs.Configuration, platform.Version, error) {
			return c.config.Feed.NextConfiguration(ctx, c.version)
		}
	}
	configuration, version, err := read()
	c.version = max(c.version, version)
	switch {
	case err == nil:
		c.health.record(nil)
		c.markConfirmed()
		c.apply(&configuration)
		return nil
	case version > 0 && errors.Is(err, platform.ErrNotFound):
		c.health.record(nil)
		c.markConfirmed()
		return nil // there is no configuration yet, or no newer one
	case c.version > 0 && mustReload(err):
		// Only the last of several changes matters. A daemon on a narrow link that fetched them one
		// by one would fall further behind with each.
		c.config.Logger.Info("changes of the configuration cannot be watched; reading it whole", zap.Error(err))
		c.version = 0
		return nil
	default:
		// The next watch returns the changes since the version, and transfers nothing if there are none.
		// A read would transfer the whole configuration after every call that the store does not answer.
		return err
	}
}

// apply puts a configuration in force, unless it is not newer than the current one.
func (c *Configurations) apply(configuration *jobs.Configuration) {
	if before := c.current.Load(); before != nil && before.Version >= configuration.Version {
		return
	}
	c.current.Store(configuration)
	c.config.Logger.Info("configuration is in force", zap.Uint64("version", uint64(configuration.Version)),
		zap.Int("queues", len(configuration.Queues)), zap.Int("bytes", configuration.Size))
	c.onChange(configuration)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
