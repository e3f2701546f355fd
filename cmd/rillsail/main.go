// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Command rillsail is the operators' tool. It can ask any daemon, which forwards the call
// to the daemons that hold the data.
//
// # Usage
//
//	export RILLSAIL_DAEMON=127.0.0.1:7002 RILLSAIL_TOKEN=...
//	rillsail status
//	rillsail config apply -f change.json
//	rillsail jobs submit -f jobs.json
//	rillsail explain job/nightly-1/0
//	rillsail drain worker-12
//	rillsail explain 5c0e7a21d94b36f8 daemon-*.log
//
// Exit status: 0 success; 1 failure, nothing was done (with several jobs: for those named
// on standard error); 2 wrong usage; 3 conflict with another operator's change; 4 unknown
// outcome, the call or one of several jobs may have been done; 5 refused as invalid input.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit statuses, as documented above and in docs/operators/tool.md.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
	exitRefused  = 5
)

// tool holds what all subcommands use: the client and the output settings.
type tool struct {
	client client
	output string
	out    io.Writer
}

const defaultTimeout = 15 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs one command line and returns the exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{out: out}
	flags := flag.NewFlagSet("rillsail", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.StringVar(&t.client.daemon, "daemon", "127.0.0.1:7002", "operators' listener of any daemon (RILLSAIL_DAEMON)")
	flags.StringVar(&t.client.token, "token", "", "operators' token (RILLSAIL_TOKEN)")
	flags.DurationVar(&t.client.timeout, "timeout", defaultTimeout, "time limit of the call")
	flags.StringVar(&t.output, "output", "table", "table or json")
	root := &ffcli.Command{
		Name: "rillsail", ShortUsage: "rillsail [flags] <subcommand>", FlagSet: flags,
		Options:     []ff.Option{ff.WithEnvVarPrefix("RILLSAIL")},
		Subcommands: t.commands(),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(args); err != nil {
		return exitStatus(errOut, usageError{err})
	}
	if t.output != "table" && t.output != "json" {
		return exitStatus(errOut, usageError{fmt.Errorf("--output %q is neither table nor json", t.output)})
	}
	return exitStatus(errOut, root.Run(ctx))
}

func (t *tool) commands() []*ffcli.Command {
	return []*ffcli.Command{
		t.noArgCommand("status", "daemons, cells and upstreams", t.status),
		t.noArgCommand("cells", "cells with their owners", t.cells),
		t.noArgCommand("workers", "workers with their committed resources", t.workers),
		t.noArgCommand("services", "services with their replicas", t.services),
		t.noArgCommand("tasks", "tasks of all cells", t.tasks),
		t.noArgCommand("dump", "whole state of the asked daemon, as JSON", t.dump),
		t.explainCommand(),
		t.noArgCommand("refusals", "latest requests that the asked daemon refused, and why", t.refusals),
		t.oneArgCommand("drain", "<vm>", "keep new work off a VM and move away what it runs", t.drain),
		t.oneArgCommand("undrain", "<vm>", "let a drained VM take work again", t.undrain),
		t.labelCommand(),
		t.configCommand(),
		t.jobsCommand(),
		t.traceCommand(),
	}
}

// noArgCommand returns a subcommand that takes no arguments.
func (t *tool) noArgCommand(name, help string, do func(context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "rillsail " + name, ShortHelp: help,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("%s takes no arguments", name)}
			}
			return do(ctx)
		},
	}
}

// oneArgCommand returns a subcommand that takes exactly one argument.
func (t *tool) oneArgCommand(name, argument, help string, do func(context.Context, string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "rillsail " + name + " " + argument, ShortHelp: help,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError{fmt.Errorf("%s needs exactly one %s", name, argument)}
			}
			return do(ctx, args[0])
		},
	}
}

// usageError is an error in the command line or in an input file.
type usageError struct{ error }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.error }

// exitStatus prints the error with its advice and returns the exit status.
func exitStatus(errOut io.Writer, err error) int {
	var usage usageError
	var call *callError
	var jobs jobErrors
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, "rillsail:", err)
		return exitUsage
	case errors.As(err, &jobs):
		fmt.Fprintln(errOut, "rillsail:", err)
		return jobs.status()
	case errors.As(err, &call):
		fmt.Fprintln(errOut, "rillsail:", err)
		return call.status
	default:
		fmt.Fprintln(errOut, "rillsail:", err)
		return exitFailed
	}
}
