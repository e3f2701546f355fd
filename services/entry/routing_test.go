// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// smallTrial returns the trial that the tests vary.
func smallTrial(picker string) trial {
	return trial{picker: picker, load: 0.8, entries: 3, upstreams: 6, slots: 8, seconds: 3, seed: 1}
}

// TestDividedSlotsAreNotOverrun sends an even load of 95 % of all slots. With the divided picker,
// entries that see only their own requests rarely send an upstream more requests than it has slots.
func TestDividedSlotsAreNotOverrun(t *testing.T) {
	settings := smallTrial("divided")
	settings.load = 0.95
	divided := runTrial(t, settings)
	settings.picker = "two-choices"
	choices := runTrial(t, settings)
	assert.Less(t, float64(divided.overruns), 0.02*float64(divided.reached))
	assert.Less(t, divided.overruns, choices.overruns/4)
}

// TestFailingUpstreamAttractsNothing makes one of six upstreams fail every request immediately. Its short
// answer times must not attract requests.
func TestFailingUpstreamAttractsNothing(t *testing.T) {
	settings := smallTrial("divided")
	settings.failing = true
	r := runTrial(t, settings)
	assert.Less(t, r.upstreams[0].received, r.reached/50)
	for name, c := range r.classes {
		assert.Greater(t, c.goodput(), 0.99, "%s: %v", name, c.status)
	}
}

// TestLeavingUpstreamIsNoticedBeforeTheList makes an upstream leave while the VM list lags behind. The
// entries must stop sending to it before the list shows that it leaves.
func TestLeavingUpstreamIsNoticedBeforeTheList(t *testing.T) {
	settings := smallTrial("divided")
	settings.leaving, settings.seconds = true, 10
	r := runTrial(t, settings)
	assert.Zero(t, r.upstreams[0].receivedLate)
}

// TestOverloadKeepsTheOrderOfClasses sends 120 % of the capacity: urgent and ordinary requests meet
// their deadlines, and deferred requests get their floor.
func TestOverloadKeepsTheOrderOfClasses(t *testing.T) {
	settings := smallTrial("divided")
	settings.load, settings.seconds = 1.2, 12
	r := runTrial(t, settings)
	assert.Greater(t, r.classes["urgent"].goodput(), 0.99, "%v", r.classes["urgent"].status)
	deferred := r.classes["deferred"]
	share := float64(deferred.succeeded) / float64(deferred.succeeded+r.classes["urgent"].succeeded+r.classes["ordinary"].succeeded)
	assert.Greater(t, share, 0.05, "share that the floor gives to deferred requests")
	assert.Zero(t, deferred.failed+r.classes["urgent"].failed+r.classes["ordinary"].failed, "requests that cannot meet their deadlines are refused and do not time out: %v %v %v",
		deferred.status, r.classes["urgent"].status, r.classes["ordinary"].status)
}
