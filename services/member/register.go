// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package member

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/platform"
)

// Prefix is the prefix of the members' keys in the store.
const Prefix = "members/"

// registration is the state of this daemon's own key in the store.
type registration struct {
	regMu     sync.Mutex
	lease     platform.LeaseID
	version   platform.Version
	outageLog *log.OutageLogger
}

func (s *Service) key() string { return Prefix + string(s.config.Self.ID) }

// registerLoop renews the lease of the key every third of its duration, or registers anew, until ctx ends.
func (s *Service) registerLoop(ctx context.Context) {
	ticker := time.NewTicker(s.config.Lease / 3)
	defer ticker.Stop()
	for {
		err := s.ensureRegistered(ctx)
		if ctx.Err() != nil {
			return
		}
		s.outageLog.Observe(err)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ensureRegistered renews the lease, or registers again if there is no lease or the lease has lapsed.
func (s *Service) ensureRegistered(ctx context.Context) error {
	if s.Self().Leaving {
		return nil
	}
	s.regMu.Lock()
	lease := s.lease
	s.regMu.Unlock()
	if lease != 0 {
		err := s.config.Store.KeepAlive(ctx, lease)
		if !errors.Is(err, platform.ErrNoLease) {
			return errstep.Wrap(err, "renew membership lease", "store")
		}
	}
	return s.register(ctx)
}

// register writes the key under a new lease, and overwrites a key that a previous incarnation
// of this daemon may have left.
func (s *Service) register(ctx context.Context) error {
	lease, err := s.config.Store.Grant(ctx, s.config.Lease)
	if err != nil {
		return errstep.Wrap(err, "grant membership lease", "store")
	}
	value, err := json.Marshal(s.Self())
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	var expect platform.Version
	record, err := s.config.Store.Get(ctx, s.key())
	switch {
	case err == nil:
		expect = record.Version
	case !errors.Is(err, platform.ErrNotFound):
		return errstep.Wrap(err, "read membership key", "store")
	}
	version, err := s.config.Store.Swap(ctx, s.key(), value, expect, lease)
	if err != nil {
		return errstep.Wrap(err, "write membership key", "store")
	}
	s.regMu.Lock()
	s.lease, s.version = lease, version
	s.regMu.Unlock()
	return nil
}

// deregister deletes the key; the lease is left to lapse.
func (s *Service) deregister(ctx context.Context) error {
	s.regMu.Lock()
	version := s.version
	s.version, s.lease = 0, 0
	s.regMu.Unlock()
	if version == 0 {
		return nil
	}
	return errstep.Wrap(s.config.Store.Delete(ctx, s.key(), version), "delete membership key", "store")
}

// watchLoop follows the members' keys in the store, with one watch at a time. While watches
// fail, the list is read again periodically.
func (s *Service) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := s.listMembers(ctx)
		for err == nil && ctx.Err() == nil {
			var records []platform.Record
			records, revision, err = s.config.Store.Watch(ctx, Prefix, revision)
			for _, record := range records {
				s.applyRecord(record)
			}
		}
		s.config.Scope.Counter("watch_failed").Inc(1)
		clock.Sleep(ctx, min(s.config.MaxRelistDelay, s.config.Heartbeat))
	}
}

func (s *Service) listMembers(ctx context.Context) (platform.Version, error) {
	records, revision, err := s.config.Store.List(ctx, Prefix)
	if err != nil {
		return 0, errstep.Wrap(err, "list members", "store")
	}
	for _, record := range records {
		s.applyRecord(record)
	}
	s.mu.Lock()
	s.listRead = true
	s.mu.Unlock()
	return revision, nil
}

// applyRecord updates a member's address from its key. If the key is deleted, the member is
// forgotten unless it is live by its heartbeats.
func (s *Service) applyRecord(record platform.Record) {
	if record.Key == s.key() {
		return
	}
	if record.Deleted {
		s.forgetPeer(models.MemberID(strings.TrimPrefix(record.Key, Prefix)))
		return
	}
	m, err := wire.DecodeBytes[models.Member](record.Value)
	if err != nil {
		s.config.Scope.Counter("bad_member_keys").Inc(1)
		return
	}
	s.mu.Lock()
	p := s.peerStateOf(m.ID)
	isNew := p.member.PeerAddress != m.PeerAddress
	if p.lastHeard.IsZero() || isNew {
		p.member = m
	}
	s.mu.Unlock()
	if isNew {
		s.RequestRound()
	}
}
