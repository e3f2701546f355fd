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

// Limits on answers of the platform, in bytes.
const (
	maxStoreAnswer  = 256 << 20
	maxListAnswer   = 16 << 20
	maxWorkerAnswer = 4 << 20
)

// Paths of the store's HTTP interface.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathSwap   = "/v1/swap"
	PathDelete = "/v1/delete"
	PathWatch  = "/v1/watch"
	PathGrant  = "/v1/lease/grant"
	PathKeep   = "/v1/lease/keep"
)

// StoreCall is the body of every call to the store; each path uses its part.
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

// MaxValue is the largest value the store takes, in bytes.
const MaxValue = 1 << 20

// Check rejects values over the store's limit and negative times.
func (c StoreCall) Check() error {
	if len(c.Value) > MaxValue {
		return errors.Newf("value of %s has %d bytes, at most %d are taken", c.Key, len(c.Value), MaxValue)
	}
	if c.TTL < 0 || c.Wait < 0 {
		return errors.New("ttl_ms or wait_ms is negative")
	}
	return nil
}

// StoreAnswer is the body of every answer of the store.
type StoreAnswer struct {
	Records []Record `json:"records,omitempty"`
	Version Version  `json:"version,omitempty"`
	Lease   LeaseID  `json:"lease,omitempty"`
}

// Check is there for the decoder; every value is allowed.
func (a StoreAnswer) Check() error { return nil }

// HTTPConfig says how to reach a service of the platform.
type HTTPConfig struct {
	Address     string        // IP and port
	CallTimeout time.Duration // of a call that does not move
	WatchWait   time.Duration // of one watch at the store
	Client      *http.Client  // shared; a new one when nil
}

// HTTPStore is Store over HTTP and JSON.
type HTTPStore struct {
	base      string
	client    *http.Client
	timeout   time.Duration
	watchWait time.Duration
}

// NewHTTPStore makes the adapter; it connects with the first call.
func NewHTTPStore(config HTTPConfig) *HTTPStore {
	return &HTTPStore{
		base: "http://" + config.Address, client: httpClientFor(config), timeout: config.CallTimeout, watchWait: config.WatchWait,
	}
}

// Connections kept to one service between calls.
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
	_, err := s.do(ctx, PathKeep, StoreCall{Lease: lease}, 0)
	return classifyWriteError(err)
}

// do makes a call whose answer may wait for so long at the store.
func (s *HTTPStore) do(ctx context.Context, path string, call StoreCall, wait time.Duration) (StoreAnswer, error) {
	return wire.Do[StoreAnswer](ctx, wire.Call{
		Client: s.client, URL: s.base + path, Limit: maxStoreAnswer,
		Timeouts: stall.Limits{Answer: s.timeout + wait, Silence: s.timeout},
	}, call)
}

// classifyReadError maps an error of a call that changes nothing.
func classifyReadError(err error) error {
	if err == nil {
		return nil
	}
	if known := errorOfStatus(err); known != nil {
		return known
	}
	return errors.Mark(err, ErrUnavailable)
}

// classifyWriteError maps an error of a call that may have taken effect. Only a refusal by
// the store itself, or a connection that was never made, proves that it did not.
func classifyWriteError(err error) error {
	if err == nil {
		return nil
	}
	if known := errorOfStatus(err); known != nil {
		return known
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return errors.Mark(err, ErrUnavailable)
	}
	return errors.Mark(err, ErrUnknown)
}

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
		return errors.Mark(err, ErrLimited)
	case http.StatusGone:
		return errors.Mark(err, ErrCompacted)
	case http.StatusPreconditionFailed:
		return errors.Mark(err, ErrNoLease)
	default:
		return nil
	}
}
