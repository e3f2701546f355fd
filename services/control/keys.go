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

// Keys of the store; see the package comment.
const (
	layoutKey      = "layout"
	ownerPrefix    = "owner/"
	jobPrefix      = "job/"
	progressPrefix = "progress/"
	rosterPrefix   = "roster/"
	journalPrefix  = "journal/"
	learnedPrefix  = "learned/"
	daemonPrefix   = "daemon/"
	cancelSuffix   = "/cancel"
	markerName     = "owner"
)

func cellName(number int) jobs.CellName { return jobs.CellName(strconv.Itoa(number)) }

// cellsPerJob is in how many cells a job is looked for. Each costs a condition of its acceptance, a key
// that is removed when it is forgotten, and a question when nobody knows where it is. Tasks that last
// may be in further ones, which the records in these name.
const cellsPerJob = 3

// cellsOf gives the cells that a job is accepted for, to choose from. They never change, so that a job that is
// handed in again meets its own key.
func cellsOf(id jobs.ID, layout *jobs.Layout) []jobs.CellName {
	hash := xxhash.Sum64String(string(id))
	left := make([]int, layout.Cells) // not taken yet, from the one after the last that was
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
func journalKey(cell jobs.CellName) string         { return journalPrefix + string(cell) }
func jobKeyPrefix(cell jobs.CellName) string       { return jobPrefix + string(cell) + "/" }
func progressKeyPrefix(cell jobs.CellName) string  { return progressPrefix + string(cell) + "/" }
func jobKey(cell jobs.CellName, id jobs.ID) string { return jobKeyPrefix(cell) + string(id) }
func cancelKey(cell jobs.CellName, id jobs.ID) string {
	return jobKey(cell, id) + cancelSuffix
}

func daemonKey(id string) string { return daemonPrefix + id }

// jobKeys are the keys under which a job may be.
func jobKeys(cells []jobs.CellName, id jobs.ID) []string {
	keys := make([]string, 0, len(cells))
	for _, cell := range cells {
		keys = append(keys, jobKey(cell, id))
	}
	return keys
}

// markerKey is a second key of a cell's owner, among the cell's jobs: whoever watches the
// jobs sees the change of the owner before any job that was accepted after it.
func markerKey(cell jobs.CellName) string { return jobKeyPrefix(cell) + markerName }

func progressKey(cell jobs.CellName, id jobs.ID) string { return progressKeyPrefix(cell) + string(id) }

// parseJobKey takes a key with a cell's job prefix apart.
func parseJobKey(cell jobs.CellName, key string) (id jobs.ID, cancel bool) {
	rest := strings.TrimPrefix(key, jobKeyPrefix(cell))
	name, cancel := strings.CutSuffix(rest, cancelSuffix)
	return jobs.ID(name), cancel
}

// mustReload tells whether a watch can't go on from its version, and the state has to be
// read: the changes since are no longer kept, or more than an answer may hold.
func mustReload(err error) bool {
	return errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrTooLarge)
}

// isOutage tells whether an error says that the store can't be used now.
func isOutage(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown)
}
