// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package ring provides a ring buffer that keeps the latest values.
//
// # Usage
//
//	latest := ring.New[models.Decision](512)
//	dropped, full := latest.Add(decision)
//	for _, d := range latest.All() { … } // oldest first
//
// A Ring is not safe for concurrent use.
package ring

import "slices"

// Ring holds the latest values.
type Ring[T any] struct {
	values []T
	next   int // index of the oldest value once the ring is full
	size   int
}

// New returns an empty ring for size values.
func New[T any](size int) *Ring[T] { return &Ring[T]{size: size} }

// Add adds a value. If the ring was full, Add drops and returns the oldest value.
func (r *Ring[T]) Add(value T) (dropped T, full bool) {
	if len(r.values) < r.size {
		r.values = append(r.values, value)
		return dropped, false
	}
	dropped, r.values[r.next] = r.values[r.next], value
	r.next = (r.next + 1) % r.size
	return dropped, true
}

// All returns the values, oldest first.
func (r *Ring[T]) All() []T { return slices.Concat(r.values[r.next:], r.values[:r.next]) }
