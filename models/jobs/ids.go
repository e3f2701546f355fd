// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package jobs holds the domain types of jobs that consist of steps: the specification
// that a caller submits, the records that the store keeps of a job, the workers that run
// its tasks, and the queues that accept it. It imports no service and depends on no platform.
//
// # Usage
//
//	spec := jobs.Spec{ID: id, Queue: "quotes", Steps: []jobs.Step{{Count: 4, Size: size}}}
//	if err := spec.Check(); err != nil {
//		return err // nothing was stored
//	}
//	task := jobs.TaskID{Job: spec.ID, Step: 0, Index: 3}
package jobs

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ID identifies a job; the caller chooses it.
type ID string

// IDLength is the length of a job id in hexadecimal digits.
const IDLength = 16

// Check rejects ids that are not exactly IDLength lower-case hexadecimal digits.
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

// PoolName names a pool of workers, which run the tasks of queues.
type PoolName string

// WorkerID identifies a worker. A restarted worker may keep its id or get another one, see Incarnation.
type WorkerID string

// RackLabel is the label by which workers name their rack.
type RackLabel string

// ImageName names the image that a task runs. Tasks of the same image are expected to behave alike.
type ImageName string

// CellName names a cell: a subset of the workers and jobs that has a single owner.
type CellName string

// Epoch counts the owners of a cell. A worker refuses orders of an epoch lower than the
// highest that it has seen.
type Epoch uint64

// Fence is the fencing token of a call to a worker. A worker refuses a token lower than the highest that it
// has seen. Tokens rise with the epoch, and within an epoch with each worker incarnation that the owner
// discovers. A worker that has been called in its new incarnation therefore refuses calls that were sent to
// its previous incarnation.
type Fence uint64

// A token holds the epoch in its upper bits and the number of the incarnation in the lower incarnationBits.
// All incarnations from maxIncarnation on share the same token.
const (
	incarnationBits = 16
	maxIncarnation  = 1<<incarnationBits - 1
)

// Fence returns the token for the n-th incarnation that the owner of the epoch discovers.
func (e Epoch) Fence(n int) Fence { return Fence(e)<<incarnationBits + Fence(min(n, maxIncarnation)) }

// Epoch returns the epoch of the owner that issued the token.
func (f Fence) Epoch() Epoch { return Epoch(f >> incarnationBits) }

// RunID numbers the runs of a task in increasing order, with gaps.
type RunID uint64

// Percent is a percentage from 0 to 100: the pace of a run relative to full speed, or the progress of its work.
type Percent int

// FullSpeed is the pace of a task that is not throttled.
const FullSpeed Percent = 100

// TaskID identifies a task: its job, the occurrence of the job, the step and the index within the step.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// taskIDParts is the number of dot-separated parts of a task id.
const taskIDParts = 4

// String formats the id as ID.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, IDLength+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses the format of TaskID.String.
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

// parseIndex parses a decimal number without sign or leading zeros, as TaskID.String writes it, so that
// each task has exactly one textual id.
func parseIndex(text string) (int, error) {
	if text == "" || text[0] < '0' || text[0] > '9' || text[0] == '0' && len(text) > 1 {
		return 0, errors.Newf("%q is not a decimal number without sign and leading zeros", text)
	}
	return strconv.Atoi(text)
}
