// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"rillsail.example/rillsail/platform/emulator"
)

// Terms of the queues.
const (
	slack   = 250 // ms
	stretch = 1.5 // of the estimated time
)

// queues are those of a version of the configuration: the one that jobs go to, and one
// that shows which version a daemon has in force.
func queues(version int) []emulator.Queue {
	queue := emulator.Queue{Host: host, Pool: workerPool, Slack: slack, Stretch: stretch, MaxAttempts: maxTaskAttempts}
	main, marker := queue, queue
	main.Name, main.Prefix = "jobs", prefix
	marker.Name, marker.Prefix = fmt.Sprint("version-", version), versionPrefix(version)
	return []emulator.Queue{main, marker}
}

// versionPrefix is the prefix of the queue that only this version has.
func versionPrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// reconfigure writes the next version.
func (s *site) reconfigure(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	return s.emulator.Configure(ctx, queues(s.version))
}

// latestVersion is the version that was written last.
func (s *site) latestVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// versionCheckInterval is the pause between two looks at the versions in force.
const versionCheckInterval = 150 * time.Millisecond

// versionLoop checks that no daemon goes back to an older configuration in its life.
func (r *run) versionLoop(ctx context.Context) {
	type life struct{ daemon, number int }
	inForce := map[life]int{}
	for sleep(ctx, versionCheckInterval) {
		newest := r.site.latestVersion()
		for n, d := range r.site.daemons {
			before, up := d.running()
			seen := activeVersion(ctx, d, newest)
			after, stillUp := d.running()
			if seen == 0 || !up || !stillUp || before != after {
				continue
			}
			key := life{n, before}
			if seen < inForce[key] {
				r.addBreach("%s has configuration %d in force after %d", d.name, seen, inForce[key])
			}
			inForce[key] = max(inForce[key], seen)
		}
	}
}

// activeVersion finds which of the two newest configurations a daemon has in force; 0: neither.
func activeVersion(ctx context.Context, d *daemon, newest int) int {
	for version := newest; version > max(0, newest-2); version-- {
		answer, err := newCaller(versionPrefix(version)).Pending(ctx, d.callers.Listen)
		if err == nil && answer.Status == http.StatusOK {
			return version
		}
	}
	return 0
}
