// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import "time"

// Entry is section [entry]: how callers' requests are handled.
type Entry struct {
	Picker        string
	MaxWaiting    int // requests queued for a slot
	Deadline      time.Duration
	DialTimeout   time.Duration
	RetryPercent  int // retries allowed per hundred requests
	BufferAnswer  int // bytes of an answer that are buffered until it is known to be complete
	DrainTimeout  time.Duration
	WatcherSlots  int // percentage of all slots that deferred requests may hold
	SlowAfter     int // an upstream this many times slower than the median gets fewer requests
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
	r.choice("picker", &e.Picker, "how an upstream is chosen", "random", "least-loaded", "two-choices", "divided")
	r.number("max_waiting", &e.MaxWaiting, 0, 1<<20, "maximum number of requests that wait for a slot")
	r.duration("deadline", &e.Deadline, 10*time.Millisecond, time.Hour, "time limit of a request that sets none")
	r.duration("dial_timeout", &e.DialTimeout, 10*time.Millisecond, time.Minute, "time limit for connecting to an upstream")
	r.number("retry_percent", &e.RetryPercent, 0, 100, "retries allowed per hundred requests")
	r.number("buffer_answer", &e.BufferAnswer, 0, 64<<20, "bytes of an answer that are buffered until it is known to be complete")
	r.duration("drain_timeout", &e.DrainTimeout, time.Second, 24*time.Hour, "how long a planned stop waits for requests in flight")
	r.number("watcher_slots", &e.WatcherSlots, 1, 100, "percentage of slots that deferred requests may hold")
	r.number("slow_after", &e.SlowAfter, 2, 100, "an upstream this many times slower than the median gets fewer requests")
	r.duration("claim_keep_done", &e.ClaimKeepDone, time.Second, 24*time.Hour, "how long the idempotency key of an ended unrepeatable request is kept")
}

func checkEntry(s *Settings) *Error {
	if s.Entry.DialTimeout > s.Entry.Deadline {
		return &Error{Section: "entry", Key: "dial_timeout", Value: s.Entry.DialTimeout.String(), Allowed: "must not be longer than deadline"}
	}
	return nil
}
