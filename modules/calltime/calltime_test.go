// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package calltime_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/calltime"
	"rillsail.example/rillsail/modules/casefile"
)

// limitCase is an entry of testdata/limits.json.
type limitCase struct {
	Name   string  `json:"name"`
	Phases []phase `json:"phases"`
}

// phase is a period in which all peers answer after the same time.
type phase struct {
	For    int64   `json:"for_ms"`
	Answer int64   `json:"answer_ms"`
	Lost   float64 `json:"lost"`     // share of the calls that get no answer
	Limit  int64   `json:"limit_ms"` // expected at the end of the phase
}

// TestLimits runs the cases of testdata/limits.json with a hundred concurrent callers. Each of them makes its
// next call as soon as the previous call was answered or timed out.
func TestLimits(t *testing.T) {
	for _, c := range casefile.Read[[]limitCase](t, "testdata/limits.json") {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c limitCase) run(t *testing.T) {
	limit := calltime.New(calltime.Config{Min: 400 * time.Millisecond, Max: 2 * time.Second})
	for _, p := range c.Phases {
		p.run(limit)
		require.Equal(t, time.Duration(p.Limit)*time.Millisecond, limit.Current())
	}
}

func (p phase) run(limit *calltime.Limit) {
	const callers = 100
	deadline := time.Now().Add(time.Duration(p.For) * time.Millisecond)
	done := make(chan struct{})
	for caller := range callers {
		go func() {
			defer func() { done <- struct{}{} }()
			for call := caller; time.Now().Before(deadline); call++ {
				p.call(limit, float64((31*caller+17*call)%callers) < p.Lost*callers)
			}
		}()
	}
	for range callers {
		<-done
	}
}

// call simulates one call, which gets no answer if it is lost or takes longer than the limit.
func (p phase) call(limit *calltime.Limit, lost bool) {
	took := time.Duration(p.Answer) * time.Millisecond
	timeout := limit.Current()
	answered := !lost && took <= timeout
	if !answered {
		took = timeout
	}
	time.Sleep(took)
	limit.Record(calltime.Call{Took: took, Answered: answered})
}
