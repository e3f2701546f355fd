// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

// The load of the scenario: two runners of 64 cores full of short tasks of a tenth of a core.
const (
	endsJobs     = 64
	endsTasks    = 20
	endsWork     = 1200 * time.Millisecond
	endsRestart  = 3500 * time.Millisecond // that a killed process stays away
	endsObserved = 25 * time.Second
)

// playEnds kills the process that gives the orders while each runner runs more tasks than one answer lists ends. They end
// done before a successor calls the runners.
func playEnds(ctx context.Context, o options, r *record) ([]string, error) {
	size := amounts{CPU: 100, Memory: 128}
	work := func(string) (amounts, time.Duration) { return size, endsWork }
	workers := []*worker{
		{id: "i-00000001", capacity: amounts{64000, 250000}, work: work},
		{id: "i-00000002", capacity: amounts{64000, 250000}, work: work},
	}
	s, err := newSite(ctx, o, r, samferdRill, workers, 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	if !waitFor(ctx, 10*time.Second, func() bool { return s.owner() != nil }) {
		return nil, fmt.Errorf("no daemon owns the cell")
	}
	sleep(ctx, time.Second)
	job := map[string]any{"task_spec": "match", "steps": []any{map[string]any{
		"count": endsTasks, "cpu": size.CPU, "mem_mb": size.Memory, "estimated_ms": endsWork.Milliseconds(),
	}}}
	for n := range endsJobs {
		if !s.submit(ctx, fmt.Sprintf("%016x", 0x5bc0000000000000+n), job) {
			return nil, fmt.Errorf("job %d is not accepted", n)
		}
	}
	most := 0
	waitFor(ctx, 10*time.Second, func() bool {
		n, _ := workers[0].count()
		m, _ := workers[1].count()
		most = max(most, n+m)
		return n+m < most || n > 600 && m > 600
	})
	r.note("%d runs are under way", most)
	if o.trouble {
		killed := s.owner()
		s.kill(killed)
		time.AfterFunc(endsRestart, func() { _ = s.startDaemon(killed) })
	}
	sleep(ctx, endsObserved)
	r.note("%d of %d tasks have ended done", s.audit.done(), endsJobs*endsTasks)
	if s.audit.done() < endsJobs*endsTasks {
		return nil, fmt.Errorf("only %d tasks have ended done", s.audit.done())
	}
	return s.audit.twice(), nil
}
