//go:build review

// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package main plays cases of the second review: the platform's store, its runners, the operator and the requesters, as
// the users' pages describe them, beside daemons as separate processes.
//
// # Usage
//
//	standin-2 CASE FOLDER
//
// The exit status is 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	hostName = "hire.example"
	prefix   = "/hire/"
)

// record is what was sent, answered and run, in the order of time.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &record{file: file, began: time.Now()}
}

// add writes one line: the time since the begin, what happened, and pairs of names and values.
func (r *record) add(what string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f %s", time.Since(r.began).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, line.String())
}

// text returns what is recorded so far.
func (r *record) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := os.ReadFile(r.file.Name())
	if err != nil {
		panic(err)
	}
	return string(data)
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// ask makes one call as a requester or as the platform does; status 0: no answer.
func ask(method, url, host, body string) (status int, text string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if host != "" {
		request.Host = host
		request.Header.Set("@deadline@", "3000")
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// world is what a case plays with.
type world struct {
	record  *record
	store   *store
	fleet   *fleet
	daemons []*daemon
	trouble bool
	folder  string // temporary
}

// newWorld starts the store, the runners and the daemons, and waits until these are ready.
func newWorld(folder string, runners, daemons int) *world {
	temporary, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		panic(err)
	}
	w := &world{record: newRecord(folder + "/record.txt"), store: newStore(), trouble: os.Getenv("TROUBLE") != "0", folder: temporary}
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(listener, w.store.handler()) }() //nolint:gosec // a stand-in on a loopback address
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.end(exitNotRun)
	}()
	w.fleet = &fleet{store: w.store, record: w.record, guards: true}
	for range runners {
		w.fleet.add()
	}
	for n := range daemons {
		w.daemons = append(w.daemons, newDaemon(n+1, temporary, listener.Addr().String()))
	}
	return w
}

// run starts everything; it must be called after the fleet is configured.
func (w *world) run() {
	w.configure(1)
	for _, p := range w.fleet.places {
		p.boot()
	}
	for _, d := range w.daemons {
		d.start()
	}
	for _, d := range w.daemons {
		if !d.awaitReady(20 * time.Second) {
			fmt.Println("a daemon is not ready after 20 s")
			w.end(exitNotRun)
		}
	}
	time.Sleep(3 * time.Second) // the platform lets traffic begin 10 s after the machines
	w.record.add("traffic begins", "trouble", w.trouble)
}

// configure writes the operator's configuration.
func (w *world) configure(version int) {
	w.store.write("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "rate-quote", "hostname": hostName, "@prefix@": prefix, "backend": pool,
			"@target@": 250, "extension": 1.5, "max_attempts": 3,
		}},
		"services": []map[string]any{{"name": pool, "@rejects@": true}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
}

// end ends all processes and exits.
func (w *world) end(status int) {
	for _, d := range w.daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs of the daemons:", w.folder)
	}
	os.Exit(status)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	play(os.Args[2])
}
