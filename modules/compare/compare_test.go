// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package compare

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFalseComesBeforeTrue(t *testing.T) {
	require.Negative(t, Bool(false, true))
	require.Positive(t, Bool(true, false))
	require.Zero(t, Bool(true, true))
	require.Zero(t, Bool(false, false))
}
