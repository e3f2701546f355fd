//go:build review

// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

// cases are the plays by their names.
var cases = map[string]func(folder string){
	"bad-host": playBadHost,
	"images":   playImages,
}
