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
)

// testWitnesses returns some witnesses.
func testWitnesses(prefix string, count int) []jobs.Witness {
	var witnesses []jobs.Witness
	for n := range count {
		witnesses = append(witnesses, jobs.Witness{Daemon: fmt.Sprint(prefix, n), Address: "a", Process: "p"})
	}
	return witnesses
}

// TestWorkersProveNothingWithoutWitnesses guards against an owner that goes on by its workers' answers, or by transactions,
// while a successor has asked its witnesses to stop.
func TestWorkersProveNothingWithoutWitnesses(t *testing.T) {
	for named := range jobs.MaxWitnesses + 1 {
		b := newBench(t, 3)
		witnesses := testWitnesses("w", named)
		b.WitnessesStored(witnesses)
		b.now = b.now.Add(10 * time.Second)
		b.provedAt = b.now.Add(-time.Millisecond)
		b.reportAll(0, 3)
		asked := b.now.Add(-time.Second)
		for n := range named {
			b.countAnswers()
			require.Zero(t, b.lastProof(), "%d of %d vouch", n, named)
			if 3*n > named {
				t.Fatalf("%d of %d witnesses are more than a third", n, named)
			}
			b.Vouched(witnesses[named-1-n], asked)
			if 3*(n+1) > named {
				break
			}
		}
		b.countAnswers()
		expected := asked
		if named == 0 {
			expected = latest(b.provedAt, b.workers[b.ids[0]].reportAskedAt)
		}
		require.Equal(t, expected, b.lastProof(), "%d witnesses", named)
	}
}

// TestVouchingAndStoppedWitnessesOverlap guards against two owners: among the witnesses that vouch there is one that a
// successor has waited for.
func TestVouchingAndStoppedWitnessesOverlap(t *testing.T) {
	for n := 1; n <= jobs.MaxWitnesses; n++ {
		require.Equal(t, n+1, vouchingWitnesses(n)+WitnessesToStop(n))
	}
}

// TestAllSetsOfWitnessesVouch guards against an owner that goes on by witnesses which its successor does not know of: either
// set may be stored.
func TestAllSetsOfWitnessesVouch(t *testing.T) {
	b := newBench(t, 3)
	former, next := testWitnesses("f", 2), testWitnesses("n", 2)
	b.WitnessesStored(former)
	b.now = b.now.Add(10 * time.Second)
	b.NameWitnesses(next)
	b.NameWitnesses(next)
	b.NameWitnesses(nil) // that could be stored as well, and asks for nothing
	require.Len(t, b.WitnessesToAsk(b.now), 4)
	b.reportAll(0, 3)
	prove := func(witness jobs.Witness) time.Time {
		b.Vouched(witness, b.now)
		b.countAnswers()
		return b.lastProof()
	}
	require.Zero(t, prove(next[0]))
	require.NotZero(t, prove(former[0]))
	b.WitnessesStored(next)
	require.Equal(t, []jobs.Witness{next[0]}, func() []jobs.Witness {
		b.now = b.now.Add(witnessInterval)
		return b.WitnessesToAsk(b.now)
	}())
}

// TestFewWitnessesAreAsked guards against calls to all witnesses where some suffice, and against a wait for one that does
// not answer.
func TestFewWitnessesAreAsked(t *testing.T) {
	b := newBench(t, 3)
	witnesses := testWitnesses("w", 8)
	b.WitnessesStored(witnesses)
	require.Len(t, b.WitnessesToAsk(b.now), 8, "none has answered yet")
	for _, n := range []int{7, 2, 5} {
		b.Vouched(witnesses[n], b.now)
	}
	require.Empty(t, b.WitnessesToAsk(b.now.Add(witnessInterval-1)))
	require.ElementsMatch(t, []jobs.Witness{witnesses[7], witnesses[2], witnesses[5]}, b.WitnessesToAsk(b.now.Add(witnessInterval)))
	require.Len(t, b.WitnessesToAsk(b.now.Add(witnessesLateAfter)), 8)
}

// TestWaitAfterTheWitnessesLeft guards against runs on silent workers that are waited for until a cut heals, or not for as
// long as the last lease of a previous owner may last.
func TestWaitAfterTheWitnessesLeft(t *testing.T) {
	for _, allowance := range []time.Duration{0, leaseAllowance} {
		b := newBench(t, 12)
		lease := b.config.Lease
		b.RestoreRoster(jobs.Roster{Workers: b.Workers(), MaxLease: models.MilliOf(lease), LeaseAllowance: models.MilliOf(allowance)}, b.now)
		b.report(0, jobs.Report{})
		_, basis := b.previousOwnersLapse()
		require.Equal(t, lapseBlind, basis)
		left := b.now
		b.PreviousOwnersFenced(left, left.Add(-time.Minute))
		until, basis := b.previousOwnersLapse()
		require.Equal(t, lapseLeft, basis)
		last := driftedLease(lease+allowance) + clockMargin
		if allowance == 0 {
			last = driftedLease(lease) + previousOwnerMargin
		}
		require.Equal(t, left.Add(last), until)

		b.PreviousOwnersFenced(left, left.Add(previousOwnerMargin))
		until, _ = b.previousOwnersLapse()
		require.Equal(t, latest(left.Add(last), left.Add(previousOwnerMargin+driftedLease(lease)+clockMargin)), until, "another one ended later")

		b.PreviousOwnersEnded(left.Add(-time.Second))
		until, basis = b.previousOwnersLapse()
		require.Equal(t, lapseEnded, basis)
		require.Equal(t, left.Add(-time.Second+driftedLease(lease)+clockMargin), until)
	}
}

// TestWitnessesAreNamedOnceTheyHaveVouchedAfterEachLease guards against tasks on two workers: a successor that reads the names
// of new witnesses counts the leases from when these last vouched, also the leases that were granted before.
func TestWitnessesAreNamedOnceTheyHaveVouchedAfterEachLease(t *testing.T) {
	b := newBench(t, 3)
	former, next := testWitnesses("f", 1), testWitnesses("n", 1)
	b.WitnessesStored(former)
	b.Vouched(next[0], b.now)
	b.now = b.now.Add(100 * time.Millisecond)
	b.provedAt = b.now
	b.reportAll(0, 3)
	b.Vouched(former[0], b.now)
	_, ok := b.LeaseCall(b.ids[0], time.Second, b.now)
	require.True(t, ok)
	b.NameWitnesses(next)
	require.True(t, b.WitnessesUnresolved())
	require.False(t, b.WitnessesCover(next), "they vouched before the lease was granted")
	require.True(t, b.WitnessesCover(former))
	require.True(t, b.WitnessesCover(nil), "its successor can't use any")
	b.Vouched(next[0], b.now)
	require.True(t, b.WitnessesCover(next))
}

// TestMissingWitnessesAskForNoTransactions guards against a write to the store with each decision while too few witnesses
// vouch: a transaction that proves ownership does not help them, and writes beyond the store's rate turn others away.
func TestMissingWitnessesAskForNoTransactions(t *testing.T) {
	for name, witnesses := range map[string][]jobs.Witness{"none named": nil, "none answers": testWitnesses("w", 2)} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 3)
			b.WitnessesStored(witnesses)
			writes := 0
			for range 100 { // one second
				b.now = b.now.Add(10 * time.Millisecond)
				b.Decide(b.now)
				if b.HasUrgentChanges() {
					b.Stored(b.TakeChanges(10, b.now), b.now)
					writes++
				}
			}
			require.LessOrEqual(t, writes, 2, "in a second")
		})
	}
}
