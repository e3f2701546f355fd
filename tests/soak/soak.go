// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package soak runs real daemons as processes of their own against an emulated platform,
// injects faults from outside, and checks what callers and workers observe. A seed determines
// the plan of faults. A run leaves its plan, report, plot and the daemons' logs in a folder.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Config{Daemon: "bin/rillsaild", Seed: 7, Length: 30 * time.Second, Folder: dir, …})
//
// The files: plan.go draws the faults, cordons.go cordons failure domains, takeovers.go loses workers and daemons together, drains.go cuts draining workers off, site.go and daemon.go start platform and daemons, inject.go
// applies faults, store.go applies the store's faults, acceptances.go records the acceptances that the
// store sees, misbehavior.go makes workers misbehave, jobs.go draws jobs, timed_jobs.go gives them times, callers.go runs callers, behavior.go
// draws how callers behave, record.go records what they observe, configuration.go changes and checks the
// configuration, check.go, progress.go and races.go check the guarantees, report.go and plot.go write the results.
package soak

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Config configures a run.
type Config struct {
	Daemon  string // path of the rillsaild program
	Seed    uint64
	Length  time.Duration // in which faults begin
	Daemons int
	Workers int
	// WorkersPerCell divides the workers into cells.
	WorkersPerCell int
	// Rate is how many jobs callers submit per second.
	Rate float64
	// CrashingOneIn is the share of jobs that have a task that crashes its workers: one in so many; 0: none.
	CrashingOneIn int
	// TimedOneIn is the share of jobs that run several times, some of them every minute for a week: one in so many; 0: none.
	TimedOneIn int
	// WideOneIn is the share of jobs that have WideTasks small tasks: one in so many; 0: none.
	WideOneIn int
	// WideTasks is the number of tasks of such a job; 0: defaultWideTasks.
	WideTasks int
	// Naming is how workers name their incarnations; NewIDs if empty.
	Naming Naming
	// Restarts enables restarts of workers while calls to them fail, and of all workers at once.
	Restarts bool
	// Cordons spreads the workers over failure domains, which operators cordon beside the faults.
	Cordons bool
	// Takeovers has workers go for good while others are silent and daemons are lost.
	Takeovers bool
	// Drains has workers that drain cut off while they run on.
	Drains bool
	// OddEntries has another writer leave entries among those of the workers that no worker would write.
	OddEntries bool
	// EndsPerReport is how many ended runs a worker lists at once; 0: as on the users' platform.
	EndsPerReport int
	// Folder gets the logs, plan, report and plot.
	Folder string
}

// Check rejects an invalid configuration.
func (c Config) Check() error {
	if c.Daemon == "" || c.Folder == "" {
		return errors.New("daemon and folder must be given")
	}
	if c.Daemons < 1 || c.Workers < 1 || c.WorkersPerCell < 1 || c.Rate <= 0 || c.Length <= 0 {
		return errors.New("daemons, workers, workers per cell, rate and length must be positive")
	}
	return c.Naming.check()
}

// Run runs one seed. An error means that the run itself failed; broken guarantees are in the
// report.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	s, err := newSite(ctx, config)
	if s != nil {
		defer s.close() // also the parts that were started if the site did not become ready
	}
	if err != nil {
		return nil, err
	}
	plan := newPlan(config)
	r := &run{
		config: config, site: s, plan: plan, begin: time.Now(), record: newCallerRecord(),
		report: &Report{Seed: config.Seed, Faults: map[Kind]int{}},
	}
	progress := r.startProgressChecks(ctx)
	r.execute(ctx)
	if r.clearFaults(ctx) {
		if config.Cordons {
			r.checkRemainingCordons(ctx)
		}
		r.checkFinalStates(ctx)
	}
	progress.stop()
	r.finish()
	return r.report, r.writeResults()
}

// Streams of random numbers. Each use other than the plan's has a stream of its own, so that it doesn't
// change what another use draws.
const (
	storeStream    = 1
	submitStream   = 2
	queryStream    = 3
	behaviorStream = 4
	// overlapStream differs from the length of any run, which is the plan's stream.
	overlapStream = 1<<63 + 5
)

// run is the state of a run of one seed.
type run struct {
	config Config
	site   *site
	plan   Plan
	begin  time.Time
	record *callerRecord
	report *Report
}

// execute runs callers, checks and faults for the length of the run.
func (r *run) execute(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Length)
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() { r.submitLoop(ctx, submissions{stream: submitStream, first: 1}) })
	group.Go(func() { r.queryLoop(ctx) })
	group.Go(func() { r.versionLoop(ctx) })
	group.Go(func() { r.sampleLoop(ctx) })
	r.injectLoop(ctx, &group)
	group.Wait()
}

// finish checks the guarantees and fills the report.
func (r *run) finish() {
	r.checkGuarantees()
	r.checkInvalidCalls()
	r.checkUnplannedExits()
	r.checkRaces()
	for _, breach := range r.site.emulator.Grid.Breaches() {
		r.record.addBreach(time.Since(r.begin), "workers", "%s", breach)
	}
	r.fillReport()
}
