// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

// recurrenceCase is a case of testdata/recurrence.json: losses of workers until 10 s, when one more is lost.
type recurrenceCase struct {
	Name   string `json:"name"`
	Losses []struct {
		At    models.Milli `json:"at_ms"`
		After []int        `json:"after"` // losses, counted from 1, in which a task of this one lost an earlier run
	} `json:"losses"`
	Interval  models.Milli `json:"lag_ms"`
	PerSecond float64      `json:"per_second"`
}

// TestLossesThatRecurAreNotTakenForCrashes checks how often a loss is expected an interval after another one: the task
// that is lost each time is judged by that rate, and only by losses of workers that it cannot have crashed.
func TestLossesThatRecurAreNotTakenForCrashes(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	worker := func(number int) jobs.Incarnation {
		return jobs.Incarnation{ID: jobs.WorkerID(fmt.Sprintf("w%d", number)), Born: firstStartTime}
	}
	for _, c := range casefile.Read[[]recurrenceCase](t, "testdata/recurrence.json") {
		t.Run(c.Name, func(t *testing.T) {
			var losses []workerLoss
			for n, l := range c.Losses {
				loss := workerLoss{lostWorker: lostWorker{incarnation: worker(n + 1), at: began.Add(l.At.Duration())}}
				for _, number := range l.After {
					loss.earlier = append(loss.earlier, worker(number).LossID())
				}
				losses = append(losses, loss)
			}
			require.InDelta(t, c.PerSecond, lossRateAfter(losses, c.Interval.Duration(), began.Add(10*time.Second)), 0.01)
		})
	}
}
