// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

// Command ground2 plays a case of the review: it starts daemons as separate processes beside stand-ins for the store, the
// runners and the requesters, carries out one disruption, and checks one rule from what the stand-ins have seen.
//
// # Usage
//
//	ground2 -case wide -daemon target/rillsaild -template platform/settings.ini -out review/7 -trouble=true
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// verdict is what a case found.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by their names.
var cases = map[string]func(ctx context.Context, g *ground, trouble bool) (verdict, error){
	"wide": playWide,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	daemon := flag.String("daemon", "target/rillsaild", "path of the daemon's program")
	template := flag.String("template", "platform/settings.ini", "template of the daemon's settings")
	out := flag.String("out", ".", "folder of record.txt")
	daemons := flag.Int("daemons", 3, "number of daemons")
	trouble := flag.Bool("trouble", true, "carry out the disruption")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "ground2: no such case")
		return exitNoRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	g, err := newGround(ctx, groundConfig{
		daemon: *daemon, template: *template, record: filepath.Join(*out, "record.txt"), daemons: *daemons,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "ground2:", err)
		return exitNoRun
	}
	defer g.close()
	go endOnSignal(g)
	result, err := play(ctx, g, *trouble)
	switch {
	case err != nil:
		g.log("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "ground2:", err)
		return exitNoRun
	case result.broken:
		g.log("BROKEN: %s", result.text)
		fmt.Println("broken:", result.text)
		return exitBroken
	default:
		g.log("held: %s", result.text)
		fmt.Println("held:", result.text)
		return exitHeld
	}
}

// endOnSignal ends all processes when this one is told to stop.
func endOnSignal(g *ground) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	g.close()
	os.Exit(exitNoRun)
}
