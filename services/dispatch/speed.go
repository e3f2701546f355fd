// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// Stalled workers are detected by comparing the progress of their tasks with the usual progress of the same
// queue: estimates are inaccurate, but equally so on all workers. This keeps a job from waiting indefinitely
// for a worker that reports and does nothing. Workers that are merely slow are left alone, since moving their
// tasks costs more than it gains.
const (
	speedSampleInterval = 400 * time.Millisecond // between two samples of a task, at least; see sampleInterval
	// workerSpeedWeight is the weight of a new sample in a worker's speed. minWorkerSamples samples are needed
	// before a worker counts as stalled: with fewer samples, sound workers were avoided because of a single slow task.
	workerSpeedWeight = 0.2
	minWorkerSamples  = 8
	queueSpeedWeight  = 0.02                      // of a new sample in the usual speed of a queue
	stalledBelow      = 0.05                      // of the usual speed
	stalledPause      = 2500 * time.Millisecond   // until a stalled worker gets tasks again
	minSampledPace    = 50 * jobs.FullSpeed / 100 // below this pace, a task's progress does not show its worker's speed
	restartGrace      = 300 * time.Millisecond    // a restart from a checkpoint makes no progress at first
	minQueueSamples   = 20                        // needed before a worker is compared with the queue's usual speed
)

// speed is a moving average with the number of its samples.
type speed struct {
	mean    float64
	samples int
}

// add adds a sample with the given weight relative to the previous ones.
func (s *speed) add(sample, weight float64) {
	if s.samples == 0 {
		s.mean = sample
	}
	s.mean += weight * (sample - s.mean)
	s.samples++
}

// sampleSpeed adds a task's progress to the speeds of its queue and its worker.
func (c *Core) sampleSpeed(w *worker, t *task, progress jobs.Percent, now time.Time) {
	spec := t.step.spec
	if spec.LongRunning || spec.Estimate <= 0 || t.pace < minSampledPace || now.Sub(t.startedAt) < restartGrace {
		t.sampledAt = time.Time{}
		return
	}
	if t.sampledAt.IsZero() || progress < t.sampledProgress {
		t.sampledAt, t.sampledProgress = now, progress
		return
	}
	interval := now.Sub(t.sampledAt)
	if interval < sampleInterval(spec) {
		return
	}
	worked := float64(progress-t.sampledProgress) / float64(jobs.FullSpeed) * float64(spec.Estimate.Duration())
	sample := worked / float64(interval)
	t.sampledAt, t.sampledProgress = now, progress
	usual := c.queueSpeed(t.step.job.spec.Queue)
	usual.add(sample, queueSpeedWeight)
	if usual.samples >= minQueueSamples && usual.mean > 0 {
		w.speed.add(sample/usual.mean, workerSpeedWeight)
		c.checkStalled(w, now)
	}
}

// sampleInterval is the time between two samples of a task of the step. Progress is reported in whole percents, so the
// interval is at least as long as a percent of the work takes: several samples without progress are the sign of a stall.
func sampleInterval(spec *jobs.Step) time.Duration {
	return max(speedSampleInterval, spec.Estimate.Duration()/time.Duration(jobs.FullSpeed))
}

// queueSpeed returns the usual speed of a queue's tasks over all workers.
func (c *Core) queueSpeed(queue jobs.QueueName) *speed {
	s, ok := c.queueSpeeds[queue]
	if !ok {
		s = &speed{}
		c.queueSpeeds[queue] = s
	}
	return s
}

// checkStalled excludes a stalled worker from new tasks for a while, and stops its tasks so that they can run
// elsewhere.
func (c *Core) checkStalled(w *worker, now time.Time) {
	if w.speed.samples < minWorkerSamples || w.speed.mean >= stalledBelow || now.Before(w.stalledUntil) {
		return
	}
	c.config.Logger.Warn("worker stands still and is left alone", zap.String("worker", string(w.info.ID)),
		zap.Float64("of_usual", w.speed.mean), zap.Int("samples", w.speed.samples), zap.Int("tasks", len(w.tasks)))
	w.stalledUntil = now.Add(stalledPause)
	w.speed = speed{}
	for _, t := range w.tasks {
		if t.state == taskRunning && !t.step.spec.LongRunning {
			c.stop(t, "its worker has stalled")
		}
	}
}
