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

// upstream is this daemon's view of an upstream, guarded by gate.mu.
type upstream struct {
	vm      models.VM
	labels  map[string]string
	drained bool

	ownInFlight int         // this daemon's requests in flight
	ownLoad     loadAverage // ownInFlight averaged over time
	peerLoad    float64     // sum of the loads in the peers' last heartbeats
	peerSpare   float64     // slots that peers without waiting requests leave unused in their shares
	share       int         // slots that belong to this daemon
	borrowable  int         // slots of peers' shares that this daemon may use
	latency     average     // time to the answer's header, in seconds

	failureRate          average   // average over 1 for each failure and 0 for each success
	samples              int       // verdicts since the last ejection
	ejectedUntil         time.Time // until when the upstream gets no requests
	consecutiveEjections int       // ejections without a success in between
	leavingUntil         time.Time // until when the upstream counts as leaving, by its own notice or a peer's
	leavingObserved      bool      // this daemon received the notice itself, and reports it to the peers
}

// loadAverage is an exponentially decaying average of the number of requests in flight.
type loadAverage struct {
	value     float64
	updatedAt time.Time
}

// loadTimeConstant is the time constant of a loadAverage.
const loadTimeConstant = 300 * time.Millisecond

// update adds the time since the last call, in which inFlight requests were in flight.
func (l *loadAverage) update(inFlight int, now time.Time) {
	elapsed := now.Sub(l.updatedAt).Seconds() / loadTimeConstant.Seconds()
	l.value += (float64(inFlight) - l.value) * (1 - math.Exp(-elapsed))
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

// serves reports whether the upstream accepts new requests of the class, regardless of load and health.
func (u *upstream) serves(class models.Class, selectors *selector.Set) bool {
	if u.vm.State != models.VMLive || u.drained || time.Now().Before(u.leavingUntil) {
		return false
	}
	return selectors.Matches(class.Upstreams, u.labels)
}

// Ejection of a failing upstream: baseEjectionTime doubles with each ejection in a row, up to maxEjectionTime.
const (
	ejectFailureRate = 0.5 // failure rate among the latest requests, from which an upstream is ejected
	ejectMinSamples  = 5   // verdicts required for a first ejection
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
)

// healthy reports whether the upstream is not ejected. After an ejection the upstream is
// healthy for one request at a time until one succeeds.
func (u *upstream) healthy(now time.Time) bool {
	if now.Before(u.ejectedUntil) {
		return false
	}
	return u.consecutiveEjections == 0 || u.ownInFlight == 0
}

// verdict is what the result of one request says about its upstream.
type verdict int

const (
	verdictNone    verdict = iota // nothing, because the caller disconnected
	verdictSuccess                // the upstream answered
	verdictFailure                // the upstream did not answer, or answered with a server error
)

// record adds a verdict to the failure rate and reports whether the upstream is ejected by it.
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

// slotsPerExtraRequest is the number of slots for which an upstream gets one request beyond its
// slots. The extra request is already there when a slot becomes free, so that no slot is idle
// while an answer and the next request are on the wire.
const slotsPerExtraRequest = 8

// computeShares divides each upstream's slots, plus one extra for each slotsPerExtraRequest,
// among the live entries: each gets an equal number, and the remainder goes to the first
// entries in the upstream's rendezvous order.
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
		return max(1, vm.Slots/(len(live)+1)) // this daemon is leaving, or has not heard any peer
	}
	slots := vm.Slots + (vm.Slots+slotsPerExtraRequest-1)/slotsPerExtraRequest
	share := slots / len(live)
	rank := slices.Index(rendezvous.Order(string(vm.ID), live), self)
	if rank < slots%len(live) {
		share++
	}
	return share
}

// leavingTimeout is the time for which a notice of leaving, by the upstream or a peer, counts;
// by then the VM list has caught up.
const leavingTimeout = 15 * time.Second

// loadUnit is the unit of loads in heartbeats, in slots.
const loadUnit = 0.01

// minLendSlack is the fraction of its shares, on average over all upstreams, that a peer must
// leave unused before other entries may borrow from the peer.
const minLendSlack = 0.2

// applyHeartbeats applies the peers' loads and their reports of leaving upstreams.
func (g *gate) applyHeartbeats(live []models.MemberID, beats map[models.MemberID]models.Heartbeat) {
	for _, u := range g.sorted {
		u.peerLoad, u.peerSpare = 0, 0
	}
	for id, beat := range beats {
		lends := beat.Load != nil && beat.Waiting == 0 && slices.Contains(live, id) && g.recordSlack(id, g.slack(beat, len(live))) > minLendSlack
		for _, u := range g.sorted {
			reported := float64(beat.Load[u.id()]) * loadUnit
			u.peerLoad += reported
			if lends {
				u.peerSpare += max(0, evenShare(u, len(live))-reported)
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

// slackWeight is the weight of the newest heartbeat in a peer's averaged slack, so that a
// short idle period of a busy peer does not allow borrowing.
const slackWeight = 0.5

// recordSlack averages a peer's slack over its heartbeats, starting at 0, and returns the average.
func (g *gate) recordSlack(id models.MemberID, slack float64) float64 {
	g.peerSlack[id] += slackWeight * (slack - g.peerSlack[id])
	return g.peerSlack[id]
}

// slack is the fraction of its shares that a peer leaves unused.
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

// recordLeaving records that an upstream has closed its connection after an answer, which
// counts as a notice of leaving. If most upstreams do so, the close does not indicate leaving
// and is ignored.
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

// fillHeartbeat adds this daemon's load, queue length and the upstreams whose notice of leaving it received.
func (g *gate) fillHeartbeat(beat *models.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	beat.Load = map[models.VMID]int{}
	beat.Waiting = g.waiting
	now := time.Now()
	for _, u := range g.sorted {
		u.ownLoad.update(u.ownInFlight, now)
		// The current number in flight shows a surge earlier than the average does.
		if units := int(max(u.ownLoad.value, float64(u.ownInFlight)) / loadUnit); units > 0 {
			beat.Load[u.id()] = units
		}
		if u.leavingObserved && now.Before(u.leavingUntil) {
			beat.LeavingVMs = append(beat.LeavingVMs, u.id())
		} else {
			u.leavingObserved = false
		}
	}
}
