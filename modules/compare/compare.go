// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package compare has comparisons that package cmp lacks.
//
// # Usage
//
//	order := cmp.Or(compare.Bool(a.late, b.late), cmp.Compare(a.due, b.due))
package compare

// Bool puts false before true: it is negative if only b is true, positive if only a is.
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
