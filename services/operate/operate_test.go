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

// stubOwners stand for the cells' owners: each call is answered as the test says.
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

// failWith answers every call with the error.
func failWith(err error) func(models.ForwardCall) (models.ForwardAnswer, error) {
	return func(models.ForwardCall) (models.ForwardAnswer, error) { return models.ForwardAnswer{}, err }
}

// acceptAll answers every call as done.
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

// VMs implements platform.List.
func (l listFunc) VMs(context.Context) (models.VMList, error) { return l(), nil }

type testDaemon struct {
	*Service
	owners *stubOwners
	view   *config.View
	t      *testing.T
}

// newTestDaemon is a daemon that knows two cells.
func newTestDaemon(t *testing.T) *testDaemon {
	vms := newVMs(t)
	require.NoError(t, vms.Refresh(t.Context()))
	require.Len(t, vms.Cells().Cells, 2)
	d := &testDaemon{owners: &stubOwners{answer: acceptAll}, t: t}
	d.view = config.ViewOf(1, models.Team{Name: "office"})
	d.Service = New(Config{Cells: d.owners, Inventory: vms, View: func() *config.View { return d.view }})
	return d
}

// newVMs is an inventory that has read nothing yet.
func newVMs(t *testing.T) *inventory.Service {
	f, err := fleet.New(fleet.Config{
		Run: "test", Workers: 2, PerRack: 1, Worker: models.Resources{CPU: 4000, Memory: 4096}, Domains: []string{"south/a"}, Unserved: true,
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

// TestRefusalAfterDoubt lets a call end without answer, and the next with the same job
// reach nobody: that it was not run says nothing of the first.
func TestRefusalAfterDoubt(t *testing.T) {
	d := newTestDaemon(t)
	d.owners.answer = failWith(cell.ErrMaybe)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome)
	require.Equal(t, models.RequestUnknown, d.cancel("other").Outcome)
	d.owners.answer = failWith(cell.ErrNotOwner)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome, "the first call may have been done")
	require.Equal(t, models.RequestUnknown, d.cancel("other").Outcome, "the first call may have been done")
	wrong := jobSpec("first")
	wrong.Work = 0
	require.Equal(t, models.RequestUnknown, d.submit(wrong).Outcome, "the first call may have been done")
}

// TestRefusalAfterAcceptance submits a job again that was accepted, as one does whose
// answer was lost on its way to the caller.
func TestRefusalAfterAcceptance(t *testing.T) {
	d := newTestDaemon(t)
	require.NotNil(t, d.submit(jobSpec("first")).Job)
	d.owners.answer = failWith(cell.ErrNotOwner)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome, "the job was accepted")
}

// TestRefusalBesideCallUnderWay submits a job again while the first call with it waits.
func TestRefusalBesideCallUnderWay(t *testing.T) {
	d := newTestDaemon(t)
	arrived, goOn, first := make(chan bool), make(chan bool), make(chan models.JobResult, 1)
	d.owners.answer = func(call models.ForwardCall) (models.ForwardAnswer, error) {
		arrived <- true
		<-goOn
		return acceptAll(call)
	}
	go func() { first <- d.submit(jobSpec("first")) }()
	<-arrived
	d.owners.answer = failWith(cell.ErrNotOwner)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome, "the first call is under way")
	close(goOn)
	require.NotNil(t, (<-first).Job)
}

// TestNoSuchJobAfterDoubt cancels a job whose submission may still be on its way.
func TestNoSuchJobAfterDoubt(t *testing.T) {
	d := newTestDaemon(t)
	d.owners.answer = failWith(cell.ErrMaybe)
	require.Equal(t, models.RequestUnknown, d.submit(jobSpec("first")).Outcome)
	d.owners.answer = failWith(cell.ErrNoJob)
	require.Equal(t, models.RequestUnknown, d.cancel("first").Outcome, "the submission may still arrive")
	require.Equal(t, models.RequestNotRun, d.cancel("never").Outcome)
}

// TestRefusalsOfNewJobsStand refuses a job time and again that no call has brought in.
func TestRefusalsOfNewJobsStand(t *testing.T) {
	d := newTestDaemon(t)
	for _, refusal := range []error{cell.ErrNotOwner, cell.ErrNoStore, cell.ErrOtherSpec} {
		d.owners.answer = failWith(refusal)
		require.Equal(t, models.RequestNotRun, d.submit(jobSpec("first")).Outcome, "%v", refusal)
	}
	wrong := jobSpec("first")
	wrong.Work = 0
	require.Equal(t, models.RequestNotRun, d.submit(wrong).Outcome)
}

// TestListBeforeAnyCellIsKnown lists at a daemon that has read neither list nor map.
func TestListBeforeAnyCellIsKnown(t *testing.T) {
	s := New(Config{Cells: &stubOwners{answer: acceptAll}, Inventory: newVMs(t)})
	require.NotEmpty(t, s.List(t.Context(), models.ForwardCall{Jobs: true}).Missing, "an empty list says that there is nothing")
}

// TestCancelAfterCellsWereAdded cancels a job whose home was another cell when it was
// accepted: the map of cells has grown since.
func TestCancelAfterCellsWereAdded(t *testing.T) {
	d := newTestDaemon(t)
	elsewhere := acceptAll
	d.owners.answer = func(call models.ForwardCall) (models.ForwardAnswer, error) {
		if h, _ := cell.JobHome(call.Cancel[0], d.config.Inventory.Cells()); call.Cell == h {
			return models.ForwardAnswer{}, cell.ErrNoJob
		}
		return elsewhere(call)
	}
	require.NotNil(t, d.cancel("first").Job, "its former home has it")
	elsewhere = failWith(cell.ErrMaybe)
	require.Equal(t, models.RequestUnknown, d.cancel("first").Outcome, "its former home gave no answer")
	elsewhere = failWith(cell.ErrNotOwner)
	require.NotContains(t, d.cancel("first").Error, "no such job", "its former home was not reached")
	require.NotContains(t, d.cancel("other").Error, "no such job", "its former home was not reached")
	elsewhere = failWith(cell.ErrNoJob)
	require.Equal(t, models.RequestNotRun, d.cancel("other").Outcome)
}
