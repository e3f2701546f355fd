// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package rendezvous orders nodes for a key by highest random weight: every
// process that knows the same nodes finds the same order, and a node that comes or
// goes moves only the keys it is first for.
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

// Order returns the nodes, first choice first. It leaves nodes as it is.
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

// First returns the first choice; ok is false when there are no nodes.
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
	_, _ = d.WriteString(key) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
