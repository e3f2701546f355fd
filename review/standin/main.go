// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

// Command standin plays the platform, the workers and the callers of a small deployment against real rillsaild
// processes, and checks one rule of the users' pages in each scenario.
//
// # Usage
//
//	standin SCENARIO --daemon target/rillsaild --template platform/settings.ini --record FILE [--trouble=false]
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the scenario could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxListed is how many breaches the record lists.
const maxListed = 100

// maxRunTime bounds a scenario; a script may take 120 s.
const maxRunTime = 110 * time.Second

// options are the parsed flags.
type options struct {
	daemon, template, record string
	trouble                  bool
}

// scenario plays a deployment and returns the breaches of its rule.
type scenario func(ctx context.Context, o options, r *record) ([]string, error)

var scenarios = map[string]scenario{
	"drain":    playDrain,
	"ends":     playEnds,
	"schedule": playSchedule,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the scenario that the arguments name and returns the exit code.
func run(args []string) int {
	var o options
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	flags.StringVar(&o.daemon, "daemon", "target/rillsaild", "program of the daemon")
	flags.StringVar(&o.template, "template", "platform/settings.ini", "template of the daemons' settings")
	flags.StringVar(&o.record, "record", "record.txt", "file for what was sent, answered and run")
	flags.BoolVar(&o.trouble, "trouble", true, "bring about the disruption")
	if len(args) == 0 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "standin: no such scenario")
		return exitNotRun
	}
	if err := flags.Parse(args[1:]); err != nil {
		return exitNotRun
	}
	r, err := newRecord(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	breaches, err := scenarios[args[0]](ctx, o, r)
	if err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	if len(breaches) == 0 {
		r.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	r.note("the rule was broken %d times; the first of them:", len(breaches))
	for _, breach := range breaches[:min(len(breaches), maxListed)] {
		r.note("broken: %s", breach)
	}
	fmt.Printf("the rule was broken %d times; first: %s\n", len(breaches), breaches[0])
	return exitBroken
}
