// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package compare provides comparisons that package cmp lacks.
//
// # Usage
//
//	order := cmp.Or(compare.Bool(a.late, b.late), cmp.Compare(a.due, b.due))
package compare

// Bool orders false before true: the result is negative if only b is true, positive if only a is true, else 0.
func Bool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
