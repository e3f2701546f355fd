// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build race

package integration

// buildFlags builds the programs with the race detector when the tests have it.
var buildFlags = []string{"-race"}
