// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// oddRecord is a key of the daemons with a value that they don't write.
type oddRecord struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Nested int    `json:"nested"` // number of lists in lists that follow the value; 0: none
}

const (
	oddRecordRunTime      = 15 * time.Second // in which a job beside an odd record succeeds
	oddRecordTakeoverTime = 60 * time.Second // the same after a takeover; a successor may have to wait for 30 s
)

// TestCellsGoOnBesideOddRecords guards against a record that can't be decoded, or has numbers out of range, and that ends
// the process, stops an owner or keeps its cell without owner. Each record is written beside a running job, over what a
// daemon has stored there, and again before a takeover.
func TestCellsGoOnBesideOddRecords(t *testing.T) {
	for n, record := range casefile.Read[[]oddRecord](t, "testdata/odd_records.json") {
		t.Run(fmt.Sprint(n, " ", strings.ReplaceAll(record.Key, "/", " ")), func(t *testing.T) {
			synctest.Test(t, record.play)
		})
	}
}

func (r oddRecord) play(t *testing.T) {
	w := newTestCluster(t, 4, 2, nil)
	first := twoStepJob(1, time.Second)
	w.submit(w.daemons[0], first)
	w.eventually(oddRecordRunTime, "job runs", func() bool { return w.grid.Running(first.ID) > 0 })
	r.write(w)
	w.requireSuccess(oddRecordTakeoverTime, first.ID)
	second := twoStepJob(2, time.Second)
	w.submit(w.daemons[1], second)
	w.requireSuccess(oddRecordRunTime, second.ID)
	owner := w.owner()
	require.NotNil(t, owner)
	owner.kill()
	r.write(w)
	last := w.lastLiveDaemon()
	third := twoStepJob(3, time.Second)
	w.submit(last, third)
	w.requireSuccess(oddRecordTakeoverTime, third.ID)
	w.requireNoBreaches()
}

// TestRunsOfAnOddRosterEndBeforeTheyStartAgain guards against a second run of a task whose worker only the roster names: the
// roster can't be decoded, and the worker is silent and not listed when another owner takes over.
func TestRunsOfAnOddRosterEndBeforeTheyStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 20 * time.Second
		w := newTestCluster(t, 4, 2, func(jobs.TaskID, jobs.RunID) (time.Duration, jobs.End) { return work, jobs.EndSucceeded })
		spec := twoStepJob(1, work)
		spec.Steps = spec.Steps[:1]
		w.submit(w.daemons[0], spec)
		w.eventually(oddRecordRunTime, "job runs", func() bool { return w.grid.Running(spec.ID) == spec.Steps[0].Count })
		silent := 0
		for w.grid.RunningOn(silent) == 0 {
			silent++
		}
		owner := w.owner()
		w.grid.SetFaults(silent, faultsCut)
		w.grid.SetListed(silent, false)
		owner.kill()
		oddRecord{Key: rosterKey(cellName(0)), Value: "{"}.write(w)
		w.requireSuccess(oddRecordTakeoverTime+work, spec.ID)
		w.requireNoBreaches()
	})
}

// write writes the record as another writer would.
func (r oddRecord) write(w *testCluster) {
	w.t.Helper()
	value := r.Value + strings.Repeat("[", r.Nested) + strings.Repeat("]", r.Nested)
	writer := kv.Local{Service: w.store, Fault: kv.NoFault}
	_, err := writer.Commit(w.ctx, platform.Txn{Put: []platform.Write{{Key: r.Key, Value: []byte(value)}}})
	require.NoError(w.t, err)
}

// requireSuccess waits until a daemon shows a job as succeeded.
func (w *testCluster) requireSuccess(within time.Duration, id jobs.ID) {
	w.t.Helper()
	w.eventually(within, fmt.Sprintf("job %s succeeds", id), func() bool { return w.state(w.lastLiveDaemon(), id) == jobs.StateSucceeded })
}
