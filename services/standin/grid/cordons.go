// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"context"
	"fmt"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// maxStartsAfterCordon is the users' bound for starts in a failure domain after it was cordoned.
const maxStartsAfterCordon = 5 * time.Second

// cordon is a cordon in force.
type cordon struct {
	jobs.Cordon
	since time.Time
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
	if _, cordoned := g.cordons[domain]; cordoned {
		return
	}
	g.cordonsSet++
	g.cordons[domain] = cordon{jobs.Cordon{Domain: domain, Version: uint64(g.cordonsSet)}, time.Now()}
	g.updateWaits()
}

// LiftCordon lifts the cordon of a failure domain, if there is one.
func (g *Grid) LiftCordon(domain models.FailureDomain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cordons, domain)
	g.updateWaits()
}

// LiftCordons lifts all cordons.
func (g *Grid) LiftCordons() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.cordons)
	g.updateWaits()
}

// Cordons implements platform.CordonList.
func (g *Grid) Cordons(context.Context) ([]jobs.Cordon, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []jobs.Cordon
	for _, each := range g.cordons {
		list = append(list, each.Cordon)
	}
	return list, nil
}

// isCordoned reports whether a worker's failure domain is cordoned.
func (g *Grid) isCordoned(w *incarnation) bool {
	_, cordoned := g.cordons[w.info.Domain]
	return cordoned
}

// checkCordon checks that a run doesn't start in a failure domain that has been cordoned for longer than allowed. The
// bound holds in times of calm only.
func (g *Grid) checkCordon(w *incarnation, r *run) {
	cordon, cordoned := g.cordons[w.info.Domain]
	now := time.Now()
	calm := len(g.audit.ongoingFaults) == 0 && now.Sub(g.audit.lastFault) >= calmTime
	if cordoned && calm && now.Sub(cordon.since) > maxStartsAfterCordon {
		g.audit.breach("%s starts on %s %s after %s was cordoned", r.task, w.info.ID, now.Sub(cordon.since).Round(time.Millisecond), w.info.Domain)
	}
}
