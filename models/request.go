// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

// RequestOutcome tells in a refusal whether the request may have run.
type RequestOutcome string

// The outcomes of a request that got no answer from an upstream.
const (
	RequestNotRun  RequestOutcome = "not-run" // no byte reached an upstream
	RequestUnknown RequestOutcome = "unknown" // it may have run
)

// HTTP headers between callers and the entry, and between the entry and upstreams.
const (
	// HeaderLabels carries the request's labels as "key=value,key=value". Caller to entry.
	HeaderLabels = "Rillsail-Labels"
	// HeaderDeadline is the time for which the caller waits, in milliseconds. Caller to entry.
	HeaderDeadline = "Rillsail-Deadline-Ms"
	// HeaderIdempotencyKey identifies an unrepeatable request. Caller to entry.
	HeaderIdempotencyKey = "Rillsail-Idempotency-Key"
	// HeaderRequestID is the ID that the entry assigns each time it sends a request. If the upstream echoes it
	// in its response, the entry can check that the response belongs to the request.
	HeaderRequestID = "Rillsail-Request-Id"
	// HeaderOutcome tells in a refusal whether the request may have run. Entry to caller.
	HeaderOutcome = "Rillsail-Outcome"
	// HeaderReason names in a refusal the filter that refused the request. Entry to caller.
	HeaderReason = "Rillsail-Reason"
)
