// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

const shortCrowdTime = 18 * time.Second // from the first job on

// isSeen returns which jobs a caller sees running now, or need not see.
func (p *fillerCrowd) isSeen() func(jobs.ID) bool {
	running, mayIdle := p.running(), p.used() >= crowdMostUsed
	return func(id jobs.ID) bool { return mayIdle || running[id] > 0 || p.audit.left[id] == 0 }
}

// TestShortTasksOfCrowdsAreSeenRunning guards against jobs of which short tasks go on from standby and end, one after the other, so that
// callers, who look at what runs from time to time, see nothing of the job for longer than they allow.
func TestShortTasksOfCrowdsAreSeenRunning(t *testing.T) {
	for _, script := range casefile.Read[[]crowdScript](t, "testdata/filler_crowds_short.json") {
		t.Run(script.Name, func(t *testing.T) {
			t.Parallel()
			p := newFillerCrowd(t, script)
			var callers []*lookers
			for _, interval := range []time.Duration{time.Second, 1500 * time.Millisecond} {
				callers = append(callers, newLookers(interval, simulationStep))
			}
			for until := p.now.Add(crowdBefore + shortCrowdTime); p.now.Before(until); {
				p.advance(simulationStep)
				isSeen := p.isSeen()
				for _, l := range callers {
					for id := range p.audit.left {
						l.expect(id, p.now)
					}
					l.look(p.now, isSeen)
				}
			}
			p.logResult(t)
			for _, l := range callers {
				l.requireSeen(t)
			}
			require.Less(t, p.overTarget(), harmAllowed)
		})
	}
}
