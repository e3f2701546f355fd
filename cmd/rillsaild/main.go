// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Command rillsaild is the daemon: it forwards callers' requests to upstreams and
// decides, together with its peers, which tasks run on which workers.
//
// # Usage
//
//	rillsaild --config app.ini            run until SIGTERM, which is a planned stop
//	rillsaild --check --config app.ini    check the settings and exit
//
// Every setting is also a flag and an environment variable; -help lists them. The
// exit status is 0 after a planned stop or a successful check, and 2 if the settings
// are invalid or a listener can't be opened.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/platform"
	"rillsail.example/rillsail/routers"
	"rillsail.example/rillsail/services/control"
	"rillsail.example/rillsail/services/daemon"
	interfaces "rillsail.example/rillsail/services/platform"
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
		fmt.Println("settings are valid")
		return nil
	}
	logger, err := log.New(log.Config{Level: settings.Daemon.LogLevel, Process: "rillsaild", ID: settings.Daemon.ID})
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }() // an error can't be logged any more
	d, err := newDaemon(settings, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reload := reloader{args: args, settings: settings, logger: logger, hangups: hangups}
	var group conc.WaitGroup
	group.Go(func() { reload.loop(ctx) })
	d.Run(ctx)
	group.Wait()
	return nil
}

// reloader loads the settings again on SIGHUP and logs whether they have changed.
type reloader struct {
	args     []string
	settings *setting.Settings
	logger   *zap.Logger
	hangups  chan os.Signal
}

func (r *reloader) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			r.reload()
		}
	}
}

// reload logs whether the settings are valid and have changed. A running daemon keeps the settings that it
// was started with until its next start.
func (r *reloader) reload() {
	settings, err := setting.Load(setting.Config{Args: r.args})
	switch {
	case err != nil:
		r.logger.Error("changed settings are invalid, the previous settings stay in force", zap.Error(err))
	case reflect.DeepEqual(settings, r.settings):
		r.logger.Info("settings reloaded, nothing has changed")
	default:
		r.logger.Warn("settings have changed, the new settings take effect at the next start")
	}
}

// runner is the daemon that the settings select.
type runner interface{ Run(ctx context.Context) }

func newDaemon(settings *setting.Settings, logger *zap.Logger) (runner, error) {
	if settings.Platform.Adapter == setting.AdapterUsers {
		return newScheduler(settings, logger)
	}
	return daemon.New(daemon.Config{Settings: settings, Logger: logger, Routers: routers.For})
}

// newScheduler creates a daemon that uses the users' platform through the platform adapter.
func newScheduler(settings *setting.Settings, logger *zap.Logger) (runner, error) {
	workerCalls := control.NewWorkerCallLimit(settings.Platform.WorkerTimeout)
	client := platform.NewClient(platform.ClientConfig{
		CallTimeout: settings.Platform.CallTimeout, DialTimeout: settings.Platform.DialTimeout,
		WorkerTimeout: workerCalls.Current,
	})
	store := platform.NewStore(platform.StoreConfig{
		Client: client, Address: settings.Platform.Store, WatchWait: settings.Platform.WatchWait,
	})
	list := platform.NewList(platform.ListConfig{Store: store, Logger: logger})
	return daemon.NewScheduler(daemon.SchedulerConfig{
		Settings: settings, Logger: logger, Store: store, List: list, Cordons: list, Feed: list,
		Workers: platform.NewWorkers(client), WorkerCalls: workerCalls, Connections: client.Connections, Problems: list.Problems,
		Callers: func(callers interfaces.JobService) http.Handler {
			return platform.CallerHandler(platform.CallerConfig{
				Callers: callers, MaxBody: int64(settings.Listen.MaxBody), MaxTimeout: settings.Entry.Deadline,
			})
		},
		Ready: platform.ReadyHandler,
	})
}
