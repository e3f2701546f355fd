// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package ring_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rillsail.example/rillsail/modules/ring"
)

// TestLatestAreKept adds more values than the ring holds.
func TestLatestAreKept(t *testing.T) {
	r := ring.New[int](3)
	assert.Empty(t, r.All())
	for i := range 3 {
		_, full := r.Add(i)
		assert.False(t, full)
	}
	assert.Equal(t, []int{0, 1, 2}, r.All())
	for i := 3; i < 8; i++ {
		dropped, full := r.Add(i)
		assert.True(t, full)
		assert.Equal(t, i-3, dropped)
		assert.Equal(t, []int{i - 2, i - 1, i}, r.All())
	}
}
