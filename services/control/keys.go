// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/platform"
)

// Keys in the store; the package comment lists them.
const (
	layoutKey      = "layout"
	ownerPrefix    = "owner/"
	jobPrefix      = "job/"
	progressPrefix = "progress/"
	rosterPrefix   = "roster/"
	journalPrefix  = "journal/"
	learnedPrefix  = "learned/"
	claimsPrefix   = "claims/"
	daemonPrefix   = "daemon/"
	cancelSuffix   = "/cancel"
	markerName     = "owner"
)

func cellName(number int) jobs.CellName { return jobs.CellName(strconv.Itoa(number)) }

// cellsPerJob is the number of cells in which a job is looked up. Each cell costs a precondition when the
// job is accepted, a key to delete when it is forgotten, and a query when no daemon knows in which cell it is.
// Long-running tasks may be in additional cells, which the records in these cells name.
const cellsPerJob = 3

// cellsForJob returns the cells for one of which a job is accepted. They never change, so that a job that is
// submitted again conflicts with its own key.
func cellsForJob(id jobs.ID, layout *jobs.Layout) []jobs.CellName {
	hash := xxhash.Sum64String(string(id))
	left := make([]int, layout.Cells) // cells not chosen yet, beginning after the last chosen one
	for n := range left {
		left[n] = n
	}
	var cells []jobs.CellName
	for len(left) > 0 && len(cells) < cellsPerJob {
		size := uint64(len(left))
		next := int(hash % size)
		hash /= size
		cells = append(cells, cellName(left[next]))
		left = slices.Concat(left[next+1:], left[:next])
	}
	return cells
}

func ownerKey(cell jobs.CellName) string           { return ownerPrefix + string(cell) }
func rosterKey(cell jobs.CellName) string          { return rosterPrefix + string(cell) }
func learnedKey(cell jobs.CellName) string         { return learnedPrefix + string(cell) }
func claimsKey(cell jobs.CellName) string          { return claimsPrefix + string(cell) }
func journalKey(cell jobs.CellName) string         { return journalPrefix + string(cell) }
func jobKeyPrefix(cell jobs.CellName) string       { return jobPrefix + string(cell) + "/" }
func progressKeyPrefix(cell jobs.CellName) string  { return progressPrefix + string(cell) + "/" }
func jobKey(cell jobs.CellName, id jobs.ID) string { return jobKeyPrefix(cell) + string(id) }
func cancelKey(cell jobs.CellName, id jobs.ID) string {
	return jobKey(cell, id) + cancelSuffix
}

func daemonKey(id string) string { return daemonPrefix + id }

// jobKeys returns the keys of a job's records in the given cells.
func jobKeys(cells []jobs.CellName, id jobs.ID) []string {
	keys := make([]string, 0, len(cells))
	for _, cell := range cells {
		keys = append(keys, jobKey(cell, id))
	}
	return keys
}

// markerKey returns the second key of a cell's owner, which is among the cell's jobs: a watch of
// the jobs sees a change of owner before any job that was accepted after the change.
func markerKey(cell jobs.CellName) string { return jobKeyPrefix(cell) + markerName }

func progressKey(cell jobs.CellName, id jobs.ID) string { return progressKeyPrefix(cell) + string(id) }

// chunkKey returns the key of a chunk, or of a chunking. A chunking's key follows that of the progress to which it belongs, and the
// keys of its chunks follow its own.
func chunkKey(cell jobs.CellName, chunk jobs.Chunk) string {
	key := progressKey(cell, chunk.Job) + "/" + string(chunk.Chunking)
	if chunk.Number == jobs.ChunkingItself {
		return key
	}
	return key + "/" + strconv.Itoa(chunk.Number)
}

// parseProgressKey splits a key with the progress prefix of a cell into the job's id and, if the key is that of a chunking
// or a chunk, which one; an error for other keys.
func parseProgressKey(cell jobs.CellName, key string) (id jobs.ID, chunk *jobs.Chunk, err error) {
	parts := strings.Split(strings.TrimPrefix(key, progressKeyPrefix(cell)), "/")
	id = jobs.ID(parts[0])
	if len(parts) == 1 {
		return id, nil, nil
	}
	chunk = &jobs.Chunk{Job: id, Chunking: jobs.ChunkingID(parts[1]), Number: jobs.ChunkingItself}
	switch len(parts) {
	case 2:
	case 3:
		chunk.Number, err = strconv.Atoi(parts[2])
	default:
		err = errors.New("too many parts")
	}
	return id, chunk, errors.Wrapf(err, "key %s", key)
}

// parseJobKey splits a key with the job prefix of a cell into the job's id and whether the key is that of
// a cancellation.
func parseJobKey(cell jobs.CellName, key string) (id jobs.ID, cancel bool) {
	rest := strings.TrimPrefix(key, jobKeyPrefix(cell))
	name, cancel := strings.CutSuffix(rest, cancelSuffix)
	return jobs.ID(name), cancel
}

// mustReload reports whether a watch cannot continue from its version and the state has to be read whole:
// the store no longer keeps the changes since then, or they exceed the size limit of an answer.
func mustReload(err error) bool {
	return errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrTooLarge)
}

// isInvalid reports whether an error says that the store does not accept a change and has certainly not carried it out.
func isInvalid(err error) bool {
	return errors.Is(err, platform.ErrInvalid) && !errors.Is(err, platform.ErrUnknownOutcome)
}

// isOutage reports whether an error says that the store cannot be used at present.
func isOutage(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknownOutcome)
}
