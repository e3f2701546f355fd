// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// TestRosterFencesNobodyBeforeTheListIsKnown guards against tasks on two workers: a successor that has loaded the roster but
// not yet read the list of workers counts the answers among too few, while the workers that only the list names prove
// its ownership to the previous owner.
func TestRosterFencesNobodyBeforeTheListIsKnown(t *testing.T) {
	const refusing, roster, all = 2, 5, 8
	began := time.Unix(1_000_000, 0)
	list := make([]jobs.Worker, all)
	for n := range list {
		list[n] = jobs.Worker{ID: jobs.WorkerID(fmt.Sprintf("w%d", n)), Pool: testPool}
	}
	previous, next := New(Config{Taken: began, Logger: zap.NewNop()}), New(Config{Taken: began, Logger: zap.NewNop()})
	previous.setAnsweringWorkers(list, began)
	next.RestoreRoster(jobs.Roster{Workers: list[:roster]}, began)
	now := began.Add(proofValidity + time.Second)
	for _, info := range list[:refusing] {
		next.workers[info.ID].answered = true
	}
	for _, info := range list[refusing:] {
		previous.workers[info.ID].reportAskedAt = now
	}
	require.LessOrEqual(t, previous.proofAge(now), proofValidity, "two thirds of the workers answer the previous owner")
	next.updateFenced(now)
	next.SetWorkers(list, now)
	next.updateFenced(now)
	require.Zero(t, next.fencedAt, "%d of %d workers have answered the successor", refusing, all)
}
