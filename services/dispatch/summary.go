// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Summary is a core's state in figures.
type Summary struct {
	Jobs       int  `json:"jobs"`       // active
	Waiting    int  `json:"waiting"`    // tasks ready to be placed
	Running    int  `json:"running"`    // tasks on workers, including starting and stopping ones
	OverTail   int  `json:"over_tail"`  // serving tasks whose tail latency is over its target
	Throttled  int  `json:"throttled"`  // filler tasks below full pace, but for those on standby
	Standby    int  `json:"standby"`    // filler tasks that stand at pace 0 until their turn comes
	Workers    int  `json:"workers"`    // known
	Usable     int  `json:"usable"`     // workers that may get new tasks
	Cordoned   int  `json:"cordoned"`   // workers in cordoned failure domains
	Unstored   int  `json:"unstored"`   // jobs with changes to be stored
	Recovering bool `json:"recovering"` // some tasks wait for workers that haven't reported since the takeover
	// RecoveryWait is what the recovery waits for; left out: nothing.
	RecoveryWait *RecoveryWait `json:"recovery_wait,omitempty"`
	// LeavingCapacity is how many of the waiting tasks leave free capacity to short work.
	LeavingCapacity int `json:"leaving_capacity"`
	// LongWaits sums up the tasks that wait for long, as of the last second; left out: none.
	LongWaits *LongWaits `json:"long_waits,omitempty"`
	// ReportAge is the median age of the reports of listed workers.
	ReportAge models.Milli `json:"report_age_ms"`
}

// Summary returns the core's state in figures.
func (c *Core) Summary(now time.Time) Summary {
	s := Summary{Jobs: len(c.jobs), Workers: len(c.sortedWorkers), Unstored: len(c.dirty), Recovering: c.recovering, RecoveryWait: c.recoveryWait(now)}
	s.LeavingCapacity, s.LongWaits = c.countLeavingCapacity(now), c.longWaits
	for _, step := range c.waitingSteps {
		s.Waiting += step.waiting
	}
	ages := make([]time.Duration, 0, len(c.sortedWorkers))
	for _, w := range c.sortedWorkers {
		if w.listed {
			ages = append(ages, now.Sub(w.reportedAt))
		}
		if c.usable(w, now) {
			s.Usable++
		}
		if w.cordoned {
			s.Cordoned++
		}
		s.Running += len(w.tasks)
		for _, t := range w.tasks {
			if t.step.spec.Serves() && t.figure > int(t.step.spec.Target) {
				s.OverTail++
			}
			switch {
			case t.standby:
				s.Standby++
			case t.step.spec.Filler && t.pace < jobs.FullSpeed:
				s.Throttled++
			}
		}
	}
	if len(ages) > 0 {
		slices.Sort(ages)
		s.ReportAge = models.MilliOf(ages[len(ages)/2])
	}
	return s
}

// WorkerState is the core's view of a worker.
type WorkerState struct {
	ID        jobs.WorkerID    `json:"id"`
	Born      models.UnixMilli `json:"born,omitempty"` // see jobs.Worker
	Listed    bool             `json:"listed"`
	Usable    bool             `json:"usable"`
	Cordoned  bool             `json:"cordoned,omitempty"` // its failure domain is cordoned
	Closed    closedReason     `json:"closed,omitempty"`   // why no task without losses may start there
	ReportAge models.Milli     `json:"report_age_ms"`
	Free      models.Resources `json:"free"`
	Load      float64          `json:"load"` // the highest of a serving task
	Tasks     []string         `json:"tasks,omitempty"`
}

// WorkerStates returns the core's view of all workers.
func (c *Core) WorkerStates(now time.Time) []WorkerState {
	list := make([]WorkerState, 0, len(c.sortedWorkers))
	for _, w := range c.sortedWorkers {
		state := WorkerState{
			ID: w.info.ID, Born: w.info.Born, Listed: w.listed, Usable: c.usable(w, now), Cordoned: w.cordoned, ReportAge: models.MilliOf(now.Sub(w.reportedAt)),
			Closed: c.closedReason(w, now), Free: w.free(), Load: w.maxLoad,
		}
		for _, t := range w.tasks {
			state.Tasks = append(state.Tasks, t.id().String())
		}
		list = append(list, state)
	}
	return list
}
