// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTasksOfAStepTellEachOthersLoad checks that the load of a serving task that has just been started is
// predicted from the other tasks of its step.
func TestTasksOfAStepTellEachOthersLoad(t *testing.T) {
	b := newBench(t, 2)
	s := &step{spec: &servingStep}
	begin := b.now
	for n := range 50 {
		s.baseline.Advance(begin.Add(time.Duration(n) * 100 * time.Millisecond))
		s.baseline.Correct(0.65, 0.05*0.05)
	}
	b.now = begin.Add(5 * time.Second)
	b.Core.now = b.now
	fresh := &task{step: s}
	require.InDelta(t, 0.65, b.expectTask(fresh, nil).mean, 0.03)
}
