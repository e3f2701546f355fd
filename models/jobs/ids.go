// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package jobs holds the domain types of jobs that are made of steps: what a caller
// hands in, what is stored of it, what is known of the workers that run it, and
// the queues through which it comes. It imports no service and knows no platform.
//
// # Usage
//
//	spec := jobs.Spec{ID: id, Queue: "quotes", Steps: []jobs.Step{{Count: 4, Size: size}}}
//	if err := spec.Check(); err != nil {
//		return err // nothing was changed
//	}
//	task := jobs.TaskID{Job: spec.ID, Step: 0, Index: 3}
package jobs

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ID names a job; the caller chooses it.
type ID string

// IDLength is the length of a job's id, in hexadecimal digits.
const IDLength = 16

// Check rejects ids that are not IDLength hexadecimal digits in lower case.
func (id ID) Check() error {
	if len(id) != IDLength {
		return errors.Newf("job id %q must have %d hexadecimal digits", string(id), IDLength)
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return errors.Newf("job id %q must have %d hexadecimal digits", string(id), IDLength)
		}
	}
	return nil
}

// QueueName names a queue of the configuration.
type QueueName string

// PoolName names a pool of workers that run the tasks of a queue.
type PoolName string

// WorkerID names a worker. One that starts again may have the same id or another one, see Incarnation.
type WorkerID string

// RackLabel names a rack as workers' labels do.
type RackLabel string

// ImageName names what a task runs; tasks of one image behave alike.
type ImageName string

// CellName names a cell: a part of the workers and jobs under one owner.
type CellName string

// Epoch counts the owners of a cell. A worker refuses orders of a lower epoch than
// the highest that it has seen.
type Epoch uint64

// Fence is the fencing token of a call to a worker, which refuses a lower one than the highest that it
// has seen. It rises with the epochs, and within one with each incarnation of a worker that the owner
// meets: what was sent to a former incarnation is refused by the next one, once that has been called.
type Fence uint64

// Fences that an owner has for the incarnations that it meets; the last one holds for all further ones.
const (
	incarnationBits = 16
	maxIncarnation  = 1<<incarnationBits - 1
)

// Fence is the owner's token for the n-th incarnation that it meets.
func (e Epoch) Fence(n int) Fence { return Fence(e)<<incarnationBits + Fence(min(n, maxIncarnation)) }

// Epoch is that of the owner whose token it is.
func (f Fence) Epoch() Epoch { return Epoch(f >> incarnationBits) }

// RunID numbers the runs of one task, rising, with gaps.
type RunID uint64

// Percent is a share of full speed, 0 to 100.
type Percent int

// FullSpeed is the pace of a task that is not throttled.
const FullSpeed Percent = 100

// TaskID names a task: one of a step's tasks, in one repetition of its job.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// taskIDParts is how many parts the text of a task's id has.
const taskIDParts = 4

// String gives the id as ID.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, IDLength+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID reads what String gives.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskIDParts {
		return TaskID{}, errors.Newf("task id %q must have %d parts", text, taskIDParts)
	}
	id := TaskID{Job: ID(parts[0])}
	for i, into := range [...]*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := parseIndex(parts[i+1])
		if err != nil {
			return TaskID{}, errors.Wrapf(err, "task id %q: part %d", text, i+1)
		}
		*into = n
	}
	return id, id.Job.Check()
}

// parseIndex reads a number as String writes it, without sign and leading zeros: two texts must not
// name one task.
func parseIndex(text string) (int, error) {
	if text == "" || text[0] < '0' || text[0] > '9' || text[0] == '0' && len(text) > 1 {
		return 0, errors.Newf("%q is no number as we write it", text)
	}
	return strconv.Atoi(text)
}
