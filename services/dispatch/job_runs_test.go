// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunsThatCallersMayMissEndNoWait guards against runs that end the wait of their job although a caller who looks twice in the time for which
// nothing of a job has to run may have missed them.
func TestRunsThatCallersMayMissEndNoWait(t *testing.T) {
	added := time.Unix(1_000_000, 0)
	at := func(passed time.Duration) time.Time { return added.Add(passed) }
	const (
		pause    = 100 * time.Millisecond
		interval = fillerAllowed / 2 // between two looks
	)
	for name, c := range map[string]struct {
		runs []time.Duration // one after the other, with a pause before each
		seen bool
	}{
		"none":                       {nil, false},
		"a short one":                {[]time.Duration{100 * time.Millisecond}, false},
		"one that a caller may miss": {[]time.Duration{interval - pause}, false},
		"one that no caller misses":  {[]time.Duration{interval}, true},
		"many short ones":            {[]time.Duration{time.Second, time.Second, time.Second, time.Second}, false},
		"a short one after a long":   {[]time.Duration{interval, time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			span := runSpan{lastSeenAt: added}
			passed, sum := time.Duration(0), time.Duration(0)
			for _, ran := range c.runs {
				passed += pause
				span.begin(at(passed))
				passed += ran
				span.end(at(passed))
				sum += ran
			}
			require.Equal(t, c.seen, span.lastSeenAt.After(added))
			if !c.seen {
				require.Equal(t, sum, span.runtime(at(passed)))
			}
		})
	}
}

// TestSpansOfSeveralRunsAreSeen guards against jobs that count as unseen because each of their runs is short, although some of them always
// run.
func TestSpansOfSeveralRunsAreSeen(t *testing.T) {
	added := time.Unix(1_000_000, 0)
	span := runSpan{lastSeenAt: added}
	span.begin(added)
	for n := range 10 {
		now := added.Add(time.Duration(n+1) * fillerAllowed / 8)
		span.begin(now)
		span.end(now)
		require.Equal(t, n >= 3, span.isSeen(now))
	}
	ended := added.Add(3 * fillerAllowed)
	span.end(ended)
	require.Equal(t, ended, span.lastSeenAt)
	require.Zero(t, span.runtime(ended))
}
