// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package config follows the operators' configuration and applies changes to it. The platform's store holds the
// configuration as immutable buckets and one head key that names them; a change writes its buckets and then swaps the
// head. Each daemon watches the head. It also learns of newer revisions from its peers' heartbeats and can fetch them
// from the peers. A daemon never returns to a lower revision.
//
// # Usage
//
//	service := config.New(config.Config{Store: store, FromPeers: fetch, …})
//	manager.Loop("configuration", service.Run)
//	view := service.View()                     // the configuration in force here
//	result, err := service.Apply(ctx, change)  // *models.ConflictError, *RefusedError
package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/platform"
)

// Keys in the store; bucketPrefix is followed by the bucket's name and hash.
const (
	HeadKey      = "config/head"
	bucketPrefix = "config/bucket/"
)

// Config configures the service.
type Config struct {
	Store         platform.Store
	Logger        *zap.Logger
	Scope         tally.Scope
	RetryInterval time.Duration // between retries when the store does not answer
	// FromPeers requests a configuration newer than the query's revision from the peers. It returns a transfer of
	// revision 0 when no peer has a newer one.
	FromPeers func(ctx context.Context, query models.ConfigQuery) models.ConfigTransfer
	// Accepted is called with each newer revision once it is in force here.
	Accepted func(*View)
	// VMs returns the platform's VM list as last read, for warnings; the list may be empty.
	VMs func() models.VMList
	// NewID returns an id that is unique among all writes.
	NewID func() string
}

// Service holds the configuration in force.
type Service struct {
	config      Config
	view        atomic.Pointer[View]
	newerAtPeer chan struct{} // holds a value while a peer is known to have a newer revision

	mu sync.Mutex // held while a newer view is activated
	// applied is closed and replaced when a newer view is activated.
	applied chan struct{}
}

// New returns a service with the empty configuration.
func New(config Config) *Service {
	s := &Service{config: config, newerAtPeer: make(chan struct{}, 1), applied: make(chan struct{})}
	s.view.Store(Empty())
	return s
}

// View returns the configuration in force here.
func (s *Service) View() *View { return s.view.Load() }

// Run follows the head key and the peers' revisions until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { s.peerLoop(ctx) })
	group.Go(func() { s.storeLoop(ctx) })
	group.Wait()
}

func (s *Service) storeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := s.readHead(ctx)
		for err == nil && ctx.Err() == nil {
			var records []platform.Record
			records, revision, err = s.config.Store.Watch(ctx, HeadKey, revision)
			if err == nil && len(records) > 0 {
				err = s.applyHead(ctx, records[len(records)-1])
			}
		}
		s.config.Scope.Counter("watch_failed").Inc(1)
		clock.Sleep(ctx, s.config.RetryInterval)
	}
}

// readHead reads and applies the head, and returns the store's revision to watch from.
func (s *Service) readHead(ctx context.Context) (platform.Version, error) {
	records, revision, err := s.config.Store.List(ctx, HeadKey)
	if err != nil {
		return 0, errstep.Wrap(err, "read configuration head", "store")
	}
	if len(records) == 0 {
		return revision, nil
	}
	return revision, s.applyHead(ctx, records[0])
}

func (s *Service) applyHead(ctx context.Context, record platform.Record) error {
	head, err := wire.DecodeBytes[models.ConfigHead](record.Value)
	if err != nil {
		return errstep.Wrap(err, "decode configuration head", "store")
	}
	if head.Revision <= s.View().Revision() {
		return nil
	}
	buckets, err := s.fetchBuckets(ctx, head)
	if err != nil {
		return err
	}
	return s.accept(head, buckets)
}

// fetchBuckets returns the buckets that the head names. It reads from the store only the buckets that the view in force
// lacks.
func (s *Service) fetchBuckets(ctx context.Context, head models.ConfigHead) (map[models.BucketHash][]byte, error) {
	view := s.View()
	got := map[models.BucketHash][]byte{}
	for name, hash := range head.Buckets {
		if data, ok := view.stored[hash]; ok {
			got[hash] = data
			continue
		}
		record, err := s.config.Store.Get(ctx, bucketKey(name, hash))
		if err != nil {
			return nil, errstep.Wrap(err, "read bucket "+string(name), "store")
		}
		got[hash] = record.Value
		s.config.Scope.Counter("buckets_fetched").Inc(1)
	}
	return got, nil
}

func bucketKey(name models.BucketName, hash models.BucketHash) string {
	return bucketPrefix + string(name) + "/" + string(hash)
}

// accept decodes the buckets of a head and puts them in force, unless an equal or higher revision is in force.
func (s *Service) accept(head models.ConfigHead, stored map[models.BucketHash][]byte) error {
	buckets := make(map[models.BucketName]models.Bucket, len(head.Buckets))
	for name, hash := range head.Buckets {
		data, ok := stored[hash]
		if !ok || models.HashBucket(data) != hash {
			return errors.Newf("bucket %s of revision %d is missing or damaged", name, head.Revision)
		}
		bucket, err := wire.DecodeBytes[models.Bucket](data)
		if err != nil {
			return errors.Wrapf(err, "bucket %s of revision %d", name, head.Revision)
		}
		buckets[name] = bucket
	}
	s.activate(newView(head, buckets, stored))
	return nil
}

func (s *Service) activate(view *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Revision() <= s.View().Revision() {
		return
	}
	s.view.Store(view)
	close(s.applied)
	s.applied = make(chan struct{})
	s.config.Logger.Info("configuration is in force", zap.Uint64("revision", uint64(view.Revision())))
	s.config.Scope.Gauge("revision").Update(float64(view.Revision()))
	s.config.Accepted(view)
}

// ObservePeerRevision tells the service which revision a peer has in force, so that a newer one is fetched.
func (s *Service) ObservePeerRevision(revision models.Revision) {
	if revision <= s.View().Revision() {
		return
	}
	select {
	case s.newerAtPeer <- struct{}{}:
	default:
	}
}

// peerLoop fetches newer revisions from peers, independently of the store.
func (s *Service) peerLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.newerAtPeer:
			s.fetchFromPeers(ctx)
		}
	}
}

func (s *Service) fetchFromPeers(ctx context.Context) {
	view := s.View()
	query := models.ConfigQuery{Revision: view.Revision()}
	for _, hash := range view.Head.Buckets {
		query.Have = append(query.Have, hash)
	}
	transfer := s.config.FromPeers(ctx, query)
	if transfer.Head.Revision <= view.Revision() {
		return
	}
	stored := transfer.Buckets
	if stored == nil {
		stored = map[models.BucketHash][]byte{}
	}
	for _, hash := range transfer.Head.Buckets {
		if data, ok := view.stored[hash]; ok {
			stored[hash] = data
		}
	}
	if err := s.accept(transfer.Head, stored); err != nil {
		s.config.Logger.Warn("configuration from a peer is incomplete or invalid and is ignored", log.Err(err)...)
		return
	}
	s.config.Scope.Counter("from_peers").Inc(1)
}

// Transfer answers a peer's query from the view in force. The answer contains only the buckets that the peer lacks.
func (s *Service) Transfer(query models.ConfigQuery) models.ConfigTransfer {
	view := s.View()
	if view.Revision() <= query.Revision {
		return models.ConfigTransfer{}
	}
	have := map[models.BucketHash]bool{}
	for _, hash := range query.Have {
		have[hash] = true
	}
	transfer := models.ConfigTransfer{Head: view.Head, Buckets: map[models.BucketHash][]byte{}}
	for _, hash := range view.Head.Buckets {
		if !have[hash] {
			transfer.Buckets[hash] = view.stored[hash]
		}
	}
	return transfer
}
