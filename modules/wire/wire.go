// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package wire decodes and encodes what crosses process boundaries. A value is
// handed on only when it was within its size limit, well formed, without unknown
// fields, and passed its own Check.
//
// # Usage
//
//	job, err := wire.Decode[models.JobSpec](request.Body, limit)
//	if err != nil {
//		wire.WriteError(w, err) // a typed 4xx
//		return
//	}
//	wire.Write(w, http.StatusOK, answer)
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/modules/stall"
)

// Checker is a wire type; Check says what is wrong with a decoded value.
type Checker interface{ Check() error }

// Kind says what is wrong with an input.
type Kind string

// The kinds of decoding error.
const (
	KindMalformed Kind = "malformed" // not JSON of this shape, or an unknown field
	KindOversized Kind = "oversized"
	KindInvalid   Kind = "invalid" // the value's own Check refused it
)

// Error is a decoding error; it says nothing was changed.
type Error struct {
	Kind  Kind
	cause error
}

// Error says the kind and the cause.
func (e *Error) Error() string { return "input is " + string(e.Kind) + ": " + e.cause.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.cause }

// Status is the HTTP status for the error.
func (e *Error) Status() int {
	switch e.Kind {
	case KindOversized:
		return http.StatusRequestEntityTooLarge
	case KindInvalid:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusBadRequest
	}
}

// Decode reads one value of at most limit bytes and checks it. Errors are *Error,
// or the reader's own.
func Decode[T Checker](r io.Reader, limit int64) (T, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		var zero T
		return zero, &Error{Kind: KindOversized, cause: err}
	}
	if err != nil {
		var zero T
		return zero, errors.Wrap(err, "read input")
	}
	if int64(len(data)) > limit {
		var zero T
		return zero, &Error{Kind: KindOversized, cause: errors.Newf("more than %d bytes", limit)}
	}
	return DecodeBytes[T](data)
}

// DecodeBytes decodes and checks one value.
func DecodeBytes[T Checker](data []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, &Error{Kind: KindMalformed, cause: err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return value, &Error{Kind: KindMalformed, cause: errors.New("data after the end of the value")}
	}
	if err := value.Check(); err != nil {
		return value, &Error{Kind: KindInvalid, cause: err}
	}
	return value, nil
}

// Write sends a value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller is gone if this fails
}

// Problem is the body of an error answer.
type Problem struct {
	Error string `json:"error"`
	Kind  string `json:"kind,omitempty"`
}

// Check is there for the decoder; every value is allowed.
func (p Problem) Check() error { return nil }

// WriteError sends err: decoding errors with their own status, others as 500.
func WriteError(w http.ResponseWriter, err error) {
	var e *Error
	if errors.As(err, &e) {
		Write(w, e.Status(), Problem{Error: err.Error(), Kind: string(e.Kind)})
		return
	}
	Write(w, http.StatusInternalServerError, Problem{Error: err.Error()})
}

// StatusError is an answer with an error status.
type StatusError struct {
	Status int
	Problem
}

// Error says the status and what the peer said.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Problem.Error
}

// Call describes one HTTP call with a JSON body.
type Call struct {
	Client *http.Client
	Method string // POST when empty
	URL    string
	Token  string // bearer token; empty sends none
	Limit  int64  // bytes of the answer
	// Timeouts end a call that does not move.
	Timeouts stall.Limits
}

// Do sends body (none when nil) and decodes the answer. Errors of the peer are
// *StatusError; all others are the connection's.
func Do[T Checker](ctx context.Context, call Call, body any) (T, error) {
	var zero T
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return zero, errors.Wrap(err, "encode call")
		}
		reader = bytes.NewReader(data)
	}
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, call.URL, reader)
	if err != nil {
		return zero, errors.Wrap(err, "make call")
	}
	request.Header.Set("Content-Type", "application/json")
	if call.Token != "" {
		request.Header.Set("Authorization", "Bearer "+call.Token)
	}
	response, err := stall.Do(call.Client, request, call.Timeouts)
	if err != nil {
		return zero, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return zero, statusError(response, call.Limit)
	}
	return Decode[T](response.Body, call.Limit)
}

func statusError(response *http.Response, limit int64) error {
	problem, err := Decode[Problem](response.Body, limit)
	if err != nil {
		problem = Problem{Error: response.Status}
	}
	return &StatusError{Status: response.StatusCode, Problem: problem}
}
