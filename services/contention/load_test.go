// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Prediction horizons of the callers.
const (
	shortHorizon = 600 * time.Millisecond
	longHorizon  = 1800 * time.Millisecond
)

// oscillation is a load that oscillates around a mean; the amplitude is a fraction of the mean.
type oscillation struct {
	mean, amplitude, period float64
}

func (s oscillation) at(at time.Duration) float64 {
	return s.mean * (1 + s.amplitude*math.Sin(2*math.Pi*at.Seconds()/s.period))
}

// TestOwnLoadFollowsASwing tries loads with means and periods to which the filters are not tuned. After two periods,
// the predictions for both horizons must be close to the load.
func TestOwnLoadFollowsASwing(t *testing.T) {
	for _, load := range []oscillation{
		{0.45, 0.5, 14},
		{0.45, 0.5, 20},
		{0.45, 0.5, 6},
		{0.45, 0.5, 9},
		{0.45, 0.5, 30},
		{0.3, 0.5, 11},
		{0.3, 0.2, 17},
		{0.6, 0.3, 8},
		{0.7, 0.2, 25},
		{0.5, 0, 20},
	} {
		random := rand.New(rand.NewPCG(1, uint64(load.period)))
		begin := time.Unix(1_000_000, 0)
		var baseline BaselineLoad
		var soon, later, lagged, n float64
		end := time.Duration(max(60, 5*load.period) * float64(time.Second))
		for at := time.Duration(0); at < end; at += 100 * time.Millisecond { // reports of six tasks, two per second each
			baseline.Advance(begin.Add(at))
			baseline.Correct(load.at(at)+0.03*random.NormFloat64(), reportedTailStdDev*reportedTailStdDev)
			if at.Seconds() < max(5, 2*load.period) {
				continue
			}
			square := func(ahead time.Duration, spread float64) float64 {
				mean, variance := baseline.Predict(begin.Add(at + ahead))
				require.Less(t, variance, spread*spread, "%v", load)
				return math.Pow(mean-load.at(at+ahead), 2)
			}
			soon += square(shortHorizon, 0.05)
			later += square(longHorizon, 0.1)
			lagged += math.Pow(load.at(at-longHorizon)-load.at(at+longHorizon), 2)
			n++
		}
		require.Less(t, math.Sqrt(soon/n), 0.03, "%v", load)
		require.Less(t, math.Sqrt(later/n), 0.045, "%v", load)
		if load.amplitude*load.mean/load.period > 0.005 {
			require.Less(t, later, lagged/4, "%v: the squared error must be below a quarter of that of an average that lags by the horizon", load)
		}
	}
}

// TestOwnLoadFollowsANewPeriod checks that the estimate follows a load whose mean, amplitude and period change, as
// the demand of a step's users may.
func TestOwnLoadFollowsANewPeriod(t *testing.T) {
	before, after := oscillation{0.45, 0.5, 20}, oscillation{0.5, 0.4, 8}
	const change = 40 * time.Second
	begin := time.Unix(1_000_000, 0)
	var baseline BaselineLoad
	var squares, n float64
	for at := time.Duration(0); at < 2*change; at += 100 * time.Millisecond {
		load := before
		if at >= change {
			load = after
		}
		baseline.Advance(begin.Add(at))
		baseline.Correct(load.at(at), reportedTailStdDev*reportedTailStdDev)
		if at > change+15*time.Second {
			mean, _ := baseline.Predict(begin.Add(at + shortHorizon))
			squares += math.Pow(mean-load.at(at+shortHorizon), 2)
			n++
		}
	}
	require.Less(t, math.Sqrt(squares/n), 0.04)
}

func TestOwnLoadIsForgottenWithoutReports(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	var baseline BaselineLoad
	baseline.Advance(begin)
	for range 20 {
		baseline.Correct(0.7, reportedTailStdDev*reportedTailStdDev)
	}
	mean, _ := baseline.Predict(begin)
	require.InDelta(t, 0.7, mean, 0.05)
	mean, variance := baseline.Predict(begin.Add(time.Minute))
	require.InDelta(t, priorLoad, mean, 1e-9)
	require.InDelta(t, priorLoadStdDev*priorLoadStdDev, variance, 1e-9)
}
