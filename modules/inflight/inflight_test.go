// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package inflight_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/modules/inflight"
)

// limitCase is a case of testdata/limits.json: each step makes calls concurrently and gives the expected limit
// after them.
type limitCase struct {
	Name  string `json:"name"`
	Steps []struct {
		Calls int   `json:"calls"`
		Took  int64 `json:"took_ms"`
		Lost  int   `json:"lost"` // number of the calls that get no answer
		Limit int   `json:"limit"`
	} `json:"steps"`
}

var testConfig = inflight.Config{Min: 8, Initial: 64, Max: 90, Quick: 100 * time.Millisecond, Late: 200 * time.Millisecond}

func TestLimitFollowsAnswers(t *testing.T) {
	for _, c := range casefile.Read[[]limitCase](t, "testdata/limits.json") {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limit := inflight.New(testConfig)
				for n, step := range c.Steps {
					for range step.Calls {
						limit.Begin()
					}
					for i := range step.Calls {
						limit.End(inflight.Call{Took: time.Duration(step.Took) * time.Millisecond, Answered: i >= step.Lost})
					}
					time.Sleep(time.Second)
					limit.Begin() // the limit is adjusted when the next call ends
					limit.End(inflight.Call{Answered: true})
					require.Equal(t, step.Limit, limit.Current(), "step %d", n)
				}
			})
		})
	}
}

func TestFreeIsWhatIsNotUnderWay(t *testing.T) {
	limit := inflight.New(testConfig)
	for range testConfig.Initial - 1 {
		limit.Begin()
	}
	require.Equal(t, 1, limit.Free())
	for range 5 { // calls that must not wait
		limit.Begin()
	}
	require.Zero(t, limit.Free())
}

func TestMeanLatencyExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := inflight.New(testConfig)
		for range 10 {
			limit.Begin()
		}
		time.Sleep(time.Second)
		for range 10 {
			limit.End(inflight.Call{Took: 30 * time.Millisecond, Answered: true})
		}
		require.Equal(t, 30*time.Millisecond, limit.MeanLatency())
		time.Sleep(2 * time.Second)
		require.Zero(t, limit.MeanLatency(), "latencies older than latencyMaxAge are not reported")
	})
}
