// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"context"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// listWait bounds how long WorkerChanges waits for a change.
const listWait = 500 * time.Millisecond

// JobWorkers implements platform.WorkerList. The version is the number of changes of the list.
func (g *Grid) JobWorkers(context.Context) ([]jobs.Worker, platform.Version, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []jobs.Worker
	for _, id := range g.idsByPlace {
		if worker, listed := g.listed(id); listed {
			list = append(list, worker)
		}
	}
	for id := range g.staleEntries {
		if !slices.Contains(g.idsByPlace, id) {
			list = append(list, g.workers[id].info)
		}
	}
	return list, platform.Version(len(g.changes)), nil
}

// WorkerChanges implements platform.WorkerList: it waits for changes of the list.
func (g *Grid) WorkerChanges(ctx context.Context, after platform.Version) ([]platform.WorkerChange, platform.Version, error) {
	g.mu.Lock()
	changed := g.changed
	waits := int(after) == len(g.changes)
	g.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(listWait):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var changes []platform.WorkerChange
	for _, id := range g.changes[after:] {
		worker, listed := g.listed(id)
		changes = append(changes, platform.WorkerChange{Worker: worker, Removed: !listed})
	}
	return changes, platform.Version(len(g.changes)), nil
}

// listed returns the worker's entry, and whether the list contains it now.
func (g *Grid) listed(id jobs.WorkerID) (jobs.Worker, bool) {
	worker := g.workers[id].info
	if leaves, ok := g.draining[id]; ok {
		worker.Draining = true
		worker.Remaining = max(0, time.Until(leaves))
	}
	return worker, !g.unlisted[id] && (slices.Contains(g.idsByPlace, id) || g.staleEntries[id])
}

// noteChange records a change of a worker's entry and wakes the calls that wait for one.
func (g *Grid) noteChange(id jobs.WorkerID) {
	g.changes = append(g.changes, id)
	close(g.changed)
	g.changed = make(chan struct{})
}
