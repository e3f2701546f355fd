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

// Configurations follows the operators' configuration.
type Configurations struct {
	config   Config
	health   *storeHealth
	current  atomic.Pointer[jobs.Configuration]
	onChange func(*jobs.Configuration)
	version  platform.Version // the store's, to wait from; 0: read first; belongs to the loop
	trouble  *log.Trouble
	// confirmedAt is when the store last gave a configuration, or said that there is no newer one.
	confirmedAt atomic.Pointer[time.Time]
}

func newConfigurations(c Config, health *storeHealth) *Configurations {
	f := &Configurations{config: c, health: health, trouble: log.NewTrouble(log.TroubleConfig{
		Logger: c.Logger, Began: "configuration can't be followed", Ended: "configuration is followed again",
	})}
	f.markConfirmed()
	return f
}

func (c *Configurations) markConfirmed() {
	now := c.config.Clock.Now()
	c.confirmedAt.Store(&now)
}

// unconfirmedFor is for how long the store has not confirmed that the configuration in force is the newest.
func (c *Configurations) unconfirmedFor() time.Duration {
	return c.config.Clock.Since(*c.confirmedAt.Load())
}

// publishMetrics hands on which version is in force, and for how long that is unconfirmed.
func (c *Configurations) publishMetrics(scope tally.Scope) {
	if current := c.current.Load(); current != nil {
		scope.Gauge("configuration_version").Update(float64(current.Version))
	}
	scope.Gauge("configuration_unconfirmed").Update(c.unconfirmedFor().Seconds())
}

// configurationRetryPause is the pause after a read that failed.
const configurationRetryPause = 200 * time.Millisecond

// Run follows the configuration until ctx ends.
func (c *Configurations) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.fetchNext(ctx)
		if ctx.Err() != nil {
			return
		}
		c.trouble.Note(err)
		if err != nil {
			c.health.note(err)
			sleep(ctx, configurationRetryPause)
		}
	}
}

// fetchNext waits for the next configuration, or reads it when there is none yet or the
// store has forgotten what came after the current one.
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
		c.health.note(nil)
		c.markConfirmed()
		c.apply(&configuration)
		return nil
	case version > 0 && errors.Is(err, platform.ErrNotFound):
		c.health.note(nil)
		c.markConfirmed()
		return nil // there is none yet, or none newer
	case c.version > 0 && mustReload(err):
		// Of several changes only the last matters. Over a narrow link, fetching each in turn falls
		// further behind with each.
		c.config.Logger.Info("configuration is read anew in place of its changes", zap.Error(err))
		c.version = 0
		return nil
	default:
		// The next watch brings what has changed since the version, and costs nothing when
		// nothing has; a read would bring the whole each time the store has not answered.
		return err
	}
}

// apply puts a configuration in force. It never goes back.
func (c *Configurations) apply(configuration *jobs.Configuration) {
	if before := c.current.Load(); before != nil && before.Version >= configuration.Version {
		return
	}
	c.current.Store(configuration)
	c.config.Logger.Info("configuration is in force", zap.Uint64("version", uint64(configuration.Version)),
		zap.Int("queues", len(configuration.Queues)), zap.Int("bytes", configuration.Size))
	c.onChange(configuration)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
