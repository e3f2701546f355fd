// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package operate

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/cell"
	"rillsail.example/rillsail/services/config"
	"rillsail.example/rillsail/services/inventory"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/fleet"
	"rillsail.example/rillsail/services/standin/kv"
)

// stubOwners stands in for the owners of all cells; the test sets the function that answers the calls.
type stubOwners struct {
	answer func(models.ForwardCall) (models.ForwardAnswer, error)
}

// Forward implements Cells.
func (o *stubOwners) Forward(_ context.Context, call models.ForwardCall) (models.ForwardAnswer, error) {
	return o.answer(call)
}

// Cells implements Cells.
func (o *stubOwners) Cells() map[models.CellID]models.CellBeat { return nil }

// OwnedCells implements Cells.
func (o *stubOwners) OwnedCells() []models.CellID { return nil }

// failWith returns an answer function that fails every call with the error.
func failWith(err error) func(models.ForwardCall) (models.ForwardAnswer, error) {
	return func(models.ForwardCall) (models.ForwardAnswer, error) { return models.ForwardAnswer{}, err }
}

// acceptAll accepts all submissions and cancellations of a call.
func acceptAll(call models.ForwardCall) (models.ForwardAnswer, error) {
	var answer models.ForwardAnswer
	for _, spec := range call.Submit {
		answer.Submitted = append(answer.Submitted, models.Job{JobSpec: spec})
	}
	for _, id := range call.Cancel {
		answer.Cancelled = append(answer.Cancelled, models.Job{JobSpec: models.JobSpec{ID: id}})
	}
	return answer, nil
}

type listFunc func() models.VMList

// VMs implements platform.VMList.
func (l listFunc) VMs(context.Context) (models.VMList, error) { return l(), nil }

type testDaemon struct {
	*Service
	owners *stubOwners
	view   *config.View
	t      *testing.T
}

// newTestDaemon returns a daemon that knows two cells.
func newTestDaemon(t *testing.T) *testDaemon {
	vms := newVMs(t)
	require.NoError(t, vms.Refresh(t.Context()))
	require.Len(t, vms.Cells().Cells, 2)
	d := &testDaemon{owners: &stubOwners{answer: acceptAll}, t: t}
	d.view = config.ViewOf(1, models.Team{Name: "office"})
	d.Service = New(Config{Cells: d.owners, Inventory: vms, View: func() *config.View { return d.view }})
	return d
}

// newVMs returns an inventory that has not read the VM list or the cell map yet.
func newVMs(t *testing.T) *inventory.Service {
	f, err := fleet.New(fleet.Config{
		RunName: "test", Workers: 2, PerRack: 1, Worker: models.Resources{CPU: 4000, Memory: 4096}, Domains: []string{"south/a"}, NoListeners: true,
	})
	require.NoError(t, err)
	var store platform.Store = &kv.Local{Service: kv.New(kv.Config{}), Fault: kv.NoFault}
	return inventory.New(inventory.Config{
		List: listFunc(f.VMs), Store: store, Logger: zap.NewNop(), Scope: tally.NoopScope, Changed: func() {},
	})
}

func jobSpec(id models.JobID) models.JobSpec {
	return models.JobSpec{ID: id, Team: "office", Tasks: 1, Size: models.Resources{CPU: 1000, Memory: 256}, Work: 1000}
}

func (d *testDaemon) submit(spec models.JobSpec) models.JobResult {
	return d.Submit(d.t.Context(), models.Submission{Jobs: []models.JobSpec{spec}}).Results[0]
}

func (d *testDaemon) cancel(id models.JobID) models.JobResult {
	return d.Cancel(d.t.Context(), models.Cancellation{Jobs: []models.JobID{id}}).Results[0]
}

// TestRefusalAfterDoubt makes a call that ends with an unknown outcome, and then a call with the same job that reaches no
// owner. The refusal of the second call must not hide that the first may have taken effect.
func TestRefusalAfterDoubt(t *testing.T) {
	d := newTestDaemon(t)
	d.owners.answer = failWith(cell.ErrUnknownOutcome)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome)
	require.Equal(t, models.RequestUnknown, d.cancel("other").Outcome)
	d.owners.answer = failWith(cell.ErrNotOwner)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome, "the first call may have been done")
	require.Equal(t, models.RequestUnknown, d.cancel("other").Outcome, "the first call may have been done")
	invalid := jobSpec("first")
	invalid.Work = 0
	require.Equal(t, models.RequestUnknown, d.submit(invalid).Outcome, "the first call may have been done")
}

// TestRefusalAfterAcceptance submits an accepted job again, as a caller does that did not receive the answer to the first
// submission.
func TestRefusalAfterAcceptance(t *testing.T) {
	d := newTestDaemon(t)
	require.NotNil(t, d.submit(jobSpec("first")).Job)
	d.owners.answer = failWith(cell.ErrNotOwner)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome, "the job was accepted")
}

// TestRefusalBesideCallUnderWay submits a job again while the first call with the job is in flight.
func TestRefusalBesideCallUnderWay(t *testing.T) {
	d := newTestDaemon(t)
	arrived, proceed, first := make(chan bool), make(chan bool), make(chan models.JobResult, 1)
	d.owners.answer = func(call models.ForwardCall) (models.ForwardAnswer, error) {
		arrived <- true
		<-proceed
		return acceptAll(call)
	}
	go func() { first <- d.submit(jobSpec("first")) }()
	<-arrived
	d.owners.answer = failWith(cell.ErrNotOwner)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome, "the first call is in flight")
	close(proceed)
	require.NotNil(t, (<-first).Job)
}

// TestNoSuchJobAfterDoubt cancels a job whose submission may still take effect.
func TestNoSuchJobAfterDoubt(t *testing.T) {
	d := newTestDaemon(t)
	d.owners.answer = failWith(cell.ErrUnknownOutcome)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome)
	d.owners.answer = failWith(cell.ErrJobNotFound)
	require.Equal(t, models.RequestUnknown, d.cancel("first").Outcome, "the submission may still arrive")
	require.Equal(t, models.RequestNotRun, d.cancel("never").Outcome)
}

// TestRefusalsOfNewJobsStand refuses a job several times that no call has submitted; each refusal must be certain.
func TestRefusalsOfNewJobsStand(t *testing.T) {
	d := newTestDaemon(t)
	for _, refusal := range []error{cell.ErrNotOwner, cell.ErrStoreUnavailable, cell.ErrJobIDConflict} {
		d.owners.answer = failWith(refusal)
		require.Equal(t, models.RequestNotRun, d.submit(jobSpec("first")).Outcome, "%v", refusal)
	}
	invalid := jobSpec("first")
	invalid.Work = 0
	require.Equal(t, models.RequestNotRun, d.submit(invalid).Outcome)
}

// TestListBeforeAnyCellIsKnown lists jobs at a daemon that has read neither the VM list nor the cell map.
func TestListBeforeAnyCellIsKnown(t *testing.T) {
	s := New(Config{Cells: &stubOwners{answer: acceptAll}, Inventory: newVMs(t)})
	require.NotEmpty(t, s.List(t.Context(), models.ForwardCall{ListJobs: true}).Missing, "an empty listing would say that nothing exists")
}

// TestCancelAfterCellsWereAdded cancels a job whose home cell was another cell when the job was accepted, because cells
// were added to the cell map since.
func TestCancelAfterCellsWereAdded(t *testing.T) {
	d := newTestDaemon(t)
	otherCell := acceptAll
	d.owners.answer = func(call models.ForwardCall) (models.ForwardAnswer, error) {
		if h, _ := cell.JobHome(call.Cancel[0], d.config.Inventory.Cells()); call.Cell == h {
			return models.ForwardAnswer{}, cell.ErrJobNotFound
		}
		return otherCell(call)
	}
	require.NotNil(t, d.cancel("first").Job, "its previous home cell has the job")
	otherCell = failWith(cell.ErrUnknownOutcome)
	require.Equal(t, models.RequestUnknown, d.cancel("first").Outcome, "its previous home cell gave no answer")
	otherCell = failWith(cell.ErrNotOwner)
	require.NotContains(t, d.cancel("first").Error, "no such job", "its previous home cell was not reached")
	require.NotContains(t, d.cancel("other").Error, "no such job", "its previous home cell was not reached")
	otherCell = failWith(cell.ErrJobNotFound)
	require.Equal(t, models.RequestNotRun, d.cancel("other").Outcome)
}
