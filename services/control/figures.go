// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/metrics"
	"rillsail.example/rillsail/services/dispatch"
)

// queueScope returns the metrics scope of the jobs of one queue.
func (s *Service) queueScope(queue jobs.QueueName) tally.Scope {
	return s.config.Scope.Tagged(map[string]string{"queue": string(queue)})
}

// metricsInterval is the interval at which the metrics of the owned cells are published.
const metricsInterval = time.Second

// RunMetrics publishes the metrics of the owned cells until ctx ends.
func (c *Cells) RunMetrics(ctx context.Context) {
	dropped := log.Dropped()
	calls := newCallMonitor(c)
	for ctx.Err() == nil {
		due := time.Now().Add(metricsInterval)
		sleep(ctx, metricsInterval)
		calls.publish(time.Since(due))
		now := log.Dropped()
		c.config.Scope.Counter("log_lines_dropped").Inc(now - dropped)
		dropped = now
		c.configurations.publishMetrics(c.config.Scope)
		for cell, owner := range c.ownedCells() {
			owner.publishMetrics(c.config.Scope.Tagged(map[string]string{"cell": string(cell)}))
		}
	}
}

// publishMetrics publishes the counts of an owner since the last call, and its gauges.
func (o *Owner) publishMetrics(scope tally.Scope) {
	o.mu.Lock()
	counts, summary := o.core.Counts(), o.core.Summary(o.config.Clock.Now())
	before := o.publishedCounts
	o.publishedCounts = counts
	figures := o.core.TakeJobFigures()
	o.mu.Unlock()
	publishJobMetrics(scope, figures)
	for name, delta := range map[string]int64{
		"runs_started":      counts.Starts - before.Starts,
		"runs_succeeded":    counts.Succeeded - before.Succeeded,
		"runs_failed":       counts.Failed - before.Failed,
		"runs_stopped":      counts.Stopped - before.Stopped,
		"runs_lapsed":       counts.Lapsed - before.Lapsed,
		"starts_refused":    counts.Refused - before.Refused,
		"starts_unanswered": counts.Unanswered - before.Unanswered,
		"throttles":         counts.Paces - before.Paces,
		"workers_lost":      counts.WorkersLost - before.WorkersLost,
		"reports_old":       counts.ReportsPassedOver - before.ReportsPassedOver,
		"runs_lost_unseen":  counts.LostUnseen - before.LostUnseen,
		"suspect_trials":    counts.Trials - before.Trials,
		"suspects_cleared":  counts.Cleared - before.Cleared,
		"jobs_given_up":     counts.GivenUp - before.GivenUp,
		"suspects_waiting":  counts.Contested - before.Contested,
		"trials_delayed":    counts.TrialsDelayed - before.TrialsDelayed,
		"witnesses_missing": counts.WitnessesMissing - before.WitnessesMissing,
		"starts_from_text":  counts.StartsFromText - before.StartsFromText,
		"starts_at_limit":   counts.LimitReached - before.LimitReached,
	} {
		scope.Counter(name).Inc(delta)
	}
	publishCheckpointMetrics(scope, counts, before)
	scope.Tagged(map[string]string{"by": "report"}).Counter("worker_restarts").Inc(counts.RestartsReported - before.RestartsReported)
	scope.Tagged(map[string]string{"by": "call"}).Counter("worker_restarts").Inc(counts.RestartsMet - before.RestartsMet)
	for name, value := range map[string]int{
		"jobs_active": summary.Jobs, "tasks_waiting": summary.Waiting, "tasks_leaving_capacity": summary.LeavingCapacity, "tasks_running": summary.Running,
		"serving_over_target": summary.OverTail, "filling_throttled": summary.Throttled, "filling_standby": summary.Standby,
		"workers_known": summary.Workers, "workers_usable": summary.Usable, "workers_cordoned": summary.Cordoned, "jobs_unstored": summary.Unstored,
	} {
		scope.Gauge(name).Update(float64(value))
	}
	scope.Gauge("report_age").Update(summary.ReportAge.Duration().Seconds())
}

// publishCheckpointMetrics publishes how many checkpoints in reports were not accepted, by reason.
func publishCheckpointMetrics(scope tally.Scope, counts, before dispatch.Counts) {
	for reason, delta := range map[string]int64{
		"not_asked_of": counts.TextsNotAskedOf - before.TextsNotAskedOf,
		"older":        counts.TextsOlder - before.TextsOlder,
		"unordered":    counts.TextsUnordered - before.TextsUnordered,
		"failed":       counts.TextsFailed - before.TextsFailed,
	} {
		scope.Tagged(map[string]string{"reason": reason}).Counter("texts_not_taken").Inc(delta)
	}
}

// publishJobMetrics publishes the first starts and the ends of jobs, by queue.
func publishJobMetrics(scope tally.Scope, figures dispatch.JobFigures) {
	for _, start := range figures.Starts {
		queue := scope.Tagged(map[string]string{"queue": string(start.Queue)})
		queue.Histogram("job_first_start_time", metrics.LatencyBuckets).RecordDuration(start.Age)
	}
	for _, end := range figures.Ends {
		queue := scope.Tagged(map[string]string{"queue": string(end.Queue), "outcome": string(end.Outcome)})
		queue.Counter("jobs_ended").Inc(1)
		queue.Histogram("job_time", metrics.LatencyBuckets).RecordDuration(end.Age)
	}
}

// Dump is the whole state of a daemon.
type Dump struct {
	Daemon        string                       `json:"daemon"`
	Ready         bool                         `json:"ready"`
	StoreAnswers  bool                         `json:"store_answers"`
	Configuration jobs.Version                 `json:"configuration"`
	Layout        *jobs.Layout                 `json:"layout,omitempty"`
	Owners        map[jobs.CellName]jobs.Owner `json:"owners"`
	Cells         map[jobs.CellName]CellDump   `json:"cells"` // the cells of this daemon
}

// CellDump is the state of a cell as its owner knows it.
type CellDump struct {
	Epoch   jobs.Epoch             `json:"epoch"`
	Summary dispatch.Summary       `json:"summary"`
	Counts  dispatch.Counts        `json:"counts"`
	Cordons []dispatch.CordonState `json:"cordons,omitempty"`
	Learned []jobs.LearnedFactor   `json:"learned,omitempty"`
	Workers []dispatch.WorkerState `json:"workers,omitempty"`
}

// Dump returns the whole state of the daemon for operators.
func (s *Service) Dump() Dump {
	now := s.config.Clock.Now()
	d := Dump{
		Daemon: s.config.Self, Ready: s.Ready(), StoreAnswers: s.health.available(), Layout: s.Cells.layout(),
		Owners: s.Cells.knownOwners(), Cells: map[jobs.CellName]CellDump{},
	}
	if configuration := s.ActiveConfiguration(); configuration != nil {
		d.Configuration = configuration.Version
	}
	for cell, owner := range s.Cells.ownedCells() {
		owner.mu.Lock()
		d.Cells[cell] = CellDump{
			Epoch: owner.epoch, Summary: owner.core.Summary(now), Counts: owner.core.Counts(),
			Cordons: owner.core.CordonStates(now), Learned: owner.core.Learned(), Workers: owner.core.WorkerStates(now),
		}
		owner.mu.Unlock()
	}
	return d
}
