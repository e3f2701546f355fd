// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"rillsail.example/rillsail/modules/stall"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/routers/operator"
)

// client makes calls to one daemon.
type client struct {
	daemon  string
	token   string
	timeout time.Duration
}

// callError is a failed call with advice for the operator and the exit status.
type callError struct {
	daemon string
	cause  error
	advice string
	status int
}

// Error returns the daemon, the cause and the advice.
func (e *callError) Error() string {
	return fmt.Sprintf("daemon %s: %v; %s", e.daemon, e.cause, e.advice)
}

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// maxAnswer bounds the size of a daemon's answer and of an input file, in bytes.
const maxAnswer = 256 << 20

func get[T wire.Checker](ctx context.Context, c client, path string) (T, error) {
	return call[T](ctx, c, http.MethodGet, path, nil)
}

func post[T wire.Checker](ctx context.Context, c client, path string, body any) (T, error) {
	return call[T](ctx, c, http.MethodPost, path, body)
}

func call[T wire.Checker](ctx context.Context, c client, method, path string, body any) (T, error) {
	answer, err := wire.Do[T](ctx, wire.Call{
		Client: http.DefaultClient, Method: method, URL: "http://" + c.daemon + path, Token: c.token, Limit: maxAnswer,
		Timeouts: stall.Uniform(c.timeout),
	}, body)
	if err != nil {
		return answer, c.explain(err, method == http.MethodPost)
	}
	return answer, nil
}

// explain turns an error of a call into a callError, which tells whether something may have been done
// and what to do next. changes is true if the call changes something.
func (c client) explain(err error, changes bool) error {
	e := &callError{daemon: c.daemon, cause: err, status: exitFailed, advice: "nothing was done; look at the daemon's log"}
	var statusErr *wire.StatusError
	var dial *net.OpError
	switch {
	case errors.As(err, &statusErr):
		e.advice, e.status = adviceFor(statusErr, changes)
	case errors.As(err, &dial) && dial.Op == "dial":
		e.advice = "nothing was done; ask another daemon with --daemon"
	case changes:
		e.advice, e.status = adviceUnknown, exitUnknown
	}
	return e
}

const adviceUnknown = "it may have been done: look at the state, then do it again if it was not"

// adviceFor returns the advice and exit status for an error status. It relies on the kind that the daemon
// gives. An error status without a kind may come from an intermediary or belong to a truncated answer;
// for a change, the outcome is then unknown.
func adviceFor(statusErr *wire.StatusError, changes bool) (advice string, status int) {
	switch {
	case statusErr.Status == http.StatusUnauthorized:
		return "nothing was done; give the operators' token with --token or RILLSAIL_TOKEN", exitFailed
	case statusErr.Kind == operator.KindConflict:
		return "nothing was done; get the configuration, look at the other change, which may be an earlier try of yours, and apply yours again if it is still needed", exitConflict
	case statusErr.Kind == operator.KindUnknown:
		return "get the configuration to see whether it is in force", exitUnknown
	case statusErr.Kind == operator.KindNotRun:
		return "nothing was done; try again in 10 seconds", exitFailed
	case statusErr.Status < http.StatusInternalServerError:
		return "nothing was done; correct the input", exitRefused
	case changes:
		return adviceUnknown, exitUnknown
	default:
		return "nothing was done; look at the daemon's log", exitFailed
	}
}

// readFile decodes a JSON file, or standard input if the name is "-".
func readFile[T wire.Checker](name string) (T, error) {
	file := os.Stdin
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			var zero T
			return zero, usageError{err}
		}
		defer func() { _ = opened.Close() }()
		file = opened
	}
	value, err := wire.Decode[T](file, maxAnswer)
	if err != nil {
		return value, usageError{fmt.Errorf("file %s: %w", name, err)}
	}
	return value, nil
}

// printJSON prints a value as indented JSON.
func (t *tool) printJSON(value any) error {
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
