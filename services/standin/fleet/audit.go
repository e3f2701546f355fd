// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package fleet

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rillsail.example/rillsail/models"
)

// Audit is what actually happened on the workers and upstreams, which no daemon sees. Violations lists the violated
// guarantees.
type Audit struct {
	Starts       int64 `json:"starts"`
	Finished     int64 `json:"finished"`
	Stopped      int64 `json:"stopped"`
	Failed       int64 `json:"failed"`
	Running      int   `json:"running"`
	Samples      int64 `json:"samples"`
	SlowSamples  int64 `json:"slow_samples"` // samples above the service's target
	Requests     int64 `json:"requests"`     // requests that upstreams have run
	SlotOverruns int64 `json:"slot_overruns"`
	// StartP50 and StartP99 are quantiles of the time from submission to start, for tasks of jobs named by TimedJob.
	StartP50 models.Milli `json:"start_p50_ms"`
	StartP99 models.Milli `json:"start_p99_ms"`
	// ByUpstream counts the requests that reached each upstream.
	ByUpstream map[models.VMID]int64 `json:"by_upstream"`
	Violations []string              `json:"violations"`
}

// Check implements wire.Checker; it accepts everything.
func (a Audit) Check() error { return nil }

// maxViolations bounds the list. The first violations are kept, because they say the most about the cause.
const maxViolations = 100

// TimedJob returns the id of a job whose tasks' times to start are measured. The id contains the time of the
// submission, on this machine's clock.
func TimedJob(submitted time.Time, number int) models.JobID {
	return models.JobID(fmt.Sprintf("%s%d-%d", timedPrefix, submitted.UnixMilli(), number))
}

const timedPrefix = "timed-"

// submittedAt returns the time of the submission in a task's id; ok is false for tasks of jobs not named by TimedJob.
func submittedAt(task models.TaskID) (ms int64, ok bool) {
	_, rest, ok := strings.Cut(string(task), "/"+timedPrefix)
	if !ok {
		return 0, false
	}
	text, _, _ := strings.Cut(rest, "-")
	ms, err := strconv.ParseInt(text, 10, 64)
	return ms, err == nil
}

// maxStartTime bounds the histogram of times to start, in milliseconds.
const maxStartTime = 3_600_000

// auditor records all attempts and requests of the fleet.
type auditor struct {
	mu            sync.Mutex
	audit         Audit
	running       map[models.TaskID]models.VMID
	keptSuccesses map[models.TaskID]int // successes whose result was not lost
	successes     map[models.TaskID]int // all successes
	starts        map[models.TaskID]int
	requestRuns   map[string]int // runs of a request, by load id
	startTimes    *hdrhistogram.Histogram
	startedOn     map[string]models.VMID
}

func newAuditor() *auditor {
	return &auditor{
		audit:         Audit{ByUpstream: map[models.VMID]int64{}},
		running:       map[models.TaskID]models.VMID{},
		keptSuccesses: map[models.TaskID]int{},
		successes:     map[models.TaskID]int{},
		starts:        map[models.TaskID]int{},
		requestRuns:   map[string]int{},
		startTimes:    hdrhistogram.New(1, maxStartTime, 3),
		startedOn:     map[string]models.VMID{},
	}
}

func (a *auditor) violation(format string, args ...any) {
	if len(a.audit.Violations) < maxViolations {
		a.audit.Violations = append(a.audit.Violations, fmt.Sprintf(format, args...))
	}
}

func (a *auditor) attemptStarted(vm models.VMID, call models.StartCall) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.audit.Starts++
	a.starts[call.Task]++
	if submitted, ok := submittedAt(call.Task); ok && call.Attempt == 1 {
		_ = a.startTimes.RecordValue(max(1, time.Now().UnixMilli()-submitted)) // times above an hour are not counted
	}
	if other, ok := a.running[call.Task]; ok {
		a.violation("task %s attempt %d started on %s while it runs on %s", call.Task, call.Attempt, vm, other)
	}
	if a.keptSuccesses[call.Task] > 0 {
		a.violation("task %s attempt %d started on %s after it had finished", call.Task, call.Attempt, vm)
	}
	attempt := fmt.Sprintf("%s#%d", call.Task, call.Attempt)
	if before, ok := a.startedOn[attempt]; ok {
		a.violation("task %s attempt %d started twice, on %s and %s", call.Task, call.Attempt, before, vm)
	}
	a.startedOn[attempt] = vm
	a.running[call.Task] = vm
}

func (a *auditor) attemptEnded(vm models.VMID, call models.StartCall, status models.AttemptStatus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[call.Task] == vm {
		delete(a.running, call.Task)
	}
	switch status {
	case models.StatusFinished:
		a.audit.Finished++
		a.keptSuccesses[call.Task]++
		a.successes[call.Task]++
	case models.StatusFailed:
		a.audit.Failed++
	default:
		a.audit.Stopped++
	}
}

// resultLost records that a worker died with a result that no owner had acknowledged: a task that may be repeated
// has to run again.
func (a *auditor) resultLost(task models.TaskID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keptSuccesses[task]--
}

func (a *auditor) checkCapacity(vm models.VM, used models.Resources) {
	if used.Fits(vm.Capacity) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violation("vm %s holds %+v of %+v", vm.ID, used, vm.Capacity)
}

func (a *auditor) countSample(slow bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.audit.Samples++
	if slow {
		a.audit.SlowSamples++
	}
}

func (a *auditor) countUpstream(vm models.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.audit.ByUpstream[vm]++
}

func (a *auditor) requestRun(id string, unrepeatable, overrun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.audit.Requests++
	if overrun {
		a.audit.SlotOverruns++
	}
	if id == "" {
		return
	}
	a.requestRuns[id]++
	if unrepeatable && a.requestRuns[id] > 1 {
		a.violation("unrepeatable request %s ran %d times", id, a.requestRuns[id])
	}
}

func (a *auditor) runsOf(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requestRuns[id]
}

func (a *auditor) snapshot() Audit {
	a.mu.Lock()
	defer a.mu.Unlock()
	audit := a.audit
	audit.Running = len(a.running)
	audit.StartP50 = models.Milli(a.startTimes.ValueAtQuantile(50))
	audit.StartP99 = models.Milli(a.startTimes.ValueAtQuantile(99))
	audit.ByUpstream = maps.Clone(a.audit.ByUpstream)
	audit.Violations = append([]string{}, a.audit.Violations...)
	return audit
}
