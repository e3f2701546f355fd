// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package load is an open-loop load generator: it sends requests at a fixed mean rate, whether answers arrive or not,
// checks each answer and measures latency from the time at which a request was due.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Config{Targets: addresses, Rate: 200, Duration: time.Minute, Mix: mix})
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/standin/fleet"
)

// Kind is a kind of request in the mix.
type Kind struct {
	Name         string
	Weight       int
	Labels       string
	Deadline     time.Duration
	Unrepeatable bool
	Watch        time.Duration // duration of a watch request; 0: no watch
	Work         time.Duration // service time; 0: chosen by the upstream
	Bytes        int           // padding of the answer
}

// Config configures a run.
type Config struct {
	Targets  []string // addresses of the daemons' listeners for callers; each gets the same share
	Rate     float64  // requests per second
	Duration time.Duration
	Mix      []Kind
	Seed     uint64
	IDPrefix string // prefix of the requests' ids
	// Retries is how often a refused request is sent again at once, to simulate a retry storm.
	Retries int
}

type runner struct {
	config  Config
	client  *http.Client
	mu      sync.Mutex
	report  Report
	started int
}

// idleConnsPerTarget bounds the idle connections that are kept to each target.
const idleConnsPerTarget = 512

// Run sends requests until the configured time is over and waits for the last answer.
func Run(ctx context.Context, config Config) (Report, error) {
	if len(config.Targets) == 0 || config.Rate <= 0 || len(config.Mix) == 0 {
		return Report{}, errors.New("load: Targets, Rate and Mix are required")
	}
	r := &runner{
		config: config, report: Report{Kinds: map[string]*KindReport{}},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerTarget}},
	}
	for _, kind := range config.Mix {
		r.report.Kinds[kind.Name] = newKindReport()
	}
	r.loop(ctx)
	r.client.CloseIdleConnections()
	for _, k := range r.report.Kinds {
		k.summarize()
	}
	return r.report, nil
}

// loop sends each request when it is due, and overdue requests at once.
func (r *runner) loop(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.config.Seed, 1))
	var group conc.WaitGroup
	defer group.Wait()
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at := time.Duration(0); at < r.config.Duration; at += r.nextGap(random) {
		timer.Reset(time.Until(start.Add(at)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		kind := r.draw(random)
		target := r.target(random)
		r.started++
		id := fmt.Sprintf("%s-%d", r.config.IDPrefix, r.started)
		group.Go(func() { r.run(ctx, kind, target, id, start.Add(at)) })
	}
}

// nextGap returns the time to the next request, exponentially distributed as with independent callers.
func (r *runner) nextGap(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() / r.config.Rate * float64(time.Second))
}

// draw chooses the kind of the next request at random, with probabilities proportional to the weights.
func (r *runner) draw(random *rand.Rand) Kind {
	total := 0
	for _, kind := range r.config.Mix {
		total += kind.Weight
	}
	n := random.IntN(total)
	for _, kind := range r.config.Mix {
		if n -= kind.Weight; n < 0 {
			return kind
		}
	}
	return r.config.Mix[0]
}

// target chooses the target of the next request at random.
func (r *runner) target(random *rand.Rand) string {
	return r.config.Targets[random.IntN(len(r.config.Targets))]
}

// run sends a request, retries it while it is refused, and counts the result.
func (r *runner) run(ctx context.Context, kind Kind, target, id string, due time.Time) {
	var got result
	resent := int64(0)
	for try := 0; ; try++ {
		got = r.send(ctx, kind, target, id, due)
		if got != notRun || try >= r.config.Retries {
			break
		}
		resent++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Kinds[kind.Name].count(got, resent, time.Since(due))
}

func (r *runner) send(ctx context.Context, kind Kind, target, id string, due time.Time) result {
	body := "body of " + id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/"+kind.Name, strings.NewReader(body))
	if err != nil {
		return broken
	}
	setHeaders(request.Header, kind, id)
	response, err := r.client.Do(request)
	if err != nil {
		return broken
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return classify(response, string(text), err, kind, id, body, due)
}

func setHeaders(h http.Header, kind Kind, id string) {
	h.Set(models.HeaderLabels, kind.Labels)
	h.Set(fleet.HeaderLoadID, id)
	if kind.Deadline > 0 {
		h.Set(models.HeaderDeadline, strconv.FormatInt(kind.Deadline.Milliseconds(), 10))
	}
	if kind.Unrepeatable {
		h.Set(fleet.HeaderUnrepeatable, "1")
		h.Set(models.HeaderIdempotencyKey, id)
	}
	if kind.Watch > 0 {
		h.Set(fleet.HeaderWatch, strconv.FormatInt(kind.Watch.Milliseconds(), 10))
	}
	if kind.Work > 0 {
		h.Set(fleet.HeaderWork, strconv.FormatInt(kind.Work.Milliseconds(), 10))
	}
	if kind.Bytes > 0 {
		h.Set(fleet.HeaderBytes, strconv.Itoa(kind.Bytes))
	}
}

// classify returns the result of a request according to its answer.
func classify(response *http.Response, text string, err error, kind Kind, id, body string, due time.Time) result {
	switch {
	case err != nil:
		return broken
	case response.Header.Get(models.HeaderOutcome) == string(models.RequestNotRun):
		return notRun
	case response.StatusCode != http.StatusOK:
		return unknown
	case kind.Watch > 0 && strings.HasSuffix(text, "end\n"):
		return right
	case kind.Watch > 0 || text != fleet.AnswerFor(id, []byte(body), kind.Bytes):
		return wrong
	case kind.Deadline > 0 && time.Since(due) > kind.Deadline:
		return late
	default:
		return right
	}
}
