// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rillsail.example/rillsail/routers"
	"rillsail.example/rillsail/services/standin/demo"
)

func demoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("demo", flag.ExitOnError)
	once := flags.Bool("once", false, "exit after the demonstration instead of running on")
	return &ffcli.Command{
		Name: "demo", ShortHelp: "run store, fleet and three daemons in one process and show their main functions", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return demo.Run(ctx, demo.Config{Out: os.Stdout, Once: *once, PrintNextSteps: printNext, Routers: routers.For})
		},
	}
}

// printNext prints the commands to try next.
func printNext(w io.Writer, d demo.Endpoints) {
	fmt.Fprintf(w, `
The platform is embedded; three daemons are running. In another terminal:

  export RILLSAIL_DAEMON=%s RILLSAIL_TOKEN=%s
  go run ./cmd/rillsail status
  go run ./cmd/rillsail services
  go run ./cmd/rillsail jobs
  go run ./cmd/rillsail explain %s
  curl -i -H 'Rillsail-Labels: app=quote' -d hello http://%s/quote

Ctrl-C ends it with a planned stop.
`, d.Operator, d.Token, d.Task, d.Caller)
}
