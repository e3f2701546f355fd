// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// WorkerLoss is the recent loss of a worker, as it is stored for the owner's successor: the losses of other workers are
// weighed against the rate of recent losses.
type WorkerLoss struct {
	Worker WorkerID `json:"worker"`
	// Born is the start time of the worker's incarnation; 0: not known.
	Born models.UnixMilli `json:"born,omitempty"`
	At   models.UnixMilli `json:"at"` // when the worker was lost, by the owner's time of day
	// TaskCrashRate is the probability per second that one of the worker's tasks crashed it.
	TaskCrashRate float64 `json:"crash_rate,omitempty"`
	// Earlier are the other recent losses in which the worker's tasks had lost runs.
	Earlier []WorkerLossID `json:"earlier,omitempty"`
}

// Incarnation returns the identity of the incarnation that was lost.
func (l WorkerLoss) Incarnation() Incarnation { return Incarnation{l.Worker, l.Born} }

// WorkerLosses are the recent losses of a cell's workers, in the order in which they became known. They have a value of
// their own beside the roster, because a daemon can't load a cell whose roster has a field that it does not know.
type WorkerLosses struct {
	Losses []WorkerLoss `json:"losses"`
}

// Check rejects negative rates.
func (l WorkerLosses) Check() error {
	for _, loss := range l.Losses {
		if loss.TaskCrashRate < 0 {
			return errors.Newf("rate %v of crashes of worker %s is negative", loss.TaskCrashRate, loss.Worker)
		}
	}
	return nil
}
