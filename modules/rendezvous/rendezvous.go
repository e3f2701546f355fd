// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package rendezvous implements rendezvous hashing (highest random weight). Every process that knows the same nodes
// computes the same order of them for a key, and adding or removing a node moves only the keys for which that
// node comes first.
//
// # Usage
//
//	order := rendezvous.Order("cell-7", []string{"a", "b", "c"})
//	owner, deputy := order[0], order[1]
package rendezvous

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Order returns the nodes in their order for key, first choice first. It does not modify nodes.
func Order[N ~string](key string, nodes []N) []N {
	order := slices.Clone(nodes)
	slices.SortFunc(order, func(a, b N) int {
		wa, wb := weight(key, string(a)), weight(key, string(b))
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		default:
			return strings.Compare(string(a), string(b))
		}
	})
	return order
}

// First returns the first choice for key. ok is false if there are no nodes.
func First[N ~string](key string, nodes []N) (first N, ok bool) {
	var best uint64
	for _, node := range nodes {
		w := weight(key, string(node))
		if !ok || w > best || w == best && node < first {
			first, best, ok = node, w, true
		}
	}
	return first, ok
}

func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // never returns an error
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
