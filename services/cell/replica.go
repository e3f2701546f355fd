// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/rendezvous"
	"rillsail.example/rillsail/services/config"
)

// replicaHomes assigns home cells to replicas. The replicas of a service are distributed round-robin
// over the failure domains; within a domain, rendezvous hashing chooses the cell.
type replicaHomes struct {
	domains []models.FailureDomain
	cells   map[models.FailureDomain][]models.CellID
}

func newReplicaHomes(m models.CellMap) replicaHomes {
	h := replicaHomes{cells: map[models.FailureDomain][]models.CellID{}}
	for _, cell := range slices.Sorted(maps.Keys(m.Cells)) {
		domain := m.Cells[cell]
		h.cells[domain] = append(h.cells[domain], cell)
	}
	h.domains = slices.Sorted(maps.Keys(h.cells))
	return h
}

// of returns the home of each replica of a service, by replica number; nil when there are no cells.
func (h replicaHomes) of(service models.Service) []models.CellID {
	if len(h.domains) == 0 {
		return nil
	}
	order := rendezvous.Order(string(service.Name), h.domains)
	homes := make([]models.CellID, service.Replicas)
	for replica := range homes {
		domain := order[replica%len(order)]
		homes[replica], _ = rendezvous.First(replicaKey(service.Name, replica), h.cells[domain])
	}
	return homes
}

// JobHome returns the home cell of a job; false when there are no cells.
func JobHome(job models.JobID, cells models.CellMap) (models.CellID, bool) {
	return rendezvous.First(string(job), slices.Sorted(maps.Keys(cells.Cells)))
}

// replicaKey is the key of a replica in CellState.Generations.
func replicaKey(service models.ServiceName, replica int) string {
	return fmt.Sprintf("%s/%d", service, replica)
}

// reconcileServices creates and retires the replicas whose home is this cell as the configuration
// requires. At revision 0 no configuration has been read yet, and nothing is done: the empty
// configuration would retire all replicas.
func (o *Owner) reconcileServices() {
	view := o.config.View()
	if view.Revision() == 0 {
		return
	}
	present := o.replicasByKey()
	for _, r := range o.homedReplicas(view) {
		o.reconcileReplica(view.Services[r.service], r.replica, present[r.key])
		delete(present, r.key)
	}
	for _, tasks := range present {
		for _, t := range tasks {
			o.step(t.ID, models.EventCancel{Reason: "the configuration has no such replica here"})
		}
	}
	o.relabelForeign()
}

// homedReplica is a replica whose home is this cell.
type homedReplica struct {
	service models.ServiceName
	replica int
	key     string
}

// homeCache holds the replicas whose home is this cell, as computed for one revision of the
// configuration and one number of cells. Hashing all replicas over all cells is repeated only
// when either has changed.
type homeCache struct {
	revision models.Revision
	cells    int
	replicas []homedReplica
}

func (o *Owner) homedReplicas(view *config.View) []homedReplica {
	cells := o.config.Inventory.Cells()
	if o.homeCache.revision == view.Revision() && o.homeCache.cells == len(cells.Cells) {
		return o.homeCache.replicas
	}
	o.homeCache = homeCache{revision: view.Revision(), cells: len(cells.Cells)}
	homes := newReplicaHomes(cells)
	for _, service := range view.Services {
		for replica, home := range homes.of(service) {
			if home == o.config.Cell {
				o.homeCache.replicas = append(o.homeCache.replicas, homedReplica{service.Name, replica, replicaKey(service.Name, replica)})
			}
		}
	}
	return o.homeCache.replicas
}

// replicasByKey groups the records of replicas whose home is this cell, the oldest generation first.
func (o *Owner) replicasByKey() map[string][]models.Task {
	present := map[string][]models.Task{}
	for _, t := range o.working.Tasks {
		if t.Kind == models.TaskService && !t.Foreign() {
			key := replicaKey(t.Service, t.Replica)
			present[key] = append(present[key], t)
		}
	}
	for _, tasks := range present {
		slices.SortFunc(tasks, func(a, b models.Task) int { return a.Generation - b.Generation })
	}
	return present
}

// reconcileReplica ensures that one replica has a healthy task. A task that is lost, on a drained VM
// or of an outdated size is first replaced, and retired once its replacement runs; a lost task is
// stopped as soon as its worker answers.
func (o *Owner) reconcileReplica(service models.Service, replica int, tasks []models.Task) {
	var healthy []models.Task
	for _, t := range tasks {
		t = o.relabel(t, service)
		if !t.Cancelled && o.replicaHealthy(t, service) {
			healthy = append(healthy, t)
		}
	}
	if len(healthy) == 0 {
		o.newReplica(service, replica)
		return
	}
	keep := healthy[0]
	if keep.State != models.TaskRunning && keep.State != models.TaskMoved {
		return // the replacement doesn't run yet, so the old tasks continue
	}
	for _, t := range tasks {
		if t.ID != keep.ID {
			o.step(t.ID, models.EventCancel{Reason: "replaced by " + string(keep.ID)})
		}
	}
}

func (o *Owner) replicaHealthy(t models.Task, service models.Service) bool {
	if t.State == models.TaskLost || t.Size != service.Size {
		return false
	}
	if !t.HoldsCapacity() {
		return true
	}
	l := o.links[t.Worker]
	return l != nil && l.vm.State == models.VMLive && !o.config.View().Drained(t.Worker)
}

func (o *Owner) newReplica(service models.Service, replica int) {
	key := replicaKey(service.Name, replica)
	generation := o.working.Generations[key] + 1
	o.working.Generations[key] = generation
	o.dirty.generations[key] = true
	t := models.Task{
		ID:   models.ReplicaTaskID(service.Name, replica, generation),
		Kind: models.TaskService, Service: service.Name, Replica: replica, Generation: generation,
		Team: service.Team, Labels: service.Labels, Size: service.Size,
		QueuedAt: models.UnixMilliOf(time.Now()), State: models.TaskQueued,
	}
	o.putTask(t)
	o.recordDecision(t.ID, "created", "", "the configuration asks for replica "+key)
}

// relabel applies changed service labels to a task without restarting it.
func (o *Owner) relabel(t models.Task, service models.Service) models.Task {
	if !maps.Equal(t.Labels, service.Labels) && !t.Ended() {
		t.Labels = service.Labels
		o.putTask(t)
	}
	return t
}

func (o *Owner) relabelForeign() {
	services := o.config.View().Services
	for _, t := range o.working.Tasks {
		if service, ok := services[t.Service]; ok && t.Foreign() && t.Kind == models.TaskService {
			o.relabel(t, service)
		}
	}
}
