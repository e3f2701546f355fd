// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package logtrace finds the log lines about a job or task in the logs of all daemons, in order of time, together
// with the changes of state that may explain them: cells that changed their owner, outages of the store, lost
// workers. It reads only logs; no daemon has to run.
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

// Line is a log line.
type Line struct {
	At      time.Time
	Daemon  string
	Message string
	// Matched is true for lines that mention the id searched for, false for changes of state.
	Matched bool
	Fields  map[string]any // the other fields of the line
}

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// contextWindow is how long before the first and after the last matched line changes of state are included. A takeover
// or an outage shows in the lines of a job only seconds later.
const contextWindow = 5 * time.Second

// stateChanges are the messages of state changes that may affect any job without mentioning it.
var stateChanges = map[string]bool{
	"daemon starts": true, "planned stop begins": true, "cell is taken": true, "cell is lost": true, "cell is loaded": true,
	"cell is recovered": true, "cell can't be loaded yet": true, "store does not answer": true, "store answers again": true,
	"lease in the store is over": true, "configuration is in force": true, "log lines are dropped": true,
	"calls to workers take long": true, "calls to workers are quick again": true,
	"starts wait, what is known of jobs, workers or cordons is stale": true, "starts go on": true,
	"configuration can't be followed": true, "configuration is followed again": true,
	"progress is not stored": true, "failure domain is cordoned": true, "cordon of a failure domain is lifted": true,
	"recovery waits for silent workers": true, "recovery waits for workers to list all ended runs": true, "previous owners have ended": true,
	"long-running tasks leave capacity to short work": true, "long-running tasks leave no more capacity to short work": true,
}

// workerChanges are the messages of state changes of a worker, which may affect the tasks that ran on it.
var workerChanges = map[string]bool{
	"worker is gone": true, "worker drains": true, "silent worker's tasks have lapsed": true,
	"worker stands still and is left alone": true, "worker has started again under its id": true,
}

// Find reads logs and returns the lines about an id, oldest first, with the changes of state around them.
func Find(logs io.Reader, id string) ([]Line, error) {
	all, err := parseLines(logs)
	if err != nil {
		return nil, err
	}
	scope, found := markMatches(all, id)
	if !found {
		return nil, errors.Newf("no log line mentions %q", id)
	}
	return slices.DeleteFunc(all, func(l Line) bool { return !l.Matched && !scope.includes(l) }), nil
}

// matchScope is the time span of the matched lines and the workers that they name.
type matchScope struct {
	first, last time.Time
	workers     map[string]bool
}

// markMatches marks the lines that mention an id and returns their scope.
func markMatches(lines []Line, id string) (scope matchScope, found bool) {
	scope.workers = map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if !l.mentions(id) {
			continue
		}
		l.Matched = true
		if !found {
			scope.first, found = l.At, true
		}
		scope.last = l.At
		for _, field := range workerFields {
			if worker := l.stringField(field); worker != "" {
				scope.workers[worker] = true
			}
		}
	}
	return scope, found
}

// includes reports whether a line is a change of state within the scope.
func (s matchScope) includes(l Line) bool {
	if l.At.Before(s.first.Add(-contextWindow)) || l.At.After(s.last.Add(contextWindow)) {
		return false
	}
	return stateChanges[l.Message] || workerChanges[l.Message] && s.workers[l.worker()]
}

// workerFields are the fields that name workers relevant to a matched line: the worker of the run, and the worker whose
// checkpoint the run was started from.
var workerFields = []string{"worker", "saved_worker"}

// worker returns the worker that the line is about, or an empty string.
func (l Line) worker() string { return l.stringField("worker") }

// stringField returns the value of a string field, or an empty string if the line has no such field.
func (l Line) stringField(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// parseLines returns all lines that contain JSON, in order of time. Any prefix before the JSON is skipped.
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

// timeLayout is the format of the time in a line, as package log writes it.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text[start:]))
	decoder.UseNumber() // run numbers exceed the precision of float64
	if decoder.Decode(&fields) != nil {
		return Line{}, false // a line of another program, or a truncated line
	}
	line := Line{Fields: fields}
	line.Message, _ = fields["msg"].(string)
	line.Daemon, _ = fields["id"].(string)
	at, _ := fields["ts"].(string)
	var err error
	line.At, err = time.Parse(timeLayout, at)
	for _, key := range []string{"msg", "id", "ts", "logger", "level"} {
		delete(fields, key)
	}
	return line, err == nil && line.Message != ""
}

// mentions reports whether the line is about the job or task with the given id, about a task of that job, or about the
// job of that task.
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

// String formats the line for people: an asterisk if the line is matched, the time, the daemon, the message and
// the other fields in alphabetical order.
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
