// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// The scenario of a runner that is cut off while it drains. The bounds are those of the sheet and the site file.
const (
	drainStay     = 12 * time.Second        // that the runner serves on after its notice: "at times many seconds"
	silentReports = 3                       // after which the store drops a runner's entry
	cutTime       = 5500 * time.Millisecond // for_s of node_cut, how servers
	drainWork     = 7 * time.Second
	drainWorkers  = 16 // one of them is a share of 0.0625: the site file lets 0.065 drain and 0.17 be cut off
	drainObserved = 14 * time.Second
)

// playDrain lets a runner say that it drains, and cuts it off from all machines soon after.
func playDrain(ctx context.Context, o options, r *record) ([]string, error) {
	size := amounts{CPU: 500, Memory: 512}
	work := func(string) (amounts, time.Duration) { return size, drainWork }
	var workers []*worker
	for n := range drainWorkers {
		workers = append(workers, &worker{id: fmt.Sprintf("i-%08d", n+1), capacity: amounts{16000, 62500}, work: work})
	}
	s, err := newSite(ctx, o, r, wapfhaSched, workers, 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	sleep(ctx, 6*time.Second) // until the deployment is calm
	job := map[string]any{wire["payload"]: "batch", "steps": []any{map[string]any{
		"count": 20, "cpu": size.CPU, wire["memory"]: size.Memory, wire["estimate"]: drainWork.Milliseconds(),
	}}}
	for n := range 3 {
		if !s.submit(ctx, fmt.Sprintf("%016x", 0x5bc0000000000000+n), job) {
			return nil, fmt.Errorf("job %d is not accepted", n)
		}
	}
	var leaving *worker
	if !waitFor(ctx, 5*time.Second, func() bool { leaving = busiest(workers); n, _ := leaving.count(); return n >= 10 }) {
		return nil, fmt.Errorf("no runner has ten tasks")
	}
	if err := s.store.Write(ctx, "servers/"+leaving.id, leaving.entry(service, true, wapfhaSched.drain)); err != nil {
		return nil, err
	}
	r.note("%s says draining, least time left %d ms", leaving.id, wapfhaSched.drain.Milliseconds())
	said := time.Now()
	if o.trouble {
		leaving.waitForHold(ctx)
		leaving.cutOff(true)
		r.note("%s is cut off from all machines and the store", leaving.id)
		time.AfterFunc(cutTime, func() {
			leaving.cutOff(false)
			r.note("%s is no longer cut off", leaving.id)
		})
		sleep(ctx, time.Until(said.Add(silentReports*wapfhaSched.heartbeat)))
	} else {
		sleep(ctx, time.Until(said.Add(drainStay)))
		leaving.leave()
		r.note("%s leaves", leaving.id)
	}
	if err := s.removeEntry(ctx, leaving); err != nil {
		return nil, err
	}
	r.note("the entry of %s goes", leaving.id)
	sleep(ctx, drainObserved)
	return s.audit.twice(), nil
}

// busiest returns the worker with the most runs.
func busiest(workers []*worker) *worker {
	return slices.MaxFunc(workers, func(a, b *worker) int {
		n, _ := a.count()
		m, _ := b.count()
		return cmp.Compare(n, m)
	})
}
