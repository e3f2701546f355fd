// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package platform

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestUnknownHidesOtherClasses(t *testing.T) {
	for _, class := range []error{ErrUnavailable, ErrRateLimited, ErrConflict, ErrNotFound, ErrNoLease, ErrUnreachable} {
		err := AsUnknownOutcome(errors.Wrap(errors.Mark(errors.New("answered"), class), "commit"))
		require.True(t, errors.Is(err, ErrUnknownOutcome))
		require.False(t, errors.Is(err, class), "%v", class)
		require.Contains(t, err.Error(), "commit: answered")
	}
	require.NoError(t, AsUnknownOutcome(nil))
}
