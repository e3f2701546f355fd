// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

const shortCrowdTime = 18 * time.Second // from the first job on

// crowdLookers are callers who look at what runs of a crowd at the same interval, each at other moments.
type crowdLookers struct {
	interval time.Duration
	lastSeen map[jobs.ID][]time.Time // by the moment of a look within the interval
	longest  time.Duration           // for which one of them has not seen a job
	of       jobs.ID
}

// look notes which jobs run now.
func (l *crowdLookers) look(p *fillerCrowd) {
	moment := p.now.Sub(p.began) % l.interval / simulationStep
	running, mayIdle := p.running(), p.used() >= crowdMostUsed
	for id := range p.audit.left {
		seen := l.lastSeen[id]
		if seen == nil {
			seen = slices.Repeat([]time.Time{p.now}, int(l.interval/simulationStep))
			l.lastSeen[id] = seen
		}
		if mayIdle || running[id] > 0 {
			seen[moment] = p.now
		}
		if unseen := p.now.Sub(seen[moment]); unseen > l.longest {
			l.longest, l.of = unseen, id
		}
	}
}

// TestShortTasksOfCrowdsAreSeenRunning guards against jobs of which short tasks go on from standby and end, one after the other, so that
// callers, who look at what runs from time to time, see nothing of the job for longer than they allow.
func TestShortTasksOfCrowdsAreSeenRunning(t *testing.T) {
	for _, script := range casefile.Read[[]crowdScript](t, "testdata/filler_crowds_short.json") {
		t.Run(script.Name, func(t *testing.T) {
			t.Parallel()
			p := newFillerCrowd(t, script)
			var callers []*crowdLookers
			for _, interval := range []time.Duration{time.Second, 1500 * time.Millisecond} {
				callers = append(callers, &crowdLookers{interval: interval, lastSeen: map[jobs.ID][]time.Time{}})
			}
			for until := p.now.Add(crowdBefore + shortCrowdTime); p.now.Before(until); {
				p.advance(simulationStep)
				for _, l := range callers {
					l.look(p)
				}
			}
			p.logResult(t)
			for _, l := range callers {
				t.Logf("a caller who looks each %v has not seen a job for %v (%s)", l.interval, l.longest, l.of)
				require.Less(t, l.longest, fillerAllowed+l.interval)
			}
			require.Less(t, p.overTarget(), harmAllowed)
		})
	}
}
