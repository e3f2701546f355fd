// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package control runs jobs of steps on a platform. It accepts jobs from callers, owns cells of
// workers and jobs, and carries out the decisions of package dispatch. All daemons run the same
// service. The persistent state is in the platform's store, under these keys:
//
//	layout                    jobs.Layout: how workers and jobs are divided into cells
//	owner/CELL                jobs.Owner, under its daemon's lease; the key's version is the epoch
//	job/CELL/owner            the same value, among the cell's jobs
//	daemon/ID                 jobs.Daemon, under the daemon's lease: a precondition of the jobs it accepts
//	job/CELL/ID               jobs.Record, written by the daemon that accepts the job; see below
//	job/CELL/ID/cancel        jobs.Cancellation
//	progress/CELL/ID          jobs.Progress, written by the cell's owner
//	progress/CELL/ID/C        jobs.Chunking C of progress that no single value holds, written together with it
//	progress/CELL/ID/C/N      jobs.Progress, chunk N of it
//	roster/CELL               jobs.Roster
//	claims/CELL               jobs.Claims, added to by each claim of the cell and shortened by its owner
//	learned/CELL              jobs.LearnedParameters, the parameters that the owner has learned from reports
//	journal/CELL              the last transaction of the cell's owner
//
// A job is accepted for one of the cells that follow from its id. An owner whose cell has no
// capacity for the job moves tasks to another of these cells, so that the job may have a record
// in each:
//
//   - a record without Part: the cell has all tasks of the job
//   - a part: the cell has the tasks that the part names; the other records name the other tasks
//   - a part without tasks: the cell has moved all of its tasks away; the record stays until
//     the job is forgotten, so that all daemons find the job also during a move
//   - a part in an additional cell, which does not follow from the job's id: the record in one of the job's own
//     cells names the additional cell for as long as the part exists, so that a reader of the job's own cells
//     finds every part
//   - an ended record: the job has ended, whatever the other records say
//   - an ended record with the state jobs.StateBarred: the job was cancelled before it was
//     stored; the record is not shown to callers and prevents writes still in flight from storing the job
//
// One transaction changes both records of a move. Accepting, moving and cancelling a job require
// that all its records are unchanged since they were read. Accepting a job also requires that the
// key of the accepting daemon is unchanged, so that a write of unknown outcome can no longer be
// applied once the daemon has rewritten that key.
//
// # Usage
//
//	service := control.New(control.Config{…})
//	manager.Loop("configuration", service.Configurations.Run)
//	manager.Loop("cells", service.Cells.Run)
//	manager.OnStop("hand over the cells", service.Cells.Release)
package control

import (
	"cmp"
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

// Config holds the settings and dependencies of a Service.
type Config struct {
	Self     string
	Address  string // at which the other daemons call this daemon
	Settings setting.Jobs
	Store    platform.TxnStore
	// MaxValueSize is the size of the largest value that Store accepts, in bytes; 0: platform.MaxValueSize.
	MaxValueSize int
	Workers      platform.JobWorkers
	// WorkerCalls is the adaptive timeout of the calls through Workers. The service feeds it with call results.
	WorkerCalls *calltime.Limit
	Connections func() idleconn.Counts // connections to the store and the workers so far; nil: not counted
	Problems    func() int64           // versions of workers' entries and cordons that could not be used as they are; nil: not counted
	List        platform.WorkerList
	Cordons     platform.CordonList
	Feed        platform.ConfigurationFeed
	Peers       Peers // nil: a client that calls over the network
	NewID       func() string
	Logger      *zap.Logger
	Scope       tally.Scope
	Clock       *clock.Clock // nil: the clock of this VM
}

// Service serves callers and runs the cells that this daemon owns.
type Service struct {
	config         Config
	Configurations *Configurations
	Cells          *Cells
	health         *storeHealth
	stopping       atomic.Bool
	submissions    *submissions
}

var _ platform.JobService = (*Service)(nil)

// New creates a Service. Its loops run while Configurations.Run and Cells.Run do.
func New(c Config) *Service {
	if c.Clock == nil {
		c.Clock = newClock(c)
	}
	if c.Peers == nil {
		c.Peers = newPeerClient(c.Self)
	}
	meter := storeMeter{c.Scope}
	c.MaxValueSize = cmp.Or(c.MaxValueSize, platform.MaxValueSize)
	c.Store = &meteredStore{&limitedStore{c.Store, c.MaxValueSize}, meter}
	c.Feed = &meteredFeed{c.Feed, meter}
	c.List = &meteredList{c.List, meter}
	c.Cordons = &meteredCordons{c.Cordons, meter}
	s := &Service{config: c, health: newStoreHealth(c.Logger, c.Clock), submissions: newSubmissions()}
	s.Configurations = newConfigurations(c, s.health)
	s.Cells = newCells(c, s.health, s.Configurations)
	s.Cells.resumeCancel = s.Cancel
	s.Configurations.onChange = s.Cells.configure
	return s
}

// Ready reports whether this daemon should receive calls from callers.
func (s *Service) Ready() bool {
	return !s.stopping.Load() && s.ActiveConfiguration() != nil && s.Cells.layout() != nil && s.health.available()
}

// BeginStop marks the daemon as not ready.
func (s *Service) BeginStop(context.Context) error {
	s.stopping.Store(true)
	return nil
}

// ActiveConfiguration returns the configuration in force, or nil if there is none yet.
func (s *Service) ActiveConfiguration() *jobs.Configuration { return s.Configurations.current.Load() }

// storeHealth tracks whether the store answers this daemon, so that callers do not wait for
// store calls that are known to fail.
type storeHealth struct {
	logger       *zap.Logger
	clock        *clock.Clock
	failingSince atomic.Int64 // time of the first failure in a row, in nanoseconds since start; 0: not failing
	lastAnswer   atomic.Int64 // time of the last answer, in nanoseconds since start
	start        time.Time
}

// storeDownThreshold is how long all calls must have failed before the store counts as down.
// It is longer than the retry of a call whose answer was lost.
const storeDownThreshold = 400 * time.Millisecond

func newStoreHealth(logger *zap.Logger, clock *clock.Clock) *storeHealth {
	return &storeHealth{logger: logger, clock: clock, start: clock.Now()}
}

// record records the result of a call to the store.
func (h *storeHealth) record(err error) {
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

// answeredAt returns the time at which the store last answered a call of this daemon.
func (h *storeHealth) answeredAt() time.Time { return h.start.Add(time.Duration(h.lastAnswer.Load())) }

// available reports whether the store has not been failing for storeDownThreshold or longer.
func (h *storeHealth) available() bool {
	since := h.failingSince.Load()
	return since == 0 || h.clock.Since(h.start)-time.Duration(since) < storeDownThreshold
}
