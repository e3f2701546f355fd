// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// fakeUpstream is an upstream with slots, for which requests queue in order.
type fakeUpstream struct {
	trial        *trialRun
	slots        chan struct{}
	slowdown     float64
	fails        bool
	leavesAt     time.Time
	active       int // requests that wait or are being served
	received     int
	receivedLate int // requests received more than 3 s after leavesAt
}

// accept counts a request and returns a random service time.
func (u *fakeUpstream) accept() time.Duration {
	u.trial.mu.Lock()
	defer u.trial.mu.Unlock()
	u.received++
	u.active++
	u.trial.reached++
	if u.active > u.trial.slots+1 {
		u.trial.overruns++ // one extra request is allowed, which hides the time on the wire
	}
	if !u.leavesAt.IsZero() && time.Since(u.leavesAt) > 3*time.Second {
		u.receivedLate++
	}
	return time.Duration(float64(trialMedian) * math.Exp(trialSigma*u.trial.random.NormFloat64()) * u.slowdown)
}

func (u *fakeUpstream) leave() {
	u.trial.mu.Lock()
	defer u.trial.mu.Unlock()
	u.active--
}

// RoundTrip implements http.RoundTripper: it simulates the network, the queue for slots and the service.
func (r *trialRun) RoundTrip(request *http.Request) (*http.Response, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(request.URL.Host, "10.0.0.1:"))
	if err != nil {
		return nil, err
	}
	u := r.upstreams[number-1]
	if trace := httptrace.ContextClientTrace(request.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if err := wait(request.Context(), trialOneWay); err != nil {
		return nil, err
	}
	work := u.accept()
	defer u.leave()
	if u.fails {
		return u.respond(request, http.StatusInternalServerError), nil
	}
	select {
	case u.slots <- struct{}{}:
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	time.Sleep(work) // the upstream completes the work even if the caller has disconnected
	<-u.slots
	if err := wait(request.Context(), trialOneWay); err != nil {
		r.count(&r.wasted)
		return nil, err
	}
	return u.respond(request, http.StatusOK), nil
}

// respond returns an answer; a leaving upstream closes the connection with it.
func (u *fakeUpstream) respond(request *http.Request, status int) *http.Response {
	leaving := !u.leavesAt.IsZero() && !time.Now().Before(u.leavesAt)
	return &http.Response{
		StatusCode: status, Header: http.Header{}, ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok")),
		Request: request, Close: leaving,
	}
}

// wait sleeps for d, or returns the error of ctx if ctx ends earlier.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
