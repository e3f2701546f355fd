// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package errtext

import (
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestLongErrorsAreCut guards against input that is quoted in full, also in verbose output.
func TestLongErrorsAreCut(t *testing.T) {
	short := errors.New("short")
	require.Same(t, short, Limit(short))
	require.NoError(t, Limit(nil))
	for _, text := range []string{"a", "\u00e4", "\u20ac", "\xff"} {
		limited := Limit(errors.Wrap(errors.New(strings.Repeat(text, 10_000)), "decode"))
		require.Contains(t, limited.Error(), "decode")
		require.Less(t, len(limited.Error()), 2*maxLength)
		require.True(t, utf8.ValidString(limited.Error()))
		require.NotContains(t, fmt.Sprintf("%+v", limited), strings.Repeat(text, maxLength))
	}
}
