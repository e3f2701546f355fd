// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

// storeLimit is how many jobs a transaction takes, as for owners.
const storeLimit = 6

// TestRefusedJobBarsNoOther guards against a change that the store never accepts, and that keeps the changes of all other
// jobs and the roster from being stored.
func TestRefusedJobBarsNoOther(t *testing.T) {
	b := newBench(t, 2)
	const others = 20
	add := func(n int) *job {
		record := b.job(singleTaskStep)
		record.Spec.ID = jobs.ID(fmt.Sprintf("%016x", n))
		b.AddJob(record, jobs.Progress{}, true, b.now)
		return b.jobs[record.Spec.ID]
	}
	toBlame := add(0)
	toBlame.occurrences[0].steps[0].tasks[0].suspicion.Lost = []jobs.LostRun{{Run: 1}}
	b.storeBeforeNextStart(&toBlame.occurrences[0].steps[0].tasks[0])
	for n := range others {
		b.markChanged(add(n + 1))
	}
	b.rosterChanged = true
	refuse, refusals, rosters := true, 0, 0
	pass := func() {
		for n := 0; n < others && (n == 0 || b.HasChanges()); n++ {
			changes := b.TakeChanges(storeLimit, b.now)
			refused := false
			for _, change := range changes.Jobs {
				refused = refused || refuse && change.job == toBlame
			}
			if refused {
				refusals++
				b.Refused(changes, b.now)
				continue
			}
			if changes.Roster != nil {
				rosters++
			}
			b.Stored(changes, b.now)
		}
	}
	pass()
	require.Equal(t, 2, refusals, "with others, then alone")
	require.Equal(t, 1, rosters, "the roster is stored")
	for _, j := range b.jobs {
		require.Equal(t, j != toBlame, j.storedVersion == j.version, "job %s", j.spec.ID)
	}
	require.False(t, toBlame.occurrences[0].steps[0].tasks[0].lossesAreStored(), "the task does not start")
	pass()
	require.Equal(t, 2, refusals, "the job is set aside")

	for _, refuse = range []bool{true, false} {
		b.now = b.now.Add(refusedRetryInterval)
		pass()
	}
	require.Equal(t, 3, refusals, "the job is tried again from time to time")
	require.Equal(t, toBlame.version, toBlame.storedVersion)
	require.False(t, toBlame.storeAlone)
}
