// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/ring"
)

// maxDecisions bounds the decisions that an owner keeps for operators.
const maxDecisions = 512

// decisions holds the latest decisions with their reasons.
type decisions struct {
	latest     *ring.Ring[models.Decision]
	lastByTask map[models.TaskID]models.Decision // last decision of each task, while it is in latest
}

func newDecisions() decisions {
	return decisions{latest: ring.New[models.Decision](maxDecisions), lastByTask: map[models.TaskID]models.Decision{}}
}

// recordDecision records a decision, unless it repeats the task's last one.
func (o *Owner) recordDecision(task models.TaskID, action string, worker models.VMID, reason string) {
	o.decisions.add(models.Decision{
		At: models.UnixMilliOf(time.Now()), Task: task, Action: action, Worker: worker, Reason: reason,
	})
}

func (d *decisions) add(decision models.Decision) {
	if before, ok := d.lastByTask[decision.Task]; ok && before.Action == decision.Action &&
		before.Reason == decision.Reason && before.Worker == decision.Worker {
		return
	}
	if replaced, full := d.latest.Add(decision); full && d.lastByTask[replaced.Task] == replaced {
		delete(d.lastByTask, replaced.Task)
	}
	d.lastByTask[decision.Task] = decision
}

// all returns the decisions, the oldest first.
func (d *decisions) all() []models.Decision { return d.latest.All() }

func (d *decisions) of(task models.TaskID) []models.Decision {
	var found []models.Decision
	for _, decision := range d.all() {
		if decision.Task == task {
			found = append(found, decision)
		}
	}
	return found
}
