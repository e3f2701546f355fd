// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"rillsail.example/rillsail/models/jobs"
)

// Accepted tells the audit that the daemons have certainly accepted a job, which Expect has described. From now on the
// audit checks that the job makes progress.
func (g *Grid) Accepted(id jobs.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if spec, known := g.audit.specs[id]; known && g.audit.unfinished[id] == nil {
		g.audit.unfinished[id] = &unfinishedJob{spec: spec}
	}
}

// Cancelled tells the audit that a job is cancelled or may be: it need not make progress any more.
func (g *Grid) Cancelled(id jobs.ID) { g.forget(id) }

// Ended tells the audit that a daemon shows a job as ended: it need not make progress any more.
func (g *Grid) Ended(id jobs.ID) { g.forget(id) }

func (g *Grid) forget(id jobs.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.audit.unfinished, id)
}

// NoteFault tells the audit of a fault of daemons, store or connections that takes effect at this moment.
func (g *Grid) NoteFault() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.audit.noteFault()
}

// BeginFault tells the audit of a fault that lasts until EndFault is called with the same name.
func (g *Grid) BeginFault(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.audit.ongoingFaults[name] = true
	g.audit.noteFault()
}

// EndFault tells the audit that a fault of BeginFault has ended.
func (g *Grid) EndFault(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.audit.ongoingFaults, name)
	g.audit.noteFault()
}

// CheckProgress checks that accepted jobs make progress. It must be called at short, regular intervals, several times a
// second. Before it records a breach it asks hasEnded, which may call Grid, whether a daemon shows the job as ended.
func (g *Grid) CheckProgress(hasEnded func(jobs.ID) bool) {
	for _, w := range g.findOverdueWaits() {
		if hasEnded(w.task.Job) {
			g.Ended(w.task.Job)
			continue
		}
		g.reportIfStillOverdue(w)
	}
	g.checkRoomWaits(hasEnded)
}

// findOverdueWaits brings all waits up to date and returns those that are longer than allowed.
func (g *Grid) findOverdueWaits() []*wait {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteWorkerFaults()
	g.updateWaits()
	return g.overdueWaits()
}

// reportIfStillOverdue records the breach of a wait unless it has ended in the meantime.
func (g *Grid) reportIfStillOverdue(w *wait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	job := g.audit.unfinished[w.task.Job]
	if job == nil {
		return
	}
	key := waitKey(w.task, g.audit.step(w.task))
	if job.waits[key] == w && g.audit.isOverdue(w) {
		g.reportWait(w)
	}
}

// noteWorkerFaults notes a fault while any worker has faults or is missing in the list. A worker that is gone is a fault
// only when it goes.
func (g *Grid) noteWorkerFaults() {
	for _, id := range g.idsByPlace {
		if g.workers[id].gone {
			continue
		}
		if g.unlisted[id] || g.workers[id].faults != (Faults{}) {
			g.audit.noteFault()
		}
	}
}
