// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Numbers is a set of numbers from 0 on, as ranges from the first number to the one after the last. The ranges are in order
// and neither overlap nor touch, so that numbers which are added in almost any order take little space.
type Numbers [][2]int

// find returns the index of the first range that ends after the number.
func (n Numbers) find(number int) int {
	at, _ := slices.BinarySearchFunc(n, number+1, func(r [2]int, end int) int { return r[1] - end })
	return at
}

// Has reports whether the set contains a number.
func (n Numbers) Has(number int) bool {
	at := n.find(number)
	return at < len(n) && n[at][0] <= number
}

// Len returns how many numbers the set contains.
func (n Numbers) Len() int {
	total := 0
	for _, r := range n {
		total += r[1] - r[0]
	}
	return total
}

// With returns the set with a number added. The set itself is not changed.
func (n Numbers) With(number int) Numbers {
	if n.Has(number) {
		return n
	}
	at := n.find(number)
	added := [2]int{number, number + 1}
	from, to := at, at // the ranges that the added one replaces
	if at > 0 && n[at-1][1] == number {
		added[0] = n[at-1][0]
		from--
	}
	if at < len(n) && n[at][0] == number+1 {
		added[1] = n[at][1]
		to++
	}
	return slices.Replace(slices.Clone(n), from, to, added)
}

// Check rejects ranges that are empty, out of order, or that overlap or touch.
func (n Numbers) Check() error {
	last := -1
	for _, r := range n {
		if r[0] <= last || r[1] <= r[0] {
			return errors.Newf("range from %d to %d is empty or out of order", r[0], r[1])
		}
		last = r[1]
	}
	return nil
}
