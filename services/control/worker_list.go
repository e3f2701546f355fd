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

// workerList is the platform's list of workers as one owner knows it: read once, then
// followed by its changes. An entry hardly ever changes, and reading all of them again and again
// would take most of a small VM's link.
type workerList struct {
	source  platform.WorkerList
	workers map[jobs.WorkerID]jobs.Worker
	at      platform.Version
	synced  bool // workers is the list as it was at the version
}

func newWorkerList(source platform.WorkerList) *workerList {
	return &workerList{source: source, workers: map[jobs.WorkerID]jobs.Worker{}}
}

// update waits for a change, or reads the list when its changes are not known. Everything
// is known after it that the list said when it was called.
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

// read takes the whole list. Until it succeeds, changes are asked for after a version that
// may be too old; then it is called again.
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

// apply takes one change.
func (l *workerList) apply(change platform.WorkerChange) {
	if change.Gone {
		delete(l.workers, change.Worker.ID)
		return
	}
	l.workers[change.Worker.ID] = change.Worker
}

// all are the workers that the list names.
func (l *workerList) all() []jobs.Worker { return slices.Collect(maps.Values(l.workers)) }
