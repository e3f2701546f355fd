// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package errclass

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestOnlyHidesOtherClasses(t *testing.T) {
	first, second := errors.New("first"), errors.New("second")
	err := Only(errors.Wrap(errors.Mark(errors.New("cause"), first), "step"), second)
	require.True(t, errors.Is(err, second))
	require.False(t, errors.Is(err, first))
	require.Equal(t, "step: cause", err.Error())
	require.NoError(t, Only(nil, second))
}
