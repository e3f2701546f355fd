// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Command rillsail-standin simulates the platform and the callers, for trials and tests
// only: a key-value store, a fleet of workers and upstreams with their VM list, and
// a load generator. Each subcommand prints the address that it listens on as one line of
// JSON and runs until it is interrupted.
//
// # Usage
//
//	rillsail-standin store --listen 127.0.0.1:7100
//	rillsail-standin fleet --listen 127.0.0.1:7200 --workers 16 --upstreams 8
//	rillsail-standin load --target 127.0.0.1:7001 --rate 200 --for 30s
//	rillsail-standin demo      store, fleet and three daemons in one process
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sourcegraph/conc"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &ffcli.Command{
		ShortUsage: "rillsail-standin <store|fleet|load|demo> [flags]",
		Subcommands: []*ffcli.Command{
			storeCommand(), fleetCommand(), loadCommand(), demoCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "rillsail-standin:", err)
		}
		os.Exit(1)
	}
}

// readyLine is the line of JSON by which a stand-in announces the address that it listens on.
type readyLine struct {
	Address string `json:"address"`
}

// serve serves HTTP on the address and runs the background function until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler, background func(context.Context)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(readyLine{Address: listener.Addr().String()}); err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	var group conc.WaitGroup
	group.Go(func() { background(ctx) })
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener) // returns when ctx ends
	group.Wait()
	return nil
}
