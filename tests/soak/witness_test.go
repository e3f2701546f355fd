// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// TestAcceptanceIsToldFromOtherWrites keeps the check of refusals honest: only the write that
// stores a job for the first time speaks for the daemon that made it.
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
			require.Equal(t, test.want, accepted(txn))
		})
	}
}

// TestOverlapsFollowFromTheSeed checks that a seed brings the same overlaps again, in pairs.
func TestOverlapsFollowFromTheSeed(t *testing.T) {
	const seed = 31001
	length := 10 * longestOverlap
	faults := overlaps(seed, length)
	require.NotEmpty(t, faults)
	require.Equal(t, faults, overlaps(seed, length))
	for n := 0; n < len(faults); n += 2 {
		first, second := faults[n], faults[n+1]
		require.Contains(t, unanswered, first.Kind)
		require.Contains(t, turnedAway, second.Kind)
		require.LessOrEqual(t, second.At, first.At+first.For, "it comes beside the first or right behind it")
	}
}
