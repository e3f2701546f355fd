// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package fleet

import (
	"hash/fnv"
	"strconv"
	"time"

	"rillsail.example/rillsail/models"
)

// attempt is one attempt of a task on a worker.
type attempt struct {
	call      models.StartCall
	status    models.AttemptStatus
	progress  float64 // 0..1
	cpuShare  float64 // share of the processor time, 1 when not throttled
	leaseEnds time.Time
	endReason string
	// samples are the latencies of a service, oldest first. Reports lag: they use the latest sample that
	// is older than Config.ReportLag.
	samples     []sample
	sampleCount uint64
}

// sample is the latency of a service at one time.
type sample struct {
	at  time.Time
	p99 time.Duration
}

// checkpointPrefix precedes the progress in a checkpoint.
const checkpointPrefix = "progress="

// report returns the worker's report of an attempt; the caller holds the lock.
func (w *worker) report(a *attempt) models.AttemptReport {
	report := models.AttemptReport{
		AttemptRef: a.call.AttemptRef,
		Status:     a.status,
		Reason:     a.endReason,
		Progress:   int(a.progress * 100),
		Usage:      scale(a.call.Size, w.fleet.sizeFactor(a.call)),
	}
	if a.status == models.StatusStopped && a.call.Work > 0 {
		report.Checkpoint = checkpointPrefix + strconv.FormatFloat(a.progress, 'f', 4, 64)
	}
	before := time.Now().Add(-w.fleet.config.ReportLag)
	for i := len(a.samples) - 1; i >= 0; i-- {
		if !a.samples[i].at.After(before) {
			report.P99 = models.MilliOf(a.samples[i].p99)
			report.SampleNumber = a.sampleCount - uint64(len(a.samples)-1-i)
			break
		}
	}
	return report
}

// advance simulates the worker's tasks for the time that has passed.
func (w *worker) advance(now time.Time, passed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	for _, a := range w.attempts {
		if a.status != models.StatusRunning {
			continue
		}
		switch {
		case now.After(a.leaseEnds):
			w.finish(a, models.StatusStopped, "lease lapsed")
		case w.faulty:
			w.finish(a, models.StatusFailed, "worker is faulty")
		case a.call.Kind == models.TaskService:
			w.sampleLatency(a, now)
		default:
			w.advanceBatch(a, passed)
		}
	}
}

// advanceBatch adds the progress of a batch task; the caller holds the lock.
func (w *worker) advanceBatch(a *attempt, passed time.Duration) {
	needed := a.call.Work.Duration().Seconds() * w.fleet.sizeFactor(a.call)
	a.progress += passed.Seconds() * a.cpuShare / max(needed, 0.001)
	if a.progress >= 1 {
		a.progress = 1
		w.finish(a, models.StatusFinished, "")
	}
}

// sampleLimit bounds the samples that are kept for lagging reports.
const sampleLimit = 256

// sampleLatency records the latency of a service, which batch tasks on the worker increase; the caller holds the lock.
func (w *worker) sampleLatency(a *attempt, now time.Time) {
	slowdown := 1.0
	pairs := w.fleet.slowdowns()
	for _, other := range w.attempts {
		if other.call.Kind == models.TaskBatch && other.status == models.StatusRunning {
			slowdown += other.cpuShare * pairs.Slowdown(a.call.Labels[appLabel], other.call.Labels[appLabel])
		}
	}
	base := a.call.Target.Duration() / 2
	a.samples = append(a.samples, sample{at: now, p99: time.Duration(float64(base) * slowdown)})
	if len(a.samples) > sampleLimit {
		a.samples = a.samples[len(a.samples)-sampleLimit:]
	}
	a.sampleCount++
	w.fleet.audit.countSample(slowdown > 2)
}

// scale multiplies processor time and memory by a factor.
func scale(r models.Resources, factor float64) models.Resources {
	return models.Resources{
		CPU:          models.MilliCPU(float64(r.CPU) * factor),
		Memory:       models.MiB(float64(r.Memory) * factor),
		Accelerators: r.Accelerators,
	}
}

// hashFraction returns a number in [0, 1) that depends on the text alone.
func hashFraction(text string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return float64(h.Sum32()%10_000) / 10_000
}
