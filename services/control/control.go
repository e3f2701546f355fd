// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package control runs jobs of steps on a platform: it accepts them from callers, owns
// cells of workers and jobs, and carries out what package dispatch decides. All daemons
// run it alike. What must last is in the platform's store:
//
//	layout                    jobs.Layout: how workers and jobs are divided into cells
//	owner/CELL                jobs.Owner, under its daemon's lease; the version is the epoch
//	job/CELL/owner            the same, among the cell's jobs
//	daemon/ID                 jobs.Daemon, under its lease: condition of what it accepts
//	job/CELL/ID               jobs.Record, written by the daemon that accepts the job; see below
//	job/CELL/ID/cancel        jobs.Cancellation
//	progress/CELL/ID          jobs.Progress, written by the cell's owner
//	roster/CELL               jobs.Roster
//	learned/CELL              jobs.Knowledge, what the owner has learned from reports
//	journal/CELL              which transaction of an owner was the last
//
// A job is accepted for one of the cells that its id allows. An owner whose cell has no place
// for it hands tasks to another of them, so that the job may have a record in each:
//
//   - a record without Part: the cell has all tasks of the job
//   - a part: the cell has the tasks that it names; the other records name the others
//   - a part without tasks: the cell has handed over all that it had; the record stays until
//     the job is forgotten, so that the job is known to all daemons also during a move
//   - a part in a further cell, to which the job's id does not lead: the record of one of the job's own cells
//     names that cell as long as the part is there, so that whoever reads the latter finds all
//   - an ended record: the job has ended, whatever the other records say
//   - an ended record with the state jobs.StateBarred: the job was cancelled before it was
//     stored; it is shown to nobody, and keeps writes that are on their way from storing it
//
// One transaction changes both records of a move. A job is accepted, moved or cancelled on
// condition that all its records are as they were read; accepted also on condition that the
// key of the daemon that accepts it is as it was, so that no write without answer is done
// once that key has been written anew.
//
// # Usage
//
//	service := control.New(control.Config{…})
//	manager.Loop("configuration", service.Configurations.Run)
//	manager.Loop("cells", service.Cells.Run)
//	manager.OnStop("hand over the cells", service.Cells.Release)
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/calltime"
	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/modules/idleconn"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/platform"
)

// Config is what a service works with.
type Config struct {
	Self     string
	Address  string // where the other daemons call
	Settings setting.Jobs
	Store    platform.TxnStore
	Workers  platform.JobWorkers
	// WorkerCalls is the time limit of the calls of Workers, which this service teaches.
	WorkerCalls *calltime.Limit
	Connections func() idleconn.Counts // to the store and the workers, so far; nil: not counted
	List        platform.WorkerList
	Feed        platform.ConfigurationFeed
	Peers       Peers // nil: calls over the network
	NewID       func() string
	Logger      *zap.Logger
	Scope       tally.Scope
	Clock       *clock.Clock // nil: that of this VM
}

// Service serves callers and owns cells.
type Service struct {
	config         Config
	Configurations *Configurations
	Cells          *Cells
	health         *storeHealth
	stopping       atomic.Bool
	submissions    *submissions
}

var _ platform.Callers = (*Service)(nil)

// New makes a service.
func New(c Config) *Service {
	if c.Clock == nil {
		c.Clock = newClock(c)
	}
	if c.Peers == nil {
		c.Peers = newCaller(c.Self)
	}
	meter := storeMeter{c.Scope}
	c.Store = &meteredStore{c.Store, meter}
	c.Feed = &meteredFeed{c.Feed, meter}
	c.List = &meteredList{c.List, meter}
	s := &Service{config: c, health: newStoreHealth(c.Logger, c.Clock), submissions: newSubmissions()}
	s.Configurations = newConfigurations(c, s.health)
	s.Cells = newCells(c, s.health, s.Configurations)
	s.Cells.cancelAgain = s.Cancel
	s.Configurations.onChange = s.Cells.configure
	return s
}

// Ready tells whether this daemon should get callers.
func (s *Service) Ready() bool {
	return !s.stopping.Load() && s.Configured() != nil && s.Cells.layout() != nil && s.health.good()
}

// BeginStop makes the daemon unready.
func (s *Service) BeginStop(context.Context) error {
	s.stopping.Store(true)
	return nil
}

// Configured gives the configuration in force; nil when there is none yet.
func (s *Service) Configured() *jobs.Configuration { return s.Configurations.current.Load() }

// storeHealth notes whether the store answers this daemon, so that callers needn't wait
// for calls that are known to fail.
type storeHealth struct {
	logger       *zap.Logger
	clock        *clock.Clock
	failingSince atomic.Int64 // since when, in nanoseconds since start; 0: not
	lastAnswer   atomic.Int64 // when the store last answered, in nanoseconds since start
	start        time.Time
}

// storeDownThreshold is for how long all calls must have failed until the store counts as down:
// longer than a lost answer's repetition.
const storeDownThreshold = 400 * time.Millisecond

func newStoreHealth(logger *zap.Logger, clock *clock.Clock) *storeHealth {
	return &storeHealth{logger: logger, clock: clock, start: clock.Now()}
}

// note takes the result of a call to the store.
func (h *storeHealth) note(err error) {
	if err == nil || !isOutage(err) {
		h.lastAnswer.Store(int64(h.clock.Since(h.start)))
		if since := h.failingSince.Swap(0); since != 0 {
			h.logger.Info("store answers again", zap.Duration("after", h.clock.Since(h.start)-time.Duration(since)))
		}
		return
	}
	if h.failingSince.CompareAndSwap(0, int64(h.clock.Since(h.start))) {
		h.logger.Warn("store does not answer", zap.Error(err))
	}
}

// answeredAt is when the store last answered a call of this daemon.
func (h *storeHealth) answeredAt() time.Time { return h.start.Add(time.Duration(h.lastAnswer.Load())) }

func (h *storeHealth) good() bool {
	since := h.failingSince.Load()
	return since == 0 || h.clock.Since(h.start)-time.Duration(since) < storeDownThreshold
}
