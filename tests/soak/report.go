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

// Breach is a promise that was broken.
type Breach struct {
	At     time.Duration `json:"at"` // since the run began
	SeenBy string        `json:"seen_by"`
	What   string        `json:"what"`
}

// Report is what came of a run.
type Report struct {
	Seed                 uint64          `json:"seed"`
	Faults               map[Kind]int    `json:"faults"` // that came about
	Jobs                 map[outcome]int `json:"jobs"`
	Queries              int             `json:"asked"`    // for states
	UnansweredQueries    int             `json:"unheard"`  // of them, without answer
	Checked              int             `json:"checked"`  // jobs, at the end
	LateRefusals         int             `json:"late"`     // refusals that took longer than they should
	NotFoundCancels      int             `json:"gone"`     // cancellations of jobs without answer that were told there is no such job
	LostAnswers          int             `json:"lost"`     // writes of jobs that the store did without answering
	Duration             time.Duration   `json:"took"`     // from the first fault to the last check
	StartsWithCheckpoint int             `json:"resumed"`  // starts that brought a checkpoint
	StartsBehind         int             `json:"behind"`   // starts with less work than a report had shown
	WorkRedone           time.Duration   `json:"redone"`   // the work that these began anew
	Breaches             []Breach        `json:"breaches"` // none: all promises were kept
}

// fillReport puts the report together.
func (r *run) fillReport() {
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	for _, h := range r.record.faults {
		r.report.Faults[h.fault.Kind]++
	}
	r.report.Jobs = r.record.counts
	r.report.Queries, r.report.UnansweredQueries = r.record.queries, r.record.unansweredQueries
	r.report.Checked = len(r.record.jobs)
	r.report.LateRefusals = r.record.lateRefusals
	r.report.NotFoundCancels, r.report.LostAnswers = r.record.notFoundCancels, r.site.storeFaults.accepted.lostAnswers
	workers := r.site.emulator.Grid
	r.report.StartsWithCheckpoint, r.report.StartsBehind, r.report.WorkRedone = workers.CheckpointsBrought(), len(workers.StartsBehind()), workers.WorkLost()
	r.report.Duration = time.Since(r.begin)
	r.report.Breaches = r.record.breaches
}

// writeResults writes plan, report and plot beside the daemons' logs.
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
