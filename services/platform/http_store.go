// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/stall"
	"rillsail.example/rillsail/modules/wire"
)

// Size limits on the platform's answers, in bytes.
const (
	maxStoreAnswer  = 256 << 20
	maxListAnswer   = 16 << 20
	maxWorkerAnswer = 4 << 20
)

// Paths of the store's HTTP interface.
const (
	PathGet       = "/v1/get"
	PathList      = "/v1/list"
	PathSwap      = "/v1/swap"
	PathDelete    = "/v1/delete"
	PathWatch     = "/v1/watch"
	PathGrant     = "/v1/lease/grant"
	PathKeepAlive = "/v1/lease/keep"
)

// StoreCall is the body of every call to the store; each path uses some of the fields.
type StoreCall struct {
	Key    string       `json:"key,omitempty"`
	Prefix string       `json:"prefix,omitempty"`
	Value  []byte       `json:"value,omitempty"`
	Expect Version      `json:"expect,omitempty"`
	After  Version      `json:"after,omitempty"`
	Lease  LeaseID      `json:"lease,omitempty"`
	TTL    models.Milli `json:"ttl_ms,omitempty"`
	Wait   models.Milli `json:"wait_ms,omitempty"`
}

// MaxValueSize is the size of the largest value that the store accepts, in bytes.
const MaxValueSize = 1 << 20

// Check rejects a value larger than MaxValueSize and negative durations.
func (c StoreCall) Check() error {
	if len(c.Value) > MaxValueSize {
		return errors.Newf("value of %s has %d bytes, at most %d are taken", c.Key, len(c.Value), MaxValueSize)
	}
	if c.TTL < 0 || c.Wait < 0 {
		return errors.New("ttl_ms or wait_ms is negative")
	}
	return nil
}

// StoreAnswer is the body of every answer from the store.
type StoreAnswer struct {
	Records []Record `json:"records,omitempty"`
	Version Version  `json:"version,omitempty"`
	Lease   LeaseID  `json:"lease,omitempty"`
}

// Check implements wire.Checker; every value is valid.
func (a StoreAnswer) Check() error { return nil }

// HTTPConfig configures the HTTP adapter of one platform service.
type HTTPConfig struct {
	Address     string        // IP and port
	CallTimeout time.Duration // longest time that a call may make no progress
	WatchWait   time.Duration // longest time that the store holds a watch call without changes
	Client      *http.Client  // may be shared; nil creates a new client
}

// HTTPStore implements Store over HTTP and JSON.
type HTTPStore struct {
	base      string
	client    *http.Client
	timeout   time.Duration
	watchWait time.Duration
}

// NewHTTPStore creates the adapter, which connects on its first call.
func NewHTTPStore(config HTTPConfig) *HTTPStore {
	return &HTTPStore{
		base: "http://" + config.Address, client: httpClientFor(config), timeout: config.CallTimeout, watchWait: config.WatchWait,
	}
}

// maxIdleConnsPerHost bounds the idle connections kept open to one service between calls.
const maxIdleConnsPerHost = 8

func httpClientFor(config HTTPConfig) *http.Client {
	if config.Client != nil {
		return config.Client
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: config.CallTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,
	}}
}

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (Record, error) {
	answer, err := s.do(ctx, PathGet, StoreCall{Key: key}, 0)
	if err != nil {
		return Record{}, classifyReadError(err)
	}
	if len(answer.Records) != 1 {
		return Record{}, errors.Newf("store answered %d records for key %s", len(answer.Records), key)
	}
	return answer.Records[0], nil
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, prefix string) ([]Record, Version, error) {
	answer, err := s.do(ctx, PathList, StoreCall{Prefix: prefix}, 0)
	return answer.Records, answer.Version, classifyReadError(err)
}

// Swap implements Store.
func (s *HTTPStore) Swap(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error) {
	answer, err := s.do(ctx, PathSwap, StoreCall{Key: key, Value: value, Expect: expect, Lease: lease}, 0)
	return answer.Version, classifyWriteError(err)
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, expect Version) error {
	_, err := s.do(ctx, PathDelete, StoreCall{Key: key, Expect: expect}, 0)
	return classifyWriteError(err)
}

// Watch implements Store.
func (s *HTTPStore) Watch(ctx context.Context, prefix string, after Version) ([]Record, Version, error) {
	call := StoreCall{Prefix: prefix, After: after, Wait: models.MilliOf(s.watchWait)}
	answer, err := s.do(ctx, PathWatch, call, s.watchWait)
	return answer.Records, answer.Version, classifyReadError(err)
}

// Grant implements Store.
func (s *HTTPStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	answer, err := s.do(ctx, PathGrant, StoreCall{TTL: models.MilliOf(ttl)}, 0)
	return answer.Lease, classifyWriteError(err)
}

// KeepAlive implements Store.
func (s *HTTPStore) KeepAlive(ctx context.Context, lease LeaseID) error {
	_, err := s.do(ctx, PathKeepAlive, StoreCall{Lease: lease}, 0)
	return classifyWriteError(err)
}

// do makes a call whose answer the store may hold back for up to wait.
func (s *HTTPStore) do(ctx context.Context, path string, call StoreCall, wait time.Duration) (StoreAnswer, error) {
	return wire.Do[StoreAnswer](ctx, wire.Call{
		Client: s.client, URL: s.base + path, Limit: maxStoreAnswer,
		Timeouts: stall.Limits{Answer: s.timeout + wait, Silence: s.timeout},
	}, call)
}

// classifyReadError marks the error of a call that changes nothing with its class.
func classifyReadError(err error) error {
	if err == nil {
		return nil
	}
	if marked := errorOfStatus(err); marked != nil {
		return marked
	}
	return errors.Mark(err, ErrUnavailable)
}

// classifyWriteError marks the error of a call that may have taken effect with its class. Only a rejection by the
// store itself or a failed dial proves that the call took no effect.
func classifyWriteError(err error) error {
	if err == nil {
		return nil
	}
	if marked := errorOfStatus(err); marked != nil {
		return marked
	}
	var netErr *net.OpError
	if errors.As(err, &netErr) && netErr.Op == "dial" {
		return errors.Mark(err, ErrUnavailable)
	}
	return errors.Mark(err, ErrUnknownOutcome)
}

// errorOfStatus marks an HTTP status error with the error that the status stands for; nil if there is none.
func errorOfStatus(err error) error {
	var status *wire.StatusError
	if !errors.As(err, &status) {
		return nil
	}
	switch status.Status {
	case http.StatusNotFound:
		return errors.Mark(err, ErrNotFound)
	case http.StatusConflict:
		return errors.Mark(err, ErrConflict)
	case http.StatusTooManyRequests:
		return errors.Mark(err, ErrRateLimited)
	case http.StatusGone:
		return errors.Mark(err, ErrCompacted)
	case http.StatusPreconditionFailed:
		return errors.Mark(err, ErrNoLease)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return errors.Mark(err, ErrInvalid)
	default:
		return nil
	}
}
