// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// What is stored of a job grows with the number of its tasks times that of their losses and failures, but a value of the
// store has a limit. So the progress of a job that outgrows a fraction of this limit is stored in chunks: each holds the
// failures and suspicions of a bounded number of consecutive tasks, and only chunks that have changed are stored again.
// The key of the progress itself holds what is bounded by the limits of a job: which of its tasks have succeeded.
//
// Not all chunks fit into one transaction. The progress counts as stored up to the earliest change of a chunk that is not
// stored yet; tasks start again, and workers may forget ends of runs, by that version of it. The chunks take the place of
// the progress that was stored before as soon as all of them are stored for the first time.

const (
	// wholeProgressPart is the part of the largest value that a progress may take without being stored in chunks: one in so many.
	wholeProgressPart = 4
	// sizePerTaskOfChunk is the size that is allowed for in a chunk for each task, in bytes: that of the losses that are
	// stored of a task and of some tens of failures. It determines the number of tasks in a chunk.
	sizePerTaskOfChunk = 4 << 10
	// MaxEntriesPerJob is how many entries a job's change has in a transaction, without the chunks of its progress.
	MaxEntriesPerJob = 4
)

// chunks are the chunks of a job's progress.
type chunks struct {
	jobs.Chunking
	complete bool // all have been stored, and have taken the place of the whole progress
	byNumber map[int]*chunk
}

// chunk is what is known of the storage of one chunk.
type chunk struct {
	changed  uint64 // the job's version of the earliest change that is not stored; 0: there is none
	stored   bool   // the store holds it, perhaps as it was before the latest changes
	mayExist bool   // the store may hold it
}

// ChunkChange is a chunk to be stored, or to be removed if it is empty.
type ChunkChange struct {
	jobs.Chunk
	Content jobs.Progress

	changed uint64 // see chunk
}

// txnRoom is what is left in a transaction for the changes of further jobs.
type txnRoom struct {
	entries int
	size    int // in bytes
}

// takesJob reports whether there is room for another job.
func (r txnRoom) takesJob() bool { return r.entries >= MaxEntriesPerJob && r.size > 0 }

// use takes room for something of the given size.
func (r *txnRoom) use(entries, size int) {
	r.entries -= entries
	r.size -= size
}

// markTaskChanged marks what is stored of a task as changed.
func (c *Core) markTaskChanged(t *task) {
	j := t.step.job
	c.markChanged(j)
	if j.chunks != nil {
		j.chunks.touch(j.chunks.numberOf(&j.spec, t.step.flat(), t.index), j.version)
	}
}

// touchChunkOf marks the chunk of a task, if there is one, as changed.
func (c *Core) touchChunkOf(t *task) {
	if t.step.job.chunks != nil {
		c.markTaskChanged(t)
	}
}

// numberOf returns the number of the chunk of a task.
func (s *chunks) numberOf(spec *jobs.Spec, step, index int) int {
	return spec.TaskNumber(step, index) / s.Tasks
}

// markTaskChangedUrgently is markTaskChanged for a change that is to be stored without delay.
func (c *Core) markTaskChangedUrgently(t *task) {
	c.markTaskChanged(t)
	c.storeUrgently = true
}

// touch marks a chunk as changed in a version of the job.
func (s *chunks) touch(number int, version uint64) {
	state := s.byNumber[number]
	if state == nil {
		state = &chunk{}
		s.byNumber[number] = state
	}
	if state.changed == 0 {
		state.changed = version
	}
}

// changed returns the numbers of the chunks that have changed, those that have waited longest first.
func (s *chunks) changed() []int {
	var numbers []int
	for number, state := range s.byNumber {
		if state.changed != 0 {
			numbers = append(numbers, number)
		}
	}
	slices.SortFunc(numbers, func(a, b int) int {
		return cmp.Or(cmp.Compare(s.byNumber[a].changed, s.byNumber[b].changed), cmp.Compare(a, b))
	})
	return numbers
}

// storedThrough returns the latest version of the job of which all is stored, if all but the changed chunks is stored up
// to the given version.
func (s *chunks) storedThrough(version uint64) uint64 {
	for _, state := range s.byNumber {
		if state.changed != 0 {
			version = min(version, state.changed-1)
		}
	}
	return version
}

// divideProgress begins to store the job's progress in chunks.
func (c *Core) divideProgress(j *job, whole jobs.Progress) {
	c.chunkings++
	j.chunks = &chunks{
		Chunking: jobs.Chunking{
			ID:    jobs.ChunkingID(fmt.Sprintf("%d-%d", c.config.Epoch, c.chunkings)),
			Tasks: max(1, c.config.MaxValueSize/sizePerTaskOfChunk),
		},
		byNumber: map[int]*chunk{},
	}
	touch := func(step, index int) { j.chunks.touch(j.chunks.numberOf(&j.spec, step, index), 1) }
	for step, byIndex := range whole.Failed {
		for index := range byIndex {
			touch(step, index)
		}
	}
	for step, byIndex := range whole.Suspected {
		for index := range byIndex {
			touch(step, index)
		}
	}
	c.config.Logger.Info("progress of a job is stored in chunks", zap.String("job", string(j.spec.ID)),
		zap.Int("chunks", len(j.chunks.byNumber)), zap.Int("tasks_per_chunk", j.chunks.Tasks), zap.Int("size", whole.EncodedSize()))
}

// takeChunks adds the changed chunks for which a transaction has room, one at the least.
func (j *job) takeChunks(change *JobChange, room *txnRoom) {
	for _, number := range j.chunks.changed() {
		state, content := j.chunks.byNumber[number], j.chunkContent(number)
		if content.Empty() && !state.mayExist {
			delete(j.chunks.byNumber, number)
			continue
		}
		size := content.EncodedSize()
		if len(change.Chunks) > 0 && (room.entries < 1 || room.size < size) {
			return
		}
		change.Chunks = append(change.Chunks, ChunkChange{
			Chunk: jobs.Chunk{Job: j.spec.ID, Chunking: j.chunks.ID, Number: number}, Content: content, changed: state.changed,
		})
		room.use(1, size)
		state.changed = 0
	}
}

// left reports whether changed chunks are left to be stored, and whether one of them has never been.
func (s *chunks) left() (changed, missing bool) {
	for _, state := range s.byNumber {
		changed = changed || state.changed != 0
		missing = missing || state.changed != 0 && !state.stored
	}
	return changed, missing
}

// chunkContent collects the failures and suspicions of the tasks of a chunk.
func (j *job) chunkContent(number int) jobs.Progress {
	content := jobs.Progress{Suspected: jobs.Suspicions{}}
	first := number * j.chunks.Tasks
	for at := first; at < first+j.chunks.Tasks; at++ {
		flat, index := j.spec.TaskAt(at)
		if s := j.heldStep(flat); s != nil {
			addToProgress(&content, &s.tasks[index])
		}
	}
	return content
}

// chunksStored records that the chunks of a change are stored.
func (s *chunks) chunksStored(change JobChange) {
	for _, each := range change.Chunks {
		state := s.byNumber[each.Number]
		state.stored = !each.Content.Empty()
		state.mayExist = state.stored
	}
	s.complete = s.complete || !change.ChunksOnly
}

// chunksUnstored takes back the chunks of a change whose outcome is unknown, or that was not stored.
func (s *chunks) chunksUnstored(change JobChange) {
	for _, each := range change.Chunks {
		state := s.byNumber[each.Number]
		state.mayExist = true
		state.changed = each.changed
	}
}

// RestoreChunks takes the chunks that the store holds, before the jobs of the cell are added. Valid names the chunkings
// that belong to the stored progress of their jobs.
func (c *Core) RestoreChunks(valid map[jobs.ID]jobs.Chunking, stored []jobs.Chunk) {
	c.restoredChunks = map[jobs.ID]*chunks{}
	for id, chunking := range valid {
		c.restoredChunks[id] = &chunks{Chunking: chunking, complete: true, byNumber: map[int]*chunk{}}
	}
	for _, each := range stored {
		restored := c.restoredChunks[each.Job]
		if restored == nil || restored.ID != each.Chunking {
			c.unusedChunks = append(c.unusedChunks, each)
		} else if each.Number != jobs.ChunkingItself {
			restored.byNumber[each.Number] = &chunk{stored: true, mayExist: true}
		}
	}
}

// DropUnusedChunks has the restored chunks deleted whose jobs are not active, once the jobs of the cell are added.
func (c *Core) DropUnusedChunks() {
	for _, id := range slices.Sorted(maps.Keys(c.restoredChunks)) {
		c.unusedChunks = append(c.unusedChunks, c.restoredChunks[id].keys(id)...)
	}
	c.restoredChunks = nil
}

// keys returns the chunks that the store may hold, and the chunking itself.
func (s *chunks) keys(id jobs.ID) []jobs.Chunk {
	keys := []jobs.Chunk{{Job: id, Chunking: s.ID, Number: jobs.ChunkingItself}}
	for _, number := range slices.Sorted(maps.Keys(s.byNumber)) {
		if s.byNumber[number].mayExist {
			keys = append(keys, jobs.Chunk{Job: id, Chunking: s.ID, Number: number})
		}
	}
	return keys
}

// dropChunks has the chunks deleted of a job whose progress is not needed any more.
func (c *Core) dropChunks(j *job) {
	if j.chunks == nil {
		return
	}
	c.unusedChunks = append(c.unusedChunks, j.chunks.keys(j.spec.ID)...)
	j.chunks = nil
}
