// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package casefile reads test cases from JSON files. Only tests use it.
//
// # Usage
//
//	for _, c := range casefile.Read[[]limitCase](t, "testdata/limits.json") { … }
//	casefile.Each(t, "testdata/scripts/*.json", func(t *testing.T, script []step) { … })
package casefile

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Read decodes a JSON file and fails the test if that is not possible.
func Read[T any](t testing.TB, path string) T {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	var value T
	require.NoError(t, json.Unmarshal(data, &value), path)
	return value
}

// Each runs a subtest for each file that matches the pattern. It fails the test if no file matches.
func Each[T any](t *testing.T, pattern string, run func(t *testing.T, script T)) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, files, pattern)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		t.Run(name, func(t *testing.T) { run(t, Read[T](t, file)) })
	}
}
