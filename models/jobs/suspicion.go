// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rillsail.example/rillsail/models"
)

// Suspicion is what is known against a task under which workers were lost.
type Suspicion struct {
	Lost []LostRun `json:"lost,omitempty"`
	// Open is a run that may be lost and whose outcome isn't known yet: should the owner go, its
	// successor counts it when the worker turns out to be gone. Nil: there is none.
	Open *OpenRun `json:"open,omitempty"`
	// Unseen is how many more runs may have been lost with their workers, seen by no owner.
	Unseen int `json:"unseen,omitempty"`
	// UnseenRuns are the numbers of those runs, as far as they are known.
	UnseenRuns []RunID `json:"unseen_runs,omitempty"`
	// Counted is the latest epoch whose takeover is counted: a run that was lost then is among those above,
	// or none was; 0: none is.
	Counted Epoch `json:"counted,omitempty"`
	// Cleared is the epoch in which a run of the task went on for so long that no loss before it
	// counts any more; 0: none has.
	Cleared Epoch `json:"cleared,omitempty"`
}

// Suspicions are what is known against a job's tasks, by step and index; steps are counted over
// all occurrences.
type Suspicions map[int]map[int]Suspicion

// Set notes what is known against a task.
func (s Suspicions) Set(flat, index int, suspicion Suspicion) {
	if s[flat] == nil {
		s[flat] = map[int]Suspicion{}
	}
	s[flat][index] = suspicion
}

// With gives what either of both has, the other one's first.
func (s Suspicions) With(other Suspicions) Suspicions {
	if len(other) == 0 {
		return s
	}
	sum := Suspicions{}
	for _, each := range []Suspicions{s, other} {
		for flat, suspicions := range each {
			for index, suspicion := range suspicions {
				sum.Set(flat, index, suspicion)
			}
		}
	}
	return sum
}

// LostRun is a run that was lost with its worker.
type LostRun struct {
	Run RunID `json:"run"`
	// Ran is for how long it had run at most; 0: nobody saw.
	Ran models.Milli `json:"ran_ms,omitempty"`
	// Doubt is what the loss says against the task compared with chance alone, Weight compared with
	// all that ran beside it too: logarithms of likelihoods; below zero they speak for it.
	Doubt  float64 `json:"doubt,omitempty"`
	Weight float64 `json:"weight,omitempty"`
	// With is the loss of a worker that it was lost in; 0: not known.
	With WorkerLoss `json:"on,omitempty"`
}

// WorkerLoss names the loss of an incarnation of a worker: all runs that were lost with it have the same
// cause. It is a hash, for an id and a start would be most of what is stored of a lost run.
type WorkerLoss uint32

// Loss names the incarnation's loss.
func (i Incarnation) Loss() WorkerLoss {
	loss := WorkerLoss(xxhash.Sum64String(string(i.ID) + "/" + strconv.FormatInt(int64(i.Born), 10)))
	return max(loss, 1) // 0 names none
}

// OpenRun is a run that counts as lost if its worker is gone.
type OpenRun struct {
	LostRun
	Worker WorkerID `json:"worker"`
	// Born is when the incarnation of the worker started; 0: not known.
	Born models.UnixMilli `json:"born,omitempty"`
	// Began is when the run began, while it is not known for how long it had run: the later the
	// worker turns out to be gone, the likelier that is by chance. 0: LostRun says it.
	Began models.UnixMilli `json:"began,omitempty"`
	// Chance and Beside are how many workers were lost a second then, by chance and by what else ran there.
	Chance float64 `json:"chance,omitempty"`
	Beside float64 `json:"beside,omitempty"`
	// Unseen says that nobody will know whether the worker crashed: it was silent until its lease
	// was over.
	Unseen bool `json:"unseen,omitempty"`
}

// Empty tells whether nothing is known of the task.
func (s Suspicion) Empty() bool { return s.Clean() && s.Since() == 0 }

// Since is the epoch after which takeovers may have lost runs of the task that are not counted; 0: all may.
func (s Suspicion) Since() Epoch { return max(s.Cleared, s.Counted) }

// Clean tells whether nothing is known against the task.
func (s Suspicion) Clean() bool { return len(s.Lost) == 0 && s.Open == nil && s.Unseen == 0 }

// Has tells whether a run is among those that were lost, or may have been.
func (s Suspicion) Has(run RunID) bool {
	return slices.Contains(s.UnseenRuns, run) || slices.ContainsFunc(s.Lost, func(lost LostRun) bool { return lost.Run == run })
}

// Without gives the suspicion without a run that was not lost after all. Its slices are not shared.
func (s Suspicion) Without(run RunID) Suspicion {
	s.Lost = slices.DeleteFunc(slices.Clone(s.Lost), func(lost LostRun) bool { return lost.Run == run })
	s.Unseen -= len(s.UnseenRuns)
	s.UnseenRuns = slices.DeleteFunc(slices.Clone(s.UnseenRuns), func(unseen RunID) bool { return unseen == run })
	s.Unseen += len(s.UnseenRuns)
	return s
}

// Doubt sums up what all lost runs say compared with chance.
func (s Suspicion) Doubt() float64 {
	sum := 0.0
	for _, lost := range s.Lost {
		sum += lost.Doubt
	}
	return sum
}

// Weight sums up what all lost runs say.
func (s Suspicion) Weight() float64 {
	sum := 0.0
	for _, lost := range s.Lost {
		sum += lost.Weight
	}
	return sum
}
