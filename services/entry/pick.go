// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import "math/rand/v2"

// Picker selects an upstream. The set is closed: Random, LeastLoaded, TwoChoices and
// Divided; docs/design/routing.md compares them.
type Picker interface {
	// pick returns an upstream with a free slot, or nil. The candidates serve the class
	// and are healthy.
	pick(candidates []*upstream) *upstream
}

type (
	// Random picks any upstream at which this daemon's own requests occupy fewer than all slots.
	Random struct{}
	// LeastLoaded picks the upstream at which this daemon has the fewest requests in flight.
	LeastLoaded struct{}
	// TwoChoices picks the less loaded of two random upstreams, including the load in the peers' heartbeats.
	TwoChoices struct{}
	// Divided uses this daemon's share of each upstream's slots. Only when its own shares are
	// used up does it borrow slots that peers have left unused for some time.
	Divided struct{}
)

func newPicker(name string) Picker {
	switch name {
	case "random":
		return Random{}
	case "least-loaded":
		return LeastLoaded{}
	case "two-choices":
		return TwoChoices{}
	default:
		return Divided{}
	}
}

func (Random) pick(candidates []*upstream) *upstream {
	start := rand.IntN(len(candidates) + 1)
	for i := range candidates {
		u := candidates[(start+i)%len(candidates)]
		if u.ownInFlight < u.vm.Slots {
			return u
		}
	}
	return nil
}

func (LeastLoaded) pick(candidates []*upstream) *upstream {
	return lowestCost(candidates, func(u *upstream) (float64, bool) {
		return float64(u.ownInFlight), u.ownInFlight < u.vm.Slots
	})
}

// twoChoiceTries is the number of pairs drawn before the request has to wait.
const twoChoiceTries = 4

func (TwoChoices) pick(candidates []*upstream) *upstream {
	if len(candidates) == 0 {
		return nil
	}
	for range twoChoiceTries {
		a := candidates[rand.IntN(len(candidates))]
		b := candidates[rand.IntN(len(candidates))]
		if b.estimatedInFlight() < a.estimatedInFlight() {
			a = b
		}
		if a.estimatedInFlight() < float64(a.vm.Slots) {
			return a
		}
	}
	return nil
}

// estimatedInFlight is this daemon's requests in flight plus the load that peers have reported.
func (u *upstream) estimatedInFlight() float64 { return float64(u.ownInFlight) + u.peerLoad }

func (Divided) pick(candidates []*upstream) *upstream {
	own := lowestCost(candidates, func(u *upstream) (float64, bool) {
		return expectedWait(u), u.ownInFlight < u.share
	})
	if own != nil {
		return own
	}
	return lowestCost(candidates, func(u *upstream) (float64, bool) {
		return expectedWait(u), u.ownInFlight < u.share+u.borrowable
	})
}

// expectedWait is a cost that grows with this daemon's requests in flight at the upstream and
// with the upstream's latency.
func expectedWait(u *upstream) float64 {
	return float64(u.ownInFlight+1) * max(u.latency.value, minLatency)
}

// minLatency, in seconds, keeps upstreams without a measured latency comparable.
const minLatency = 0.0005

// lowestCost returns the allowed candidate with the lowest cost, or nil; ties are broken at random.
func lowestCost(candidates []*upstream, cost func(*upstream) (float64, bool)) *upstream {
	var best *upstream
	lowest, ties := 0.0, 0
	for _, u := range candidates {
		c, allowed := cost(u)
		switch {
		case !allowed:
		case best == nil || c < lowest:
			best, lowest, ties = u, c, 1
		case c == lowest:
			ties++
			if rand.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}
