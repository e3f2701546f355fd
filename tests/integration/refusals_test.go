// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// refusalCase is what the store does with the record of one job, and when the job is handed in.
type refusalCase struct {
	Name   string       `json:"name"`
	Writes []storeReply `json:"writes"` // to the first writes
	Then   storeReply   `json:"then"`   // to the writes after them
	Reads  storeReply   `json:"reads"`  // once there has been a write
	Tries  []refusalTry `json:"tries"`
}

// refusalTry is one time that the job is handed in.
type refusalTry struct {
	After  int `json:"after_ms"`  // since the try before has ended
	Leaves int `json:"leaves_ms"` // the caller closes the connection then; 0: it waits
}

// storeReply is how the store answers.
type storeReply string

const (
	replyLost        storeReply = "lost" // it is done, and the answer never comes
	replyUnavailable storeReply = "unavailable"
	replyLimited     storeReply = "limited"
)

// err is the error of a reply, before or after the call takes effect.
func (r storeReply) err(after bool) error {
	switch {
	case r == replyLost && after:
		return platform.ErrUnknown
	case r == replyUnavailable && !after:
		return platform.ErrUnavailable
	case r == replyLimited && !after:
		return platform.ErrLimited
	}
	return nil
}

// refusalFault plays a case to the calls for a job's record.
type refusalFault struct {
	refusalCase
	id     string
	mu     sync.Mutex
	writes int
}

// fault implements kv.Fault.
func (f *refusalFault) fault(_ context.Context, write, after bool, key string) error {
	if !strings.HasPrefix(key, "job/") || !strings.HasSuffix(key, f.id) {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !write {
		if f.writes == 0 {
			return nil
		}
		return f.Reads.err(after)
	}
	reply := f.Then
	if f.writes < len(f.Writes) {
		reply = f.Writes[f.writes]
	}
	if after || reply.err(false) != nil {
		f.writes++
	}
	return reply.err(after)
}

// TestRefusedJobNeverRuns hands in jobs whose record is written without an answer.
//
// Seen: callers were refused with "unavailable, come back later", which says that the job
// will not run, and tasks of it ran. The store had done the write and lost its answer, and
// turned the daemon away when it repeated the write.
//
// Cause: the error of all tries together was that of the last one with "may have taken
// effect" marked over it. It was both "nothing changed" and "nobody knows", and the answer to
// the caller went by the first. That a job's fate was unknown was forgotten besides as soon
// as the daemon had registered anew.
//
// Proof: the daemons' logs named 37 jobs of unknown fate in one run, each with "answered
// Service Unavailable" as the error of all; 36 of them started. The cases here are answered
// the same way each time.
func TestRefusedJobNeverRuns(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "refusals.json"))
	require.NoError(t, err)
	var cases []refusalCase
	require.NoError(t, json.Unmarshal(data, &cases))
	s := newSite(t, 4, 2)
	for i, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			s.submit(s.daemons[0], 400+i, false) // the daemon is registered in the store
			spec := siteJob(500+i, false)
			s.emulator.Grid.Expect(spec, siteMaxAttempts)
			fault := &refusalFault{refusalCase: c, id: string(spec.ID)}
			s.emulator.SetFault(fault.fault)
			defer s.emulator.SetFault(kv.NoFault)
			for _, try := range c.Tries {
				<-time.After(time.Duration(try.After) * time.Millisecond)
				status := submitOnce(t, s.daemons[0], spec, try)
				require.NotContains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, status,
					"the job is written, and must not be refused")
			}
			s.emulator.SetFault(kv.NoFault)
			s.waitState(s.daemons[1], spec.ID, "succeeded")
		})
	}
	s.requireNoBreaches()
}

// submitOnce hands a job in once and gives the status of the answer; 0: none came.
func submitOnce(t *testing.T, d *siteDaemon, spec jobs.Spec, try refusalTry) int {
	ctx := t.Context()
	if try.Leaves > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(try.Leaves)*time.Millisecond)
		defer cancel()
	}
	answer, err := siteCaller.Submit(ctx, d.caller, spec)
	if err != nil {
		return 0
	}
	return answer.Status
}
