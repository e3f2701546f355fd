// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rillsail.example/rillsail/services/standin/load"
)

// standardMix is the request mix that the users describe: quotes are ordinary requests, matches
// are urgent, contracts and watchers are deferred.
var standardMix = []load.Kind{
	{Name: "quote", Weight: 60, Labels: "app=quote", Deadline: time.Second},
	{Name: "match", Weight: 20, Labels: "app=match", Deadline: 500 * time.Millisecond, Unrepeatable: true},
	{Name: "contract", Weight: 18, Labels: "app=contract", Unrepeatable: true},
	{Name: "watcher", Weight: 2, Labels: "app=watcher", Watch: 2 * time.Second},
}

func loadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("load", flag.ExitOnError)
	targets := flags.String("target", "", "addresses of callers' listeners, separated by commas")
	config := load.Config{Mix: standardMix, IDPrefix: fmt.Sprintf("load-%d", os.Getpid())}
	flags.Float64Var(&config.Rate, "rate", 100, "requests per second")
	flags.DurationVar(&config.Duration, "for", 10*time.Second, "duration of the load")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the random numbers")
	flags.IntVar(&config.Retries, "retries", 0, "how often a refused request is retried at once")
	asJSON := flags.Bool("json", false, "print JSON instead of a table")
	return &ffcli.Command{
		Name: "load", ShortHelp: "send requests at a steady rate and measure the answers", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			config.Targets = strings.Split(*targets, ",")
			report, err := load.Run(ctx, config)
			if err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(os.Stdout).Encode(report)
			}
			_, err = fmt.Print(report)
			return err
		},
	}
}
