//go:build review

// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// step is a step of a job, as requesters send it.
type step struct {
	Count     int    `json:"count"`
	CPU       int64  `json:"cpu,omitempty"`
	Memory    int64  `json:"@memory@,omitempty"`
	Estimate  int64  `json:"@estimate@,omitempty"`
	After     []int  `json:"@after@,omitempty"`
	PerRunner int    `json:"@perrunner@,omitempty"`
	Requires  string `json:"requirements,omitempty"`
	Lasts     bool   `json:"@lasts@,omitempty"`
	Image     string `json:"image,omitempty"`
	Target    int64  `json:"target_ms,omitempty"`
	Fills     bool   `json:"fills,omitempty"`
}

// job is a job that a requester has handed in.
type job struct {
	ID       string
	Steps    []step
	accepted time.Time // zero: not accepted
	answers  []int     // of the attempts to hand it in; 0: none
}

// book is all jobs of a play.
type book struct {
	mu   sync.Mutex
	jobs []*job
	byID map[string]*job
}

func newBook() *book { return &book{byID: map[string]*job{}} }

// sizeOf returns what a task takes, by its name ID.K.STEP.INDEX.
func (b *book) sizeOf(task string) (cpu, memory int64) {
	s := b.stepOf(task)
	return s.CPU, s.Memory
}

func (b *book) stepOf(task string) step {
	parts := strings.Split(task, ".")
	number := 0
	fmt.Sscan(parts[2], &number)
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.byID[parts[0]]
	if j == nil || number >= len(j.Steps) {
		return step{Estimate: 1000}
	}
	return j.Steps[number]
}

const maxTries = 5 // the first attempt and four retries

// submit hands a job in, and asks again at the next daemon where there is no answer, or where it is told to come back.
func (w *world) submit(b *book, steps ...step) *job {
	j := &job{ID: newID(), Steps: steps}
	b.mu.Lock()
	b.jobs = append(b.jobs, j)
	b.byID[j.ID] = j
	at := len(b.jobs)
	b.mu.Unlock()
	body, err := json.Marshal(map[string]any{"@spec@": "job " + j.ID, "steps": steps})
	if err != nil {
		panic(err)
	}
	for try := range maxTries {
		d := w.daemons[(at+try)%len(w.daemons)]
		status, _ := ask("POST", "http://"+d.callers+prefix+j.ID, hostName, string(body))
		w.record.add("submit", "job", j.ID, "at", d.name, "answer", status)
		j.answers = append(j.answers, status)
		if status >= 200 && status < 300 {
			j.accepted = time.Now()
			return j
		}
		if status == 404 || status == 422 || status == 400 {
			return j
		}
		time.Sleep(time.Second)
	}
	return j
}

// state asks for the state of a job; empty: no answer, or another status than 200.
func (w *world) state(j *job) (status int, state string) {
	for n := range w.daemons {
		var text string
		status, text = ask("GET", "http://"+w.daemons[n].callers+prefix+j.ID, hostName, "")
		if status == 200 {
			var body struct {
				State string `json:"state"`
			}
			if json.Unmarshal([]byte(text), &body) == nil {
				return status, body.State
			}
		}
	}
	return status, ""
}
