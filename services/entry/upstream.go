// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"math"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/rendezvous"
	"rillsail.example/rillsail/modules/selector"
)

// upstream is what this daemon knows of an upstream; the gate's lock guards it.
type upstream struct {
	vm      models.VM
	labels  map[string]string
	drained bool

	ownInFlight int         // requests of this daemon in flight there
	ownLoad     loadAverage // their number over the last while
	peerLoad    float64     // the peers' numbers over the last while, as last told
	peerSpare   float64     // what peers that have no one waiting leave of their shares
	share       int         // slots that are this daemon's
	borrowable  int         // slots of peers' shares that it may use
	latency     average     // time to the answer's header, in seconds

	failureRate          average   // 1 for a failure, 0 for a success
	samples              int       // since the last ejection
	ejectedUntil         time.Time // until when it gets nothing
	consecutiveEjections int       // ejections one after the other
	leavingUntil         time.Time // until when its own word, or a peer's, counts
	leavingObserved      bool      // leaving by its own word, which peers are told
}

// loadAverage is the number of requests in flight, averaged over time.
type loadAverage struct {
	value     float64
	updatedAt time.Time
}

// loadTimeConstant is the time over which a load is averaged.
const loadTimeConstant = 300 * time.Millisecond

// update takes the number that has been in flight since the last call.
func (l *loadAverage) update(inFlight int, now time.Time) {
	passed := now.Sub(l.updatedAt).Seconds() / loadTimeConstant.Seconds()
	l.value += (float64(inFlight) - l.value) * (1 - math.Exp(-passed))
	l.updatedAt = now
}

// average is an exponentially weighted mean.
type average struct {
	value float64
	known bool
}

// averageWeight is the weight of the newest observation.
const averageWeight = 0.1

func (a *average) add(x float64) {
	if !a.known {
		a.value, a.known = x, true
		return
	}
	a.value += averageWeight * (x - a.value)
}

func newUpstream() *upstream { return &upstream{} }

func (u *upstream) id() models.VMID { return u.vm.ID }

// serves tells whether new requests of the class may go there at all.
func (u *upstream) serves(class models.Class, selectors *selector.Set) bool {
	if u.vm.State != models.VMLive || u.drained || time.Now().Before(u.leavingUntil) {
		return false
	}
	return selectors.Matches(class.Upstreams, u.labels)
}

// Ejection of an upstream that fails.
const (
	ejectFailureRate = 0.5 // failures among the latest requests
	ejectMinSamples  = 5
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
)

// healthy tells whether the upstream is not ejected; after an ejection it gets one
// request at a time until one succeeds.
func (u *upstream) healthy(now time.Time) bool {
	if now.Before(u.ejectedUntil) {
		return false
	}
	return u.consecutiveEjections == 0 || u.ownInFlight == 0
}

// verdict is what one request tells of its upstream.
type verdict int

const (
	verdictNone    verdict = iota // nothing: the caller went away
	verdictSuccess                // it answered
	verdictFailure                // it did not, or with an error of its own
)

// record takes a verdict; ejected tells that the upstream was just ejected.
func (u *upstream) record(v verdict, now time.Time) (ejected bool) {
	switch v {
	case verdictNone:
		return false
	case verdictSuccess:
		u.failureRate.add(0)
		u.samples++
		u.consecutiveEjections = 0
		return false
	}
	u.failureRate.add(1)
	u.samples++
	if u.consecutiveEjections == 0 && (u.samples < ejectMinSamples || u.failureRate.value < ejectFailureRate) {
		return false
	}
	u.ejectedUntil = now.Add(min(maxEjectionTime, baseEjectionTime<<min(u.consecutiveEjections, 5)))
	u.consecutiveEjections++
	u.samples = 0
	return true
}

// slotsPerExtraRequest is how many requests an upstream gets beyond its slots, as a part of them:
// the next one is there when a slot becomes free, and no slot is idle while an
// answer and the next request are on the wire.
const slotsPerExtraRequest = 8

// computeShares divides each upstream's slots, and one more for each eight, among the
// entries: everyone gets as many, and what is left goes to the first in the
// upstream's hash order.
func (g *gate) computeShares(live []models.MemberID) {
	g.capacity = 0
	for _, u := range g.sorted {
		u.share = shareOf(u.vm, g.config.Self, live)
		if u.vm.State == models.VMLive && !u.drained {
			g.capacity += u.share
		}
	}
}

func shareOf(vm models.VM, self models.MemberID, live []models.MemberID) int {
	if len(live) == 0 || !slices.Contains(live, self) {
		return max(1, vm.Slots/(len(live)+1)) // this daemon leaves, or has heard nobody
	}
	slots := vm.Slots + (vm.Slots+slotsPerExtraRequest-1)/slotsPerExtraRequest
	share := slots / len(live)
	rank := slices.Index(rendezvous.Order(string(vm.ID), live), self)
	if rank < slots%len(live) {
		share++
	}
	return share
}

// leavingTimeout is for how long an upstream's or a peer's word of leaving counts; the
// VM list has caught up by then.
const leavingTimeout = 15 * time.Second

// loadUnit is the part of a slot in which loads are told.
const loadUnit = 0.01

// minLendSlack is the part of its share that a peer must leave unused, on average over
// all upstreams, before others may borrow of it.
const minLendSlack = 0.2

// applyHeartbeats takes the peers' loads and what they say of leaving upstreams.
func (g *gate) applyHeartbeats(live []models.MemberID, beats map[models.MemberID]models.Heartbeat) {
	for _, u := range g.sorted {
		u.peerLoad, u.peerSpare = 0, 0
	}
	for id, beat := range beats {
		lends := beat.Load != nil && beat.Waiting == 0 && slices.Contains(live, id) && g.recordSlack(id, g.slack(beat, len(live))) > minLendSlack
		for _, u := range g.sorted {
			told := float64(beat.Load[u.id()]) * loadUnit
			u.peerLoad += told
			if lends {
				u.peerSpare += max(0, evenShare(u, len(live))-told)
			}
		}
	}
	now := time.Now()
	for _, beat := range beats {
		for _, id := range beat.LeavingVMs {
			if u, ok := g.upstreams[id]; ok && !u.leavingObserved {
				u.leavingUntil = now.Add(leavingTimeout)
			}
		}
	}
}

func evenShare(u *upstream, entries int) float64 { return float64(u.vm.Slots) / float64(entries) }

// slackWeight is the weight of the newest heartbeat in a peer's slack; one quiet
// moment of a busy peer is no reason to borrow.
const slackWeight = 0.5

// recordSlack follows a peer's slack over its heartbeats, from none on.
func (g *gate) recordSlack(id models.MemberID, now float64) float64 {
	g.peerSlack[id] += slackWeight * (now - g.peerSlack[id])
	return g.peerSlack[id]
}

// slack is the part of its share that a peer leaves unused.
func (g *gate) slack(beat models.Heartbeat, entries int) float64 {
	share, used := 0.0, 0.0
	for _, u := range g.sorted {
		share += evenShare(u, entries)
		used += float64(beat.Load[u.id()]) * loadUnit
	}
	if share == 0 {
		return 0
	}
	return 1 - used/share
}

// recordLeaving takes an upstream's own word that it closes its connections. When
// most of them do so, it says nothing of leaving and is not believed.
func (g *gate) recordLeaving(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	leaving := 1
	for _, other := range g.sorted {
		if other != u && now.Before(other.leavingUntil) {
			leaving++
		}
	}
	if 2*leaving > len(g.sorted) {
		return
	}
	u.leavingUntil, u.leavingObserved = now.Add(leavingTimeout), true
}

// fillHeartbeat tells the peers what this daemon has in flight, and who leaves by its own word.
func (g *gate) fillHeartbeat(beat *models.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	beat.Load = map[models.VMID]int{}
	beat.Waiting = g.waiting
	now := time.Now()
	for _, u := range g.sorted {
		u.ownLoad.update(u.ownInFlight, now)
		// A surge shows in what is in flight now before it shows in the average.
		if told := int(max(u.ownLoad.value, float64(u.ownInFlight)) / loadUnit); told > 0 {
			beat.Load[u.id()] = told
		}
		if u.leavingObserved && now.Before(u.leavingUntil) {
			beat.LeavingVMs = append(beat.LeavingVMs, u.id())
		} else {
			u.leavingObserved = false
		}
	}
}
