// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// Limits of a job specification.
const (
	MaxPayload     = 4000 // bytes of UTF-8 with escapes resolved; the most that workers accept with a start
	MaxSteps       = 64
	MaxStepTasks   = 10_000
	MaxOccurrences = 10_000
	MaxTasks       = 20_000 // of one occurrence, so that the list of those that have succeeded fits into one value of the store
	maxEstimate    = models.Milli(7 * 24 * time.Hour / time.Millisecond)
	maxLabel       = 200 // bytes of a label or image name
)

// Step is a group of identical tasks of a job. The tasks start once all tasks of the steps in
// After have succeeded.
type Step struct {
	Count    int              `json:"count"`
	Size     models.Resources `json:"size"` // of each task
	Estimate models.Milli     `json:"estimate_ms,omitempty"`
	After    []int            `json:"after,omitempty"` // numbers of earlier steps of the job

	Checkpoints     bool      `json:"checkpoints,omitempty"`  // a run can resume from the checkpoint of an earlier run
	Gang            bool      `json:"gang,omitempty"`         // the tasks make progress only together
	SameRack        bool      `json:"same_rack,omitempty"`    // the tasks are slower when spread over racks
	Requires        string    `json:"requires,omitempty"`     // label that the task's worker must have
	DataRack        RackLabel `json:"data_rack,omitempty"`    // rack of the data; tasks are slower elsewhere
	PerWorker       int       `json:"per_worker,omitempty"`   // maximum number of the step's tasks on a worker; 0: no limit
	AllowDuplicates bool      `json:"side_by_side,omitempty"` // copies of a task may run at once; the first to end counts

	LongRunning    bool         `json:"lasts,omitempty"` // tasks run until the job is cancelled
	Image          ImageName    `json:"image,omitempty"`
	Target         models.Milli `json:"target_ms,omitempty"` // tail latency target of a long-running task; 0: none
	Filler         bool         `json:"fills,omitempty"`     // filler tasks: they use processor time that others leave unused
	MaxUnavailable int          `json:"may_miss,omitempty"`  // maximum number of tasks that the scheduler may take down at once
}

// Repeat is the schedule of a repeated job.
type Repeat struct {
	Count int              `json:"count,omitempty"` // 0: the steps run once, immediately
	First models.UnixMilli `json:"first,omitempty"`
	Every models.Milli     `json:"every_ms,omitempty"`
}

// Spec is the specification of a job that a caller submits.
type Spec struct {
	ID      ID        `json:"id"`
	Queue   QueueName `json:"queue"`
	Payload Text      `json:"payload"` // passed to each task unchanged
	Steps   []Step    `json:"steps"`
	Repeat  Repeat    `json:"repeat"`
}

// Check rejects invalid jobs: without steps, with amounts out of bounds, or with steps that
// wait for themselves or for later steps.
func (s Spec) Check() error {
	if err := s.ID.Check(); err != nil {
		return err
	}
	if s.Queue == "" {
		return errors.Newf("job %s: no queue", s.ID)
	}
	if len(s.Payload) > MaxPayload {
		return errors.Newf("job %s: payload has %d bytes, at most %d are allowed", s.ID, len(s.Payload), MaxPayload)
	}
	if len(s.Steps) < 1 || len(s.Steps) > MaxSteps {
		return errors.Newf("job %s: %d steps, 1 to %d are allowed", s.ID, len(s.Steps), MaxSteps)
	}
	if err := s.Repeat.check(); err != nil {
		return errors.Wrapf(err, "job %s", s.ID)
	}
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return errors.Wrapf(err, "job %s: step %d", s.ID, i)
		}
	}
	return nil
}

// OccurrenceTasks returns how many tasks one occurrence has.
func (s Spec) OccurrenceTasks() int {
	tasks := 0
	for _, step := range s.Steps {
		tasks += step.Count
	}
	return tasks
}

func (r Repeat) check() error {
	switch {
	case r.Count < 0 || r.Count > MaxOccurrences:
		return errors.Newf("%d repetitions, 0 to %d are allowed", r.Count, MaxOccurrences)
	case r.First < 0 || r.Every < 0 || r.Every > maxEstimate:
		return errors.New("repetition has a negative or absurd time")
	}
	return nil
}

func (s Step) check(number int) error {
	switch {
	case s.Count < 1 || s.Count > MaxStepTasks:
		return errors.Newf("%d tasks, 1 to %d are allowed", s.Count, MaxStepTasks)
	case s.Estimate < 0 || s.Estimate > maxEstimate:
		return errors.Newf("estimate of %d ms is out of bounds", s.Estimate)
	case s.Target < 0 || s.Target > maxEstimate:
		return errors.Newf("target of %d ms is out of bounds", s.Target)
	case s.PerWorker < 0 || s.MaxUnavailable < 0:
		return errors.New("a limit is negative")
	case len(s.Requires) > maxLabel || len(s.DataRack) > maxLabel || len(s.Image) > maxLabel:
		return errors.Newf("a label has more than %d bytes", maxLabel)
	}
	for _, after := range s.After {
		if after < 0 || after >= number {
			return errors.Newf("waits for step %d, only earlier ones are allowed", after)
		}
	}
	return s.Size.Check()
}

// Occurrences returns how many times the steps run.
func (s Spec) Occurrences() int { return max(1, s.Repeat.Count) }

// DueAt returns when an occurrence may start; 0: immediately.
func (s Spec) DueAt(occurrence int) models.UnixMilli {
	if s.Repeat.Count == 0 {
		return 0
	}
	return s.Repeat.First + models.UnixMilli(occurrence)*models.UnixMilli(s.Repeat.Every)
}

// CriticalPath returns the length of the critical path: the largest sum of estimates along a chain of dependent steps.
// Long-running steps count as 0.
func (s Spec) CriticalPath() time.Duration {
	var longest models.Milli
	ends := make([]models.Milli, len(s.Steps))
	for i, step := range s.Steps {
		for _, after := range step.After {
			ends[i] = max(ends[i], ends[after])
		}
		if !step.LongRunning {
			ends[i] += step.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest.Duration()
}

// Serves reports whether the step is a serving step: its tasks are long-running and have a tail latency target.
func (s *Step) Serves() bool { return s.LongRunning && s.Target > 0 }

// Unsupported returns the reason why the job can't be run under its queue's terms, or an empty string if it can. Jobs that
// are stored already are not rejected for it.
func (s Spec) Unsupported(terms Terms) string {
	if tasks := s.OccurrenceTasks(); tasks > MaxTasks {
		return fmt.Sprintf("the job has %d tasks at a time, at most %d can be run", tasks, MaxTasks)
	}
	if terms.HasAdviser {
		return "queues with an adviser are not served yet"
	}
	for _, step := range s.Steps {
		if step.Gang {
			return "gangs are not run yet"
		}
	}
	return ""
}
