// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// cordonList is an owner's copy of the operators' cordons. It is read once and then updated with the changes.
type cordonList struct {
	source  platform.CordonList
	cordons map[models.FailureDomain]jobs.Cordon
	at      platform.Version
	synced  bool // cordons is the list as of version at
}

func newCordonList(source platform.CordonList) *cordonList {
	return &cordonList{source: source, cordons: map[models.FailureDomain]jobs.Cordon{}}
}

// update waits for a change and applies it, or reads the whole list if the changes are not available. Afterwards the
// copy is at least as new as the list was at the time of the call.
func (l *cordonList) update(ctx context.Context) error {
	if !l.synced {
		return l.read(ctx)
	}
	changes, at, err := l.source.CordonChanges(ctx, l.at)
	if mustReload(err) {
		return l.read(ctx)
	}
	if err != nil {
		return err
	}
	l.at = at
	for _, change := range changes {
		l.apply(change)
	}
	return nil
}

// read reads the whole list. If it fails, update reads the list again.
func (l *cordonList) read(ctx context.Context) error {
	l.synced = false
	cordons, at, err := l.source.Cordons(ctx)
	if err != nil {
		return err
	}
	clear(l.cordons)
	for _, cordon := range cordons {
		l.cordons[cordon.Domain] = cordon
	}
	l.at, l.synced = at, true
	return nil
}

func (l *cordonList) apply(change platform.CordonChange) {
	if change.Lifted {
		delete(l.cordons, change.Cordon.Domain)
		return
	}
	l.cordons[change.Cordon.Domain] = change.Cordon
}

// all returns the cordons in the list.
func (l *cordonList) all() []jobs.Cordon { return slices.Collect(maps.Values(l.cordons)) }

// cordonsLoop follows the operators' cordons until ctx ends.
func (o *Owner) cordonsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sent := o.config.Clock.Now()
		err := o.cordons.update(ctx)
		o.cells.health.record(err)
		if err != nil {
			sleep(ctx, loadRetryPause)
			continue
		}
		o.mu.Lock()
		o.applyCordons(sent)
		o.mu.Unlock()
		wake(o.wakeDecide)
	}
}

// applyCordons passes the cordons as of the given time to the core. The caller holds o.mu.
func (o *Owner) applyCordons(asOf time.Time) {
	o.core.SetCordons(o.cordons.all(), o.config.Clock.Now())
	o.core.CordonsReadAsOf(asOf)
}
