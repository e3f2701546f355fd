// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import "time"

// Entry is section [entry]: the path of callers' requests.
type Entry struct {
	Picker        string
	MaxWaiting    int // requests queued for a slot
	Deadline      time.Duration
	DialTimeout   time.Duration
	RetryPercent  int // retries allowed for each hundred requests
	BufferAnswer  int // bytes of an answer held back until it is known to be whole
	DrainTimeout  time.Duration
	WatcherSlots  int // percent of all slots that deferred requests may hold
	SlowAfter     int // an upstream so many times slower than the median gets less
	ClaimKeepDone time.Duration
}

func defaultEntry() Entry {
	return Entry{
		Picker:        "divided",
		MaxWaiting:    2000,
		Deadline:      10 * time.Second,
		DialTimeout:   time.Second,
		RetryPercent:  10,
		BufferAnswer:  256 << 10,
		DrainTimeout:  10 * time.Minute,
		WatcherSlots:  60,
		SlowAfter:     3,
		ClaimKeepDone: 10 * time.Minute,
	}
}

func (e *Entry) register(r *registry) {
	r.choice("picker", &e.Picker, "how an upstream is picked", "random", "least-loaded", "two-choices", "divided")
	r.number("max_waiting", &e.MaxWaiting, 0, 1<<20, "requests that may wait for a slot")
	r.duration("deadline", &e.Deadline, 10*time.Millisecond, time.Hour, "time limit of a request that brings none")
	r.duration("dial_timeout", &e.DialTimeout, 10*time.Millisecond, time.Minute, "time limit for a connection to an upstream")
	r.number("retry_percent", &e.RetryPercent, 0, 100, "retries for each hundred requests")
	r.number("buffer_answer", &e.BufferAnswer, 0, 64<<20, "bytes of an answer held back until it is known to be whole")
	r.duration("drain_timeout", &e.DrainTimeout, time.Second, 24*time.Hour, "how long a planned stop waits for requests in flight")
	r.number("watcher_slots", &e.WatcherSlots, 1, 100, "percent of slots that deferred requests may hold")
	r.number("slow_after", &e.SlowAfter, 2, 100, "an upstream that is so many times slower than the median is used less")
	r.duration("claim_keep_done", &e.ClaimKeepDone, time.Second, 24*time.Hour, "how long the key of an ended unrepeatable request is kept")
}

func checkEntry(s *Settings) *Error {
	if s.Entry.DialTimeout > s.Entry.Deadline {
		return &Error{Section: "entry", Key: "dial_timeout", Value: s.Entry.DialTimeout.String(), Allowed: "must not be longer than deadline"}
	}
	return nil
}
