// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"time"

	"rillsail.example/rillsail/models"
)

// keptDecisions bounds what an owner remembers for operators.
const keptDecisions = 512

// decisions is a ring of the latest decisions with their reasons.
type decisions struct {
	ring []models.Decision
	next int
	last map[models.TaskID]models.Decision
}

// decide notes a decision, unless it only repeats the task's last one.
func (o *Owner) decide(task models.TaskID, action string, worker models.VMID, reason string) {
	o.decisions.add(models.Decision{
		At: models.UnixMilliOf(time.Now()), Task: task, Action: action, Worker: worker, Reason: reason,
	})
}

func (d *decisions) add(decision models.Decision) {
	if d.last == nil {
		d.last = map[models.TaskID]models.Decision{}
	}
	if before, ok := d.last[decision.Task]; ok && before.Action == decision.Action &&
		before.Reason == decision.Reason && before.Worker == decision.Worker {
		return
	}
	if len(d.ring) < keptDecisions {
		d.ring = append(d.ring, decision)
	} else {
		if gone := d.ring[d.next]; d.last[gone.Task] == gone {
			delete(d.last, gone.Task)
		}
		d.ring[d.next] = decision
	}
	d.next = (d.next + 1) % keptDecisions
	d.last[decision.Task] = decision
}

// all gives the decisions, the oldest first.
func (d *decisions) all() []models.Decision {
	if len(d.ring) < keptDecisions {
		return append([]models.Decision(nil), d.ring...)
	}
	return append(append([]models.Decision(nil), d.ring[d.next:]...), d.ring[:d.next]...)
}

func (d *decisions) of(task models.TaskID) []models.Decision {
	var found []models.Decision
	for _, decision := range d.all() {
		if decision.Task == task {
			found = append(found, decision)
		}
	}
	return found
}
