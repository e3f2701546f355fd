// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// Workers that stand still are found by comparing the progress of their tasks with what is
// usual for the same queue: estimates are off, but alike on all workers. It keeps a job from
// waiting for ever for a worker that reports and does nothing. Workers that are only slow are
// left in peace: to move their tasks costs more than it brings.
const (
	speedSampleInterval = 400 * time.Millisecond // between two samples of a task
	// workerSpeedWeight is that of a new sample in a worker's speed, and minWorkerSamples are needed before
	// a worker is judged: with fewer, sound workers are left alone for one slow task.
	workerSpeedWeight = 0.2
	minWorkerSamples  = 8
	queueSpeedWeight  = 0.02                      // of a new sample in the usual speed
	stalledBelow      = 0.05                      // of the usual speed
	stalledPause      = 2500 * time.Millisecond   // until such a worker is tried again
	minSampledPace    = 50 * jobs.FullSpeed / 100 // below it a task's progress says nothing of its worker
	restartGrace      = 300 * time.Millisecond    // a restart from a checkpoint makes no progress at first
	minQueueSamples   = 20                        // samples before anything is compared
)

// speed is an average with the number of its samples.
type speed struct {
	mean    float64
	samples int
}

// add takes a sample with its weight against the former ones.
func (s *speed) add(sample, weight float64) {
	if s.samples == 0 {
		s.mean = sample
	}
	s.mean += weight * (sample - s.mean)
	s.samples++
}

// sampleSpeed takes a task's progress into its worker's speed.
func (c *Core) sampleSpeed(w *worker, t *task, progress jobs.Percent, now time.Time) {
	spec := t.step.spec
	if spec.Lasts || spec.Estimate <= 0 || t.pace < minSampledPace || now.Sub(t.began) < restartGrace {
		t.sampledAt = time.Time{}
		return
	}
	if t.sampledAt.IsZero() || progress < t.sampledProgress {
		t.sampledAt, t.sampledProgress = now, progress
		return
	}
	apart := now.Sub(t.sampledAt)
	if apart < speedSampleInterval {
		return
	}
	worked := float64(progress-t.sampledProgress) / float64(jobs.FullSpeed) * float64(spec.Estimate.Duration())
	sample := worked / float64(apart)
	t.sampledAt, t.sampledProgress = now, progress
	usual := c.queueSpeed(t.step.job.spec.Queue)
	usual.add(sample, queueSpeedWeight)
	if usual.samples >= minQueueSamples && usual.mean > 0 {
		w.speed.add(sample/usual.mean, workerSpeedWeight)
		c.checkStalled(w, now)
	}
}

// queueSpeed is the speed of a queue's tasks over all workers.
func (c *Core) queueSpeed(queue jobs.QueueName) *speed {
	s, ok := c.queueSpeeds[queue]
	if !ok {
		s = &speed{}
		c.queueSpeeds[queue] = s
	}
	return s
}

// checkStalled leaves a worker alone that stands still, and moves its tasks.
func (c *Core) checkStalled(w *worker, now time.Time) {
	if w.speed.samples < minWorkerSamples || w.speed.mean >= stalledBelow || now.Before(w.stalledUntil) {
		return
	}
	c.config.Logger.Warn("worker stands still and is left alone", zap.String("worker", string(w.info.ID)),
		zap.Float64("of_usual", w.speed.mean), zap.Int("samples", w.speed.samples), zap.Int("tasks", len(w.tasks)))
	w.stalledUntil = now.Add(stalledPause)
	w.speed = speed{}
	for _, t := range w.tasks {
		if t.state == taskRunning && !t.step.spec.Lasts {
			c.stop(t, "its worker stands still")
		}
	}
}
