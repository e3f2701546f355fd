// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"context"
	"fmt"
	"maps"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// maxStartsAfterCordon is the users' bound for starts in a failure domain after it was cordoned.
const maxStartsAfterCordon = 5 * time.Second

// cordon is a cordon in force.
type cordon struct {
	jobs.Cordon
	since time.Time
}

// cordons are the cordoned failure domains.
type cordons struct {
	inForce map[models.FailureDomain]cordon
	changes []platform.CordonChange
	changed chan struct{} // closed and replaced with each change
}

func newCordons() cordons {
	return cordons{inForce: map[models.FailureDomain]cordon{}, changed: make(chan struct{})}
}

// domainOf returns the failure domain of a place.
func (c Config) domainOf(place int) models.FailureDomain {
	if c.Domains <= 1 {
		return "south/a"
	}
	return DomainName(place % c.Domains)
}

// DomainName returns the name of a failure domain of a grid with several domains, by its number.
func DomainName(n int) models.FailureDomain { return models.FailureDomain(fmt.Sprintf("domain-%d", n)) }

// Cordon cordons a failure domain; it does nothing if the domain is cordoned already.
func (g *Grid) Cordon(domain models.FailureDomain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, cordoned := g.cordons.inForce[domain]; cordoned {
		return
	}
	set := jobs.Cordon{Domain: domain, Version: uint64(len(g.cordons.changes) + 1)}
	g.cordons.inForce[domain] = cordon{set, time.Now()}
	g.noteCordonChange(platform.CordonChange{Cordon: set})
}

// LiftCordon lifts the cordon of a failure domain, if there is one.
func (g *Grid) LiftCordon(domain models.FailureDomain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, cordoned := g.cordons.inForce[domain]; !cordoned {
		return
	}
	delete(g.cordons.inForce, domain)
	g.noteCordonChange(platform.CordonChange{Cordon: jobs.Cordon{Domain: domain}, Lifted: true})
}

// LiftCordons lifts all cordons.
func (g *Grid) LiftCordons() {
	g.mu.Lock()
	domains := maps.Clone(g.cordons.inForce)
	g.mu.Unlock()
	for domain := range domains {
		g.LiftCordon(domain)
	}
}

// noteCordonChange records a change of the cordons, updates the waits for room that it takes or gives, and wakes the
// calls that wait for a change.
func (g *Grid) noteCordonChange(change platform.CordonChange) {
	g.cordons.changes = append(g.cordons.changes, change)
	g.updateWaits()
	close(g.cordons.changed)
	g.cordons.changed = make(chan struct{})
}

// Cordons implements platform.CordonList. The version is the number of changes of the list.
func (g *Grid) Cordons(context.Context) ([]jobs.Cordon, platform.Version, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []jobs.Cordon
	for _, each := range g.cordons.inForce {
		list = append(list, each.Cordon)
	}
	return list, platform.Version(len(g.cordons.changes)), nil
}

// CordonChanges implements platform.CordonList: it waits for changes of the list.
func (g *Grid) CordonChanges(ctx context.Context, after platform.Version) ([]platform.CordonChange, platform.Version, error) {
	g.mu.Lock()
	changed := g.cordons.changed
	waits := int(after) == len(g.cordons.changes)
	g.mu.Unlock()
	if waits && !waitForChange(ctx, changed) {
		return nil, 0, ctx.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]platform.CordonChange(nil), g.cordons.changes[after:]...), platform.Version(len(g.cordons.changes)), nil
}

// isCordoned reports whether a worker's failure domain is cordoned.
func (g *Grid) isCordoned(w *incarnation) bool {
	_, cordoned := g.cordons.inForce[w.info.Domain]
	return cordoned
}

// checkCordon checks that a run doesn't start in a failure domain that has been cordoned for longer than allowed. The
// bound holds in times of calm only.
func (g *Grid) checkCordon(w *incarnation, r *run) {
	cordon, cordoned := g.cordons.inForce[w.info.Domain]
	now := time.Now()
	calm := len(g.audit.ongoingFaults) == 0 && now.Sub(g.audit.lastFault) >= calmTime
	if cordoned && calm && now.Sub(cordon.since) > maxStartsAfterCordon {
		g.audit.breach("%s starts on %s %s after %s was cordoned", r.task, w.info.ID, now.Sub(cordon.since).Round(time.Millisecond), w.info.Domain)
	}
}
