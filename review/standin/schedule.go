// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// The scenario of timed jobs. Its figures are those of the sheet and of the settings of a small site.
const (
	memoryLimit      = 284 // memory_mb: the platform kills a process past it
	restartDelay     = 500 * time.Millisecond
	memoryPause      = 20 * time.Millisecond // between two looks at a process's memory
	timedJobs        = 4
	timedRuns        = 10_000 // every minute for a week
	timedInterval    = time.Minute
	timedTasks       = 8 // of each of the two steps, as of route-pool on the sheet
	shortJobs        = 12
	shortWork        = 500 * time.Millisecond
	scheduleTraffic  = 20 * time.Second
	scheduleFinish   = 14 * time.Second // finish_s
	scheduleStarving = 3 * time.Second  // how long a job may have nothing running while its turn has come
)

// playSchedule hands in some timed jobs, none of which falls due while the scenario lasts, and then short ones.
func playSchedule(ctx context.Context, o options, r *record) ([]string, error) {
	size := amounts{CPU: 1000, Memory: 512}
	work := func(string) (amounts, time.Duration) { return size, shortWork }
	var workers []*worker
	for n := range 3 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-0000000%d", n+1), capacity: amounts{64000, 250000}, work: work})
	}
	s, err := newSite(ctx, o, r, samferdRill, workers, 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	guarding, stop := context.WithCancel(ctx)
	defer stop()
	kills := make([]int, len(s.daemons))
	for n, d := range s.daemons {
		go s.guardMemory(guarding, d, &kills[n])
	}
	sleep(ctx, 2*time.Second)
	if o.trouble {
		s.submitTimed(ctx)
	}
	accepted := s.submitShort(ctx)
	if len(accepted) == 0 {
		return nil, fmt.Errorf("no short job is accepted")
	}
	sleep(ctx, scheduleFinish)
	breaches := s.unfinished(ctx, accepted)
	stop()
	return append(breaches, endedByThemselves(s.daemons, kills)...), nil
}

// guardMemory kills the daemon's process when it is past its memory limit and starts it again, as the platform does.
func (s *site) guardMemory(ctx context.Context, d *daemon, kills *int) {
	for sleep(ctx, memoryPause) {
		used := d.memory()
		if used <= memoryLimit {
			continue
		}
		s.record.note("%s uses %d MB of %d", d.name, used, memoryLimit)
		s.kill(d)
		*kills++
		if sleep(ctx, restartDelay) {
			_ = s.startDaemon(d)
		}
	}
}

// memory returns the resident memory of the daemon's process in MB; 0: it does not run.
func (d *daemon) memory() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// submitTimed hands in the timed jobs, which fall due for the first time in an hour.
func (s *site) submitTimed(ctx context.Context) {
	step := map[string]any{"count": timedTasks, "cpu": 7000, wire["memory"]: 4096, wire["estimate"]: 1700}
	second := map[string]any{"count": timedTasks, "cpu": 7000, wire["memory"]: 4096, wire["estimate"]: 1700, wire["after"]: []int{0}}
	job := map[string]any{
		wire["payload"]: "pool", "steps": []any{step, second}, wire["times"]: timedRuns,
		wire["first"]: time.Now().Add(time.Hour).UnixMilli(), wire["every"]: timedInterval.Milliseconds(),
	}
	body, _ := json.Marshal(job)
	for n := range timedJobs {
		s.call(ctx, s.daemons[n%len(s.daemons)], http.MethodPost, fmt.Sprintf("%016x", 0x5bc0000000000000+n), body)
	}
}

// submitShort hands in short jobs, spread over the time of the traffic, and returns those that are accepted.
func (s *site) submitShort(ctx context.Context) []string {
	job := map[string]any{wire["payload"]: "quote", "steps": []any{
		map[string]any{"count": 4, "cpu": 1000, wire["memory"]: 512, wire["estimate"]: shortWork.Milliseconds()},
	}}
	var accepted []string
	for n := range shortJobs {
		id := fmt.Sprintf("%016x", 0x5bc0000000001000+n)
		if s.submit(ctx, id, job) {
			accepted = append(accepted, id)
		}
		sleep(ctx, scheduleTraffic/shortJobs)
	}
	return accepted
}

// unfinished asks for the jobs after the traffic has ended. All have had room for many times over, nothing else runs,
// and no machine is disturbed but by its own end: a job that has nothing running then and has not ended is lost.
func (s *site) unfinished(ctx context.Context, ids []string) []string {
	var breaches []string
	before := s.audit.doneByJob()
	running := map[string]bool{}
	for end := time.Now().Add(scheduleStarving); time.Now().Before(end); sleep(ctx, 50*time.Millisecond) {
		for _, w := range s.workers {
			w.jobsRunning(running)
		}
	}
	for _, id := range ids {
		state := ""
		for _, d := range s.daemons {
			status, body := s.call(ctx, d, http.MethodGet, id, nil)
			if status == http.StatusOK {
				state = body
			}
		}
		if before[id] < 4 && !running[id] {
			breaches = append(breaches, fmt.Sprintf("LOST: job %s was accepted, has had nothing running for %s, %d of its 4 tasks have ended done, and is shown as %q",
				id, scheduleStarving, before[id], strings.TrimSpace(state)))
		}
	}
	return breaches
}

// endedByThemselves returns a breach if the processes of two machines at least have ended by themselves three times.
func endedByThemselves(daemons []*daemon, kills []int) []string {
	machines, text := 0, ""
	for n, d := range daemons {
		if kills[n] >= 3 {
			machines++
		}
		text += fmt.Sprintf(" %s %d times", d.name, kills[n])
	}
	if machines < 2 {
		return nil
	}
	return []string{"Fault: processes were past their memory limit:" + text}
}
