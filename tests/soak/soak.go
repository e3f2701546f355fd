// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package soak runs real daemons as processes of their own against an emulated platform,
// lets faults happen to them from outside, and checks what callers and workers see. One
// seed makes one plan of faults. A run that breaks a promise leaves its seed, plan, logs
// and what was seen in a folder.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Config{Daemon: "bin/rillsaild", Seed: 7, Length: 30 * time.Second, Folder: dir, …})
//
// Where to look: what may go wrong and when in plan.go, what is started in site.go and
// daemon.go, how faults are brought about in inject.go, those of the store in store.go and
// what it sees of acceptances in acceptances.go, workers that do wrong in trouble.go, what jobs
// are like in jobs.go, callers in callers.go, how they behave in behaviors.go and what they know
// in record.go, versions of the configuration in configuration.go, what must hold in check.go and races.go,
// what a run leaves in report.go and plot.go.
package soak

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Config says what to run.
type Config struct {
	Daemon  string // the program
	Seed    uint64
	Length  time.Duration // in which faults begin
	Daemons int
	Workers int
	// WorkersPerCell divides the workers into cells.
	WorkersPerCell int
	// Rate is how many jobs callers hand in each second.
	Rate float64
	// CrashingOneIn lets one job in so many have a task that ends its workers; 0: none has.
	CrashingOneIn int
	// Naming is how workers name their incarnations; left out: NewIDs.
	Naming Naming
	// Restarts lets workers start again while calls to them go wrong, and all of them at once.
	Restarts bool
	// Folder takes logs, plan and report.
	Folder string
}

// Check rejects a configuration that can't be run.
func (c Config) Check() error {
	if c.Daemon == "" || c.Folder == "" {
		return errors.New("daemon and folder must be given")
	}
	if c.Daemons < 1 || c.Workers < 1 || c.WorkersPerCell < 1 || c.Rate <= 0 || c.Length <= 0 {
		return errors.New("daemons, workers, workers per cell, rate and length must be positive")
	}
	return c.Naming.check()
}

// Run plays one seed and reports. The error says that the run itself failed; broken
// promises are in the report.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	s, err := newSite(ctx, config)
	if s != nil {
		defer s.close() // also what was started of one that didn't get ready
	}
	if err != nil {
		return nil, err
	}
	plan := newPlan(config)
	r := &run{
		config: config, site: s, plan: plan, begin: time.Now(), record: newCallerRecord(),
		report: &Report{Seed: config.Seed, Faults: map[Kind]int{}},
	}
	r.play(ctx)
	r.finish(ctx)
	return r.report, r.writeResults()
}

// Random numbers other than the plan's come from streams of their own, so that one use
// doesn't change what another one draws.
const (
	storeStream    = 1
	submitStream   = 2
	queryStream    = 3
	behaviorStream = 4
	// overlapStream is not the length of any run, which is the plan's stream.
	overlapStream = 1<<63 + 5
)

// run is one seed being played.
type run struct {
	config Config
	site   *site
	plan   Plan
	begin  time.Time
	record *callerRecord
	report *Report
}

// play lets callers work and faults happen until the plan is over.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Length)
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() { r.submitLoop(ctx) })
	group.Go(func() { r.queryLoop(ctx) })
	group.Go(func() { r.versionLoop(ctx) })
	group.Go(func() { r.sampleLoop(ctx) })
	r.injectLoop(ctx, &group)
	group.Wait()
}

// finish mends everything and checks what must hold then.
func (r *run) finish(ctx context.Context) {
	r.site.clearFaults()
	r.checkFinalStates(ctx)
	r.checkGuarantees()
	r.checkUnplannedExits()
	r.checkRaces()
	for _, breach := range r.site.emulator.Grid.Breaches() {
		r.record.addBreach(time.Since(r.begin), "workers", "%s", breach)
	}
	r.fillReport()
}
