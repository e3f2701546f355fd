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

// client calls one daemon.
type client struct {
	daemon  string
	token   string
	timeout time.Duration
}

// callError is a call that failed, with what to do about it.
type callError struct {
	daemon string
	cause  error
	advice string
	status int
}

// Error says what failed where, and what to do.
func (e *callError) Error() string {
	return fmt.Sprintf("daemon %s: %v; %s", e.daemon, e.cause, e.advice)
}

// Unwrap gives the cause.
func (e *callError) Unwrap() error { return e.cause }

// maxAnswer bounds a daemon's answer, in bytes.
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
		Timeouts: stall.Evenly(c.timeout),
	}, body)
	if err != nil {
		return answer, c.explain(err, method == http.MethodPost)
	}
	return answer, nil
}

// explain turns an error into one that says what was done and what to do.
func (c client) explain(err error, changes bool) error {
	e := &callError{daemon: c.daemon, cause: err, status: exitFailed, advice: "nothing was done; look at the daemon's log"}
	var answered *wire.StatusError
	var dial *net.OpError
	switch {
	case errors.As(err, &answered):
		e.advice, e.status = adviceFor(answered, changes)
	case errors.As(err, &dial) && dial.Op == "dial":
		e.advice = "nothing was done; ask another daemon with --daemon"
	case changes:
		e.advice, e.status = adviceUnknown, exitUnknown
	}
	return e
}

const adviceUnknown = "it may have been done: look at the state, then do it again if it was not"

// adviceFor goes by the daemon's own word. An error status without it may come from something
// between, or be all that is left of an answer that was cut off.
func adviceFor(answered *wire.StatusError, changes bool) (advice string, status int) {
	switch {
	case answered.Status == http.StatusUnauthorized:
		return "nothing was done; give the operators' token with --token or RILLSAIL_TOKEN", exitFailed
	case answered.Kind == operator.KindConflict:
		return "nothing was done; get the configuration, look at the other change, which may be an earlier try of yours, and apply yours again if it is still needed", exitConflict
	case answered.Kind == operator.KindUnknown:
		return "get the configuration to see whether it is in force", exitUnknown
	case answered.Kind == operator.KindNotRun:
		return "nothing was done; try again in 10 seconds", exitFailed
	case answered.Status < http.StatusInternalServerError:
		return "nothing was done; correct the input", exitRefused
	case changes:
		return adviceUnknown, exitUnknown
	default:
		return "nothing was done; look at the daemon's log", exitFailed
	}
}

// readFile reads a JSON file, or standard input for "-".
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

// printJSON writes a value as indented JSON.
func (t *tool) printJSON(value any) error {
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
