// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package operate serves the operators' requests at any daemon: it determines the cells concerned, calls their owners
// and merges the answers.
//
// # Usage
//
//	service := operate.New(operate.Config{Cells: manager, Inventory: vms, …})
//	results := service.Submit(ctx, submission)
package operate

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/cell"
	"rillsail.example/rillsail/services/config"
	"rillsail.example/rillsail/services/entry"
	"rillsail.example/rillsail/services/inventory"
	"rillsail.example/rillsail/services/member"
)

// Cells calls the owners of cells; cell.Manager implements it.
type Cells interface {
	// Forward sends a call to the owner of a cell, which may be this daemon or a peer.
	Forward(ctx context.Context, call models.ForwardCall) (models.ForwardAnswer, error)
	// Cells returns the latest known state of all cells that have an owner.
	Cells() map[models.CellID]models.CellBeat
	// OwnedCells returns the cells that this daemon owns.
	OwnedCells() []models.CellID
}

// Config holds the services that operators' requests are served from.
type Config struct {
	Cells     Cells
	Inventory *inventory.Service
	Members   *member.Service
	View      func() *config.View
	Entry     *entry.Service
}

// Service serves operators' requests.
type Service struct {
	config        Config
	submissions   *callHistory
	cancellations *callHistory
}

// New returns a service with an empty call history.
func New(config Config) *Service {
	return &Service{config: config, submissions: newCallHistory(), cancellations: newCallHistory()}
}

// maxConcurrentCellCalls bounds the concurrent calls to cell owners per request.
const maxConcurrentCellCalls = 8

// errNoCells says that the daemon has not read the VM list or the cell map yet.
var errNoCells = errors.Mark(errors.New("not run: no cell is known yet; the VM list or the store has not been read; ask again in a few seconds"), cell.ErrNotOwner)

// Submit sends each job to the owner of its home cell. The results are in the order of the jobs; each says whether the
// job was accepted, was not run, or has an unknown outcome.
func (s *Service) Submit(ctx context.Context, submission models.Submission) models.JobResults {
	specs := map[models.JobID]models.JobSpec{}
	ids := make([]models.JobID, len(submission.Jobs))
	teams := s.config.View().Teams
	invalid := map[models.JobID]error{}
	for i, spec := range submission.Jobs {
		spec = teams[spec.Team].Jobs.ApplyTo(spec)
		ids[i], specs[spec.ID] = spec.ID, spec
		if err := spec.Check(); err != nil {
			invalid[spec.ID] = errors.Mark(errors.Wrapf(err, "not run: neither the job nor its team %s says so", spec.Team), cell.ErrInvalidJob)
		}
	}
	s.submissions.begin(slices.Collect(maps.Keys(specs)))
	outcomes := s.callHomes(ids, invalid, func(home models.CellID, ids []models.JobID) (models.ForwardAnswer, error) {
		call := models.ForwardCall{Cell: home}
		for _, id := range ids {
			call.Submit = append(call.Submit, specs[id])
		}
		return s.config.Cells.Forward(ctx, call)
	})
	for id, result := range outcomes {
		outcomes[id] = s.submissions.end(id, result)
	}
	return inOrder(ids, outcomes)
}

// Cancel sends each cancellation to the owner of the job's home cell, and to the owners of all other cells if the job is
// not found there: the home cell may have been another one before cells were added.
func (s *Service) Cancel(ctx context.Context, cancellation models.Cancellation) models.JobResults {
	ids := slices.Compact(slices.Sorted(slices.Values(cancellation.Jobs)))
	s.cancellations.begin(ids)
	call := func(cell models.CellID, ids []models.JobID) (models.ForwardAnswer, error) {
		return s.config.Cells.Forward(ctx, models.ForwardCall{Cell: cell, Cancel: ids})
	}
	outcomes := s.callHomes(ids, nil, call)
	s.callOtherCells(outcomes, call)
	for id, result := range outcomes {
		outcomes[id] = s.checkSubmissions(id, s.cancellations.end(id, result))
	}
	return inOrder(cancellation.Jobs, outcomes)
}

// callOtherCells calls the owners of all other cells for the jobs that were not found in their home cells. No cell knows
// the jobs of another, so a job does not exist only if every cell says that it was not found.
func (s *Service) callOtherCells(outcomes map[models.JobID]outcome, do cellCall) {
	cells := s.config.Inventory.Cells()
	groups := map[models.CellID][]models.JobID{}
	for id, result := range outcomes {
		home, _ := cell.JobHome(id, cells)
		if !isJobNotFound(result) {
			continue
		}
		for other := range cells.Cells {
			if other != home {
				groups[other] = append(groups[other], id)
			}
		}
	}
	for id, others := range callCells(groups, do) {
		for _, result := range others {
			outcomes[id] = combine(outcomes[id], result)
		}
	}
}

// checkSubmissions turns the outcome that a job was not found into an unknown one while a submission of the job through
// this daemon may still take effect.
func (s *Service) checkSubmissions(id models.JobID, result outcome) outcome {
	if isJobNotFound(result) && s.submissions.mayBeAccepted(id) {
		return unknown{"unknown: a submission of this job may still be done; it isn't there yet"}
	}
	return result
}

// cellCall calls the owner of a cell with a group of jobs.
type cellCall func(models.CellID, []models.JobID) (models.ForwardAnswer, error)

// callHomes groups the jobs by home cell and makes one call for each group. Invalid jobs are refused without a call.
func (s *Service) callHomes(ids []models.JobID, invalid map[models.JobID]error, do cellCall) map[models.JobID]outcome {
	cells := s.config.Inventory.Cells()
	groups := map[models.CellID][]models.JobID{}
	outcomes := map[models.JobID]outcome{}
	for _, id := range ids {
		home, ok := cell.JobHome(id, cells)
		switch err := invalid[id]; {
		case err != nil:
			outcomes[id] = outcomeOfError(err)
		case !ok:
			outcomes[id] = outcomeOfError(errNoCells)
		default:
			groups[home] = append(groups[home], id)
		}
	}
	for id, results := range callCells(groups, do) {
		outcomes[id] = results[0]
	}
	return outcomes
}

// callCells makes one call for each group of jobs, and returns the outcomes of all calls by job.
func callCells(groups map[models.CellID][]models.JobID, do cellCall) map[models.JobID][]outcome {
	outcomes := map[models.JobID][]outcome{}
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(maxConcurrentCellCalls)
	for cell, group := range groups {
		calls.Go(func() {
			answer, err := do(cell, group)
			mu.Lock()
			defer mu.Unlock()
			for _, id := range group {
				outcomes[id] = append(outcomes[id], outcomeOf(id, answer, err))
			}
		})
	}
	calls.Wait()
	return outcomes
}

func inOrder(ids []models.JobID, outcomes map[models.JobID]outcome) models.JobResults {
	var ordered models.JobResults
	for _, id := range ids {
		ordered.Results = append(ordered.Results, resultOf(id, outcomes[id]))
	}
	return ordered
}

// List calls the owners of all cells and merges their answers. Missing names the cells that did not answer.
func (s *Service) List(ctx context.Context, call models.ForwardCall) models.Listing {
	cells := slices.Sorted(maps.Keys(s.config.Inventory.Cells().Cells))
	var mu sync.Mutex
	listing := models.Listing{Missing: map[models.CellID]string{}}
	if len(cells) == 0 { // an empty listing would say that nothing exists
		listing.Missing[models.UnknownCells] = errNoCells.Error()
	}
	calls := pool.New().WithMaxGoroutines(maxConcurrentCellCalls)
	for _, id := range cells {
		calls.Go(func() {
			call := call
			call.Cell = id
			answer, err := s.config.Cells.Forward(ctx, call)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				listing.Missing[id] = err.Error()
				return
			}
			listing.Jobs = append(listing.Jobs, answer.Jobs...)
			listing.Tasks = append(listing.Tasks, answer.Tasks...)
			listing.Workers = append(listing.Workers, answer.Workers...)
			listing.Decisions = append(listing.Decisions, answer.Decisions...)
		})
	}
	calls.Wait()
	sortListing(&listing)
	return listing
}

func sortListing(l *models.Listing) {
	slices.SortFunc(l.Jobs, func(a, b models.Job) int {
		return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), strings.Compare(string(a.ID), string(b.ID)))
	})
	slices.SortFunc(l.Tasks, func(a, b models.Task) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(l.Workers, func(a, b models.WorkerStatus) int { return strings.Compare(string(a.VM), string(b.VM)) })
	slices.SortFunc(l.Decisions, func(a, b models.Decision) int { return cmp.Compare(a.At, b.At) })
}

// Refusals returns the latest requests that this daemon refused.
func (s *Service) Refusals() []models.RequestRefusal { return s.config.Entry.Refusals() }

// Status summarizes this daemon and what it knows of the other members.
func (s *Service) Status() models.Status {
	members := s.config.Members
	status := models.Status{
		Self: members.Self(), Revision: s.config.View().Revision(), Upstreams: s.config.Entry.Upstreams(),
		Metrics: map[string]float64{"requests_in_flight": float64(s.config.Entry.InFlight())},
	}
	status.Members = append(status.Members, models.MemberStatus{
		Member: status.Self, Revision: status.Revision, Cells: len(s.config.Cells.OwnedCells()), State: memberState(status.Self, true),
	})
	dump := members.Dump()
	for _, beat := range dump.Members {
		status.Members = append(status.Members, models.MemberStatus{
			Member: beat.Member, Revision: beat.Revision, Cells: len(beat.Cells), Waiting: beat.Waiting, State: memberState(beat.Member, true),
		})
	}
	for _, m := range dump.Silent {
		status.Members = append(status.Members, models.MemberStatus{Member: m, State: memberState(m, false)})
	}
	slices.SortFunc(status.Members, func(a, b models.MemberStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	status.Cells = s.cellStatus()
	return status
}

func memberState(m models.Member, live bool) string {
	switch {
	case !live:
		return "silent"
	case m.Leaving:
		return "leaving"
	default:
		return "live"
	}
}

func (s *Service) cellStatus() []models.CellStatus {
	cells := s.config.Inventory.Cells()
	beats := s.config.Cells.Cells()
	own := s.config.Cells.OwnedCells()
	var statuses []models.CellStatus
	for _, id := range slices.Sorted(maps.Keys(cells.Cells)) {
		status := models.CellStatus{Cell: id, Domain: cells.Cells[id]}
		if beat, ok := beats[id]; ok {
			status.Epoch, status.Free, status.Waiting = beat.Epoch, beat.Free, beat.Waiting
		}
		if slices.Contains(own, id) {
			status.Owner = s.config.Members.Self().ID
		} else if owner, _, ok := s.config.Members.OwnerOf(id); ok {
			status.Owner = owner.ID
		}
		statuses = append(statuses, status)
	}
	return statuses
}
