// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package codeunits_test

import (
	"encoding/json"
	"testing"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/codeunits"
)

func TestSurrogatesStayAsTheyAre(t *testing.T) {
	units, err := codeunits.Read([]byte(`"\ud800\n\uDC00😀\ud83d\ude00\/é"`))
	require.NoError(t, err)
	require.Equal(t, []uint16{0xd800, '\n', 0xdc00, 0xd83d, 0xde00, 0xd83d, 0xde00, '/', 0xe9}, units)
}

// FuzzRead checks that Read agrees with encoding/json, except where encoding/json inserts a replacement character.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{`""`, `"a\u0000\"\\\/\b"`, `"`, `"""`, `"\x"`, `"\u12"`, "\"\xff\"", "\"\n\"", `"\ud83d\ude00"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, literal []byte) {
		units, err := codeunits.Read(literal)
		var text string
		if json.Unmarshal(literal, &text) != nil {
			require.True(t, err != nil || literal[0] != '"')
			return
		}
		if err != nil {
			require.True(t, !utf8.Valid(literal) || literal[0] != '"' || literal[len(literal)-1] != '"', "%q: %v", literal, err)
			return
		}
		require.Equal(t, utf16.Decode(units), []rune(text))
	})
}
