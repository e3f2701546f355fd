// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rillsail.example/rillsail/modules/logtrace"
)

// traceCommand returns the subcommand that shows from logs what happened to a job; it calls no daemon.
func (t *tool) traceCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "trace", ShortUsage: "rillsail trace <job or task> [log file ...]",
		ShortHelp: "what happened to a job, from the logs of all daemons (files or standard input)",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("trace needs the id of a job or task")}
			}
			return t.trace(args[0], args[1:])
		},
	}
}

// explainCommand returns the subcommand that explains a task. It asks a daemon, or reads log files if
// they are given, so that it works without a running daemon.
func (t *tool) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "explain", ShortUsage: "rillsail explain <task> [log file ...]",
		ShortHelp: "why a task is where it is, or waits; with log files, what happened to a job or task",
		Exec: func(ctx context.Context, args []string) error {
			switch len(args) {
			case 0:
				return usageError{errors.New("explain needs the id of a task")}
			case 1:
				return t.explain(ctx, args[0])
			default:
				return t.trace(args[0], args[1:])
			}
		},
	}
}

// trace prints the log lines about a job or task.
func (t *tool) trace(id string, files []string) error {
	logs, closeAll, err := openLogs(files)
	if err != nil {
		return err
	}
	defer closeAll()
	lines, err := logtrace.Find(logs, id)
	if err != nil {
		return err
	}
	for _, line := range lines {
		fmt.Fprintln(t.out, line)
	}
	return nil
}

// openLogs opens log files to be read one after the other. Without files, or for the single name "-",
// it returns standard input.
func openLogs(files []string) (io.Reader, func(), error) {
	if len(files) == 0 || len(files) == 1 && files[0] == "-" {
		return os.Stdin, func() {}, nil
	}
	var readers []io.Reader
	var opened []*os.File
	closeAll := func() {
		for _, file := range opened {
			_ = file.Close() // opened for reading only
		}
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		opened = append(opened, file)
		readers = append(readers, file)
	}
	return io.MultiReader(readers...), closeAll, nil
}
