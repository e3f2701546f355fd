// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// TestTasksRunSoonAfterAnOwnerIsGoneForGoodBehindACut guards against a wait that begins only when a cut of most workers has
// healed: nobody can be asked since when the owner has ended.
func TestTasksRunSoonAfterAnOwnerIsGoneForGoodBehindACut(t *testing.T) {
	for _, c := range []takeoverCase{
		{Name: "power", Cut: 8, Loss: "power", Allowed: 3000},
		{Name: "isolation", Cut: 8, Loss: "isolation", Allowed: 3000},
		{Name: "long lease", Cut: 10, Loss: "power", Lease: models.MilliOf(testSettings.WorkerLease), Allowed: 3000},
	} {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.play) })
	}
}

// newOutage runs a task on each worker and ends all answers of the store.
func newOutage(t *testing.T, daemons int) (*testCluster, *testDaemon) {
	t.Helper()
	w := newTestCluster(t, takeoverWorkers, daemons, nil)
	spec := longRunningJob(1, takeoverWorkers)
	w.submit(w.daemons[0], spec)
	w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
	time.Sleep(firstWitnessCheck + time.Second) // all daemons are witnesses
	require.Len(t, w.owner().Cells.ownedCells()[cellName(0)].claim.Witnesses, daemons-1)
	w.setOutage(true)
	return w, w.owner()
}

// outageTime is longer than an owner may go on without any proof.
const outageTime = 15 * time.Second

// TestOwnerGoesOnWhileItsWitnessesAnswer guards against tasks that end in an outage of the store although enough witnesses
// vouch for their owner, and against an owner that goes on without them: it might have a successor.
func TestOwnerGoesOnWhileItsWitnessesAnswer(t *testing.T) {
	const daemons = 5
	for gone, running := range []int{takeoverWorkers, takeoverWorkers, takeoverWorkers, 0, 0} {
		t.Run(fmt.Sprintf("%d of %d witnesses are gone", gone, daemons-1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, owner := newOutage(t, daemons)
				others := slices.DeleteFunc(w.daemonList(), func(d *testDaemon) bool { return d == owner })
				for _, d := range others[:gone] {
					d.kill()
				}
				time.Sleep(outageTime)
				require.Equal(t, running, w.grid.Running(jobID(1)))
				require.Equal(t, running == 0, w.logged.FilterMessage("orders wait for a recent proof of ownership").FilterField(zap.Bool("lacks_witnesses", true)).Len() > 0)
			})
		})
	}
}

// TestWitnessThatRestartedVouchesForNothing guards against two owners: a successor counts the next process of a witness as
// one that has stopped to vouch.
func TestWitnessThatRestartedVouchesForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, owner := newOutage(t, 4)
		for _, d := range w.daemonList() {
			if d != owner {
				d.killProcess()
				d.restart()
			}
		}
		time.Sleep(outageTime)
		require.Zero(t, w.grid.Running(jobID(1)))
	})
}

// TestOnlyAsManyWitnessesAreAskedAsAreNeeded guards against calls that nobody needs: a bit more than a third of the witnesses
// suffice as long as they answer.
func TestOnlyAsManyWitnessesAreAskedAsAreNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, takeoverWorkers, 4, nil)
		spec := longRunningJob(1, takeoverWorkers)
		w.submit(w.daemons[0], spec)
		time.Sleep(time.Minute)
		const needed, all = 2, 3
		const perMinute, rounds, checks = 200, 60, int64(time.Minute/witnessCheckInterval) + 1 // in a round all are asked
		require.LessOrEqual(t, w.witnessCalls(), needed*perMinute+all*(rounds+checks))
	})
}

// TestOwnerGoesOnWithoutOtherDaemons guards against tasks that end because no other daemon is left to vouch for their owner
// while the store answers.
func TestOwnerGoesOnWithoutOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, takeoverWorkers, 5, nil)
		spec := longRunningJob(1, takeoverWorkers)
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		time.Sleep(firstWitnessCheck + time.Second)
		owner := w.owner()
		for _, d := range w.daemonList() {
			if d != owner {
				d.kill()
			}
		}
		for range 20 {
			time.Sleep(time.Second)
			require.Equal(t, takeoverWorkers, w.grid.Running(spec.ID))
		}
		require.Zero(t, w.logged.FilterMessage("orders wait for a recent proof of ownership").Len())
		require.Empty(t, w.owner().Cells.ownedCells()[cellName(0)].claim.Witnesses)
	})
}

// TestOwnerResolvesAListOfWitnessesThatWasNotStored guards against an owner that stands still for ever: it has tried to name
// other witnesses, does not know whether that was done, and they are gone.
func TestOwnerResolvesAListOfWitnessesThatWasNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, takeoverWorkers, 4, nil)
		spec := longRunningJob(1, takeoverWorkers)
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		time.Sleep(firstWitnessCheck + time.Second)
		o := w.owner().Cells.ownedCells()[cellName(0)]
		for _, named := range [][]jobs.Witness{{{Daemon: "gone", Address: "nowhere", Process: "none"}}, o.claim.Witnesses[:1]} {
			o.mu.Lock()
			o.core.NameWitnesses(named)
			o.mu.Unlock()
			for range 20 {
				time.Sleep(time.Second)
				require.Equal(t, takeoverWorkers, w.grid.Running(spec.ID))
			}
			o.mu.Lock()
			require.False(t, o.core.WitnessesUnresolved())
			o.mu.Unlock()
		}
		require.Len(t, o.claim.Witnesses, 3)
	})
}

// TestLostOwnerIsNoWitnessOfItsSuccessor guards against leases that a successor cannot renew for a second, because the owner
// that has just been lost is its only witness.
func TestLostOwnerIsNoWitnessOfItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, takeoverWorkers, 2, nil)
		spec := longRunningJob(1, takeoverWorkers)
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		time.Sleep(firstWitnessCheck + time.Second)
		previous := w.owner()
		previous.kill()
		w.eventually(10*time.Second, "another daemon owns the cell", func() bool { return w.owner() != nil && w.owner() != previous })
		require.Empty(t, w.owner().Cells.ownedCells()[cellName(0)].claim.Witnesses)
	})
}

// TestWitnessTellsWhenItLastVouched guards against two owners: a successor counts the leases of the owner before from that
// time on.
func TestWitnessTellsWhenItLastVouched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 1, 1, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		cells := w.daemons[0].Cells
		ask := func(epoch jobs.Epoch, stop bool) *jobs.WitnessAnswer {
			return cells.Answer(jobs.Query{Cell: cellHere, Witness: &jobs.WitnessCall{Epoch: epoch, Stop: stop}}).Witness
		}
		for _, epoch := range []jobs.Epoch{5, 8, 20} {
			require.True(t, ask(epoch, false).Vouches)
			time.Sleep(time.Second)
		}
		require.Equal(t, models.Milli(2000), ask(20, true).Ago, "for the owner before")
		time.Sleep(time.Second)
		require.False(t, ask(8, false).Vouches)
		require.Equal(t, models.Milli(3000), ask(20, true).Ago, "it has not vouched since")
		require.Equal(t, models.Milli(2000), ask(21, true).Ago, "the owner itself is one of those before the next")
	})
}

// witnessCalls returns how many calls to witnesses owners have made to vouch for them.
func (w *testCluster) witnessCalls() int64 {
	for _, counter := range w.scope.Snapshot().Counters() {
		if counter.Name() == "witness_calls" {
			return counter.Value()
		}
	}
	return 0
}

// TestRestartedWitnessesAreReplaced guards against an owner that has no witnesses left after the other daemons have been
// replaced one after the other, so that the next outage of the store ends its tasks.
func TestRestartedWitnessesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, takeoverWorkers, 4, nil)
		spec := longRunningJob(1, takeoverWorkers)
		w.submit(w.daemons[0], spec)
		w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
		owner := w.owner()
		for _, d := range w.daemonList() {
			if d != owner {
				d.killProcess()
				time.Sleep(time.Second)
				d.restart()
			}
		}
		time.Sleep(2 * witnessCheckInterval)
		require.Equal(t, owner, w.owner())
		w.setOutage(true)
		time.Sleep(outageTime)
		require.Equal(t, takeoverWorkers, w.grid.Running(spec.ID))
	})
}

// TestWitnessesDividedBetweenTwoOwners guards against tasks that run twice: some witnesses reach only an owner that the
// store does not reach, the others only its successor.
func TestWitnessesDividedBetweenTwoOwners(t *testing.T) {
	const daemons = 5
	for _, workers := range []int{takeoverWorkers - takeoverWorkers/3, takeoverWorkers - 1} {
		for kept := range daemons - 1 {
			t.Run(fmt.Sprintf("%d workers and %d of %d witnesses are the first owner's", workers, kept, daemons-1), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testDividedWitnesses(t, daemons, workers, kept) })
			})
		}
	}
}

func testDividedWitnesses(t *testing.T, daemons, workers, kept int) {
	w := newTestCluster(t, takeoverWorkers, daemons, nil)
	spec := longRunningJob(1, takeoverWorkers)
	w.submit(w.daemons[0], spec)
	w.eventually(10*time.Second, "all tasks run", func() bool { return w.grid.Running(spec.ID) == takeoverWorkers })
	time.Sleep(firstWitnessCheck + time.Second)
	previous := w.owner()
	others := slices.DeleteFunc(w.daemonList(), func(d *testDaemon) bool { return d == previous })
	first := append([]*testDaemon{previous}, others[:kept]...)
	ids := w.grid.IDs()
	for _, d := range first {
		d.set(func() { d.storeCut, d.side = true, 1 })
		for _, id := range ids[workers:] {
			d.cut(id)
		}
	}
	for _, d := range others[kept:] {
		for _, id := range ids[:workers] {
			d.cut(id)
		}
	}
	time.Sleep(takeoverDivided)
	w.requireNoBreaches()
}

// TestWitnessNeverVouchesAgain guards against two owners: an owner stood still for long, and asks again after its witness
// has told its successor that it vouches no longer.
func TestWitnessNeverVouchesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 1, 1, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		cells := w.daemons[0].Cells
		vouches := func(cell jobs.CellName, epoch jobs.Epoch) bool {
			return cells.Answer(jobs.Query{Cell: cell, Witness: &jobs.WitnessCall{Epoch: epoch}}).Witness.Vouches
		}
		require.True(t, vouches(cellHere, 10))
		cells.Answer(jobs.Query{Cell: cellHere, Witness: &jobs.WitnessCall{Epoch: 20, Stop: true}})
		cells.Answer(jobs.Query{Cell: cellHere, Witness: &jobs.WitnessCall{Epoch: 15, Stop: true}}) // arrives late
		for range 3 {
			require.False(t, vouches(cellHere, 10))
			require.False(t, vouches(cellHere, 19))
			require.True(t, vouches(cellHere, 20), "the successor itself")
			require.True(t, vouches(cellThere, 10), "an owner of another cell")
			time.Sleep(claimMemory + time.Minute)
		}
	})
}

// TestProcessThatMayNotListenYetIsNoWitness guards against two owners: the process before, which has vouched for one of
// them, may still run until this one listens at its address.
func TestProcessThatMayNotListenYetIsNoWitness(t *testing.T) {
	o := newManualOwner(t)
	require.Nil(t, o.cells.answerAsWitness(cellHere, jobs.WitnessCall{Epoch: 1, Stop: true}))
}

// TestAnotherDaemonAtTheAddressIsNoWitness guards against two owners: another VM has the address of a witness now.
func TestAnotherDaemonAtTheAddressIsNoWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 2, 2, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		asked := jobs.Witness{Daemon: "daemon-of-old", Address: "daemon-2", Process: "x"}
		call := jobs.WitnessCall{Epoch: 1, Stop: true}
		require.Nil(t, w.daemons[0].Cells.askWitness(t.Context(), cellHere, asked, call))
		asked.Daemon = "daemon-2"
		require.NotNil(t, w.daemons[0].Cells.askWitness(t.Context(), cellHere, asked, call))
	})
}

// TestEachPreviousOwnerHasToHaveEndedOrTooFewWitnesses guards against two owners: what is known of some claims says nothing
// about the others.
func TestEachPreviousOwnerHasToHaveEndedOrTooFewWitnesses(t *testing.T) {
	begin := time.Now()
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	var witnesses []jobs.Witness
	for n := range 4 {
		witnesses = append(witnesses, jobs.Witness{Daemon: fmt.Sprint(n), Address: "a", Process: "p"})
	}
	first := jobs.Owner{ClaimID: "first", Witnesses: witnesses}
	second := jobs.Owner{ClaimID: "second"} // of an older version
	p := newPreviousOwners(jobs.Claims{Owners: []jobs.Owner{first, second}})
	known := func() bool {
		_, ok := p.lapse()
		return ok
	}
	p.ends["second"] = at(1)
	p.vouchedUntil[witnesses[0]], p.vouchedUntil[witnesses[1]] = at(2), at(5)
	require.False(t, known(), "two of four witnesses may vouch for the first")
	p.vouchedUntil[witnesses[3]] = at(3)
	times, ok := p.lapse()
	require.True(t, ok)
	require.Equal(t, previousLapse{ended: at(1), fenced: at(5)}, times)
	p.vouchedUntil[witnesses[2]] = at(9)
	times, _ = p.lapse()
	require.Equal(t, at(5), times.fenced, "three of four suffice")

	delete(p.ends, "second")
	require.False(t, known(), "the second has no witnesses")
	p.ends["second"], p.ends["first"] = at(1), at(4)
	times, _ = p.lapse()
	require.Equal(t, previousLapse{ended: at(4)}, times, "the end is older than the answers")
	p.claims.Incomplete = true
	require.False(t, known(), "there may have been others")
}

// TestWitnessesOfAClaim checks which daemons become witnesses.
func TestWitnessesOfAClaim(t *testing.T) {
	cells := &Cells{config: Config{Self: "c"}}
	daemon := func(id, process string) jobs.Daemon {
		return jobs.Daemon{ID: id, Address: "at-" + id, Process: jobs.ProcessID(process)}
	}
	names := func(witnesses []jobs.Witness) (list []string) {
		for _, w := range witnesses {
			list = append(list, w.Daemon+string(w.Process))
		}
		return list
	}
	registered := []jobs.Daemon{daemon("a", "1"), daemon("b", ""), daemon("c", "1"), daemon("d", "1"), daemon("e", "1")}
	chosen := cells.chooseWitnesses(nil, registered, nil)
	require.Equal(t, []string{"d1", "e1", "a1"}, names(chosen), "neither this daemon nor one of an older version")

	later := []jobs.Daemon{daemon("a", "2"), daemon("c", "1"), daemon("e", "1")}
	chosen = cells.chooseWitnesses(chosen, later, registered)
	require.Equal(t, []string{"d1", "e1", "a2"}, names(chosen), "d is missing for the first time, a has another process")
	require.Equal(t, []string{"e1", "a2"}, names(cells.chooseWitnesses(chosen, later, later)))

	var many []jobs.Daemon
	for n := range 2 * jobs.MaxWitnesses {
		many = append(many, daemon(fmt.Sprintf("c%02d", n), "1"))
	}
	chosen = cells.chooseWitnesses(chosen, many, later)
	require.Len(t, chosen, jobs.MaxWitnesses)
	owner := jobs.Owner{Daemon: "c", Address: "a", ClaimID: "x", Witnesses: chosen}
	require.NoError(t, owner.Check())
	owner.Witnesses = append(owner.Witnesses, jobs.Witness{Daemon: "z", Address: "a", Process: "p"})
	require.Error(t, owner.Check())
}

// TestWitnessesOfAListOfUnknownOutcomeBothVouch guards against two owners: a successor may read the former witnesses or the
// new ones from the list of claims.
func TestWitnessesOfAListOfUnknownOutcomeBothVouch(t *testing.T) {
	o := newManualOwner(t)
	former := []jobs.Witness{{Daemon: "former", Address: "a", Process: "p"}}
	next := jobs.Owner{Daemon: "daemon", Address: "a", ClaimID: "c", Witnesses: []jobs.Witness{{Daemon: "next", Address: "b", Process: "p"}}}
	o.core.WitnessesStored(former)
	late := o.withholdCommit(platform.ErrUnknownOutcome)
	claims := jobs.Claims{Owners: []jobs.Owner{next}}
	asked := func() []jobs.Witness { return o.core.WitnessesToAsk(time.Now().Add(time.Minute)) }
	require.False(t, o.storeClaims(t.Context(), claims))
	require.Len(t, asked(), 2)
	late()
	require.False(t, o.storeClaims(t.Context(), claims), "the first attempt was applied meanwhile")
	require.Len(t, asked(), 2)
	require.True(t, o.storeClaims(t.Context(), claims))
	require.Equal(t, next.Witnesses, asked())
}
