// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package stall limits the time that an HTTP call may go without progress, instead of its total time. A total time
// limit also limits the size of the answer by the free bandwidth of the link: every attempt at a larger answer
// times out, starts again at the first byte, and takes bandwidth from calls that would succeed. This package lets
// a call with progress continue. A call whose peer or link is silent ends as soon as with a total time
// limit.
//
// # Usage
//
//	conns := idleconn.New(idleconn.Config{Dial: (&net.Dialer{}).DialContext})
//	client := &stall.Client{
//		HTTP: &http.Client{Transport: &http.Transport{DialContext: conns.Dial}}, Conns: conns,
//		Limits: stall.Uniform(time.Second),
//	}
//	response, err := client.Do(request)
//	if errors.Is(err, stall.ErrStalled) { … } // reading response.Body may return it too
package stall

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/modules/idleconn"
)

// ErrStalled is the error of a call that was ended because it made no progress within its limits, or because it took
// longer than any call may take.
var ErrStalled = errors.New("call has stalled")

// Limits are the time limits of a call; the zero value sets none.
type Limits struct {
	// Answer bounds the time until the answer begins, from the start of the call or from the time at which
	// the last part of its body was passed to the connection.
	Answer time.Duration
	// Silence bounds the time between two parts of the answer.
	Silence time.Duration
}

// Uniform returns limits that allow the same time for each part of a call.
func Uniform(limit time.Duration) Limits { return Limits{Answer: limit, Silence: limit} }

// maxCallTime bounds the total time of a call, even if it makes steady progress. 8 MB, the largest answer that
// any caller reads, takes 30 s at 2 Mbit/s, which is a fifth of the narrowest link in use.
const maxCallTime = 30 * time.Second

// Client makes calls that all have the same limits.
type Client struct {
	HTTP   *http.Client
	Limits Limits
	// Conns are the connections of HTTP; optional. The set is notified of each stalled call, so that idle
	// connections that went silent together with that of the call don't cost a call each.
	Conns *idleconn.Set
}

// Do makes a call within limits, without notifying the connections of the client.
func Do(client *http.Client, request *http.Request, limits Limits) (*http.Response, error) {
	return (&Client{HTTP: client, Limits: limits}).Do(request)
}

// Do makes a call. The caller must close the answer's body. Errors are those of package net/http, marked with ErrStalled
// if the call has stalled.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	limits := c.Limits
	if limits == (Limits{}) {
		return c.HTTP.Do(request)
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	now := time.Now()
	w := &watchdog{
		cancel: cancel, ctx: ctx, sent: now, deadline: now.Add(maxCallTime), host: request.URL.Host, conns: c.Conns,
	}
	w.timer = time.AfterFunc(limits.Answer, w.expire)
	response, err := c.HTTP.Do(w.watchBody(request, limits.Answer))
	if err != nil {
		w.stop()
		return nil, w.markStalled(err)
	}
	w.progressed(limits.Silence)
	response.Body = &body{ReadCloser: response.Body, watchdog: w, limit: limits.Silence}
	return response, nil
}

// watchdog ends a call that makes no progress.
type watchdog struct {
	ctx      context.Context // of the call
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	sent     time.Time // when the call began
	deadline time.Time // when the call is ended even if it makes progress
	host     string
	conns    *idleconn.Set // notified if the call stalls; may be nil
}

// expire ends the call. It notifies the connections first, because the next call may follow immediately.
func (w *watchdog) expire() {
	if w.conns != nil {
		w.conns.OnStall(w.host, w.sent)
	}
	w.cancel(ErrStalled)
}

// progressed restarts the time limit after progress of the call.
func (w *watchdog) progressed(limit time.Duration) {
	w.timer.Reset(min(limit, time.Until(w.deadline)))
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// markStalled marks err with ErrStalled if the call was ended because it had stalled.
func (w *watchdog) markStalled(err error) error {
	if errors.Is(context.Cause(w.ctx), ErrStalled) {
		return errors.Mark(errors.Wrap(err, ErrStalled.Error()), ErrStalled)
	}
	return err
}

// watchBody returns the request with a body that reports each part that is sent to the watchdog.
func (w *watchdog) watchBody(request *http.Request, limit time.Duration) *http.Request {
	request = request.WithContext(w.ctx)
	if request.Body == nil || request.Body == http.NoBody {
		return request
	}
	request.Body = &body{ReadCloser: request.Body, watchdog: w, limit: limit, isRequest: true}
	if getBody := request.GetBody; getBody != nil {
		request.GetBody = func() (io.ReadCloser, error) {
			reader, err := getBody()
			return &body{ReadCloser: reader, watchdog: w, limit: limit, isRequest: true}, err
		}
	}
	return request
}

// body is the body of a request or an answer. Reading from it counts as progress of the call.
type body struct {
	io.ReadCloser
	watchdog  *watchdog
	limit     time.Duration // time limit until the next progress
	isRequest bool
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if n > 0 {
		b.watchdog.progressed(b.limit)
	}
	if err == nil || err == io.EOF { // readers return io.EOF unwrapped
		return n, err
	}
	return n, b.watchdog.markStalled(err)
}

// Close implements io.Closer. Closing the answer's body ends the call.
func (b *body) Close() error {
	if !b.isRequest {
		defer b.watchdog.stop()
	}
	return b.ReadCloser.Close()
}
