// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTaskHasOneName checks that ParseTaskID accepts only the text that String produces, so that no two texts
// identify the same task.
func TestTaskHasOneName(t *testing.T) {
	for _, good := range []string{"5c0e7a21d94b36f8.0.1.17", "5c0e7a21d94b36f8.10.0.0"} {
		id, err := ParseTaskID(good)
		require.NoError(t, err)
		require.Equal(t, good, id.String())
	}
	for _, bad := range []string{
		"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.17.2", "5c0e7a21d94b36f8.0.1.+17",
		"5c0e7a21d94b36f8.0.1.-1", "5c0e7a21d94b36f8.00.1.17", "5c0e7a21d94b36f8.0.01.17", "5c0e7a21d94b36f8.0.1.",
		"5c0e7a21d94b36f8.0.1.1x", "5C0E7A21D94B36F8.0.1.17", "5c0e7a21d94b36f8.0.1.99999999999999999999",
	} {
		_, err := ParseTaskID(bad)
		require.Error(t, err, bad)
	}
}
