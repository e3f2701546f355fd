// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import "time"

// The platforms that a daemon can run on.
const (
	// AdapterOwn is the interface of our own stand-ins.
	AdapterOwn = "own"
	// AdapterUsers is the platform of the users' sites; package platform speaks it.
	AdapterUsers = "users"
)

// Platform is section [platform]: the platform's services.
type Platform struct {
	// Adapter is the platform that the daemon runs on.
	Adapter     string
	Store       string // address of the key-value service
	List        string // address of the VM list
	ListEvery   time.Duration
	CallTimeout time.Duration // for how long a call to the store, the list or a worker may not move
	DialTimeout time.Duration // of a connection
	// WorkerTimeout is the least of the same for a call to a worker on the users' platform; it
	// grows while answers come late.
	WorkerTimeout time.Duration
	WatchWait     time.Duration // how long a watch waits at the store
}

func defaultPlatform() Platform {
	return Platform{
		Adapter: AdapterOwn, ListEvery: 2 * time.Second, CallTimeout: 2 * time.Second, DialTimeout: 500 * time.Millisecond,
		WorkerTimeout: time.Second, WatchWait: 30 * time.Second,
	}
}

func (p *Platform) register(r *registry) {
	r.choice("adapter", &p.Adapter, "the platform that the daemon runs on", AdapterOwn, AdapterUsers)
	r.address("store", &p.Store, "the platform's key-value service")
	r.address("list", &p.List, "the platform's VM list")
	r.duration("list_every", &p.ListEvery, 50*time.Millisecond, time.Minute, "how often the VM list is read")
	r.duration("call_timeout", &p.CallTimeout, 50*time.Millisecond, time.Minute, "for how long a call may not move: no answer, or an answer that does not go on")
	r.duration("worker_timeout", &p.WorkerTimeout, 50*time.Millisecond, time.Minute, "the same of a call to a worker on the users' platform, at least; it grows while answers come late")
	r.duration("dial_timeout", &p.DialTimeout, 10*time.Millisecond, time.Minute, "time limit of a connection to the platform")
	r.duration("watch_wait", &p.WatchWait, 100*time.Millisecond, 10*time.Minute, "how long one watch waits at the store")
}

func checkPlatform(s *Settings) *Error {
	keys := []requiredKey{{"store", s.Platform.Store}}
	if s.Platform.Adapter == AdapterOwn {
		keys = append(keys, requiredKey{"list", s.Platform.List})
	}
	return checkRequired("platform", keys)
}
