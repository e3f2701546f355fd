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

// Terms of the latency objective of the queues.
const (
	slack   = 250 // ms
	stretch = 1.5 // times the estimated time
)

// queues returns the queues of a version of the configuration: the queue that jobs are submitted to, and a
// marker queue that shows which version a daemon has in force.
func queues(version int) []emulator.Queue {
	queue := emulator.Queue{Host: host, Pool: workerPool, Slack: slack, Stretch: stretch, MaxAttempts: maxTaskAttempts}
	main, marker := queue, queue
	main.Name, main.Prefix = "jobs", prefix
	marker.Name, marker.Prefix = fmt.Sprint("version-", version), versionPrefix(version)
	return []emulator.Queue{main, marker}
}

// versionPrefix returns the path prefix of the marker queue, which only this version has.
func versionPrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// reconfigure writes the next version of the configuration.
func (s *site) reconfigure(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	return s.emulator.Configure(ctx, queues(s.version))
}

// latestVersion returns the version that was written last.
func (s *site) latestVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// versionCheckInterval is the pause between two checks of the versions in force.
const versionCheckInterval = 150 * time.Millisecond

// versionLoop checks that no incarnation of a daemon goes back to an older configuration.
func (r *run) versionLoop(ctx context.Context) {
	type incarnation struct{ daemon, number int }
	inForce := map[incarnation]int{}
	for sleep(ctx, versionCheckInterval) {
		newest := r.site.latestVersion()
		for n, d := range r.site.daemons {
			before, up := d.running()
			seen := activeVersion(ctx, d, newest)
			after, stillUp := d.running()
			if seen == 0 || !up || !stillUp || before != after {
				continue
			}
			key := incarnation{n, before}
			if seen < inForce[key] {
				r.addBreach("%s has version %d of the configuration in force after version %d", d.name, seen, inForce[key])
			}
			inForce[key] = max(inForce[key], seen)
		}
	}
}

// activeVersion returns which of the two newest versions a daemon has in force; 0: neither.
func activeVersion(ctx context.Context, d *daemon, newest int) int {
	for version := newest; version > max(0, newest-2); version-- {
		answer, err := newCaller(versionPrefix(version)).Pending(ctx, d.callers.Listen)
		if err == nil && answer.Status == http.StatusOK {
			return version
		}
	}
	return 0
}
