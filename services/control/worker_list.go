// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"maps"
	"slices"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// workerList is an owner's copy of the platform's list of workers. It is read once and then updated with
// the changes. An entry hardly ever changes, and reading the whole list repeatedly would take most of a
// small VM's link.
type workerList struct {
	source  platform.WorkerList
	workers map[jobs.WorkerID]jobs.Worker
	at      platform.Version
	synced  bool // workers is the list as of version at
}

func newWorkerList(source platform.WorkerList) *workerList {
	return &workerList{source: source, workers: map[jobs.WorkerID]jobs.Worker{}}
}

// update waits for a change and applies it, or reads the whole list if the changes are not available.
// Afterwards the copy is at least as new as the list was at the time of the call.
func (l *workerList) update(ctx context.Context) error {
	if !l.synced {
		return l.read(ctx)
	}
	changes, at, err := l.source.WorkerChanges(ctx, l.at)
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

// read reads the whole list. If it fails, the version to watch from stays, and may be too old; update then
// reads the list again.
func (l *workerList) read(ctx context.Context) error {
	workers, at, err := l.source.JobWorkers(ctx)
	if err != nil {
		return err
	}
	clear(l.workers)
	for _, worker := range workers {
		l.workers[worker.ID] = worker
	}
	l.at, l.synced = at, true
	return nil
}

// apply applies one change.
func (l *workerList) apply(change platform.WorkerChange) {
	if change.Removed {
		delete(l.workers, change.Worker.ID)
		return
	}
	l.workers[change.Worker.ID] = change.Worker
}

// all returns the workers in the list.
func (l *workerList) all() []jobs.Worker { return slices.Collect(maps.Values(l.workers)) }
