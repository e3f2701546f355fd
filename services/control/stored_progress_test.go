// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

const (
	presentChunking = jobs.ChunkingID("7-2")
	earlierChunking = jobs.ChunkingID("5-1")
)

// storedAs returns a key with its value and version.
func storedAs(t *testing.T, key string, value any, version platform.Version) platform.Record {
	t.Helper()
	data, err := json.Marshal(value)
	require.NoError(t, err)
	return platform.Record{Key: key, Value: data, Version: version}
}

// suspected returns progress with a lost run of the first step's task with an index.
func suspected(index int, run jobs.RunID) jobs.Progress {
	return jobs.Progress{Suspected: jobs.Suspicions{0: {index: {Lost: []jobs.LostRun{{Run: run}}}}}}
}

// TestChunksCountWithTheProgressTheyWereWrittenWith guards against losses that an owner takes from chunks which no longer
// belong to the stored progress: owners of older versions write it whole, and know nothing of chunks.
func TestChunksCountWithTheProgressTheyWereWrittenWith(t *testing.T) {
	cell, id := cellName(0), jobID(1)
	key := func(chunking jobs.ChunkingID, number int) string {
		return chunkKey(cell, jobs.Chunk{Job: id, Chunking: chunking, Number: number})
	}
	whole := jobs.Progress{Done: map[int][]int{0: {9}}}
	own := suspected(1, 11)
	own.Done = whole.Done
	cases := map[string]struct {
		records []platform.Record
		lost    []int // indexes of the tasks whose losses count
		chunked bool
	}{
		"stored whole": {records: []platform.Record{storedAs(t, progressKey(cell, id), own, 30)}, lost: []int{1}},
		"in chunks": {
			records: []platform.Record{
				storedAs(t, progressKey(cell, id), whole, 30), storedAs(t, key(presentChunking, jobs.ChunkingItself), jobs.Chunking{ID: presentChunking, Tasks: 4}, 30),
				storedAs(t, key(presentChunking, 0), suspected(2, 12), 31), storedAs(t, key(presentChunking, 5), suspected(20, 13), 29),
			},
			lost: []int{2, 20}, chunked: true,
		},
		"chunks of an earlier division": {
			records: []platform.Record{
				storedAs(t, progressKey(cell, id), whole, 30), storedAs(t, key(presentChunking, jobs.ChunkingItself), jobs.Chunking{ID: presentChunking, Tasks: 4}, 30),
				storedAs(t, key(presentChunking, 0), suspected(2, 12), 29), storedAs(t, key(earlierChunking, 0), suspected(3, 9), 12),
				storedAs(t, key(earlierChunking, jobs.ChunkingItself), jobs.Chunking{ID: earlierChunking, Tasks: 4}, 13),
			},
			lost: []int{2}, chunked: true,
		},
		"chunks that have not taken the place of the whole progress yet": {
			records: []platform.Record{storedAs(t, progressKey(cell, id), own, 30), storedAs(t, key(presentChunking, 0), suspected(2, 12), 31)},
			lost:    []int{1},
		},
		"written whole by an owner of an older version since": {
			records: []platform.Record{
				storedAs(t, progressKey(cell, id), own, 40), storedAs(t, key(presentChunking, jobs.ChunkingItself), jobs.Chunking{ID: presentChunking, Tasks: 4}, 30),
				storedAs(t, key(presentChunking, 0), suspected(2, 12), 31),
			},
			lost: []int{1},
		},
		"job has ended under an owner of an older version": {
			records: []platform.Record{
				storedAs(t, key(presentChunking, jobs.ChunkingItself), jobs.Chunking{ID: presentChunking, Tasks: 4}, 30), storedAs(t, key(presentChunking, 0), suspected(2, 12), 31),
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newStoredProgress()
			chunks := 0
			for _, record := range c.records {
				require.NoError(t, p.add(cell, record))
				if record.Key != progressKey(cell, id) {
					chunks++
				}
			}
			p.addChunks()
			require.Equal(t, c.lost, slices.Sorted(maps.Keys(p.byJob[id].Suspected[0])))
			require.Equal(t, c.chunked, p.chunkings[id].ID == presentChunking)
			require.Len(t, p.chunks, chunks, "all are known, so that those of no use can be deleted")
		})
	}
}

// TestStrangeKeysBesideProgressAreRejected guards against keys that are mistaken for those of a chunk.
func TestStrangeKeysBesideProgressAreRejected(t *testing.T) {
	for _, key := range []string{"progress/0/00/7-2/x", "progress/0/00/7-2/1/2"} {
		_, _, err := parseProgressKey(cellName(0), key)
		require.Error(t, err, key)
	}
}
