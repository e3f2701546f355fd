// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/interference"
	"rillsail.example/rillsail/services/place"
)

// CPU shares of batch tasks in percent. A batch task that slows down a service is throttled to
// halfShare, and then evicted; one that can't be evicted is throttled to minShare.
const (
	fullShare = 100
	halfShare = 50
	minShare  = 25
)

// relaxBelow is the fraction of their targets below which services must stay before throttled tasks
// get a larger share again.
const relaxBelow = 0.6

// maxEvictions is the number of evictions after which a batch task is only throttled, so that no
// task is evicted again and again without end.
const maxEvictions = 3

// processLatencies passes the latencies of a worker's report to the learner. It throttles or evicts
// a batch task when a service is over its target, and relaxes a throttled one when all services
// are well below theirs.
func (o *Owner) processLatencies(l *link) {
	neighbours, batch := o.runningBatch(l)
	worst, calm := o.observeServices(l, neighbours)
	if _, firstFit := o.policy.(place.FirstFit); firstFit {
		return
	}
	now := time.Now()
	if now.Sub(o.mitigatedAt[l.vm.ID]) < o.config.Settings.SettleAfter {
		return // the reported latencies were measured before the last action took effect
	}
	switch {
	case worst != nil:
		o.mitigate(l, *worst, neighbours, batch, now)
	case calm:
		o.raiseShare(l, now)
	}
}

// runningBatch lists the batch tasks that run on a worker according to its report, as the learner's
// neighbours and as tasks, in the same order.
func (o *Owner) runningBatch(l *link) ([]interference.Neighbour, []models.Task) {
	var neighbours []interference.Neighbour
	var batch []models.Task
	for _, r := range l.report.Attempts {
		t, ok := o.working.Tasks[r.Task]
		if !ok || t.Kind != models.TaskBatch || t.State != models.TaskRunning || t.Attempt != r.Attempt {
			continue
		}
		neighbours = append(neighbours, interference.Neighbour{Labels: t.Labels, Share: float64(l.shareOf(t.ID)) / fullShare})
		batch = append(batch, t)
	}
	return neighbours, batch
}

// observeServices passes the new latencies of the report to the learner. worst is the service
// furthest over its target, nil when none is; calm reports whether all are below relaxBelow of
// their targets.
func (o *Owner) observeServices(l *link, neighbours []interference.Neighbour) (worst *models.Task, calm bool) {
	worstRatio := 1.0
	calm = true
	for _, r := range l.report.Attempts {
		t, ok := o.working.Tasks[r.Task]
		target := o.targetOf(t)
		if !ok || t.Kind != models.TaskService || t.Attempt != r.Attempt || r.P99 == 0 || target == 0 {
			continue
		}
		if r.SampleNumber <= l.observed[r.AttemptRef] {
			continue // the measurement has already been handled
		}
		l.observed[r.AttemptRef] = r.SampleNumber
		if time.Since(o.neighboursChangedAt[l.vm.ID]) >= o.config.Settings.SettleAfter {
			o.config.Learner.Observe(interference.Sample{
				Service: t.Labels, Batch: neighbours, P99: r.P99.Duration(), Target: target.Duration(), At: time.Now(),
			})
		}
		ratio := float64(r.P99) / float64(target)
		calm = calm && ratio < relaxBelow
		if ratio > worstRatio {
			worst, worstRatio = &t, ratio
		}
	}
	return worst, calm
}

// mitigate throttles the first batch task in the yield order by one step, or evicts that task.
func (o *Owner) mitigate(l *link, service models.Task, neighbours []interference.Neighbour, batch []models.Task, now time.Time) {
	victim, ok := o.chooseVictim(service, neighbours, batch)
	if !ok {
		return
	}
	o.mitigatedAt[l.vm.ID] = now
	o.neighboursChangedAt[l.vm.ID] = now
	why := string(service.ID) + " is over its target"
	share := l.shareOf(victim.ID)
	canEvict := !victim.Unrepeatable && victim.Evictions < maxEvictions
	switch {
	case share > halfShare:
		o.throttle(l, victim, halfShare, why)
	case share > minShare && !canEvict:
		o.throttle(l, victim, minShare, why)
	case canEvict:
		l.setShare(victim.ID, fullShare)
		o.recordDecision(victim.ID, "evicted", l.vm.ID, why)
		o.step(victim.ID, models.EventEvict{Reason: why})
	}
}

func (o *Owner) throttle(l *link, t models.Task, share int, why string) {
	l.setShare(t.ID, share)
	o.counts.Throttles++
	o.config.Scope.Counter("throttles").Inc(1)
	o.recordDecision(t.ID, "throttled", l.vm.ID, why)
}

// chooseVictim chooses by the operators' yield order and, within one order, by the learned share of
// each task in the slowdown.
func (o *Owner) chooseVictim(service models.Task, neighbours []interference.Neighbour, batch []models.Task) (models.Task, bool) {
	var candidates []models.Task
	order := make([]int, len(batch))
	for i := range order {
		order[i] = i
	}
	if _, pairs := o.policy.(place.PairPrediction); pairs {
		order = o.config.Learner.RankByImpact(service.Labels, neighbours)
	}
	for _, i := range order {
		t := batch[i]
		spent := t.Unrepeatable || t.Evictions >= maxEvictions
		if spent && o.links[t.Worker].shareOf(t.ID) <= minShare {
			continue // the task can be neither throttled further nor evicted
		}
		candidates = append(candidates, t)
	}
	if len(candidates) == 0 {
		return models.Task{}, false
	}
	slices.SortStableFunc(candidates, func(a, b models.Task) int { return o.yieldOrder(a) - o.yieldOrder(b) })
	return candidates[0], true
}

// defaultYieldOrder is the yield order of tasks that no rule selects: they yield last.
const defaultYieldOrder = 1 << 20

func (o *Owner) yieldOrder(t models.Task) int {
	order := defaultYieldOrder
	for _, rule := range o.config.View().Rules {
		if rule.Kind == models.RuleYield && rule.Order < order && o.selectors.Matches(rule.Selector, t.Labels) {
			order = rule.Order
		}
	}
	return order
}

// raiseShare doubles the CPU share of one throttled task on a worker whose services are all well
// below their targets.
func (o *Owner) raiseShare(l *link, now time.Time) {
	for id, share := range l.shares {
		if share >= fullShare {
			continue
		}
		l.setShare(id, min(fullShare, share*2))
		o.mitigatedAt[l.vm.ID], o.neighboursChangedAt[l.vm.ID] = now, now
		o.recordDecision(id, "relaxed", l.vm.ID, "services there are well below their targets")
		return
	}
}

// overTarget reports whether a service on the worker was last reported over its target.
func (o *Owner) overTarget(l *link) bool {
	for _, r := range l.report.Attempts {
		t, ok := o.working.Tasks[r.Task]
		if target := o.targetOf(t); ok && t.Kind == models.TaskService && target > 0 && r.P99 > target {
			return true
		}
	}
	return false
}

// hasUnknownPair reports whether the worker runs a service and a batch task that were never measured
// together.
func (o *Owner) hasUnknownPair(w place.Worker) bool {
	for _, s := range w.Tasks {
		if s.Kind != models.TaskService {
			continue
		}
		for _, b := range w.Tasks {
			if b.Kind != models.TaskBatch {
				continue
			}
			if _, known := o.config.Learner.Slowdown(s.Labels, b.Labels); !known {
				return true
			}
		}
	}
	return false
}

// holdDuration is how long capacity that is freed by preemption is reserved for the preempting task.
const holdDuration = 30 * time.Second

// preempt evicts batch tasks so that a service or urgent task can be placed. It chooses the worker
// on which the fewest tasks must be evicted; false when no worker qualifies.
func (o *Owner) preempt(t models.Task, workers []place.Worker) bool {
	for _, h := range o.holds {
		if h.task == t.ID && time.Now().Before(h.until) {
			return true // preemption for the task is already under way
		}
	}
	var best []models.Task
	var worker models.VMID
	for _, w := range workers {
		if victims, ok := o.victims(t, w); ok && (worker == "" || len(victims) < len(best)) {
			best, worker = victims, w.VM.ID
		}
	}
	if worker == "" {
		return false
	}
	o.holds[worker] = hold{task: t.ID, until: time.Now().Add(holdDuration)}
	for _, v := range best {
		o.recordDecision(v.ID, "evicted", worker, "makes room for "+string(t.ID))
		o.step(v.ID, models.EventEvict{Reason: "made room for " + string(t.ID)})
	}
	return true
}

// victims lists the batch tasks to evict from a worker for t, in yield order; ok is false when t
// would not fit even then. Only services preempt urgent tasks.
func (o *Owner) victims(t models.Task, w place.Worker) (victims []models.Task, ok bool) {
	if !w.Usable || w.ReservedFor != "" || !t.Size.Fits(w.VM.Capacity) {
		return nil, false
	}
	candidates := slices.Clone(w.Tasks)
	slices.SortStableFunc(candidates, func(a, b models.Task) int { return o.yieldOrder(a) - o.yieldOrder(b) })
	free := w.Free
	for _, c := range candidates {
		if t.Size.Fits(free) {
			break
		}
		yields := c.Kind == models.TaskBatch && !c.Unrepeatable && c.Evictions < maxEvictions && (!c.Urgent || t.Kind == models.TaskService)
		if yields && (c.State == models.TaskRunning || c.State == models.TaskPlaced) {
			victims = append(victims, c)
			free = free.Add(c.Size)
		}
	}
	return victims, t.Size.Fits(free)
}

// drainWorkers evicts tasks from VMs that leave or are drained. Replicas whose home is this cell
// are left to reconcileReplica, which replaces them first. Replicas of other cells are returned
// to their home cells.
func (o *Owner) drainWorkers() {
	view := o.config.View()
	for _, t := range o.working.Tasks {
		l := o.links[t.Worker]
		if l == nil || !t.HoldsCapacity() || l.vm.State == models.VMLive && !view.Drained(t.Worker) {
			continue
		}
		if t.Unrepeatable || t.Kind == models.TaskService && !t.Foreign() {
			continue
		}
		if o.step(t.ID, models.EventEvict{Reason: "VM " + string(t.Worker) + " is leaving or drained"}) {
			o.recordDecision(t.ID, "evicted", t.Worker, "the VM is leaving or drained")
		}
	}
}

func (l *link) shareOf(id models.TaskID) int {
	if share, ok := l.shares[id]; ok {
		return share
	}
	return fullShare
}

func (l *link) setShare(id models.TaskID, share int) {
	if share >= fullShare {
		delete(l.shares, id)
	} else {
		l.shares[id] = share
	}
	l.setThrottle(l.shares)
}
