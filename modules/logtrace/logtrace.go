// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package logtrace finds in the logs of all daemons what happened to one job or task, in
// order, together with the changes of state that explain it: cells that changed their
// owner, the store that did not answer, workers that went. No daemon has to be alive.
//
// # Usage
//
//	lines, err := logtrace.Find(reader, "5c0e7a21d94b36f8")
//	for _, line := range lines {
//		fmt.Println(line)
//	}
package logtrace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Daemon  string
	Message string
	// Matched: the line names what is looked for. Others are changes of state.
	Matched bool
	Fields  map[string]any
}

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// contextWindow is how long before and after the lines that name what is looked for changes of
// state are shown: a takeover or an outage shows seconds later.
const contextWindow = 5 * time.Second

// stateChanges are what may explain a job's fate without naming it.
var stateChanges = map[string]bool{
	"daemon starts": true, "planned stop begins": true, "cell is taken": true, "cell is lost": true, "cell is loaded": true,
	"cell is recovered": true, "cell can't be loaded yet": true, "store does not answer": true, "store answers again": true,
	"lease in the store is over": true, "configuration is in force": true, "log lines are dropped": true,
	"calls to workers take long": true, "calls to workers are quick again": true,
	"starts wait, what is known of jobs or workers is stale": true, "starts go on": true,
	"configuration can't be followed": true, "configuration is followed again": true,
	"progress is not stored": true,
}

// workerChanges explain the fate of tasks that ran there.
var workerChanges = map[string]bool{
	"worker is gone": true, "worker drains": true, "silent worker's tasks have lapsed": true,
	"worker stands still and is left alone": true, "worker has started again under its id": true,
}

// Find reads logs and gives the lines about an id, oldest first, with the changes of
// state around them.
func Find(logs io.Reader, id string) ([]Line, error) {
	all, err := parseLines(logs)
	if err != nil {
		return nil, err
	}
	f, found := markMatches(all, id)
	if !found {
		return nil, errors.Newf("no line names %q", id)
	}
	return slices.DeleteFunc(all, func(l Line) bool { return !l.Matched && !f.includes(l) }), nil
}

// matchScope is when and where something happened to what is looked for.
type matchScope struct {
	first, last time.Time
	workers     map[string]bool
}

// markMatches marks the lines that name an id and gathers its fate from them.
func markMatches(lines []Line, id string) (f matchScope, found bool) {
	f.workers = map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if !l.mentions(id) {
			continue
		}
		l.Matched = true
		if !found {
			f.first, found = l.At, true
		}
		f.last = l.At
		for _, field := range workerFields {
			if worker := l.stringField(field); worker != "" {
				f.workers[worker] = true
			}
		}
	}
	return f, found
}

// includes tells whether a line is a change of state that may explain the fate.
func (f matchScope) includes(l Line) bool {
	if l.At.Before(f.first.Add(-contextWindow)) || l.At.After(f.last.Add(contextWindow)) {
		return false
	}
	return stateChanges[l.Message] || workerChanges[l.Message] && f.workers[l.worker()]
}

// workerFields name workers whose fate matters to what a line is about: where a run is, and where
// the text comes from that it goes on from.
var workerFields = []string{"worker", "saved_worker"}

// worker is the worker that the line is about; empty: none.
func (l Line) worker() string { return l.stringField("worker") }

// stringField is a field of the line that is a text; empty: there is none.
func (l Line) stringField(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// parseLines reads all lines that are JSON, whatever stands before it, in the order of time.
func parseLines(logs io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines, errors.Wrap(scanner.Err(), "read logs")
}

// timeLayout of the time in a line, as package log writes it.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text[start:]))
	decoder.UseNumber() // numbers of runs are longer than a float shows
	if decoder.Decode(&fields) != nil {
		return Line{}, false // another program's line, or one that was cut
	}
	line := Line{Fields: fields}
	line.Message, _ = fields["msg"].(string)
	line.Daemon, _ = fields["id"].(string)
	at, _ := fields["ts"].(string)
	var err error
	line.At, err = time.Parse(timeLayout, at)
	for _, shown := range []string{"msg", "id", "ts", "logger", "level"} {
		delete(fields, shown)
	}
	return line, err == nil && line.Message != ""
}

// mentions tells whether the line is about a job, or about a task or any task of a job.
func (l Line) mentions(id string) bool {
	for _, key := range []string{"job", "task"} {
		value, _ := l.Fields[key].(string)
		if value == id || strings.HasPrefix(value, id+".") {
			return true
		}
		if key == "job" && value != "" && strings.HasPrefix(id, value+".") {
			return true
		}
	}
	return false
}

// String shows the line for a person: a mark for lines about the id, time, daemon, what
// happened and the rest in the order of names.
func (l Line) String() string {
	mark := " "
	if l.Matched {
		mark = "*"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %-18s %s", mark, l.At.Format("15:04:05.000"), l.Daemon, l.Message)
	for _, key := range slices.SortedFunc(maps.Keys(l.Fields), cmp.Compare[string]) {
		fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}
