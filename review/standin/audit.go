// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// audit follows the runs on all workers and finds breaches of TWICE: two simultaneous runs of one task, or a start that
// follows a run that ended done where that end is taken note of at that time or afterwards. An end is taken note of once
// an acknowledgement reaches it, except where the runner's lease lapsed in between.
type audit struct {
	record *record

	mu     sync.Mutex
	runs   map[string][]*auditedRun // by task, in the order of their starts
	lapses map[string][]time.Time   // of leases, by worker
}

// auditedRun is a run as its worker saw it.
type auditedRun struct {
	worker     string
	run        uint64
	start, end time.Time // end is zero while it runs
	how        string
	notedAt    time.Time // zero: its end is not taken note of
}

func newAudit(r *record) *audit {
	return &audit{record: r, runs: map[string][]*auditedRun{}, lapses: map[string][]time.Time{}}
}

func (a *audit) started(worker, task string, run uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[task] = append(a.runs[task], &auditedRun{worker: worker, run: run, start: time.Now()})
}

func (a *audit) find(worker, task string, run uint64) *auditedRun {
	for _, r := range a.runs[task] {
		if r.worker == worker && r.run == run {
			return r
		}
	}
	return &auditedRun{}
}

func (a *audit) ended(worker, task string, run uint64, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.find(worker, task, run)
	r.end, r.how = time.Now(), how
}

// noted records that an acknowledgement has reached an end.
func (a *audit) noted(worker, task string, run uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.find(worker, task, run)
	for _, lapse := range a.lapses[worker] {
		if lapse.After(r.end) {
			return
		}
	}
	r.notedAt = time.Now()
}

func (a *audit) lapsed(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lapses[worker] = append(a.lapses[worker], time.Now())
}

// done returns how many tasks have a run that ended done.
func (a *audit) done() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, runs := range a.runs {
		for _, r := range runs {
			if r.how == "done" {
				n++
				break
			}
		}
	}
	return n
}

// twice returns the breaches of TWICE.
func (a *audit) twice() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var breaches []string
	for task, runs := range a.runs {
		for i, later := range runs {
			for _, earlier := range runs[:i] {
				if text := a.breach(task, earlier, later); text != "" {
					breaches = append(breaches, text)
				}
			}
		}
	}
	return breaches
}

// breach returns how two runs of a task break TWICE; empty: they don't.
func (a *audit) breach(task string, earlier, later *auditedRun) string {
	switch {
	case earlier.end.IsZero() || earlier.end.After(later.start):
		until := "still runs"
		if !earlier.end.IsZero() {
			until = "until " + a.record.at(earlier.end)
		}
		return fmt.Sprintf("TWICE: %s run %d on %s from %s %s, and run %d on %s from %s", task, earlier.run, earlier.worker,
			a.record.at(earlier.start), until, later.run, later.worker, a.record.at(later.start))
	case earlier.how == "done" && !earlier.notedAt.IsZero():
		return fmt.Sprintf("TWICE: %s run %d on %s ended done at %s (taken note of at %s), and run %d starts on %s at %s", task, earlier.run,
			earlier.worker, a.record.at(earlier.end), a.record.at(earlier.notedAt), later.run, later.worker, a.record.at(later.start))
	}
	return ""
}

// doneByJob returns how many tasks of each job have a run that ended done.
func (a *audit) doneByJob() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	done := map[string]int{}
	for task, runs := range a.runs {
		id, _, _ := strings.Cut(task, ".")
		for _, r := range runs {
			if r.how == "done" {
				done[id]++
				break
			}
		}
	}
	return done
}
