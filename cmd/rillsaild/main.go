// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Command rillsaild is the daemon: it takes callers' requests to upstreams and
// decides which tasks run on which workers, together with its peers.
//
// # Usage
//
//	rillsaild --config app.ini            run until SIGTERM, which is a planned stop
//	rillsaild --check --config app.ini    check the settings and end
//
// Every setting is also a flag and an environment variable; -help lists them. The
// exit status is 0 after a planned stop or a good check, and 2 for settings that
// are not allowed or listeners that can't be opened.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/routers"
	"rillsail.example/rillsail/services/daemon"
)

const exitUsage = 2

func main() {
	if err := run(os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "rillsaild:", err)
		}
		os.Exit(exitUsage)
	}
}

func run(args []string) error {
	settings, err := setting.Load(setting.Config{Args: args})
	if err != nil {
		return err
	}
	if settings.CheckOnly {
		fmt.Println("settings are good")
		return nil
	}
	logger, err := log.New(log.Config{Level: settings.Daemon.LogLevel, Process: "rillsaild", ID: settings.Daemon.ID})
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Config{Settings: settings, Logger: logger, Routers: routers.For})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d.Run(ctx)
	return nil
}
