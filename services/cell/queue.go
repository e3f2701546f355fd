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
	// virtual marks a task that has no record yet: it is derived from its job.
	virtual bool
}

// maxPlacements bounds the candidates of one cycle, so that a long queue doesn't delay answers.
const maxPlacements = 32

// admit returns the candidates of this cycle in order: services, then urgent tasks, then tasks of
// the team that uses the smallest share of its quota, then the longest queued. A job that found
// no place is skipped for skipTicks, so that it doesn't block other jobs.
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

// queue lists the waiting tasks: queued records, and the next task of each active job.
func (o *Owner) queue() []candidate {
	now := time.Now()
	var queue []candidate
	for _, t := range o.working.Tasks {
		if t.State == models.TaskQueued && !t.Foreign() && !o.isSkipped(string(t.ID), now) {
			queue = append(queue, candidate{task: t})
		}
	}
	for _, job := range o.working.Jobs {
		if job.State == models.JobActive && job.NextIndex < job.Tasks && !o.isSkipped(string(job.ID), now) {
			queue = append(queue, candidate{task: job.NewTask(job.NextIndex), virtual: true})
		}
	}
	return queue
}

// nextOfJob returns the job's task after the candidate; false when there is none.
func (o *Owner) nextOfJob(c candidate) (candidate, bool) {
	job := o.working.Jobs[c.task.Job]
	if !c.virtual || c.task.Index+1 >= job.Tasks {
		return candidate{}, false
	}
	return candidate{task: job.NewTask(c.task.Index + 1), virtual: true}, true
}

// firstWithinQuota returns the index of the first candidate, in the order of precedes, that its
// team's quota allows; -1 when there is none.
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

// precedes reports whether a starts before b.
func (o *Owner) precedes(a, b models.Task, usage map[models.TeamName]models.Resources) bool {
	order := cmp.Or(
		-compare.Bool(a.Kind == models.TaskService, b.Kind == models.TaskService),
		-compare.Bool(a.Urgent, b.Urgent),
		cmp.Compare(o.quotaShare(a.Team, usage), o.quotaShare(b.Team, usage)),
		cmp.Compare(a.QueuedAt, b.QueuedAt),
		cmp.Compare(a.ID, b.ID),
	)
	return order < 0
}

// quotaShare returns the fraction of its CPU quota that a team uses, or of unlimitedQuota for a team
// without a CPU quota.
func (o *Owner) quotaShare(team models.TeamName, usage map[models.TeamName]models.Resources) float64 {
	quota := o.config.View().Teams[team].Quota.CPU
	if quota == 0 {
		quota = unlimitedQuota
	}
	return float64(usage[team].CPU) / float64(quota)
}

// unlimitedQuota replaces the missing CPU quota of a team when shares are compared.
const unlimitedQuota models.MilliCPU = 1_000_000

// withinQuota reports whether usage is within the quota. A resource whose quota is 0 is not limited.
func withinQuota(usage, quota models.Resources) bool {
	return (quota.CPU == 0 || usage.CPU <= quota.CPU) &&
		(quota.Memory == 0 || usage.Memory <= quota.Memory) &&
		(quota.Accelerators == 0 || usage.Accelerators <= quota.Accelerators)
}

// teamUsage sums up the resources of the teams' batch tasks in all cells. The values of this cell are
// exact; those of other cells are as of their last heartbeats.
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
		if t.Kind == models.TaskBatch && (t.HoldsCapacity() || t.State == models.TaskOffered) {
			usage[t.Team] = usage[t.Team].Add(t.Size)
		}
	}
	return usage
}

// skipTicks is the number of ticks for which a job or task that found no place is skipped.
const skipTicks = 2

// skip excludes a candidate, or its whole job when virtual, from the queue for skipTicks.
func (o *Owner) skip(c candidate) {
	key := string(c.task.ID)
	if c.virtual {
		key = string(c.task.Job)
	}
	o.skippedUntil[key] = time.Now().Add(skipTicks * o.config.Settings.Tick)
}

func (o *Owner) isSkipped(key string, now time.Time) bool { return now.Before(o.skippedUntil[key]) }

// sortedLinks returns the VM ids of the links in order, so that choices don't depend on map order.
func (o *Owner) sortedLinks() []models.VMID { return slices.Sorted(maps.Keys(o.links)) }
