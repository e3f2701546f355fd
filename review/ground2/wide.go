// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// The wide job has as many tasks as a daemon accepts in a job, and in a step. Each asks for a thousandth of a core.
const (
	wideSteps = 2
	wideTasks = 10_000 // of each step
	wideWork  = 15 * time.Second
	// wideBegun is how many of the tasks run when the runner crashes.
	wideBegun = 17_500
)

// The small jobs are handed in after the crash.
const (
	smallJobs  = 20
	smallPause = 300 * time.Millisecond
	smallWork  = time.Second
	// longIdle is how long nothing may run beside jobs that are not done; the rule has 3 s, after 4 s of calm.
	longIdle = 20 * time.Second
)

// playWide submits a job of many small tasks. When most of them run, the runner that has most of them crashes. The small
// jobs that come then, and the wide one, have to be done.
func playWide(ctx context.Context, g *ground, trouble bool) (verdict, error) {
	const wide = "000000000000c0de"
	work := func(task string, _ uint64) (time.Duration, string) {
		if task[:len(wide)] == wide {
			return wideWork, "done"
		}
		return smallWork, "done"
	}
	runners, err := g.startRunners(runnerConfig{kind: "a", cpu: 64000, mem: 250000, work: work}, 12)
	if err != nil {
		return verdict{}, err
	}
	if err := g.waitReady(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(settle)
	tasks := step{Count: wideTasks, CPU: 1, Memory: 1, Estimate: int(wideWork.Milliseconds())}
	if !g.submit(wide, job{Payload: "work", Steps: []step{tasks, tasks}[:wideSteps]}) {
		return verdict{}, errors.New("the wide job is not accepted")
	}
	busiest, err := g.awaitRuns(ctx, runners, wideBegun)
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		busiest.crash()
	}
	var small []string
	for n := range smallJobs {
		id := fmt.Sprintf("%016x", 0xd000+n)
		if !g.submit(id, job{Payload: "work", Steps: []step{{Count: 3, CPU: 1600, Memory: 3200, Estimate: int(smallWork.Milliseconds())}}}) {
			return verdict{}, errors.New("a small job is not accepted")
		}
		small = append(small, id)
		time.Sleep(smallPause)
	}
	return g.awaitDone(ctx, runners, small, wide), nil
}

// awaitRuns waits until so many runs are under way, and returns the runner with most of them.
func (g *ground) awaitRuns(ctx context.Context, runners []*runner, enough int) (*runner, error) {
	for ctx.Err() == nil {
		running, most := 0, 0
		var busiest *runner
		for _, r := range runners {
			n := r.running()
			running += n
			if n > most {
				busiest, most = r, n
			}
		}
		g.log("%d tasks run, %d of them on one runner", running, most)
		if running >= enough {
			return busiest, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, errors.New("the wide job's tasks do not start")
}

// awaitDone waits until all jobs are shown as succeeded, or nothing has run on any runner for longIdle although some are not.
func (g *ground) awaitDone(ctx context.Context, runners []*runner, small []string, wide string) verdict {
	idleSince := time.Now()
	for {
		for next := time.Now().Add(2 * time.Second); time.Now().Before(next); time.Sleep(100 * time.Millisecond) {
			if countRuns(runners) > 0 {
				idleSince = time.Now()
			}
		}
		open, unstarted := 0, 0
		for _, id := range append(small, wide) {
			if state, _ := g.state(g.daemons[0], id); state == "succeeded" {
				continue
			}
			open++
			if id != wide && g.startsOf(id+".0.0.0") == 0 {
				unstarted++
			}
		}
		idle := time.Since(idleSince)
		g.log("%d of %d jobs are not done, %d of them have never had anything running; nothing has run for %v", open, len(small)+1, unstarted, idle)
		switch {
		case open == 0:
			return verdict{false, "all jobs succeeded"}
		case idle > longIdle || ctx.Err() != nil:
			return verdict{true, fmt.Sprintf("LOST: nothing has run for %v on 11 idle runners, and %d of %d accepted jobs are not done; %d of them have never had anything running",
				idle.Round(time.Second), open, len(small)+1, unstarted)}
		}
	}
}

// countRuns returns how many tasks run on all runners together.
func countRuns(runners []*runner) int {
	sum := 0
	for _, r := range runners {
		sum += r.running()
	}
	return sum
}
