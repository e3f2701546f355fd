// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errstep"
)

// answer is an upstream's answer whose header has arrived.
type answer struct {
	response     *http.Response
	timeToHeader time.Duration // from the start of the send to the header
	body         []byte        // the whole body, if buffered
	buffered     bool          // the body was read completely before relaying
}

// failure is an attempt without a usable answer.
type failure struct {
	err         error
	notRun      bool // no byte reached the upstream, or the upstream said that the request did not run
	contextDone bool // the caller disconnected or the deadline passed
	// answer is the upstream's own error answer, relayed if the request is not retried.
	answer *answer
}

func (f *failure) verdict() verdict {
	if f.contextDone {
		return verdictNone
	}
	return verdictFailure
}

func (f *failure) refusal(req *request) *refusal {
	r := &refusal{status: http.StatusBadGateway, outcome: models.RequestUnknown, reason: f.err.Error(), retryAfter: minRetryAfter}
	if f.contextDone {
		r.status = http.StatusGatewayTimeout
		r.reason = "deadline passed while the upstream worked: " + f.err.Error()
	}
	if f.notRun && req.sendCount == 0 {
		r.status, r.outcome = http.StatusServiceUnavailable, models.RequestNotRun
	}
	return r
}

// hopHeaders are hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// send makes one attempt and waits for the answer's header, or for the whole answer if its
// body fits into the buffer.
func (s *Service) send(ctx context.Context, req *request, slot *slot) (*answer, *failure) {
	// The transport may resend a repeatable request by itself on another connection. Each
	// connection counts as an attempt, because the answer to the last one says nothing about
	// the others.
	connections := 0
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connections++ }}
	outgoing, id := s.newUpstreamRequest(httptrace.WithClientTrace(ctx, trace), req, slot.address)
	start := time.Now()
	response, err := s.transportFor(req).RoundTrip(outgoing)
	req.sendCount += connections
	peer := string(slot.id)
	if err != nil {
		return nil, &failure{err: errstep.Wrap(err, "send request", peer), notRun: connections == 0, contextDone: ctx.Err() != nil}
	}
	if response.Close && !req.class.Unrepeatable {
		s.gate.recordLeaving(slot.upstream)
	}
	a := &answer{response: response, timeToHeader: time.Since(start)}
	if f := s.inspect(req, a, id, peer); f != nil {
		_ = response.Body.Close()
		f.contextDone = ctx.Err() != nil
		return nil, f
	}
	return a, nil
}

// transportFor returns the transport for the request. Each unrepeatable request uses a new
// connection, because an HTTP library may resend a request by itself after a reused one fails.
func (s *Service) transportFor(req *request) http.RoundTripper {
	if req.class.Unrepeatable {
		return s.singleUseTransport
	}
	return s.pooledTransport
}

func (s *Service) newUpstreamRequest(ctx context.Context, req *request, address string) (*http.Request, string) {
	id := s.config.NewID()
	out := &http.Request{
		Method: req.incoming.Method,
		URL:    &url.URL{Scheme: "http", Host: address, Path: req.incoming.URL.Path, RawPath: req.incoming.URL.RawPath, RawQuery: req.incoming.URL.RawQuery},
		Header: req.incoming.Header.Clone(), Host: req.incoming.Host,
		Body: io.NopCloser(bytes.NewReader(req.body)), ContentLength: int64(len(req.body)),
	}
	if len(req.body) == 0 {
		out.Body = http.NoBody
	}
	for _, name := range hopHeaders {
		out.Header.Del(name)
	}
	out.Header.Set(models.HeaderRequestID, id)
	return out.WithContext(ctx), id
}

// inspect checks that the answer belongs to this request, and buffers a short answer until it
// is complete.
func (s *Service) inspect(req *request, a *answer, id, peer string) *failure {
	r := a.response
	if echoed := r.Header.Get(models.HeaderRequestID); echoed != "" && echoed != id {
		return &failure{err: errstep.Wrap(errForeignAnswer, "check answer", peer)}
	}
	if r.Header.Get(models.HeaderOutcome) == string(models.RequestNotRun) {
		req.sendCount--
		return &failure{err: errstep.Wrap(errUpstreamRefused, "send request", peer), notRun: true}
	}
	if r.ContentLength < 0 || r.ContentLength > int64(s.config.Settings.BufferAnswer) {
		return nil // streamed; if the answer ends early, the caller's connection is aborted
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || int64(len(body)) != r.ContentLength && req.incoming.Method != http.MethodHead {
		return &failure{err: errstep.Wrap(errShortAnswer, "read answer", peer)}
	}
	a.body, a.buffered = body, true
	if r.StatusCode >= http.StatusInternalServerError && !req.class.Unrepeatable {
		return &failure{err: errstep.Wrap(statusError(r.StatusCode), "send request", peer), answer: a}
	}
	return nil
}

// relay passes the answer on to the caller and releases the slot.
func (s *Service) relay(w http.ResponseWriter, req *request, slot *slot, a *answer) outcome {
	defer func() { _ = a.response.Body.Close() }()
	v := verdictSuccess
	if a.response.StatusCode >= http.StatusInternalServerError {
		v = verdictFailure
	}
	if a.buffered {
		slot.release(v, a.timeToHeader)
		return s.relayBuffered(w, a)
	}
	copyHeader(w.Header(), a.response.Header)
	o := s.stream(w, req, a)
	if o.truncated {
		v = verdictFailure
	}
	slot.release(v, a.timeToHeader)
	return o
}

// relayBuffered passes on an answer whose body was buffered.
func (s *Service) relayBuffered(w http.ResponseWriter, a *answer) outcome {
	copyHeader(w.Header(), a.response.Header)
	w.WriteHeader(a.response.StatusCode)
	_, err := w.Write(a.body)
	return outcome{callerGone: err != nil}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopHeaders, name) && name != models.HeaderRequestID {
			to[name] = values
		}
	}
}

// streamBufferSize is the size in bytes of the buffer for streamed answers.
const streamBufferSize = 32 << 10

// stream passes on an answer in chunks as they arrive, flushing each.
func (s *Service) stream(w http.ResponseWriter, req *request, a *answer) outcome {
	w.WriteHeader(a.response.StatusCode)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := a.response.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return outcome{callerGone: true}
			}
			_ = controller.Flush()
		}
		switch {
		case err == io.EOF:
			return outcome{}
		case err != nil:
			return outcome{truncated: true, callerGone: req.incoming.Context().Err() != nil}
		}
	}
}
