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

// knowledgeEvery is how often the knowledge goes with what is stored anyway: it costs no
// call of its own, some 20 KB for sixty serving steps and five times nine images, and factors
// change by less than their spread in two seconds.
const knowledgeEvery = 2 * time.Second

// stepKey names a step of a cell's job.
type stepKey struct {
	job  jobs.ID
	flat int
}

// takeKnowledge gives the knowledge to be stored when its time has come; nil otherwise.
func (c *Core) takeKnowledge(now time.Time) *jobs.Knowledge {
	if now.Sub(c.knowledgeAt) < knowledgeEvery {
		return nil
	}
	c.knowledgeAt = now
	knowledge := c.Knowledge(now)
	return &knowledge
}

// Knowledge is what the core has learned from its own workers' reports.
func (c *Core) Knowledge(now time.Time) jobs.Knowledge {
	k := c.model.Knowledge()
	k.At = c.timeOfDay(now)
	for _, j := range c.jobs {
		k.Loads = append(k.Loads, c.loadsOf(j, now)...)
	}
	for queue, usual := range c.usual {
		k.Speeds = append(k.Speeds, jobs.QueueSpeed{Queue: queue, Mean: usual.mean, Samples: usual.samples})
	}
	slices.SortFunc(k.Loads, func(a, b jobs.StepLoad) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
	slices.SortFunc(k.Speeds, func(a, b jobs.QueueSpeed) int { return cmp.Compare(a.Queue, b.Queue) })
	return k
}

// loadsOf are the loads that a job's serving steps are known to have of their own.
func (c *Core) loadsOf(j *job, now time.Time) []jobs.StepLoad {
	var loads []jobs.StepLoad
	for _, s := range j.steps {
		if s.spec.Serves() && s.own.Known() {
			load := s.own.Summary()
			load.Job, load.Number = j.spec.ID, s.flat()
			load.At = c.timeOfDayThen(s.own.At(), now)
			loads = append(loads, load)
		}
	}
	return loads
}

// Restore takes the knowledge of a former owner, before the cell's jobs are added. Without
// it, a successor throttles what it need not for some ten seconds, while it learns all pairs
// of images anew, and lets heavy ones harm services meanwhile.
func (c *Core) Restore(k jobs.Knowledge, now time.Time) {
	c.model.Restore(k, max(0, now.Sub(c.timeAt(k.At, now)).Seconds()))
	for _, l := range k.Loads {
		c.restored[stepKey{l.Job, l.Number}] = contention.LoadOf(l, c.timeAt(l.At, now))
	}
	for _, s := range k.Speeds {
		c.usual[s.Queue] = &speed{mean: s.Mean, samples: s.Samples}
	}
}

// restoreLoads gives the job's steps the loads that a former owner knew.
func (c *Core) restoreLoads(j *job) {
	for _, s := range j.steps {
		key := stepKey{j.spec.ID, s.flat()}
		if own, ok := c.restored[key]; ok {
			s.own = own
			delete(c.restored, key)
		}
	}
}
