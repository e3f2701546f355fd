//go:build review

// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"fmt"
	"strings"
	"time"
)

// The case bad-host: one machine of eight crashes, comes back with a new runner, and crashes again each time that it has
// been given work. On each machine runs one task of a job that lasts.
const (
	badHostRunners = 8
	badHostQuiet   = 12 * time.Second       // before the first crash
	badHostDelay   = 200 * time.Millisecond // from the first start in a life to its crash
	badHostDown    = 1500 * time.Millisecond
	badHostCrashes = 8
	badHostTime    = 30 * time.Second // from the first crash to the check
)

func playBadHost(folder string) {
	w := newWorld(folder, badHostRunners, 3)
	b := newBook()
	w.fleet.sizeOf = b.sizeOf
	w.fleet.workOf = func(string, uint64) (time.Duration, string) { return time.Hour, "stopped" } // until it is stopped
	bad, crashes := w.fleet.places[0], 0
	crash := func() {
		if crashes == badHostCrashes {
			return
		}
		crashes++
		bad.crash()
		time.AfterFunc(badHostDown, bad.boot)
	}
	began := make(chan struct{})
	w.fleet.onStart = func(l *life, _ *run) {
		select {
		case <-began:
		default:
			return
		}
		if w.trouble && l.place == bad && l.starts == 1 {
			time.AfterFunc(badHostDelay, crash)
		}
	}
	w.run()
	j := w.submit(b, step{Count: badHostRunners, CPU: 3200, Memory: 6400, Estimate: 500, PerRunner: 1, Lasts: true})
	if j.accepted.IsZero() {
		fmt.Println("the job was not accepted")
		w.end(exitNotRun)
	}
	time.Sleep(badHostQuiet)
	if running := w.fleet.running(j.ID); running != badHostRunners {
		fmt.Println("tasks at work before the disruption:", running)
		w.end(exitNotRun)
	}
	close(began)
	if w.trouble {
		crash()
	}
	for end := time.Now().Add(badHostTime); time.Now().Before(end); time.Sleep(time.Second) {
		status, state := w.state(j)
		w.record.add("state", "job", j.ID, "answer", status, "state", state, "tasks_at_work", w.fleet.running(j.ID))
	}
	status, state := w.state(j)
	failedEnds := strings.Count(w.record.text(), "how=failed")
	fmt.Printf("crashes of one machine of %d: %d; runs that ended failed: %d; the job that lasts: answer %d, state %q, %d of %d tasks at work\n",
		badHostRunners, crashes, failedEnds, status, state, w.fleet.running(j.ID), badHostRunners)
	if state == "failed" || state == "cancelled" {
		fmt.Println("LOST: a job that nobody cancelled and of which no run has ended failed is shown as", state)
		w.end(exitBroken)
	}
	w.end(exitHeld)
}
