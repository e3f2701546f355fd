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

// listChange is an entry of a list that was added, updated or removed.
type listChange[E any] struct {
	entry   E // only its key is set for a removed entry
	removed bool
}

// listSource reads a list that the platform keeps.
type listSource[E any] interface {
	// read reads the whole list and returns the version from which to follow changes.
	read(ctx context.Context) ([]E, platform.Version, error)
	// changes waits until the list changes after the version; see platform.WorkerList.
	changes(ctx context.Context, after platform.Version) ([]listChange[E], platform.Version, error)
}

// listCopy is an owner's copy of a list that the platform keeps. It is read once and then updated with the changes. Entries
// hardly ever change, and reading a whole list repeatedly would take most of a small VM's link.
type listCopy[K comparable, E any] struct {
	source  listSource[E]
	key     func(E) K
	entries map[K]E
	at      platform.Version
	synced  bool // entries is the list as of version at
}

func newListCopy[K comparable, E any](source listSource[E], key func(E) K) *listCopy[K, E] {
	return &listCopy[K, E]{source: source, key: key, entries: map[K]E{}}
}

// update waits for a change and applies it, or reads the whole list if the changes are not available. Afterwards the
// copy is at least as new as the list was at the time of the call.
func (l *listCopy[K, E]) update(ctx context.Context) error {
	if !l.synced {
		return l.read(ctx)
	}
	changes, at, err := l.source.changes(ctx, l.at)
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
func (l *listCopy[K, E]) read(ctx context.Context) error {
	entries, at, err := l.source.read(ctx)
	if err != nil {
		return err
	}
	clear(l.entries)
	for _, entry := range entries {
		l.entries[l.key(entry)] = entry
	}
	l.at, l.synced = at, true
	return nil
}

// apply applies one change.
func (l *listCopy[K, E]) apply(change listChange[E]) {
	if change.removed {
		delete(l.entries, l.key(change.entry))
		return
	}
	l.entries[l.key(change.entry)] = change.entry
}

// all returns the entries of the list.
func (l *listCopy[K, E]) all() []E { return slices.Collect(maps.Values(l.entries)) }

// workerSource is the platform's list of workers as a listSource.
type workerSource struct{ list platform.WorkerList }

func (s workerSource) read(ctx context.Context) ([]jobs.Worker, platform.Version, error) {
	return s.list.JobWorkers(ctx)
}

func (s workerSource) changes(ctx context.Context, after platform.Version) ([]listChange[jobs.Worker], platform.Version, error) {
	changes, at, err := s.list.WorkerChanges(ctx, after)
	list := make([]listChange[jobs.Worker], 0, len(changes))
	for _, change := range changes {
		list = append(list, listChange[jobs.Worker]{change.Worker, change.Removed})
	}
	return list, at, err
}

func newWorkerCopy(list platform.WorkerList) *listCopy[jobs.WorkerID, jobs.Worker] {
	return newListCopy(workerSource{list}, func(w jobs.Worker) jobs.WorkerID { return w.ID })
}

// cordonSource is the operators' list of cordons as a listSource.
type cordonSource struct{ list platform.CordonList }

func (s cordonSource) read(ctx context.Context) ([]jobs.Cordon, platform.Version, error) {
	return s.list.Cordons(ctx)
}

func (s cordonSource) changes(ctx context.Context, after platform.Version) ([]listChange[jobs.Cordon], platform.Version, error) {
	changes, at, err := s.list.CordonChanges(ctx, after)
	list := make([]listChange[jobs.Cordon], 0, len(changes))
	for _, change := range changes {
		list = append(list, listChange[jobs.Cordon]{change.Cordon, change.Lifted})
	}
	return list, at, err
}

func newCordonCopy(list platform.CordonList) *listCopy[models.FailureDomain, jobs.Cordon] {
	return newListCopy(cordonSource{list}, func(c jobs.Cordon) models.FailureDomain { return c.Domain })
}
