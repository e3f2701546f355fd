// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// TestAcceptanceIsToldFromOtherWrites checks that only the write that stores a job for the first time
// counts as an acceptance. Otherwise checkRefuserDidNotAccept would miss or invent breaches.
func TestAcceptanceIsToldFromOtherWrites(t *testing.T) {
	const id, here, there = "0000000100000001", "job/0/0000000100000001", "job/1/0000000100000001"
	daemon := platform.Precondition{Key: "daemon/front-0", Version: 7}
	tests := map[string]struct {
		require []platform.Precondition
		put     string
		ended   jobs.State
		want    jobs.ID
	}{
		"an acceptance":        {[]platform.Precondition{daemon, {Key: here}, {Key: there}}, here, "", id},
		"a bar":                {[]platform.Precondition{{Key: here}, {Key: there}}, here, jobs.StateCancelled, ""},
		"a move":               {[]platform.Precondition{{Key: here, Version: 9}, {Key: there}}, there, "", ""},
		"an end":               {[]platform.Precondition{{Key: here, Version: 9}}, here, jobs.StateSucceeded, ""},
		"another key":          {[]platform.Precondition{{Key: "owner/0"}}, "owner/0", "", ""},
		"a wish to be stopped": {[]platform.Precondition{{Key: here, Version: 9}, {Key: here + "/cancel"}}, here + "/cancel", "", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			value, err := json.Marshal(jobs.Record{Spec: jobs.Spec{ID: id}, Ended: test.ended})
			require.NoError(t, err)
			txn := platform.Txn{Require: test.require, Put: []platform.Write{{Key: test.put, Value: value}}}
			require.Equal(t, test.want, acceptedJob(txn))
		})
	}
}

// TestRefusalBesideARequestThatIsReadLater covers a case found by seed 502012: three submissions of a job
// waited at a paused daemon, which refused the last one first and accepted another 4 ms later. That is
// no breach. Without the pause, or if the write arrived before the refusal, it is one.
func TestRefusalBesideARequestThatIsReadLater(t *testing.T) {
	begin := time.Now().Add(-time.Minute)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	d, other := &daemon{name: "front-0"}, &daemon{name: "front-1"}
	tests := map[string]struct {
		pause            int // when the daemon's process is resumed, in ms; it was paused at 4,600; 0: never paused
		unanswered       *daemon
		arrived          int
		breaches, status int
	}{
		"read after a pause":                      {8120, d, 8133, 0, 0},
		"no pause":                                {0, d, 8133, 1, 0},
		"the pause was over":                      {6000, d, 8133, 1, 0},
		"the write came before the refusal":       {8120, d, 8125, 1, 0},
		"the try without answer was at another":   {8120, other, 8133, 1, 0},
		"there is no try without answer":          {8120, d, 8133, 1, http.StatusServiceUnavailable},
		"the pause was before the unanswered try": {6500, d, 8133, 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &run{begin: begin, record: newCallerRecord(), site: &site{daemons: []*daemon{d, other}}}
			r.site.storeFaults.accepted = newAcceptanceLog()
			if test.pause > 0 {
				r.record.addFault(at(4600).Sub(begin), at(test.pause).Sub(begin), Fault{Kind: PauseDaemon})
			}
			j := &job{spec: jobs.Spec{ID: "0000000100000001"}}
			j.submissions = []submission{
				{daemon: test.unanswered, incarnation: 1, began: at(7000), ended: at(7300), status: test.status},
				{daemon: d, incarnation: 1, began: at(7600), ended: at(8129), status: http.StatusServiceUnavailable},
			}
			write := acceptance{connection: connection{d, 1}, arrived: at(test.arrived), committed: at(test.arrived), answered: true}
			r.site.storeFaults.accepted.writes[j.spec.ID] = []acceptance{write}
			r.checkRefuserDidNotAccept(j)
			require.Len(t, r.record.breaches, test.breaches)
		})
	}
}

// TestOverlapsFollowFromTheSeed checks that a seed always yields the same overlapping faults, in pairs.
func TestOverlapsFollowFromTheSeed(t *testing.T) {
	const seed = 31001
	length := 10 * maxOverlapDuration
	faults := drawOverlaps(seed, length)
	require.NotEmpty(t, faults)
	require.Equal(t, faults, drawOverlaps(seed, length))
	for n := 0; n < len(faults); n += 2 {
		first, second := faults[n], faults[n+1]
		require.Contains(t, unansweredKinds, first.Kind)
		require.Contains(t, rejectingKinds, second.Kind)
		require.LessOrEqual(t, second.At, first.At+first.For, "the second fault begins during the first or right at its end")
	}
}
