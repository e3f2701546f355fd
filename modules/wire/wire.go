// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package wire encodes and decodes the values that processes exchange over HTTP. A decoded value is returned only if it
// was within its size limit, well formed and without unknown fields, and has passed its own Check.
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

	"rillsail.example/rillsail/modules/errtext"
	"rillsail.example/rillsail/modules/stall"
)

// Checker is a type that can be decoded. Check returns an error if a decoded value is not valid.
type Checker interface{ Check() error }

// Kind is the kind of a decoding error.
type Kind string

// The kinds of decoding error.
const (
	KindMalformed Kind = "malformed" // not JSON of this shape, or an unknown field
	KindOversized Kind = "oversized"
	KindInvalid   Kind = "invalid" // refused by the value's own Check
)

// Error is a decoding error. The input has changed nothing.
type Error struct {
	Kind  Kind
	cause error
}

// Error returns the kind and the cause as text.
func (e *Error) Error() string { return "input is " + string(e.Kind) + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status for the error.
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

// Decode reads a value of at most limit bytes and checks it. Errors are *Error, or errors of the reader.
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

// DecodeBytes decodes and checks a value.
func DecodeBytes[T Checker](data []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, &Error{Kind: KindMalformed, cause: errtext.Limit(err)}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return value, &Error{Kind: KindMalformed, cause: errors.New("data after the end of the value")}
	}
	if err := value.Check(); err != nil {
		return value, &Error{Kind: KindInvalid, cause: errtext.Limit(err)}
	}
	return value, nil
}

// Write sends a value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // an error means that the caller has disconnected
}

// Problem is the body of an error answer.
type Problem struct {
	Error string `json:"error"`
	Kind  string `json:"kind,omitempty"`
}

// Check implements Checker; every value is allowed.
func (p Problem) Check() error { return nil }

// WriteError sends err: decoding errors with their own status, others with status 500.
func WriteError(w http.ResponseWriter, err error) {
	var e *Error
	if errors.As(err, &e) {
		Write(w, e.Status(), Problem{Error: err.Error(), Kind: string(e.Kind)})
		return
	}
	Write(w, http.StatusInternalServerError, Problem{Error: err.Error()})
}

// StatusError is the error of a call whose answer has an error status.
type StatusError struct {
	Status int
	Problem
}

// Error returns the status and the peer's error as text.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Problem.Error
}

// Call describes an HTTP call with a JSON body.
type Call struct {
	Client *http.Client
	Method string // POST if empty
	URL    string
	Token  string // bearer token; none is sent if empty
	Limit  int64  // maximum size of the answer in bytes
	// Timeouts limit the time that the call may go without progress.
	Timeouts stall.Limits
}

// Do sends body as JSON, or no body if it is nil, and decodes the answer. An answer with an error status becomes a
// *StatusError; all other errors are those of the connection.
func Do[T Checker](ctx context.Context, call Call, body any) (T, error) {
	var zero T
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return zero, errors.Wrap(err, "encode request body")
		}
		reader = bytes.NewReader(data)
	}
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, call.URL, reader)
	if err != nil {
		return zero, errors.Wrap(err, "create request")
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
