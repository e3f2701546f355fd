// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"time"

	"rillsail.example/rillsail/models"
)

// Worker is one incarnation of a worker as the platform's worker list describes it.
type Worker struct {
	ID       WorkerID             `json:"id"`
	Pool     PoolName             `json:"pool"`
	Address  string               `json:"address"`
	Domain   models.FailureDomain `json:"domain,omitempty"`
	Capacity models.Resources     `json:"capacity"`
	Labels   []string             `json:"labels,omitempty"`
	Rack     RackLabel            `json:"rack,omitempty"` // the label that names the rack
	Draining bool                 `json:"-"`
	// Remaining is the minimum time for which a draining worker stays; 0: not known.
	Remaining time.Duration `json:"-"`
	// LeavesAt is the earliest time at which a draining worker may leave, by the owner's clock. The
	// roster stores the time, so that a successor knows why the worker is no longer listed.
	LeavesAt models.UnixMilli `json:"leaves,omitempty"`
	// Born is the incarnation's start time by the worker's own time of day; 0: not reported. The time
	// distinguishes incarnations with the same id, but does not order them.
	Born models.UnixMilli `json:"born,omitempty"`
}

// Incarnation identifies one start of a worker. A new incarnation keeps no state of the previous one: it runs
// nothing and has seen no epoch, and its clock and the numbers of its ended runs start over.
type Incarnation struct {
	ID   WorkerID
	Born models.UnixMilli // 0: not known
}

// Incarnation returns the identity of the incarnation that w describes.
func (w Worker) Incarnation() Incarnation { return Incarnation{w.ID, w.Born} }

// Differs reports whether the incarnations certainly are not the same: their ids differ, or both start times
// are known and differ.
func (i Incarnation) Differs(other Incarnation) bool {
	return i.ID != other.ID || i.Born != 0 && other.Born != 0 && i.Born != other.Born
}

// Roster is the stored list of the workers on which the owners of a cell may have started
// runs.
type Roster struct {
	Workers []Worker `json:"workers"`
	// MaxLease is the longest lease that owners of the cell have granted to workers; 0: not known.
	MaxLease models.Milli `json:"lease_ms,omitempty"`
	// LeaseAllowance bounds the leases of all owners of the cell: none ends later than MaxLease and this time after the
	// proof of ownership on which it was granted; 0: there may be leases that are not bound to a proof.
	LeaseAllowance models.Milli `json:"allowance_ms,omitempty"`
	// UnobservedEpochs are the latest epochs whose owners found workers lost that had never answered them. Each
	// task accepted before such an epoch may have lost a run with them that no owner knows of.
	UnobservedEpochs []Epoch `json:"unseen,omitempty"`
}

// Check validates the capacity of each worker.
func (r Roster) Check() error {
	for _, w := range r.Workers {
		if err := w.Capacity.Check(); err != nil {
			return err
		}
	}
	return nil
}

// End says how a run ended.
type End string

// The ends of a run.
const (
	EndSucceeded      End = "succeeded"
	EndFailed         End = "failed"     // by a fault of the task or of the worker
	EndStopped        End = "stopped"    // by an order of the owner
	EndLapsed         End = "lapsed"     // the worker's lease was not renewed in time
	EndGangBroken     End = "broken"     // another task of its gang ended
	EndGangIncomplete End = "incomplete" // its gang was not complete in time
)

// Run is a run in progress as its worker reports it.
type Run struct {
	Task       TaskID
	Run        RunID
	Checkpoint Text    // the latest; empty: none
	Progress   Percent // of its work; 100 for a long-running task at work
	// Figure is measured over the last half second: the tail latency in milliseconds of a
	// long-running task, or the thousandths of a core that any other task uses.
	Figure int
}

// Ended is a run that has ended. Its worker reports the run until the end is
// acknowledged.
type Ended struct {
	Number     uint64 // increases within an incarnation
	Task       TaskID
	Run        RunID
	How        End
	Checkpoint Text
}

// EndsPerReport is how many ended runs a worker on the users' platform lists at once.
const EndsPerReport = 500

// Report is a worker's answer to a LeaseCall.
type Report struct {
	Clock   models.Milli // on the worker's own clock
	Running []Run
	// Ended lists the ended runs that are not acknowledged, the first ones only if there are many.
	Ended []Ended
	// Unreadable counts the checkpoints that can't be passed on unchanged; their runs have an empty Checkpoint.
	Unreadable int
	// Born is the start time of the reporting incarnation, as in Worker.
	Born models.UnixMilli
	// BornUnreadable is set if the reported start time is not a valid time; Born is 0 then.
	BornUnreadable bool
}

// LeaseCall renews the lease of all runs on a worker and asks for a report.
type LeaseCall struct {
	Fence Fence
	// Until is when the lease ends, on the worker's clock; 0 leaves the lease unchanged.
	Until models.Milli
	// Acknowledged is the number of the last ended run that is stored, up to which the worker may forget ended runs.
	Acknowledged uint64
	// Wait is how long the worker may delay its answer until a run ends; sent in whole milliseconds.
	Wait time.Duration
}

// StartCall starts a run.
type StartCall struct {
	Task       TaskID
	Run        RunID
	Fence      Fence
	Payload    Text
	Until      models.Milli // lease, on the worker's clock
	Checkpoint Text
	Ticket     string
}

// StopCall stops a run. If the start of the run has not arrived yet, the worker refuses it from then on.
type StopCall struct {
	Task  TaskID
	Run   RunID
	Fence Fence
}

// PaceCall throttles a run.
type PaceCall struct {
	Task  TaskID
	Run   RunID
	Fence Fence
	Pace  Percent
}

// Refusal is the reason why a worker did not carry out a call.
type Refusal string

// The reasons for which a worker refuses a call.
const (
	RefusedFence    Refusal = "fence"  // a call with a higher fence has arrived: from a later owner or for a later incarnation
	RefusedStaleRun Refusal = "run"    // this run or a later run of the task was stopped or has ended on the worker
	RefusedLate     Refusal = "late"   // the lease in the call is over
	RefusedCapacity Refusal = "room"   // the worker has no free capacity
	RefusedTicket   Refusal = "ticket" // the adviser's ticket is missing or no longer valid
	RefusedOther    Refusal = "other"  // the refusal is malformed or names an unknown reason
)
