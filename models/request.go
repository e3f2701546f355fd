// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

// RequestOutcome says in a refusal whether the request may have run.
type RequestOutcome string

// The outcomes of a request that got no answer of an upstream.
const (
	RequestNotRun  RequestOutcome = "not-run" // no byte reached an upstream
	RequestUnknown RequestOutcome = "unknown" // it may have run
)

// Headers between callers and the entry, and between the entry and upstreams.
const (
	// HeaderLabels carries the request's labels, "key=value,key=value". Caller to entry.
	HeaderLabels = "Rillsail-Labels"
	// HeaderDeadline is how many milliseconds the caller waits. Caller to entry.
	HeaderDeadline = "Rillsail-Deadline-Ms"
	// HeaderIdempotencyKey names an unrepeatable request. Caller to entry.
	HeaderIdempotencyKey = "Rillsail-Idempotency-Key"
	// HeaderRequestID is the entry's id of one sending of a request. An upstream
	// that repeats it in its answer lets the entry check that the answer is its own.
	HeaderRequestID = "Rillsail-Request-Id"
	// HeaderOutcome says in a refusal whether the request may have run. Entry to caller.
	HeaderOutcome = "Rillsail-Outcome"
	// HeaderReason says in a refusal which filter refused. Entry to caller.
	HeaderReason = "Rillsail-Reason"
)
