// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package stall bounds HTTP calls by the time in which nothing of them moves, in place of
// their whole time. A time limit for a whole call is also one for the size of its answer
// over what the link has left: past that size every try is ended, begins anew at the first
// byte, and takes the link from the calls that would succeed. A call that still moves
// is left alone here; one whose peer or link is silent ends as soon as with a time
// limit for the whole.
//
// # Usage
//
//	conns := idleconn.New(idleconn.Config{Dial: (&net.Dialer{}).DialContext})
//	client := &stall.Client{
//		HTTP: &http.Client{Transport: &http.Transport{DialContext: conns.Dial}}, Conns: conns,
//		Limits: stall.Evenly(time.Second),
//	}
//	response, err := client.Do(request)
//	if errors.Is(err, stall.ErrStalled) { … } // reading response.Body may give it too
package stall

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/modules/idleconn"
)

// ErrStalled says that a call was ended because nothing of it moved for as long as its
// limits allow, or because all of it took longer than any call may.
var ErrStalled = errors.New("call has stalled")

// Limits of one call; the zero value sets none.
type Limits struct {
	// Answer bounds the time until the answer begins, from the start of the call or from
	// when the last part of its body was handed to the connection.
	Answer time.Duration
	// Silence bounds the time between two parts of the answer.
	Silence time.Duration
}

// Evenly are limits that allow the same time for each part of a call.
func Evenly(limit time.Duration) Limits { return Limits{Answer: limit, Silence: limit} }

// maxCallTime bounds a whole call, however steadily it moves: 8 MB, the largest answer that any
// caller reads, take 30 s at 2 Mbit/s, a fifth of the narrowest link in use.
const maxCallTime = 30 * time.Second

// Client makes calls that all have the same limits.
type Client struct {
	HTTP   *http.Client
	Limits Limits
	// Conns are the connections of HTTP. They are told of a call that stalls, so that idle ones
	// which went silent with the one that it used don't cost a call each; nil: they are not.
	Conns *idleconn.Set
}

// Do makes a call within limits, with a client whose connections are not told.
func Do(client *http.Client, request *http.Request, limits Limits) (*http.Response, error) {
	return (&Client{HTTP: client, Limits: limits}).Do(request)
}

// Do makes a call. The answer's body must be closed, as always. Errors are those of HTTP, or
// ErrStalled.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	limits := c.Limits
	if limits == (Limits{}) {
		return c.HTTP.Do(request)
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	now := time.Now()
	w := &watchdog{cancel: cancel, ctx: ctx, sent: now, deadline: now.Add(maxCallTime), host: request.URL.Host, conns: c.Conns}
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

// watchdog ends a call that does not move.
type watchdog struct {
	ctx      context.Context // of the call
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	sent     time.Time // when the call began
	deadline time.Time // of the call, also when it moves
	host     string
	conns    *idleconn.Set // nil: nobody is told
}

// expire ends the call. The connections are told first, for the next call comes at once.
func (w *watchdog) expire() {
	if w.conns != nil {
		w.conns.Stalled(w.host, w.sent)
	}
	w.cancel(ErrStalled)
}

// progressed leaves the call as much time again.
func (w *watchdog) progressed(limit time.Duration) {
	w.timer.Reset(min(limit, time.Until(w.deadline)))
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// markStalled says of an error whether it came about because the call had stalled.
func (w *watchdog) markStalled(err error) error {
	if errors.Is(context.Cause(w.ctx), ErrStalled) {
		return errors.Mark(errors.Wrap(err, ErrStalled.Error()), ErrStalled)
	}
	return err
}

// watchBody lets the watchdog see the parts of the call's own body that are sent.
func (w *watchdog) watchBody(request *http.Request, limit time.Duration) *http.Request {
	request = request.WithContext(w.ctx)
	if request.Body == nil || request.Body == http.NoBody {
		return request
	}
	request.Body = &body{ReadCloser: request.Body, watchdog: w, limit: limit, isRequest: true}
	if again := request.GetBody; again != nil {
		request.GetBody = func() (io.ReadCloser, error) {
			reader, err := again()
			return &body{ReadCloser: reader, watchdog: w, limit: limit, isRequest: true}, err
		}
	}
	return request
}

// body is a body whose reading shows that the call moves.
type body struct {
	io.ReadCloser
	watchdog  *watchdog
	limit     time.Duration
	isRequest bool // the call's, not the answer's
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if n > 0 {
		b.watchdog.progressed(b.limit)
	}
	if err == nil || err == io.EOF { // readers give the bare value at their end
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
