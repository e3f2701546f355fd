// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// The load of the scenario: two runners full of short tasks, and jobs that wait for them.
const (
	endsJobs     = 150
	endsTasks    = 20                      // of a job, as in the example of PROTOCOL.md
	endsCPU      = 500                     // of a task, as in the same example
	endsWork     = 640 * time.Millisecond  // of a task, as of match-quote on the sheet
	endsOutage   = 4500 * time.Millisecond // for_s of platform_down in the site file
	endsObserved = 25 * time.Second
)

// playEnds lets the store answer 503 for some seconds while the runners work on what they were told to run. No end can be
// taken note of meanwhile, so that each runner soon has more of them than one answer lists.
func playEnds(ctx context.Context, o options, r *record) ([]string, error) {
	size := amounts{CPU: endsCPU, Memory: 256}
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
	sleep(ctx, 6*time.Second) // until the deployment is calm
	job := map[string]any{wire["payload"]: "quote", "steps": []any{map[string]any{
		"count": endsTasks, "cpu": size.CPU, wire["memory"]: size.Memory, wire["estimate"]: endsWork.Milliseconds(),
	}}}
	for n := range endsJobs {
		if !s.submit(ctx, fmt.Sprintf("%016x", 0x5bc0000000000000+n), job) {
			return nil, fmt.Errorf("job %d is not accepted", n)
		}
	}
	if o.trouble {
		s.store.SetFault(func(context.Context, bool, bool, string) error { return platform.ErrUnavailable })
		r.note("the store answers each call with 503")
		time.AfterFunc(endsOutage, func() {
			s.store.SetFault(kv.NoFault)
			r.note("the store answers again")
		})
	}
	sleep(ctx, endsObserved)
	r.note("%d of %d tasks have ended done", s.audit.done(), endsJobs*endsTasks)
	if s.audit.done() < endsJobs*endsTasks {
		return nil, fmt.Errorf("only %d tasks have ended done", s.audit.done())
	}
	return s.audit.twice(), nil
}
