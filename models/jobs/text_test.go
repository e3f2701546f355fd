// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/codeunits"
)

// TestTextThatIsNoneIsNotWritten checks that invalid UTF-8 is an error when it is encoded. Replacement characters
// would turn the text into another one.
func TestTextThatIsNoneIsNotWritten(t *testing.T) {
	for _, text := range []jobs.Text{"\xff", "a\xc3", "\xed\xa0", "\xf4\x90\x80\x80"} {
		_, err := json.Marshal(text)
		require.Error(t, err, "%q", string(text))
	}
}

// TestPayloadCountsAsUTF8 checks that a text is as long as its decoded UTF-8: an escape counts as the character it
// stands for, and an unpaired surrogate as three bytes.
func TestPayloadCountsAsUTF8(t *testing.T) {
	for literal, size := range map[string]int{`"\u0041"`: 1, `"\u00e9"`: 2, `"\ud800"`: 3, `"\ud83d\ude00"`: 4, `"<"`: 1} {
		text, err := jobs.ParseText([]byte(literal))
		require.NoError(t, err)
		require.Len(t, text, size)
	}
}

func TestNullChangesNoText(t *testing.T) {
	text := jobs.Text("a")
	require.NoError(t, json.Unmarshal([]byte(`null`), &text))
	require.Equal(t, jobs.Text("a"), text)
}

// FuzzText checks that every JSON string is decoded, encoded with the same code units and decoded to the same
// text again, and that nothing else is decoded.
func FuzzText(f *testing.F) {
	for _, seed := range []string{`""`, `"a\ud800"`, `"\udc00\ud800"`, `"\ud83d\ude00é\/\u0000<"`, `"`, `"""`, "\"\xff\"", `"\x"`, "\"\n\"", `"\`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, literal []byte) {
		want, wrong := codeunits.Read(literal)
		text, err := jobs.ParseText(literal)
		require.Equal(t, wrong == nil, err == nil, "%v, %v", wrong, err)
		if err != nil {
			return
		}
		written, err := json.Marshal(text)
		require.NoError(t, err)
		got, err := codeunits.Read(written)
		require.NoError(t, err)
		require.Equal(t, want, got)
		again, err := jobs.ParseText(written)
		require.NoError(t, err)
		require.Equal(t, text, again)
	})
}
