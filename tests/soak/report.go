// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Breach is a guarantee that was broken.
type Breach struct {
	At     time.Duration `json:"at"` // since the run began
	SeenBy string        `json:"seen_by"`
	What   string        `json:"what"`
}

// Report is the result of a run.
type Report struct {
	Seed                 uint64          `json:"seed"`
	Faults               map[Kind]int    `json:"faults"` // how often each kind was applied
	Jobs                 map[outcome]int `json:"jobs"`
	Queries              int             `json:"asked"`    // queries for the state of a job
	UnansweredQueries    int             `json:"unheard"`  // queries without answer
	Checked              int             `json:"checked"`  // jobs checked at the end
	LateRefusals         int             `json:"late"`     // refusals that took longer than maxRefusalTime
	NotFoundCancels      int             `json:"gone"`     // cancellations of jobs of unknown outcome that were answered with "no such job"
	LostAnswers          int             `json:"lost"`     // writes of jobs that the store committed without answering
	Duration             time.Duration   `json:"took"`     // from the first fault to the last check
	StartsFromCheckpoint int             `json:"resumed"`  // starts with a checkpoint
	StartsBehind         int             `json:"behind"`   // starts with less work done than a report had shown
	WorkRedone           time.Duration   `json:"redone"`   // work that the starts behind had to redo
	Breaches             []Breach        `json:"breaches"` // empty: all guarantees were kept
}

// fillReport fills the report from the record and the workers' counts.
func (r *run) fillReport() {
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	for _, f := range r.record.faults {
		r.report.Faults[f.fault.Kind]++
	}
	r.report.Jobs = r.record.counts
	r.report.Queries, r.report.UnansweredQueries = r.record.queries, r.record.unansweredQueries
	r.report.Checked = len(r.record.jobs)
	r.report.LateRefusals = r.record.lateRefusals
	r.report.NotFoundCancels, r.report.LostAnswers = r.record.notFoundCancels, r.site.storeFaults.accepted.lostAnswers
	workers := r.site.emulator.Grid
	r.report.StartsFromCheckpoint, r.report.StartsBehind, r.report.WorkRedone = workers.StartsFromCheckpoint(), len(workers.StaleCheckpointStarts()), workers.WorkLost()
	r.report.Duration = time.Since(r.begin)
	r.report.Breaches = r.record.breaches
}

// writeResults writes plan, report and plot to the folder that also holds the daemons' logs.
func (r *run) writeResults() error {
	for name, value := range map[string]any{"plan.json": r.plan, "report.json": r.report} {
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return errors.Wrapf(err, "encode %s", name)
		}
		if err := os.WriteFile(filepath.Join(r.config.Folder, name), data, 0o600); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	return errors.Wrap(os.WriteFile(filepath.Join(r.config.Folder, "run.svg"), []byte(r.renderPlot()), 0o600), "write plot")
}
