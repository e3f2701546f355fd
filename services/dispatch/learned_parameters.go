// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/contention"
)

// parametersInterval is how often the learned parameters are stored along with other changes. They cost no call
// of their own and take some 20 KB for sixty serving steps and 5 × 9 pairs of images; interference factors change by
// less than their spread in two seconds.
const parametersInterval = 2 * time.Second

// stepKey identifies a step of a job in the cell.
type stepKey struct {
	job  jobs.ID
	flat int
}

// takeLearnedParameters returns the learned parameters when they are due to be stored, and nil otherwise.
func (c *Core) takeLearnedParameters(now time.Time) *jobs.LearnedParameters {
	if now.Sub(c.parametersTakenAt) < parametersInterval {
		return nil
	}
	c.parametersTakenAt = now
	parameters := c.LearnedParameters(now)
	return &parameters
}

// LearnedParameters returns what the core has learned from the reports of its own workers.
func (c *Core) LearnedParameters(now time.Time) jobs.LearnedParameters {
	k := c.model.LearnedParameters()
	k.At = c.timeOfDay(now)
	for _, j := range c.jobs {
		k.Loads = append(k.Loads, c.loadsOf(j, now)...)
	}
	for queue, usual := range c.queueSpeeds {
		k.Speeds = append(k.Speeds, jobs.QueueSpeed{Queue: queue, Mean: usual.mean, Samples: usual.samples})
	}
	slices.SortFunc(k.Loads, func(a, b jobs.StepLoad) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
	slices.SortFunc(k.Speeds, func(a, b jobs.QueueSpeed) int { return cmp.Compare(a.Queue, b.Queue) })
	return k
}

// loadsOf returns the known baseline loads of a job's serving steps.
func (c *Core) loadsOf(j *job, now time.Time) []jobs.StepLoad {
	var loads []jobs.StepLoad
	for s := range j.heldSteps() {
		if s.spec.Serves() && s.baseline.Known() {
			load := s.baseline.Summary()
			load.Job, load.Number = j.spec.ID, s.flat()
			load.At = c.timeOfDayThen(s.baseline.At(), now)
			loads = append(loads, load)
		}
	}
	return loads
}

// RestoreParameters takes the parameters learned by a previous owner, before the cell's jobs are added. Without these
// parameters a successor would take some ten seconds to learn the interference factors of all pairs of images again;
// meanwhile it would throttle tasks needlessly and let filler tasks that add much load harm services.
func (c *Core) RestoreParameters(k jobs.LearnedParameters, now time.Time) {
	c.model.Restore(k, max(0, now.Sub(c.timeAt(k.At, now)).Seconds()))
	for _, l := range k.Loads {
		c.restoredLoads[stepKey{l.Job, l.Number}] = contention.RestoreBaselineLoad(l, c.timeAt(l.At, now))
	}
	for _, s := range k.Speeds {
		c.queueSpeeds[s.Queue] = &speed{mean: s.Mean, samples: s.Samples}
	}
}

// restoreLoads gives the steps of an occurrence the baseline loads that a previous owner had learned.
func (c *Core) restoreLoads(o *occurrence) {
	for _, s := range o.steps {
		key := stepKey{o.job.spec.ID, s.flat()}
		if load, ok := c.restoredLoads[key]; ok {
			s.baseline = load
			delete(c.restoredLoads, key)
		}
	}
}
