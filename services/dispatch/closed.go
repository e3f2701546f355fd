// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import "time"

// closedReason is why no new task may start on a worker; empty: tasks may start there.
type closedReason string

const (
	closedUnlisted    closedReason = "unlisted"      // the platform's list does not name this incarnation
	closedNotInRoster closedReason = "not_in_roster" // no stored roster names it
	closedDraining    closedReason = "draining"      // it drains, or its failure domain is cordoned
	closedNoLease     closedReason = "no_lease"      // its latest report answers a call that renewed no lease
	closedSilent      closedReason = "silent"        // it has not reported for silentAfter
	closedFailing     closedReason = "failing"       // the last runs of several jobs failed there
	closedPaused      closedReason = "paused"        // a start was refused, or not carried out, a moment ago
	closedStalled     closedReason = "stalled"       // its tasks make no progress
	closedStrays      closedReason = "strays"        // runs that should not be there have not ended yet
	closedTrial       closedReason = "trial"         // a suspect is on trial there
	closedReserved    closedReason = "reserved"      // a suspect waits for it
)

// unusableReason returns why nothing at all may start on a worker.
func (c *Core) unusableReason(w *worker, now time.Time) closedReason {
	switch {
	case !w.listed:
		return closedUnlisted
	case w.closedToStarts():
		return closedDraining
	case !w.inRoster:
		return closedNotInRoster
	case !w.renewed:
		return closedNoLease
	case now.Sub(w.reportedAt) >= silentAfter: // a start by itself is valid for no longer than maxStartAge
		return closedSilent
	case w.isFailing(now):
		return closedFailing
	case !now.After(w.noStartsUntil):
		return closedPaused
	case !now.After(w.stalledUntil):
		return closedStalled
	case len(w.strays) > 0:
		return closedStrays
	default:
		return ""
	}
}

// usable reports whether new tasks may start on the worker.
func (c *Core) usable(w *worker, now time.Time) bool { return c.unusableReason(w, now) == "" }

// closedReason returns why no task without losses may start on a worker, be there room or not.
func (c *Core) closedReason(w *worker, now time.Time) closedReason {
	reason := c.unusableReason(w, now)
	switch {
	case reason != "":
		return reason
	case w.trials > 0:
		return closedTrial
	case w.isReserved(now):
		return closedReserved
	default:
		return ""
	}
}
