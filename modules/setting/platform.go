// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import "time"

// The platforms that a daemon can run on.
const (
	// AdapterOwn is the interface of this project's stand-ins for platform services.
	AdapterOwn = "own"
	// AdapterUsers is the platform of the users' sites, which package platform implements.
	AdapterUsers = "users"
)

// Platform is section [platform]: the services of the platform.
type Platform struct {
	// Adapter is the platform that the daemon runs on.
	Adapter     string
	Store       string // address of the key-value service
	List        string // address of the VM list
	ListEvery   time.Duration
	CallTimeout time.Duration // how long a call to the store, the list or a worker may go without progress
	DialTimeout time.Duration // for connecting
	// WorkerTimeout is the minimum time that a call to a worker on the users' platform may go without progress. The
	// limit grows while answers come late.
	WorkerTimeout time.Duration
	WatchWait     time.Duration // how long a watch waits at the store
	// MaxValueSize is the size of the largest value that the store accepts for a job's state, in bytes.
	MaxValueSize int
}

// Bounds of Platform.MaxValueSize, in bytes.
const (
	minMaxValueSize = 16 << 10
	maxMaxValueSize = 1 << 20
)

func defaultPlatform() Platform {
	return Platform{
		Adapter: AdapterOwn, ListEvery: 2 * time.Second, CallTimeout: 2 * time.Second, DialTimeout: 500 * time.Millisecond,
		WorkerTimeout: time.Second, WatchWait: 30 * time.Second, MaxValueSize: maxMaxValueSize,
	}
}

func (p *Platform) register(r *registry) {
	r.choice("adapter", &p.Adapter, "platform that the daemon runs on", AdapterOwn, AdapterUsers)
	r.address("store", &p.Store, "address of the platform's key-value service, called the store")
	r.address("list", &p.List, "address of the platform's VM list; not used on the users' platform")
	r.duration("list_every", &p.ListEvery, 50*time.Millisecond, time.Minute, "interval between reads of the VM list")
	r.duration("call_timeout", &p.CallTimeout, 50*time.Millisecond, time.Minute, "how long a call may go without progress: no answer, or an answer that does not continue")
	r.duration("worker_timeout", &p.WorkerTimeout, 50*time.Millisecond, time.Minute, "minimum time that a call to a worker on the users' platform may go without progress; the limit grows while answers come late")
	r.duration("dial_timeout", &p.DialTimeout, 10*time.Millisecond, time.Minute, "time limit for connecting to the platform")
	r.number("max_value_size", &p.MaxValueSize, minMaxValueSize, maxMaxValueSize, "size of the largest value that the store accepts for a job's state, in bytes")
	r.duration("watch_wait", &p.WatchWait, 100*time.Millisecond, 10*time.Minute, "how long a watch waits at the store")
}

func checkPlatform(s *Settings) *Error {
	keys := []requiredKey{{"store", s.Platform.Store}}
	if s.Platform.Adapter == AdapterOwn {
		keys = append(keys, requiredKey{"list", s.Platform.List})
	}
	return checkRequired("platform", keys)
}
