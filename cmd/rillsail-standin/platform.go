// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/standin/fleet"
	"rillsail.example/rillsail/services/standin/kv"
)

func storeCommand() *ffcli.Command {
	flags := flag.NewFlagSet("store", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address to listen on")
	writes := flags.Int("writes", 100, "allowed writes per second; 0: unlimited")
	reads := flags.Int("reads", 2000, "allowed reads per second; 0: unlimited")
	return &ffcli.Command{
		Name: "store", ShortHelp: "simulate the platform's key-value service", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			service := kv.New(kv.Config{WritesPerSecond: *writes, ReadsPerSecond: *reads})
			return serve(ctx, *listen, service.Handler(), func(context.Context) {})
		},
	}
}

func fleetCommand() *ffcli.Command {
	flags := flag.NewFlagSet("fleet", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address of VM list, control and audit")
	domains := flags.String("domains", "south/a,south/b,south/c,south/d", "failure domains")
	config := fleet.Config{RunName: fmt.Sprint(os.Getpid())}
	flags.IntVar(&config.Workers, "workers", 16, "worker VMs")
	flags.IntVar(&config.PerRack, "per-rack", 8, "workers per rack")
	flags.IntVar(&config.Upstreams, "upstreams", 8, "upstream VMs")
	flags.IntVar(&config.Slots, "slots", 8, "slots per upstream")
	flags.IntVar(&config.Conns, "connections", 64, "connections per upstream")
	flags.BoolVar(&config.RejectOvercommit, "guards", true, "workers refuse tasks that exceed their free capacity")
	flags.DurationVar(&config.ListLag, "list-lag", 2*time.Second, "lag of the VM list")
	flags.DurationVar(&config.ReportLag, "report-lag", 2*time.Second, "lag of latencies in reports")
	flags.Float64Var(&config.SizeError, "size-error", 0, "declared run times are off by up to 1+e times")
	flags.DurationVar(&config.UpstreamServiceTimes.Median, "median", 10*time.Millisecond, "median service time of upstreams")
	flags.Float64Var(&config.UpstreamServiceTimes.Sigma, "sigma", 0.6, "spread of service times")
	flags.DurationVar(&config.Tick, "tick", 20*time.Millisecond, "interval at which simulated tasks advance")
	cpu := flags.Int64("cpu", 16_000, "capacity of a worker, in thousandths of a core")
	memory := flags.Int64("memory", 61_440, "capacity of a worker, in MiB")
	return &ffcli.Command{
		Name: "fleet", ShortHelp: "simulate workers, upstreams and the VM list", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			config.Domains = strings.Split(*domains, ",")
			config.Worker = models.Resources{CPU: models.MilliCPU(*cpu), Memory: models.MiB(*memory)}
			config.UpstreamServiceTimes.Max = maxServiceTimeFactor * config.UpstreamServiceTimes.Median
			f, err := fleet.New(config)
			if err != nil {
				return err
			}
			return serve(ctx, *listen, f.Handler(), f.Run)
		},
	}
}

// maxServiceTimeFactor bounds random service times, as a multiple of the median.
const maxServiceTimeFactor = 50
