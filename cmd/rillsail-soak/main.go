// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Command rillsail-soak runs real daemons under random faults and checks what callers and
// workers observe; see package soak.
//
// # Usage
//
//	rillsail-soak --daemon bin/rillsaild --seed 7 --length 30s
//	rillsail-soak --daemon bin/rillsaild --minutes 5        # seeds from the clock
//	rillsail-soak --daemon bin/rillsaild --seeds 50 --seed 1
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"rillsail.example/rillsail/tests/soak"
)

// options holds the parsed command line.
type options struct {
	soak.Config
	seeds   int
	minutes float64
	folder  string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	broken, err := run(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "rillsail-soak:", err)
		os.Exit(2)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

// run runs the seeds and returns how many of them broke a guarantee.
func run(ctx context.Context, args []string) (broken int, err error) {
	o, err := parse(args)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	for n := 0; ctx.Err() == nil && o.hasNextSeed(n, time.Since(began)); n++ {
		failed, err := o.runSeed(ctx, o.Seed+uint64(n))
		if err != nil {
			return broken, err
		}
		if failed {
			broken++
		}
	}
	return broken, nil
}

// hasNextSeed reports whether another seed is run after the given number of seeds and the given time.
// With negative minutes the command runs until it is interrupted.
func (o *options) hasNextSeed(completed int, elapsed time.Duration) bool {
	if o.minutes == 0 {
		return completed < o.seeds
	}
	return o.minutes < 0 || elapsed.Minutes() < o.minutes
}

// freshSeedLimit bounds seeds taken from the clock, so that they have at most nine digits.
const freshSeedLimit = 1_000_000_000

// parse reads the options from the command line and the environment.
func parse(args []string) (*options, error) {
	o := &options{}
	flags := flag.NewFlagSet("rillsail-soak", flag.ContinueOnError)
	flags.StringVar(&o.Daemon, "daemon", "bin/rillsaild", "path of the rillsaild program")
	flags.Uint64Var(&o.Seed, "seed", 0, "first seed; 0: taken from the clock")
	flags.IntVar(&o.seeds, "seeds", 1, "number of seeds to run, one after the other")
	flags.Float64Var(&o.minutes, "minutes", 0, "run seeds for this many minutes instead; negative: until interrupted")
	flags.DurationVar(&o.Length, "length", 20*time.Second, "time of each run in which faults begin")
	flags.IntVar(&o.Daemons, "processes", 3, "number of daemons")
	flags.IntVar(&o.Workers, "workers", 8, "number of workers")
	flags.IntVar(&o.WorkersPerCell, "workers-per-cell", 4, "workers per cell")
	flags.Float64Var(&o.Rate, "rate", 8, "jobs that callers submit per second")
	flags.IntVar(&o.CrashingOneIn, "crashing-one-in", 0, "one in this many jobs has a task that crashes its workers; 0: none")
	flags.IntVar(&o.WideOneIn, "wide-one-in", 0, "one in this many jobs has hundreds of tasks, in a store of small values; 0: none")
	flags.IntVar(&o.WideTasks, "wide-tasks", 0, "number of tasks of these jobs; 0: 400")
	flags.IntVar(&o.TimedOneIn, "timed-one-in", 0, "one in this many jobs runs several times, some for a week; 0: none")
	flags.StringVar((*string)(&o.Naming), "ids", string(soak.NewIDs), "ids of workers that restart: new, same, or born (new, and workers report when they started)")
	flags.BoolVar(&o.Restarts, "restarts", false, "restart workers while calls to them fail, and all workers at once")
	flags.BoolVar(&o.Cordons, "cordons", false, "cordon failure domains beside the faults")
	flags.BoolVar(&o.Takeovers, "takeovers", false, "have workers go for good while others are silent and daemons are lost")
	flags.BoolVar(&o.Drains, "drains", false, "have workers that drain cut off while they run on")
	flags.BoolVar(&o.OddEntries, "odd-entries", false, "have another writer leave odd entries among those of the workers")
	flags.IntVar(&o.EndsPerReport, "ends-per-report", 0, "how many ended runs a worker lists at once; 0: as on the users' platform")
	flags.StringVar(&o.folder, "folder", "soak", "folder that keeps the files of runs that broke a guarantee")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("RILLSAIL_SOAK")); err != nil {
		return nil, err
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano() % freshSeedLimit)
	}
	return o, nil
}

// runSeed runs one seed and prints its result. The run's files are removed if no guarantee was broken.
func (o *options) runSeed(ctx context.Context, seed uint64) (failed bool, err error) {
	config := o.Config
	config.Seed = seed
	config.Folder = filepath.Join(o.folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, config)
	if err != nil {
		return false, err
	}
	printReport(report)
	if len(report.Breaches) > 0 {
		fmt.Println("  see", config.Folder)
		return true, nil
	}
	return false, os.RemoveAll(config.Folder)
}

// printReport prints the result of a seed.
func printReport(report *soak.Report) {
	faults := 0
	for _, n := range report.Faults {
		faults += n
	}
	fmt.Printf("seed %d: %d faults, jobs %v, %d writes of jobs not answered, %d cancellations answered with no such job, %d of %d queries answered, %d starts from checkpoints, %d starts behind the reported work by %s, %d breaches, %s\n",
		report.Seed, faults, report.Jobs, report.LostAnswers, report.NotFoundCancels, report.Queries-report.UnansweredQueries, report.Queries,
		report.StartsFromCheckpoint, report.StartsBehind, report.WorkRedone.Round(time.Millisecond), len(report.Breaches), report.Duration.Round(time.Millisecond))
	for _, b := range report.Breaches {
		fmt.Printf("  %s %s: %s\n", b.At.Round(time.Millisecond), b.SeenBy, b.What)
	}
}
