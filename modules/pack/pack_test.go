// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package pack_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/pack"
)

const limit = 1 << 16

func packer() *pack.Packer {
	return pack.New(pack.Config{Dictionary: "abcabc", MinDeflate: 100, MaxInflated: limit})
}

// TestRoundTrip packs and unpacks short and long values, and checks that a value that inflates beyond the limit is
// refused.
func TestRoundTrip(t *testing.T) {
	for _, text := range []string{"", "short", strings.Repeat("abc", 1000)} {
		data, err := packer().Pack(text)
		require.NoError(t, err)
		plain, err := packer().Unpack(data)
		require.NoError(t, err)
		assert.Equal(t, `"`+text+`"`, string(plain))
		assert.Less(t, len(data), 110)
	}
	bomb, err := packer().Pack(strings.Repeat("a", 2*limit))
	require.NoError(t, err)
	_, err = packer().Unpack(bomb)
	assert.ErrorContains(t, err, "more than 65536 bytes")
}

// FuzzUnpack checks that no input unpacks to more than the limit.
func FuzzUnpack(f *testing.F) {
	packed, err := packer().Pack(strings.Repeat("abc", 100))
	require.NoError(f, err)
	for _, seed := range [][]byte{packed, {}, {'j'}, {'d', 0xff}, []byte("x")} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		plain, err := packer().Unpack(data)
		if err == nil {
			require.LessOrEqual(t, len(plain), max(limit, len(data)))
		}
	})
}
