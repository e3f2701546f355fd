// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Command rillsail-soak runs real daemons under random faults and checks what callers and
// workers see; see the package soak.
//
// # Usage
//
//	rillsail-soak --daemon bin/rillsaild --seed 7 --length 30s
//	rillsail-soak --daemon bin/rillsaild --minutes 5        # fresh seeds
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

// options are the command line.
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

// run plays the seeds and gives how many of them broke a promise.
func run(ctx context.Context, args []string) (broken int, err error) {
	o, err := parse(args)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	for n := 0; ctx.Err() == nil && o.playsAnother(n, time.Since(began)); n++ {
		failed, err := o.playSeed(ctx, o.Seed+uint64(n))
		if err != nil {
			return broken, err
		}
		if failed {
			broken++
		}
	}
	return broken, nil
}

// playsAnother tells whether another seed is played after so many and so long.
// Less than no minutes: until the command is stopped.
func (o *options) playsAnother(played int, passed time.Duration) bool {
	if o.minutes == 0 {
		return played < o.seeds
	}
	return o.minutes < 0 || passed.Minutes() < o.minutes
}

// freshSeedLimit bounds fresh seeds: they have nine digits at most.
const freshSeedLimit = 1_000_000_000

// parse reads the command line and the environment.
func parse(args []string) (*options, error) {
	o := &options{}
	flags := flag.NewFlagSet("rillsail-soak", flag.ContinueOnError)
	flags.StringVar(&o.Daemon, "daemon", "bin/rillsaild", "the program of the daemons")
	flags.Uint64Var(&o.Seed, "seed", 0, "first seed; 0: a fresh one")
	flags.IntVar(&o.seeds, "seeds", 1, "how many seeds, one after the other")
	flags.Float64Var(&o.minutes, "minutes", 0, "play seeds for so long instead")
	flags.DurationVar(&o.Length, "length", 20*time.Second, "in which faults begin, for each seed")
	flags.IntVar(&o.Daemons, "processes", 3, "daemons")
	flags.IntVar(&o.Workers, "workers", 8, "workers")
	flags.IntVar(&o.WorkersPerCell, "workers-per-cell", 4, "workers of a cell")
	flags.Float64Var(&o.Rate, "rate", 8, "jobs that callers hand in a second")
	flags.IntVar(&o.CrashingOneIn, "crashing-one-in", 0, "one job in so many has a task that ends its workers; 0: none")
	flags.StringVar((*string)(&o.Naming), "ids", string(soak.NewIDs), "of workers that start again: new, same, or born (new, and they say when they started)")
	flags.BoolVar(&o.Restarts, "restarts", false, "workers start again while calls to them go wrong, and all at once")
	flags.StringVar(&o.folder, "folder", "soak", "where runs that broke a promise are left")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("RILLSAIL_SOAK")); err != nil {
		return nil, err
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano() % freshSeedLimit)
	}
	return o, nil
}

// playSeed plays one seed and says what came of it; what it leaves is removed if all was kept.
func (o *options) playSeed(ctx context.Context, seed uint64) (failed bool, err error) {
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

// printReport prints what came of a seed.
func printReport(report *soak.Report) {
	faults := 0
	for _, n := range report.Faults {
		faults += n
	}
	fmt.Printf("seed %d: %d faults, jobs %v, %d written without answer, %d said not to be there, %d answers of %d, %d starts with checkpoints, %d behind by %s, %d broken, %s\n",
		report.Seed, faults, report.Jobs, report.LostAnswers, report.NotFoundCancels, report.Queries-report.UnansweredQueries, report.Queries,
		report.StartsWithCheckpoint, report.StartsBehind, report.WorkRedone.Round(time.Millisecond), len(report.Breaches), report.Duration.Round(time.Millisecond))
	for _, b := range report.Breaches {
		fmt.Printf("  %s %s: %s\n", b.At.Round(time.Millisecond), b.SeenBy, b.What)
	}
}
