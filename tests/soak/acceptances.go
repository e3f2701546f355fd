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

// acceptanceLog knows from the store which daemons have written which jobs down for the first
// time. It is safe for concurrent use.
type acceptanceLog struct {
	mu          sync.Mutex
	writes      map[jobs.ID][]acceptance
	lostAnswers int // writes of jobs whose answers the store has lost
}

// acceptance is a write by which a daemon accepts a job, done by the store.
type acceptance struct {
	connection
	arrived   time.Time // at the store
	committed time.Time
	answered  bool // by the store; the answer may be lost on its way
}

// newAcceptanceLog makes an empty record.
func newAcceptanceLog() *acceptanceLog { return &acceptanceLog{writes: map[jobs.ID][]acceptance{}} }

// recordWrite looks at a write that was done.
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

// writesOf gives the writes of a job.
func (a *acceptanceLog) writesOf(id jobs.ID) []acceptance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writes[id]
}

// jobKeyPrefix is the prefix of the keys of jobs: job/CELL/ID.
const jobKeyPrefix = "job/"

// acceptedJob gives the job that a transaction accepts; empty: it does something else. An
// acceptance writes an active record, on condition that the job is nowhere; the parts of a
// job that moves to another cell depend on its record there.
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
