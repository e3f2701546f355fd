// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package ring keeps the latest values, up to a number.
//
// # Usage
//
//	latest := ring.New[models.Decision](512)
//	dropped, full := latest.Add(decision)
//	for _, d := range latest.All() { … } // the oldest first
//
// A Ring is used by one goroutine at a time.
package ring

import "slices"

// Ring holds the latest values.
type Ring[T any] struct {
	values []T
	next   int // where the oldest stands once the ring is full
	size   int
}

// New makes a ring for so many values.
func New[T any](size int) *Ring[T] { return &Ring[T]{size: size} }

// Add keeps a value; when the ring was full, it gives the one that had to go.
func (r *Ring[T]) Add(value T) (dropped T, full bool) {
	if len(r.values) < r.size {
		r.values = append(r.values, value)
		return dropped, false
	}
	dropped, r.values[r.next] = r.values[r.next], value
	r.next = (r.next + 1) % r.size
	return dropped, true
}

// All gives the values, the oldest first.
func (r *Ring[T]) All() []T { return slices.Concat(r.values[r.next:], r.values[:r.next]) }
