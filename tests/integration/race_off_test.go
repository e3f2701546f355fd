// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build !race

package integration

var buildFlags []string
