// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rillsail.example/rillsail/models"
)

// Suspicion holds the evidence that a task crashes its workers: the runs that were, or may have been, lost with
// their workers.
type Suspicion struct {
	Lost []LostRun `json:"lost,omitempty"`
	// Unresolved is a run that may be lost and whose outcome is not known yet, so that a successor of the
	// owner counts the run if its worker turns out to be lost; nil: none.
	Unresolved *UnresolvedRun `json:"open,omitempty"`
	// Unobserved is how many more runs may have been lost with their workers, observed by no owner.
	Unobserved int `json:"unseen,omitempty"`
	// UnobservedRuns lists the numbers of these runs, as far as they are known.
	UnobservedRuns []RunID `json:"unseen_runs,omitempty"`
	// CountedEpoch is the latest epoch whose takeover is taken into account: if the task lost a run at that
	// takeover, the run is included above; 0: no takeover is.
	CountedEpoch Epoch `json:"counted,omitempty"`
	// ClearedEpoch is the epoch in which a run of the task lasted so long that no earlier loss counts any
	// more; 0: no run has.
	ClearedEpoch Epoch `json:"cleared,omitempty"`
}

// Suspicions holds the suspicions against a job's tasks by step and index, where steps are counted
// over all occurrences of the job.
type Suspicions map[int]map[int]Suspicion

// Set records the suspicion against a task.
func (s Suspicions) Set(step, index int, suspicion Suspicion) {
	if s[step] == nil {
		s[step] = map[int]Suspicion{}
	}
	s[step][index] = suspicion
}

// MergedWith returns the suspicions of both sets. Of a task that is in both, the suspicion in other is kept. If other is
// empty, the result is s itself.
func (s Suspicions) MergedWith(other Suspicions) Suspicions {
	if len(other) == 0 {
		return s
	}
	sum := Suspicions{}
	for _, each := range []Suspicions{s, other} {
		for step, suspicions := range each {
			for index, suspicion := range suspicions {
				sum.Set(step, index, suspicion)
			}
		}
	}
	return sum
}

// LostRun is a run that was lost with its worker.
type LostRun struct {
	Run RunID `json:"run"`
	// RanAtMost is the longest time for which the run may have lasted; 0: no owner observed its duration.
	RanAtMost models.Milli `json:"ran_ms,omitempty"`
	// EvidenceVsChance is the log-likelihood ratio of the loss with the task as its cause against chance alone. Negative
	// values speak for the task.
	EvidenceVsChance float64 `json:"doubt,omitempty"`
	// EvidenceVsAll is the log-likelihood ratio of the loss with the task as its cause against chance or the other tasks on
	// the worker as its cause. Negative values speak for the task.
	EvidenceVsAll float64 `json:"weight,omitempty"`
	// LossID identifies the loss of the worker with which the run was lost; 0: not known.
	LossID WorkerLossID `json:"on,omitempty"`
}

// WorkerLossID identifies the loss of a worker's incarnation; all runs lost with the incarnation have the same
// cause. The type is a hash because a worker id and a start time would be most of the stored size of a lost run.
type WorkerLossID uint32

// LossID returns the identifier of the incarnation's loss.
func (i Incarnation) LossID() WorkerLossID {
	loss := WorkerLossID(xxhash.Sum64String(string(i.ID) + "/" + strconv.FormatInt(int64(i.Born), 10)))
	return max(loss, 1) // 0 means no loss
}

// UnresolvedRun is a run that counts as lost if its worker turns out to be lost.
type UnresolvedRun struct {
	LostRun
	Worker WorkerID `json:"worker"`
	// Born is the start time of the worker's incarnation; 0: not known.
	Born models.UnixMilli `json:"born,omitempty"`
	// BeganAt is when the run began, set while its duration is not known: the later the worker turns
	// out to be lost, the more likely it was lost by chance. 0: the duration is in LostRun.
	BeganAt models.UnixMilli `json:"began,omitempty"`
	// ChanceRate is the expected rate of worker losses by chance when the run began, in losses per second.
	ChanceRate float64 `json:"chance,omitempty"`
	// NeighbourRate is the expected rate of losses caused by the other tasks on the worker, in losses per second.
	NeighbourRate float64 `json:"beside,omitempty"`
	// Unobserved is set if it can't be established whether the worker crashed, because the worker was
	// silent until its lease was over.
	Unobserved bool `json:"unseen,omitempty"`
}

// Empty reports whether nothing needs to be stored of the task: no evidence against it and no epoch.
func (s Suspicion) Empty() bool { return s.Clean() && s.UncountedSince() == 0 }

// UncountedSince returns the epoch after which takeovers may have lost runs of the task that are not counted; 0: all
// takeovers may have.
func (s Suspicion) UncountedSince() Epoch { return max(s.ClearedEpoch, s.CountedEpoch) }

// Clean reports whether there is no evidence against the task.
func (s Suspicion) Clean() bool { return len(s.Lost) == 0 && s.Unresolved == nil && s.Unobserved == 0 }

// HasRun reports whether a run is counted as lost or as possibly lost.
func (s Suspicion) HasRun(run RunID) bool {
	return slices.Contains(s.UnobservedRuns, run) || slices.ContainsFunc(s.Lost, func(lost LostRun) bool { return lost.Run == run })
}

// WithoutRun returns the suspicion without a run that was not lost after all. The result shares no slice of runs
// with s.
func (s Suspicion) WithoutRun(run RunID) Suspicion {
	s.Lost = slices.DeleteFunc(slices.Clone(s.Lost), func(lost LostRun) bool { return lost.Run == run })
	s.Unobserved -= len(s.UnobservedRuns)
	s.UnobservedRuns = slices.DeleteFunc(slices.Clone(s.UnobservedRuns), func(unobserved RunID) bool { return unobserved == run })
	s.Unobserved += len(s.UnobservedRuns)
	return s
}

// EvidenceVsChance returns the evidence of all lost runs against the task, compared with chance alone.
func (s Suspicion) EvidenceVsChance() float64 {
	sum := 0.0
	for _, lost := range s.Lost {
		sum += lost.EvidenceVsChance
	}
	return sum
}

// EvidenceVsAll returns the evidence of all lost runs against the task, compared with chance and the tasks beside it.
func (s Suspicion) EvidenceVsAll() float64 {
	sum := 0.0
	for _, lost := range s.Lost {
		sum += lost.EvidenceVsAll
	}
	return sum
}
