// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package daemon builds a daemon from its settings and runs it. It is the only package that knows all services and the
// order in which a planned stop ends them.
//
// # Usage
//
//	d, err := daemon.New(daemon.Config{Settings: settings, Logger: logger, Routers: routers.For})
//	d.Run(ctx) // until ctx ends and the planned stop is over
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/graceful"
	"rillsail.example/rillsail/modules/listen"
	"rillsail.example/rillsail/modules/metrics"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/cell"
	"rillsail.example/rillsail/services/claim"
	"rillsail.example/rillsail/services/config"
	"rillsail.example/rillsail/services/entry"
	"rillsail.example/rillsail/services/interference"
	"rillsail.example/rillsail/services/inventory"
	"rillsail.example/rillsail/services/member"
	"rillsail.example/rillsail/services/operate"
	"rillsail.example/rillsail/services/peer"
	"rillsail.example/rillsail/services/platform"
)

// Config configures a daemon.
type Config struct {
	Settings *setting.Settings
	Logger   *zap.Logger
	// Routers returns the handlers of the three listeners; it is implemented by package routers.
	Routers func(*Daemon) Handlers
}

// Daemon is a rillsaild process.
type Daemon struct {
	Settings  *setting.Settings
	Logger    *zap.Logger
	Metrics   *metrics.Registry
	Members   *member.Service
	Inventory *inventory.Service
	Config    *config.Service
	Cells     *cell.Manager
	Claims    *claim.Service
	Entry     *entry.Service
	Operate   *operate.Service
	Learner   *interference.Learner

	client    *peer.Client
	manager   *graceful.Manager
	listeners []*listen.Server
}

// idGenerator generates ids that are unique across processes: a random prefix and a counter.
type idGenerator struct {
	prefix  string
	counter atomic.Uint64
}

func newIDGenerator() (*idGenerator, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, errors.Wrap(err, "draw random id")
	}
	return &idGenerator{prefix: hex.EncodeToString(random[:])}, nil
}

func (g *idGenerator) newID() string {
	return g.prefix + "-" + strconv.FormatUint(g.counter.Add(1), 36)
}

// New returns a daemon with open listeners.
func New(c Config) (*Daemon, error) {
	ids, err := newIDGenerator()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		Settings: c.Settings, Logger: c.Logger, Metrics: metrics.New(metrics.Config{Process: "rillsail"}),
		manager: graceful.New(graceful.Config{Logger: c.Logger}), Learner: interference.New(interference.Config{}),
	}
	d.buildServices(ids)
	if err := d.openListeners(c.Routers(d)); err != nil {
		return nil, err
	}
	d.registerLoops()
	return d, nil
}

// buildServices creates the services and connects them.
func (d *Daemon) buildServices(ids *idGenerator) {
	s := d.Settings
	self := models.Member{
		ID: models.MemberID(s.Daemon.ID), Incarnation: models.Incarnation(ids.prefix),
		Domain: models.FailureDomain(s.Daemon.Domain), PeerAddress: s.Listen.Peer,
	}
	scope := d.Metrics.Scope
	store := platform.NewHTTPStore(platform.HTTPConfig{
		Address: s.Platform.Store, CallTimeout: s.Platform.CallTimeout, WatchWait: s.Platform.WatchWait,
	})
	d.client = peer.New(peer.Config{Self: self.ID, Token: s.Listen.PeerToken, Timeout: s.Platform.CallTimeout})
	d.Members = member.New(member.Config{
		Self: self, Store: store, Client: d.client, Logger: d.Logger, Scope: scope.SubScope("member"),
		Lease: s.Member.Lease, Heartbeat: s.Member.Heartbeat, SilentAfter: s.Member.SilentAfter, MaxRelistDelay: s.Member.Sync,
		Seeds: s.Member.Seeds,
	})
	d.Inventory = inventory.New(inventory.Config{
		List:  platform.NewHTTPVMList(platform.HTTPConfig{Address: s.Platform.List, CallTimeout: s.Platform.CallTimeout}),
		Store: store, Interval: s.Platform.ListEvery, Logger: d.Logger, Scope: scope.SubScope("inventory"), Changed: d.inventoryChanged,
	})
	d.Config = config.New(config.Config{
		Store: store, Logger: d.Logger, Scope: scope.SubScope("config"), RetryInterval: s.Member.Heartbeat,
		FromPeers: d.configFromPeers, Accepted: d.configAccepted, VMs: d.Inventory.VMs, NewID: ids.newID,
	})
	d.Cells = cell.NewManager(cell.ManagerConfig{
		Self: self.ID, Settings: s.Cell, ReconcileInterval: s.Member.Heartbeat, HoldOff: s.Member.SilentAfter, Store: store,
		Workers:   platform.NewHTTPWorkers(platform.HTTPConfig{CallTimeout: s.Platform.CallTimeout}),
		Inventory: d.Inventory, View: d.Config.View, Members: d.Members, Client: d.client, Learner: d.Learner,
		Logger: d.Logger, Scope: scope.SubScope("cell"), NewID: ids.newID,
	})
	d.Claims = claim.New(claim.Config{Self: self.ID, Members: d.Members, Client: d.client, Keep: s.Entry.ClaimKeepDone})
	d.Entry = entry.New(entry.Config{
		Self: self.ID, Settings: s.Entry, MaxBody: int64(s.Listen.MaxBody), BodyTimeout: s.Listen.BodyTimeout, View: d.Config.View, Claims: d.Claims,
		Logger: d.Logger, Scope: scope.SubScope("entry"), NewID: ids.newID,
	})
	d.Operate = operate.New(operate.Config{
		Cells: d.Cells, Inventory: d.Inventory, Members: d.Members, View: d.Config.View, Entry: d.Entry,
	})
	d.Members.AddSource(d.Cells.FillHeartbeat)
	d.Members.AddSource(d.Entry.FillHeartbeat)
	d.Members.AddSource(func(b *models.Heartbeat) { b.Revision = d.Config.View().Revision() })
}

// registerLoops registers the loops, and the steps of a planned stop in order: announce the stop to the peers, wait for
// the load balancer and the requests in flight, hand over the cells and the claims.
func (d *Daemon) registerLoops() {
	d.manager.Loop("inventory", d.Inventory.Run)
	d.manager.Loop("configuration", d.Config.Run)
	d.manager.Loop("members", d.Members.Run)
	d.manager.Loop("cells", d.Cells.Run)
	d.manager.Loop("sync", d.syncEntryLoop)
	for _, l := range d.listeners {
		d.manager.Loop("listener "+l.Address(), l.Run)
	}
	d.manager.OnStop("leave the members", d.leave)
	d.manager.OnStop("drain the entry", d.drain)
	d.manager.OnStop("release the cells", d.release)
	d.manager.OnStop("transfer the claims", d.Claims.TransferKeys)
}

// Run runs the daemon until the context ends and the planned stop is complete.
func (d *Daemon) Run(ctx context.Context) {
	d.Logger.Info("daemon starts", zap.String("domain", d.Settings.Daemon.Domain),
		zap.String("callers", d.Settings.Listen.Caller), zap.String("operators", d.Settings.Listen.Operator),
		zap.String("peers", d.Settings.Listen.Peer))
	d.manager.Run(ctx)
	_ = d.Metrics.Close() // a reporter that fails to close needs no action
}

func (d *Daemon) leave(ctx context.Context) error {
	d.Entry.BeginDrain()
	return d.Members.Leave(ctx)
}

func (d *Daemon) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.Entry.DrainTimeout)
	defer cancel()
	return d.Entry.Drain(ctx)
}

// releaseSilentPeriods bounds how long a planned stop waits for peers to take over its cells, as a multiple of the
// setting SilentAfter.
const releaseSilentPeriods = 3

func (d *Daemon) release(ctx context.Context) error {
	return d.Cells.Release(ctx, releaseSilentPeriods*d.Settings.Member.SilentAfter)
}

// HandleHeartbeat handles what a peer's heartbeat contains besides membership: the peer's configuration revision.
func (d *Daemon) HandleHeartbeat(beat models.Heartbeat) { d.Config.ObservePeerRevision(beat.Revision) }

// syncEntryLoop passes the known upstreams and peers to the entry periodically.
func (d *Daemon) syncEntryLoop(ctx context.Context) {
	ticker := time.NewTicker(d.Settings.Member.Heartbeat)
	defer ticker.Stop()
	for {
		d.syncEntry()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) syncEntry() {
	beats := d.Members.Heartbeats()
	for _, beat := range beats {
		d.Config.ObservePeerRevision(beat.Revision)
	}
	d.Entry.Sync(d.Inventory.Upstreams(), d.Members.LiveIDs(), beats)
}

func (d *Daemon) inventoryChanged() {
	d.syncEntry()
	d.Cells.RequestReconcile()
}

func (d *Daemon) configAccepted(*config.View) {
	d.Members.RequestRound() // tell the peers the new revision at once
	d.syncEntry()
}

// configFromPeers fetches the configuration from the peer with the highest announced revision, if that is newer than the
// query's. It returns an empty transfer if no peer has a newer revision or the call fails.
func (d *Daemon) configFromPeers(ctx context.Context, query models.ConfigQuery) models.ConfigTransfer {
	var best models.Heartbeat
	for _, beat := range d.Members.Heartbeats() {
		if beat.Revision > best.Revision {
			best = beat
		}
	}
	if best.Revision <= query.Revision {
		return models.ConfigTransfer{}
	}
	transfer, err := d.client.Configuration(ctx, best.Member.PeerAddress, query)
	if err != nil {
		return models.ConfigTransfer{}
	}
	d.Inventory.AcceptPeerCells(transfer.Cells)
	return transfer
}
