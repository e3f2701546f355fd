// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package stall_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/modules/stall"
)

// callCase is an entry of testdata/calls.json. Its times are pauses, except for that of the stall.
type callCase struct {
	Name   string  `json:"name"`
	Sent   []int64 `json:"sent_ms"`         // before each part of the call's body
	Answer int64   `json:"answer_ms"`       // between the end of the call's body and the answer
	Pieces []int64 `json:"pieces_ms"`       // before each part of the answer's body
	Stalls int64   `json:"stalls_after_ms"` // time from the start until the call is ended; 0 if it succeeds
}

const testLimit = time.Second

// TestCalls runs the cases of testdata/calls.json with limits of one second.
func TestCalls(t *testing.T) {
	for _, c := range casefile.Read[[]callCase](t, "testdata/calls.json") {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c callCase) run(t *testing.T) {
	client := &stall.Client{
		HTTP:   &http.Client{Transport: c},
		Limits: stall.Limits{Answer: testLimit, Silence: testLimit},
	}
	began := time.Now()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://peer", &slowBody{ctx: t.Context(), pauses: c.Sent})
	require.NoError(t, err)
	size, err := read(client, request)
	if c.Stalls > 0 {
		require.True(t, errors.Is(err, stall.ErrStalled), "%v", err)
		require.Equal(t, time.Duration(c.Stalls)*time.Millisecond, time.Since(began))
		return
	}
	require.NoError(t, err)
	require.Equal(t, len(c.Pieces), size)
}

// read makes a call and reads its answer.
func read(client *stall.Client, request *http.Request) (int, error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return len(data), err
}

// RoundTrip implements http.RoundTripper.
func (c callCase) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	sent := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, request.Body)
		sent <- err
	}()
	select {
	case err := <-sent:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := pause(ctx, c.Answer); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: &slowBody{ctx: ctx, pauses: c.Pieces}}, nil
}

// slowBody returns one byte after each pause.
type slowBody struct {
	ctx    context.Context
	pauses []int64
}

// Read implements io.Reader.
func (b *slowBody) Read(data []byte) (int, error) {
	if len(b.pauses) == 0 {
		return 0, io.EOF
	}
	err := pause(b.ctx, b.pauses[0])
	b.pauses = b.pauses[1:]
	if err != nil {
		return 0, err
	}
	data[0] = 'x'
	return 1, nil
}

// Close implements io.Closer.
func (b *slowBody) Close() error { return nil }

// pause waits for ms milliseconds, or until ctx ends.
func pause(ctx context.Context, ms int64) error {
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
