// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package config

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errclass"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/platform"
)

// RefusedError says that a change was refused because the resulting configuration would be invalid.
type RefusedError struct{ Problems []string }

// Error implements error; the text lists the problems.
func (e *RefusedError) Error() string {
	text := "change refused, nothing was changed:"
	for _, p := range e.Problems {
		text += " " + p + ";"
	}
	return text
}

// ErrMaybeApplied says that the outcome of the change is unknown, because the store did not confirm the write.
var ErrMaybeApplied = errors.New("the change may have been accepted; look at the configuration in force and apply again if it was not")

// ErrNotApplied says that no part of the change is in force or will come into force.
var ErrNotApplied = errors.New("nothing of the change is in force")

// asNotApplied returns an error with the text of err whose only class is ErrNotApplied; nil for nil. The classes of err
// are hidden, because they describe single calls to the store and not the change as a whole.
func asNotApplied(err error) error {
	if err == nil {
		return nil
	}
	return errclass.Only(err, ErrNotApplied)
}

// Bounds on the history that heads and buckets keep, and on the attempts to write a change.
const (
	maxRecentWrites   = 64 // revisions for which a head keeps the write ids
	maxRetiredBuckets = 40 // replaced buckets kept in the store
	maxDeletions      = 64 // deleted objects that a bucket records
	maxApplyTries     = 8
)

// Apply puts a change in force as a whole or not at all. It retries when another change of other objects was written
// meanwhile. If the same objects have changed since the base of the change, it returns *models.ConflictError. All other
// errors are exactly one of *RefusedError, ErrNotApplied and ErrMaybeApplied.
func (s *Service) Apply(ctx context.Context, change models.ConfigChange) (models.ConfigResult, error) {
	writeID := s.config.NewID()
	if change.Base == 0 {
		change.Base = s.View().Revision()
	}
	for range maxApplyTries {
		result, err := s.tryApply(ctx, change, writeID)
		if !errors.Is(err, platform.ErrConflict) {
			return result, err
		}
	}
	return models.ConfigResult{}, asNotApplied(errors.New("apply configuration: other changes were faster every time; nothing was changed, try again"))
}

func (s *Service) tryApply(ctx context.Context, change models.ConfigChange, writeID string) (models.ConfigResult, error) {
	version, err := s.refresh(ctx)
	if err != nil {
		return models.ConfigResult{}, asNotApplied(err)
	}
	view := s.View()
	if err := conflicts(view, change); err != nil {
		return models.ConfigResult{}, err
	}
	plan, err := s.plan(view, change, writeID)
	if err != nil {
		return models.ConfigResult{}, err
	}
	result := models.ConfigResult{Revision: plan.head.Revision, Diff: view.diff(change), Warnings: s.warnings(plan.view())}
	if problems := contradictions(plan.view()); len(problems) > 0 {
		return models.ConfigResult{}, &RefusedError{Problems: problems}
	}
	if change.DryRun {
		result.Revision = view.Revision()
		return result, nil
	}
	if err := s.writePlan(ctx, plan, version, writeID); err != nil {
		return models.ConfigResult{}, err
	}
	s.activate(plan.view())
	return result, nil
}

// refresh updates the view to the head in the store and returns the version of the head key.
func (s *Service) refresh(ctx context.Context) (platform.Version, error) {
	record, err := s.config.Store.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errstep.Wrap(err, "read configuration head", "store")
	}
	return record.Version, s.applyHead(ctx, record)
}

func conflicts(view *View, change models.ConfigChange) error {
	conflict := &models.ConflictError{Revision: view.Revision()}
	for _, key := range change.Keys() {
		if view.changedAt(key) > change.Base {
			conflict.Objects = append(conflict.Objects, key.String())
		}
	}
	if len(conflict.Objects) > 0 {
		return conflict
	}
	return nil
}

// plan is the next configuration, encoded and ready to be written.
type plan struct {
	head    models.ConfigHead
	buckets map[models.BucketName]models.Bucket
	stored  map[models.BucketHash][]byte
	written map[models.BucketName]models.BucketHash
	expired []models.RetiredBucket
}

func (p plan) view() *View { return newView(p.head, p.buckets, p.stored) }

func (s *Service) plan(view *View, change models.ConfigChange, writeID string) (plan, error) {
	p := plan{
		head: models.ConfigHead{
			Revision:     view.Revision() + 1,
			Buckets:      maps.Clone(view.Head.Buckets),
			RecentWrites: recentWrites(view.Head, writeID),
			Retired:      slices.Clone(view.Head.Retired),
		},
		buckets: maps.Clone(view.buckets),
		stored:  maps.Clone(view.stored),
		written: map[models.BucketName]models.BucketHash{},
	}
	if p.buckets == nil {
		p.buckets, p.stored = map[models.BucketName]models.Bucket{}, map[models.BucketHash][]byte{}
	}
	for name, bucket := range changedBuckets(view, change, p.head.Revision) {
		bucket.Name, bucket.WriteID = name, writeID
		data, hash, err := bucket.Encode()
		if err != nil {
			return plan{}, asNotApplied(err)
		}
		if len(data) > platform.MaxValueSize {
			return plan{}, &RefusedError{Problems: []string{"bucket " + string(name) + " would outgrow the store's largest value"}}
		}
		p.replace(name, bucket, hash, data)
	}
	p.trimRetired()
	return p, nil
}

func (p *plan) replace(name models.BucketName, bucket models.Bucket, hash models.BucketHash, data []byte) {
	if old, ok := p.head.Buckets[name]; ok {
		p.head.Retired = append(p.head.Retired, models.RetiredBucket{Name: name, Hash: old, Since: p.head.Revision})
		delete(p.stored, old)
	}
	p.head.Buckets[name] = hash
	p.buckets[name] = bucket
	p.stored[hash] = data
	p.written[name] = hash
}

// trimRetired moves the oldest retired buckets beyond maxRetiredBuckets from the head to expired; they are deleted after
// the head is swapped.
func (p *plan) trimRetired() {
	if extra := len(p.head.Retired) - maxRetiredBuckets; extra > 0 {
		p.expired = p.head.Retired[:extra]
		p.head.Retired = p.head.Retired[extra:]
	}
}

func recentWrites(head models.ConfigHead, writeID string) map[string]models.Revision {
	writes := map[string]models.Revision{writeID: head.Revision + 1}
	for id, revision := range head.RecentWrites {
		if revision+maxRecentWrites > head.Revision {
			writes[id] = revision
		}
	}
	return writes
}

// changedBuckets returns the buckets that a change touches, with the change applied.
func changedBuckets(view *View, change models.ConfigChange, revision models.Revision) map[models.BucketName]models.Bucket {
	changed := map[models.BucketName]models.Bucket{}
	withoutObject := func(key models.ObjectKey) models.Bucket {
		bucket, ok := changed[key.Bucket()]
		if !ok {
			bucket = view.buckets[key.Bucket()]
			bucket.Deleted = maps.Clone(bucket.Deleted)
			if bucket.Deleted == nil {
				bucket.Deleted = map[string]models.Revision{}
			}
		}
		bucket.Objects = slices.DeleteFunc(slices.Clone(bucket.Objects), func(b models.ObjectBox) bool { return b.Object.Key() == key })
		delete(bucket.Deleted, key.String())
		return bucket
	}
	for _, box := range change.Put {
		bucket := withoutObject(box.Object.Key())
		bucket.Objects = append(bucket.Objects, models.ObjectBox{Object: box.Object, Changed: revision})
		changed[box.Object.Key().Bucket()] = bucket
	}
	for _, key := range change.Delete {
		bucket := withoutObject(key)
		bucket.Deleted[key.String()] = revision
		pruneDeleted(bucket.Deleted)
		changed[key.Bucket()] = bucket
	}
	return changed
}

func pruneDeleted(deleted map[string]models.Revision) {
	for len(deleted) > maxDeletions {
		oldest := ""
		for key, revision := range deleted {
			if oldest == "" || revision < deleted[oldest] {
				oldest = key
			}
		}
		delete(deleted, oldest)
	}
}

// writePlan writes the buckets and then swaps the head. After platform.ErrConflict no part of the change is in force.
func (s *Service) writePlan(ctx context.Context, p plan, version platform.Version, writeID string) error {
	for name, hash := range p.written {
		_, err := s.config.Store.Swap(ctx, bucketKey(name, hash), p.stored[hash], 0, 0)
		// A conflict means that an earlier attempt has written this bucket: its content includes the write id, and
		// the key includes the content's hash.
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return asNotApplied(errstep.Wrap(err, "write bucket "+string(name)+"; nothing is in force of the change", "store"))
		}
	}
	value, err := json.Marshal(p.head)
	if err != nil {
		return asNotApplied(errors.Wrap(err, "encode configuration head"))
	}
	_, err = s.config.Store.Swap(ctx, HeadKey, value, version, 0)
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrUnknownOutcome):
		if err := s.resolveUnknownWrite(ctx, writeID); err != nil {
			return err
		}
	case errors.Is(err, platform.ErrConflict):
		s.removeWritten(ctx, p)
		return errstep.Wrap(err, "swap configuration head", "store")
	default:
		return asNotApplied(errstep.Wrap(err, "swap configuration head; nothing is in force of the change", "store"))
	}
	s.removeExpired(ctx, p.expired)
	return nil
}

// maxResolveTries bounds the attempts to read the head back after a write with an unknown outcome.
const maxResolveTries = 3

// resolveUnknownWrite finds out whether a write of the head whose answer was lost took effect. It returns nil if the
// head in the store names the write and ErrMaybeApplied otherwise: a failed read or a head that cannot be decoded says
// nothing about the write, and the write may still arrive after a head that does not name it was read.
func (s *Service) resolveUnknownWrite(ctx context.Context, writeID string) error {
	for range maxResolveTries {
		applied, err := s.headNamesWrite(ctx, writeID)
		if applied {
			return nil
		}
		if err == nil {
			break
		}
		s.config.Logger.Warn("configuration head can't be read back after a write without an answer; the outcome of the change stays unknown until a retry succeeds", log.Err(err)...)
	}
	return errstep.Wrap(ErrMaybeApplied, "swap configuration head", "store")
}

// headNamesWrite reads the head and reports whether it names the write.
func (s *Service) headNamesWrite(ctx context.Context, writeID string) (bool, error) {
	record, err := s.config.Store.Get(ctx, HeadKey)
	if err != nil {
		return false, errstep.Wrap(err, "read configuration head", "store")
	}
	head, err := wire.DecodeBytes[models.ConfigHead](record.Value)
	if err != nil {
		return false, errstep.Wrap(err, "decode configuration head", "store")
	}
	_, ok := head.RecentWrites[writeID]
	return ok, nil
}

// removeWritten deletes the buckets written for a change that lost against a concurrent change. A bucket that cannot be
// deleted is harmless, because no head names it.
func (s *Service) removeWritten(ctx context.Context, p plan) {
	for name, hash := range p.written {
		s.removeBucket(ctx, name, hash)
	}
}

func (s *Service) removeExpired(ctx context.Context, expired []models.RetiredBucket) {
	for _, old := range expired {
		s.removeBucket(ctx, old.Name, old.Hash)
	}
}

func (s *Service) removeBucket(ctx context.Context, name models.BucketName, hash models.BucketHash) {
	key := bucketKey(name, hash)
	record, err := s.config.Store.Get(ctx, key)
	if err == nil {
		err = s.config.Store.Delete(ctx, key, record.Version)
	}
	if err != nil {
		s.config.Scope.Counter("buckets_left_behind").Inc(1)
	}
}
