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

// refusalCase describes how the store answers calls for the record of one job, and when the job is submitted.
type refusalCase struct {
	Name   string       `json:"name"`
	Writes []storeReply `json:"writes"` // replies to the first writes
	Then   storeReply   `json:"then"`   // reply to all later writes
	Reads  storeReply   `json:"reads"`  // reply to reads after the first write
	Tries  []refusalTry `json:"tries"`
}

// refusalTry is one submission of the job.
type refusalTry struct {
	After  int `json:"after_ms"`  // pause after the end of the previous try
	Leaves int `json:"leaves_ms"` // time until the caller closes the connection; 0: the caller waits for the answer
}

// storeReply is how the store answers a call.
type storeReply string

const (
	replyLost        storeReply = "lost" // the call takes effect, and its answer is lost
	replyUnavailable storeReply = "unavailable"
	replyLimited     storeReply = "limited"
)

// err returns the error of a reply, before or after the call takes effect.
func (r storeReply) err(after bool) error {
	switch {
	case r == replyLost && after:
		return platform.ErrUnknownOutcome
	case r == replyUnavailable && !after:
		return platform.ErrUnavailable
	case r == replyLimited && !after:
		return platform.ErrRateLimited
	}
	return nil
}

// refusalFault applies a case to the store's calls for a job's record.
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

// TestRefusedJobNeverRuns submits jobs whose record the store writes without answering.
//
// It guards against a refusal, which says that the job will not run, of a job that then runs: the store
// commits the write, loses its answer and rejects the repeated write. The combined error of both writes
// was that of the last one marked as "may have taken effect", so it meant both "nothing changed" and
// "unknown outcome", and the caller's answer followed the former. In addition, a daemon forgot that the
// outcome of a job was unknown once it had registered again. In one run, the logs named 37 such jobs, of
// which 36 started.
func TestRefusedJobNeverRuns(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "refusals.json"))
	require.NoError(t, err)
	var cases []refusalCase
	require.NoError(t, json.Unmarshal(data, &cases))
	s := newSite(t, 4, 2)
	for i, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			s.submit(s.daemons[0], 400+i, false) // ensures that the daemon is registered in the store
			spec := siteJob(500+i, false)
			s.emulator.Grid.Expect(spec, siteMaxAttempts)
			fault := &refusalFault{refusalCase: c, id: string(spec.ID)}
			s.emulator.SetFault(fault.fault)
			defer s.emulator.SetFault(kv.NoFault)
			for _, try := range c.Tries {
				<-time.After(time.Duration(try.After) * time.Millisecond)
				status := submitOnce(t, s.daemons[0], spec, try)
				require.NotContains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, status,
					"the job has been written and must not be refused")
			}
			s.emulator.SetFault(kv.NoFault)
			s.waitState(s.daemons[1], spec.ID, "succeeded")
		})
	}
	s.requireNoBreaches()
}

// submitOnce submits a job once and returns the status of the answer; 0: no answer.
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
