// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"encoding/json"
	"path"
	"strings"
	"sync"
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/platform/emulator"
	"rillsail.example/rillsail/services/platform"
)

// acceptanceLog records, as seen by the store, which daemons have written which jobs for the first
// time. It is safe for concurrent use.
type acceptanceLog struct {
	mu          sync.Mutex
	writes      map[jobs.ID][]acceptance
	lostAnswers int // committed writes of jobs whose answers were lost
}

// acceptance is a committed write by which a daemon accepts a job.
type acceptance struct {
	connection
	arrived   time.Time // at the store
	committed time.Time
	answered  bool // by the store; the answer may still be lost on the network
}

// newAcceptanceLog returns an empty log.
func newAcceptanceLog() *acceptanceLog { return &acceptanceLog{writes: map[jobs.ID][]acceptance{}} }

// recordWrite records a committed write if it accepts a job.
func (a *acceptanceLog) recordWrite(ctx context.Context, answered bool) {
	txn, _ := emulator.TxnOf(ctx)
	id := acceptedJob(txn)
	if id == "" {
		return
	}
	from, _ := ctx.Value(connectionKey{}).(connection)
	arrived, _ := ctx.Value(arrivalKey{}).(time.Time)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writes[id] = append(a.writes[id], acceptance{from, arrived, time.Now(), answered})
	if !answered {
		a.lostAnswers++
	}
}

// writesOf returns the acceptances of a job.
func (a *acceptanceLog) writesOf(id jobs.ID) []acceptance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writes[id]
}

// jobKeyPrefix is the prefix of the store's keys of jobs: job/CELL/ID.
const jobKeyPrefix = "job/"

// acceptedJob returns the job that a transaction accepts, or "" if the transaction does something
// else. An acceptance writes an active record on condition that no cell has a record of the job; a
// transaction that moves a job to another cell depends on the existing record.
func acceptedJob(txn platform.Txn) jobs.ID {
	if len(txn.Put) == 0 || !strings.HasPrefix(txn.Put[0].Key, jobKeyPrefix) {
		return ""
	}
	var record jobs.Record
	if json.Unmarshal(txn.Put[0].Value, &record) != nil || record.Ended != "" {
		return ""
	}
	id := path.Base(txn.Put[0].Key)
	if jobs.ID(id).Check() != nil {
		return ""
	}
	absent := false
	for _, p := range txn.Require {
		switch {
		case path.Base(p.Key) != id:
		case p.Version != 0:
			return ""
		case p.Key == txn.Put[0].Key:
			absent = true
		}
	}
	if !absent {
		return ""
	}
	return jobs.ID(id)
}
