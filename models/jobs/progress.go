// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"math"

	"github.com/cockroachdb/errors"
)

// Progress is the stored outcome of an active job's tasks, so that workers may forget their ended
// runs. Long-running tasks have no outcomes there. The failures and suspicions of a job that has many of them are stored
// in chunks, each of which is a Progress as well; see Chunking.
type Progress struct {
	// DoneOccurrences holds the occurrences of which all tasks have succeeded.
	DoneOccurrences Numbers                  `json:"done_times,omitempty"`
	Done            map[int][]int            `json:"done,omitempty"`   // indexes of succeeded tasks of other occurrences, by step over all occurrences
	Failed          map[int]map[int]Failures `json:"failed,omitempty"` // counted failures by step and index
	// Suspected holds the suspicions against tasks whose workers were lost, long-running tasks included.
	Suspected Suspicions `json:"suspected,omitempty"`
}

// Empty reports whether there is nothing to store.
func (p Progress) Empty() bool {
	return len(p.DoneOccurrences)+len(p.Done)+len(p.Failed)+len(p.Suspected) == 0
}

// Failures lists the failed runs of a task that have been counted. The runs are listed one by one
// because reports of several workers may arrive in any order after a takeover.
type Failures []RunID

// Check rejects an invalid set of occurrences. Indexes outside the job are ignored when applied.
func (p Progress) Check() error {
	return errors.Wrap(p.DoneOccurrences.Check(), "occurrences that are done")
}

// SetFailures records the counted failures of a task.
func (p *Progress) SetFailures(step, index int, failures Failures) {
	if p.Failed == nil {
		p.Failed = map[int]map[int]Failures{}
	}
	if p.Failed[step] == nil {
		p.Failed[step] = map[int]Failures{}
	}
	p.Failed[step][index] = failures
}

// AddChunk adds the failures and suspicions of a chunk, in place: a job may have many chunks.
func (p *Progress) AddChunk(chunk Progress) {
	if p.Suspected == nil {
		p.Suspected = Suspicions{}
	}
	for step, byIndex := range chunk.Failed {
		for index, failures := range byIndex {
			p.SetFailures(step, index, failures)
		}
	}
	for step, byIndex := range chunk.Suspected {
		for index, suspicion := range byIndex {
			p.Suspected.Set(step, index, suspicion)
		}
	}
}

// Upper bounds of encoded sizes, in bytes: of the names and signs around the values, and of numbers of usual length.
const (
	encodedStep      = 16 // the key of a step, with the signs around its tasks
	encodedIndex     = 7  // of an index among succeeded tasks
	encodedRange     = 16 // of occurrences
	encodedKey       = 10 // of an index as the key of a task's entry
	encodedRun       = 21 // of a run number in a list
	encodedLoss      = 110
	encodedOpenRun   = 260 // without the worker's id
	encodedSuspicion = 110 // without its lists
)

// EncodedSize returns an upper bound of the size of the progress as it is stored, in bytes.
func (p Progress) EncodedSize() int {
	size := len(p.DoneOccurrences) * encodedRange
	for _, indexes := range p.Done {
		size += encodedStep + len(indexes)*encodedIndex
	}
	for _, byIndex := range p.Failed {
		size += encodedStep
		for _, failures := range byIndex {
			size += encodedKey + len(failures)*encodedRun
		}
	}
	return size + p.Suspected.EncodedSize()
}

// EncodedSize returns an upper bound of the size of the suspicions as they are stored, in bytes.
func (s Suspicions) EncodedSize() int {
	size := 0
	for _, byIndex := range s {
		size += encodedStep
		for _, suspicion := range byIndex {
			size += suspicion.EncodedSize()
		}
	}
	return size
}

// EncodedSize returns an upper bound of the size of the suspicion as it is stored, in bytes.
func (s Suspicion) EncodedSize() int {
	size := encodedKey + encodedSuspicion + len(s.Lost)*encodedLoss + len(s.UnobservedRuns)*encodedRun
	if s.Unresolved != nil {
		size += encodedOpenRun + len(s.Unresolved.Worker)
	}
	return size
}

// maxStoredRuns is how many lost runs of a task are stored one by one, and of how many unobserved ones the number. A task
// is judged by the sum of its evidence and by its first few losses, so that more are of no use.
const maxStoredRuns = 16

// Stored returns the suspicion as it is stored: with a bounded number of lost runs, of which the earliest stands for all
// before it. The sums of the evidence stay the same.
func (s Suspicion) Stored() Suspicion {
	if before := len(s.Lost) - maxStoredRuns; before > 0 {
		earliest := s.Lost[before]
		for _, lost := range s.Lost[:before] {
			earliest.EvidenceVsChance += lost.EvidenceVsChance
			earliest.EvidenceVsAll += lost.EvidenceVsAll
		}
		earliest.EvidenceVsChance = math.Round(100*earliest.EvidenceVsChance) / 100
		earliest.EvidenceVsAll = math.Round(100*earliest.EvidenceVsAll) / 100
		s.Lost = append([]LostRun{earliest}, s.Lost[before+1:]...)
	}
	s.UnobservedRuns = s.UnobservedRuns[max(0, len(s.UnobservedRuns)-maxStoredRuns):]
	return s
}

// ChunkingID distinguishes a division of a job's progress into chunks from all earlier ones.
type ChunkingID string

// Chunking is stored beside the progress of a job whose failures and suspicions are in chunks. It is always written
// together with the progress: if the versions of the two keys differ, an owner of an older version has written the
// progress since, and the chunks are void.
type Chunking struct {
	ID ChunkingID `json:"id"`
	// Tasks is the number of tasks in a chunk. Chunk n holds the tasks with the numbers n*Tasks to (n+1)*Tasks-1, where
	// the tasks of all steps of all occurrences are numbered one after the other.
	Tasks int `json:"tasks"`
}

// Check rejects a chunking without id or without tasks.
func (c Chunking) Check() error {
	if c.ID == "" || c.Tasks < 1 {
		return errors.Newf("chunking %q has %d tasks in a chunk", c.ID, c.Tasks)
	}
	return nil
}

// Chunk identifies a chunk of a job's progress.
type Chunk struct {
	Job      ID
	Chunking ChunkingID
	Number   int // or ChunkingItself
}

// ChunkingItself stands in place of a chunk's number for the Chunking to which the chunks belong.
const ChunkingItself = -1

// TaskNumber returns the number of a task among all tasks of the job, where steps are counted over all occurrences.
func (s *Spec) TaskNumber(step, index int) int {
	number := step / len(s.Steps) * s.OccurrenceTasks()
	for _, earlier := range s.Steps[:step%len(s.Steps)] {
		number += earlier.Count
	}
	return number + index
}

// TaskAt returns the step, counted over all occurrences, and the index of the task with a number.
func (s *Spec) TaskAt(number int) (step, index int) {
	tasks := s.OccurrenceTasks()
	step, index = number/tasks*len(s.Steps), number%tasks
	for _, each := range s.Steps {
		if index < each.Count {
			break
		}
		index -= each.Count
		step++
	}
	return step, index
}
