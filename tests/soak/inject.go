// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/sourcegraph/conc"

	"rillsail.example/rillsail/services/standin/grid"
)

// injectLoop injects the planned faults. Each fault has its own goroutine, which also clears it, so that
// faults can overlap.
func (r *run) injectLoop(ctx context.Context, group *conc.WaitGroup) {
	for _, fault := range r.plan.Faults {
		if !sleep(ctx, time.Until(r.begin.Add(fault.At))) {
			return
		}
		group.Go(func() { r.inject(ctx, fault) })
	}
}

// inject applies one fault and clears it again. The fault is skipped if another fault has reserved the
// same target: the first of the two to end would clear both. Overlapping faults are cleared independently
// and need no reservation.
func (r *run) inject(ctx context.Context, fault Fault) {
	if fault.Kind == CordonDomain {
		r.cordonDomain(ctx, fault)
		return
	}
	if fault.Kind == OddEntry {
		r.writeOddEntry(ctx, fault)
		return
	}
	d := r.site.daemons[fault.Target%len(r.site.daemons)]
	place := fault.Target % r.config.Workers
	target := faultTarget(fault, d, place)
	if !fault.Overlapping {
		if !r.site.reserve(target) {
			return
		}
		defer r.site.release(target)
	}
	began := time.Since(r.begin)
	r.site.emulator.Grid.BeginFault(fmt.Sprint(fault))
	defer r.site.emulator.Grid.EndFault(fmt.Sprint(fault))
	if r.applyFault(ctx, fault, d, place) {
		r.record.addFault(began, time.Since(r.begin), fault)
	}
}

// faultTarget names the target of a fault, by which faults reserve it.
func faultTarget(fault Fault, d *daemon, place int) string {
	switch fault.Kind {
	case KillDaemon, PauseDaemon, StopDaemon, Hangup:
		return d.processTarget()
	case CutStore, CutStoreHalf:
		return "store's connections of " + d.name
	case CutPeer:
		return "peers' connections of " + d.name
	case CutCallers:
		return "callers' connections of " + d.name
	case Reconfigure:
		return "configuration"
	case StoreForgets:
		return "store's history"
	case StoreDown, StoreSlow, StoreLossy, StoreLate:
		return "store"
	default:
		return fmt.Sprint("worker ", place)
	}
}

// applyFault applies a fault for its duration and clears it; false: the fault could not be applied.
func (r *run) applyFault(ctx context.Context, fault Fault, d *daemon, place int) bool {
	switch fault.Kind {
	case KillDaemon, PauseDaemon, StopDaemon, Hangup:
		r.applyProcessFault(ctx, fault, d)
	case Reconfigure:
		return r.site.reconfigure(ctx) == nil
	case StoreDown, StoreSlow, StoreLossy, StoreLate, StoreForgets, StoreBusy, StoreLimited, StoreReadsFail:
		r.applyStoreFault(ctx, fault)
	case SilenceDaemon, SilenceWorker:
		r.silenceTarget(fault, d, place)
		sleep(ctx, fault.For)
	case CutStore, CutStoreHalf, CutPeer, CutCallers, SlowWorker, ResetWorker:
		r.applyConnectionFault(ctx, fault, d, place)
	case FailWorker, StallWorker, ReorderWorkerAnswers, RepeatWorkerOrders:
		r.applyMisbehavior(ctx, fault, place)
	case RestartWorker:
		r.restartWorker(ctx, fault, place)
	case RestartWorkers:
		r.restartWorkers()
	case LoseWorker:
		r.site.emulator.Grid.CrashForGood(place)
	case CutWorkers:
		r.cutWorkers(ctx, fault)
	case DrainSilentWorker, DrainRefusingWorker:
		r.drainBehindCut(ctx, fault, place)
	default:
		r.applyWorkerFault(ctx, fault, place)
	}
	return true
}

// applyProcessFault kills, pauses or stops a daemon's process, or sends it SIGHUP.
func (r *run) applyProcessFault(ctx context.Context, fault Fault, d *daemon) {
	switch fault.Kind {
	case Hangup:
		d.signal(syscall.SIGHUP)
		return
	case PauseDaemon:
		d.signal(syscall.SIGSTOP)
		sleep(ctx, fault.For)
		d.signal(syscall.SIGCONT)
		return
	case KillDaemon:
		d.kill()
	default:
		d.stop()
		r.checkPlannedStop(d)
	}
	sleep(ctx, fault.For)
	if err := d.start(); err != nil {
		r.record.addBreach(time.Since(r.begin), "daemon", "%v", err)
	}
}

// applyConnectionFault disturbs the connections through one proxy.
func (r *run) applyConnectionFault(ctx context.Context, fault Fault, d *daemon, place int) {
	switch fault.Kind {
	case CutStore:
		r.applyToxic(ctx, fault, d.store, toxicSilence, "upstream", "downstream")
	case CutStoreHalf:
		r.applyToxic(ctx, fault, d.store, toxicSilence, "downstream")
	case CutPeer:
		r.applyToxic(ctx, fault, d.peers, toxicSilence, "upstream")
	case CutCallers:
		r.applyToxic(ctx, fault, d.callers, toxicReset, "downstream")
	case SlowWorker:
		r.applyToxic(ctx, fault, r.site.workerProxies[place], toxicDelay, "upstream", "downstream")
	default:
		r.applyToxic(ctx, fault, r.site.workerProxies[place], toxicReset, "upstream")
	}
}

// Types of the proxy's toxics. A "timeout" toxic without a timeout withholds and drops all bytes while
// the connection stays open.
const (
	toxicSilence = "timeout"
	toxicReset   = "reset_peer"
	toxicDelay   = "latency"
)

// The delay of slow connections, in milliseconds: both directions together are delayed by at most
// callTimeout.
const (
	delayMs       = 200
	delayJitterMs = 150
)

// applyToxic adds a toxic to the streams of a proxy and removes it after the fault's duration.
func (r *run) applyToxic(ctx context.Context, fault Fault, p *toxiproxy.Proxy, toxic string, streams ...string) {
	for _, stream := range streams {
		name := toxic + " " + stream
		if r.addToxic(p, name, toxic, stream, map[string]int{"latency": delayMs, "jitter": delayJitterMs}) {
			defer func() { _ = p.Toxics.RemoveToxic(context.Background(), name) }() // clearFaults may have removed the toxic
		}
	}
	sleep(ctx, fault.For)
}

// addToxic adds a toxic of the given type to a stream of a proxy, and reports whether that succeeded.
func (r *run) addToxic(p *toxiproxy.Proxy, name, toxic, stream string, attributes any) bool {
	body, err := json.Marshal(map[string]any{"name": name, "type": toxic, "stream": stream, "attributes": attributes})
	if err == nil {
		_, err = p.Toxics.AddToxicJson(bytes.NewReader(body))
	}
	if err != nil {
		r.record.addBreach(time.Since(r.begin), "soak", "toxic can't be added to proxy %s: %v", p.Name, err)
	}
	return err == nil
}

// applyWorkerFault applies a fault to a worker. A crash has no duration; a drain ends with a crash.
func (r *run) applyWorkerFault(ctx context.Context, fault Fault, place int) {
	g := r.site.emulator.Grid
	switch fault.Kind {
	case CutWorker:
		g.ChangeFaults(place, func(f *grid.Faults) { f.Cut = true })
	case DelayWorkerOrders:
		g.ChangeFaults(place, func(f *grid.Faults) { f.LateOrders = fault.For })
	case LoseWorkerAnswers:
		g.ChangeFaults(place, func(f *grid.Faults) { f.LoseAnswers = true })
	case HideWorker:
		g.SetListed(place, false)
	case DrainWorker:
		g.Drain(place, fault.For)
	}
	if fault.Kind != CrashWorker {
		sleep(ctx, fault.For)
	}
	if fault.Kind == CrashWorker || fault.Kind == DrainWorker {
		g.Crash(place)
	}
	g.ChangeFaults(place, func(f *grid.Faults) { f.Cut, f.LateOrders, f.LoseAnswers = false, 0, false })
	g.SetListed(place, true)
	g.StopDraining(place)
}
