// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"maps"
	"slices"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// listConfig says how a list that the platform keeps is read. E is its entry, K the entry's key, C a change.
type listConfig[K comparable, E, C any] struct {
	// Read reads the whole list and returns the version from which to follow changes.
	Read func(ctx context.Context) ([]E, platform.Version, error)
	// Changes waits until the list changes after the version; see platform.WorkerList.
	Changes func(ctx context.Context, after platform.Version) ([]C, platform.Version, error)
	Key     func(E) K
	// Entry returns the changed entry, of which only the key is set if it was removed.
	Entry func(C) (entry E, removed bool)
}

// listCopy is an owner's copy of a list that the platform keeps. It is read once and then updated with the changes. Entries
// hardly ever change, and reading a whole list repeatedly would take most of a small VM's link.
type listCopy[K comparable, E, C any] struct {
	config  listConfig[K, E, C]
	entries map[K]E
	at      platform.Version
	synced  bool // entries is the list as of version at
}

func newListCopy[K comparable, E, C any](config listConfig[K, E, C]) *listCopy[K, E, C] {
	return &listCopy[K, E, C]{config: config, entries: map[K]E{}}
}

// update waits for a change and applies it, or reads the whole list if the changes are not available. Afterwards the
// copy is at least as new as the list was at the time of the call.
func (l *listCopy[K, E, C]) update(ctx context.Context) error {
	if !l.synced {
		return l.read(ctx)
	}
	changes, at, err := l.config.Changes(ctx, l.at)
	if mustReload(err) {
		return l.read(ctx)
	}
	if err != nil {
		return err
	}
	l.at = at
	for _, change := range changes {
		l.apply(change)
	}
	return nil
}

// read reads the whole list. If it fails, the version to watch from stays, and may be too old; update then reads the
// list again.
func (l *listCopy[K, E, C]) read(ctx context.Context) error {
	entries, at, err := l.config.Read(ctx)
	if err != nil {
		return err
	}
	clear(l.entries)
	for _, entry := range entries {
		l.entries[l.config.Key(entry)] = entry
	}
	l.at, l.synced = at, true
	return nil
}

// apply applies one change.
func (l *listCopy[K, E, C]) apply(change C) {
	entry, removed := l.config.Entry(change)
	if removed {
		delete(l.entries, l.config.Key(entry))
		return
	}
	l.entries[l.config.Key(entry)] = entry
}

// all returns the entries of the list.
func (l *listCopy[K, E, C]) all() []E { return slices.Collect(maps.Values(l.entries)) }

func newWorkerCopy(list platform.WorkerList) *listCopy[jobs.WorkerID, jobs.Worker, platform.WorkerChange] {
	return newListCopy(listConfig[jobs.WorkerID, jobs.Worker, platform.WorkerChange]{
		Read: list.JobWorkers, Changes: list.WorkerChanges,
		Key:   func(w jobs.Worker) jobs.WorkerID { return w.ID },
		Entry: func(c platform.WorkerChange) (jobs.Worker, bool) { return c.Worker, c.Removed },
	})
}

func newCordonCopy(list platform.CordonList) *listCopy[models.FailureDomain, jobs.Cordon, platform.CordonChange] {
	return newListCopy(listConfig[models.FailureDomain, jobs.Cordon, platform.CordonChange]{
		Read: list.Cordons, Changes: list.CordonChanges,
		Key:   func(c jobs.Cordon) models.FailureDomain { return c.Domain },
		Entry: func(c platform.CordonChange) (jobs.Cordon, bool) { return c.Cordon, c.Lifted },
	})
}
