// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/compare"
)

// candidate is a task that may start next.
type candidate struct {
	task models.Task
	// virtual tells that the task has no record yet: it is the next of its job.
	virtual bool
}

// maxPlacements bounds the decisions of one cycle, so that answers are not kept
// waiting by a long queue.
const maxPlacements = 32

// admit gives the candidates of this cycle in order: services, then urgent tasks,
// then the team that uses the least of its quota, then age. A job that did not fit
// a moment ago is passed over for a while, so that it doesn't block the rest.
func (o *Owner) admit() []candidate {
	queue := o.queue()
	if len(queue) == 0 {
		return nil
	}
	usage := o.teamUsage()
	var admitted []candidate
	for len(admitted) < maxPlacements && len(queue) > 0 {
		best := o.firstWithinQuota(queue, usage)
		if best < 0 {
			break
		}
		c := queue[best]
		admitted = append(admitted, c)
		if c.task.Kind == models.TaskBatch {
			usage[c.task.Team] = usage[c.task.Team].Add(c.task.Size)
		}
		if following, ok := o.nextOfJob(c); ok {
			queue[best] = following
		} else {
			queue = slices.Delete(queue, best, best+1)
		}
	}
	return admitted
}

// queue lists all that waits: queued records, and the next task of each job.
func (o *Owner) queue() []candidate {
	now := time.Now()
	var queue []candidate
	for _, t := range o.working.Tasks {
		if t.State == models.TaskQueued && !t.Foreign() && !o.isSkipped(string(t.ID), now) {
			queue = append(queue, candidate{task: t})
		}
	}
	for _, job := range o.working.Jobs {
		if job.State == models.JobActive && job.Next < job.Tasks && !o.isSkipped(string(job.ID), now) {
			queue = append(queue, candidate{task: job.NewTask(job.Next), virtual: true})
		}
	}
	return queue
}

// nextOfJob is the job's task after the candidate.
func (o *Owner) nextOfJob(c candidate) (candidate, bool) {
	job := o.working.Jobs[c.task.Job]
	if !c.virtual || c.task.Index+1 >= job.Tasks {
		return candidate{}, false
	}
	return candidate{task: job.NewTask(c.task.Index + 1), virtual: true}, true
}

// firstWithinQuota finds the first of the queue that its team's quota allows; -1 when none is.
func (o *Owner) firstWithinQuota(queue []candidate, usage map[models.TeamName]models.Resources) int {
	view := o.config.View()
	best := -1
	for i, c := range queue {
		team := view.Teams[c.task.Team]
		if c.task.Kind == models.TaskBatch && !withinQuota(usage[c.task.Team].Add(c.task.Size), team.Quota) {
			o.recordDecision(c.task.ID, "waits", "", "team "+string(c.task.Team)+" has used up its quota")
			continue
		}
		if best < 0 || o.precedes(c.task, queue[best].task, usage) {
			best = i
		}
	}
	return best
}

// precedes tells whether a is to start before b.
func (o *Owner) precedes(a, b models.Task, usage map[models.TeamName]models.Resources) bool {
	order := cmp.Or(
		-compare.Bool(a.Kind == models.TaskService, b.Kind == models.TaskService),
		-compare.Bool(a.Urgent, b.Urgent),
		cmp.Compare(o.quotaShare(a.Team, usage), o.quotaShare(b.Team, usage)),
		cmp.Compare(a.Queued, b.Queued),
		cmp.Compare(a.ID, b.ID),
	)
	return order < 0
}

// quotaShare is the part of its quota a team uses, or the processors it uses for a
// team without.
func (o *Owner) quotaShare(team models.TeamName, usage map[models.TeamName]models.Resources) float64 {
	quota := o.config.View().Teams[team].Quota.CPU
	if quota == 0 {
		quota = unlimitedQuota
	}
	return float64(usage[team].CPU) / float64(quota)
}

// unlimitedQuota stands for the quota of a team without one when shares are compared.
const unlimitedQuota models.MilliCPU = 1_000_000

// withinQuota tells whether usage is within the parts of the quota that are set.
func withinQuota(usage, quota models.Resources) bool {
	return (quota.CPU == 0 || usage.CPU <= quota.CPU) &&
		(quota.Memory == 0 || usage.Memory <= quota.Memory) &&
		(quota.Accelerators == 0 || usage.Accelerators <= quota.Accelerators)
}

// teamUsage sums up what teams' batch tasks use in all cells: exactly here, as of
// the last heartbeats elsewhere.
func (o *Owner) teamUsage() map[models.TeamName]models.Resources {
	usage := o.localUsage()
	for cell, beat := range o.config.Peers.Cells() {
		if cell == o.config.Cell {
			continue
		}
		for team, used := range beat.Teams {
			usage[team] = usage[team].Add(used)
		}
	}
	return usage
}

func (o *Owner) localUsage() map[models.TeamName]models.Resources {
	usage := map[models.TeamName]models.Resources{}
	for _, t := range o.working.Tasks {
		if t.Kind == models.TaskBatch && (t.HoldsRoom() || t.State == models.TaskOffered) {
			usage[t.Team] = usage[t.Team].Add(t.Size)
		}
	}
	return usage
}

// skipTicks is for how many ticks a job or task that fits nowhere is passed over.
const skipTicks = 2

// skip passes over what did not fit for a while.
func (o *Owner) skip(c candidate) {
	key := string(c.task.ID)
	if c.virtual {
		key = string(c.task.Job)
	}
	o.skippedUntil[key] = time.Now().Add(skipTicks * o.config.Settings.Tick)
}

func (o *Owner) isSkipped(key string, now time.Time) bool { return now.Before(o.skippedUntil[key]) }

// sortedLinks gives the workers by id, so that choices don't depend on map order.
func (o *Owner) sortedLinks() []models.VMID { return slices.Sorted(maps.Keys(o.links)) }
