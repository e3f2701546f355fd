// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import "math/rand/v2"

// Picker chooses among upstreams. The set is closed: Random, LeastLoaded,
// TwoChoices and Divided; docs/design/routing.md weighs them.
type Picker interface {
	// pick gives an upstream with a free slot, or nil. The candidates serve the class
	// and are healthy.
	pick(candidates []*upstream) *upstream
}

type (
	// Random takes any upstream on which this daemon uses fewer than all slots.
	Random struct{}
	// LeastLoaded takes the one on which this daemon has the least in flight.
	LeastLoaded struct{}
	// TwoChoices takes the less loaded of two, counting what peers have told.
	TwoChoices struct{}
	// Divided keeps to this daemon's share of each upstream's slots, and borrows what
	// peers have not used for a while only when its own share is used up.
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

// twoChoiceTries is how many pairs are drawn before the request waits.
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

// estimatedInFlight is what is known to be in flight at the upstream, of all daemons.
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

// expectedWait grows with what is in flight there and with how slow it has been.
func expectedWait(u *upstream) float64 {
	return float64(u.ownInFlight+1) * max(u.latency.value, minLatency)
}

// minLatency keeps upstreams that were never measured comparable, in seconds.
const minLatency = 0.0005

// lowestCost gives the allowed candidate with the lowest cost; equal ones are drawn.
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
