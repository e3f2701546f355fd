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

// Prefix stands before the members' keys in the store.
const Prefix = "members/"

// registration is this daemon's own key in the store.
type registration struct {
	regMu   sync.Mutex
	lease   platform.LeaseID
	version platform.Version
	trouble *log.Trouble
}

func (s *Service) key() string { return Prefix + string(s.config.Self.ID) }

func (s *Service) registerLoop(ctx context.Context) {
	ticker := time.NewTicker(s.config.Lease / 3)
	defer ticker.Stop()
	for {
		err := s.ensureRegistered(ctx)
		if ctx.Err() != nil {
			return
		}
		s.trouble.Note(err)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

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
			return errstep.Wrap(err, "keep membership lease", "store")
		}
	}
	return s.register(ctx)
}

// register writes the key under a new lease, over what a former run of this
// daemon may have left.
func (s *Service) register(ctx context.Context) error {
	lease, err := s.config.Store.Grant(ctx, s.config.Lease)
	if err != nil {
		return errstep.Wrap(err, "get membership lease", "store")
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

// watchLoop learns of members from the store. One watch waits at a time; when none
// can, the list is read now and then.
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
		clock.Sleep(ctx, min(s.config.Sync, s.config.Heartbeat))
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

// applyRecord takes the address of a member from its key. A key that goes says nothing
// of a daemon that is heard; one that isn't is forgotten with it.
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
	k := s.peerStateOf(m.ID)
	isNew := k.member.PeerAddress != m.PeerAddress
	if k.lastHeard.IsZero() || isNew {
		k.member = m
	}
	s.mu.Unlock()
	if isNew {
		s.Nudge()
	}
}
