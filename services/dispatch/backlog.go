// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Above capacity some jobs end late in any order. In the order of their deadlines nearly all do, each by a little: a wide
// job starts some of its tasks at once and the others many seconds later, behind the tasks of other jobs, and what it has
// used until then serves nobody. So the jobs of which the smallest part is left go first: what has begun is finished, and
// large jobs count as much as small ones. Those that have not begun follow in an order drawn from their ids. It is
// the same in each decision and for each owner, so that the capacity goes to some of them whole; the others wait until
// there is capacity to spare, and jobs that have waited too long get a share of the starts. Between queues of one
// priority the deadlines decide.

const (
	// startedShare is the part of its work that a started task is assumed to have done.
	startedShare = 0.5
	// drawnSpread is by how much the order drawn from the ids outweighs the part that is left.
	drawnSpread = 0.5
)

// workOf returns the work of some of the step's tasks by their estimates, in thousandths of a core times milliseconds.
func (s *step) workOf(tasks float64) float64 {
	return tasks * float64(s.spec.Estimate) * float64(s.spec.Size.CPU)
}

// partLeft returns the part of its occurrence's work that the step's job still needs.
func (s *step) partLeft() float64 {
	whole, left := 0.0, 0.0
	for _, each := range s.occurrence.steps {
		whole += each.workOf(float64(len(each.tasks)))
		notDone := float64(len(each.tasks) - each.done)
		if each.opened {
			notDone -= startedShare * float64(len(each.tasks)-each.done-each.waiting-each.standby)
		}
		left += each.workOf(notDone)
	}
	if whole == 0 {
		return 1
	}
	return left / whole
}

// cost returns the place of the step in a backlog; the lowest is first.
func (s *step) cost() float64 { return s.partLeft() * (1 + drawnSpread*s.job.drawn) }

// drawnFrom returns a number from 0 to 1 that an id yields, evenly distributed.
func drawnFrom(id jobs.ID) float64 {
	return float64(xxhash.Sum64String(string(id))) / math.MaxUint64
}

// queuePlace identifies the steps of one queue that compete by their cost.
type queuePlace struct {
	queue    jobs.QueueName
	priority int
	rank     rank
}

// assignTurns hands the deadlines of each queue's short steps out to these steps in the order of their cost. So the
// deadlines decide between queues, and the cost decides within each.
func assignTurns(candidates []candidate) {
	queues := map[queuePlace][]*candidate{}
	for i := range candidates {
		if each := &candidates[i]; each.isShort() {
			place := queuePlace{each.step.job.spec.Queue, each.priority, each.rank}
			queues[place] = append(queues[place], each)
		}
	}
	for _, steps := range queues {
		deadlines := make([]models.UnixMilli, 0, len(steps))
		for _, each := range steps {
			deadlines = append(deadlines, each.due)
		}
		slices.Sort(deadlines)
		slices.SortFunc(steps, func(a, b *candidate) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.due, b.due)) })
		for i, each := range steps {
			each.turn = deadlines[i]
		}
	}
}

const (
	// overdueAfter is how long past its objective a job is overdue: it has lost its turn to other jobs for so long that
	// it would wait for ever under lasting overload.
	overdueAfter = 30_000 // milliseconds
	// overdueShare is the share of the starts that overdue jobs get before all others.
	overdueShare = 0.1
	// maxOverdueCredit bounds the starts that overdue jobs save up while there are none.
	maxOverdueCredit = 50
)

// isOverdue reports whether a job with such an urgency is overdue. Long-running tasks have their own bound, see
// longRunningYield.
func (u urgency) isOverdue(now models.UnixMilli) bool {
	return u.isShort() && now > u.due+overdueAfter
}

// placeOverdue starts tasks of overdue jobs as far as their share of the starts allows, the most overdue first.
func (c *Core) placeOverdue(candidates []candidate, now time.Time) {
	at := c.timeOfDay(now)
	var overdue []candidate
	for _, each := range candidates {
		if each.isOverdue(at) {
			overdue = append(overdue, each)
		}
	}
	slices.SortStableFunc(overdue, func(a, b candidate) int { return cmp.Compare(a.due, b.due) })
	for _, each := range overdue {
		allowed := min(c.startsLeft, int(c.overdueCredit))
		if allowed <= 0 {
			return
		}
		withheld := c.startsLeft - allowed
		c.startsLeft = allowed
		c.serveStep(each.step, now)
		c.overdueCredit -= float64(allowed - c.startsLeft)
		c.startsLeft += withheld
	}
}

// addOverdueCredit gives overdue jobs their share of a start.
func (c *Core) addOverdueCredit() {
	c.overdueCredit = min(maxOverdueCredit, c.overdueCredit+overdueShare)
}
