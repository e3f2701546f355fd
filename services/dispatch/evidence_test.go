// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
)

// lossCase is a case of testdata/evidence.json.
type lossCase struct {
	Name       string         `json:"name"`
	Ran        models.Milli   `json:"ran_ms"`
	Before     []models.Milli `json:"before_ms"` // earlier runs of it
	Beside     []models.Milli `json:"beside_ms"`
	Suspected  bool           `json:"suspected"` // those beside it
	MoreChance float64        `json:"more_chance"`
	Doubt      float64        `json:"doubt"`
	Weight     float64        `json:"weight"`
}

// TestWhatALossSays: a short run speaks against its task, others that had started with it take
// a part of that, and workers that go at the same moment take most.
func TestWhatALossSays(t *testing.T) {
	for _, c := range casefile.Read[[]lossCase](t, "testdata/evidence.json") {
		t.Run(c.Name, func(t *testing.T) {
			e := lossContext{runtime: c.Ran.Duration(), chanceRate: baselineLossRate + c.MoreChance}
			for _, ran := range c.Before {
				e.earlierRuntimes = append(e.earlierRuntimes, ran.Duration())
			}
			for _, ran := range c.Beside {
				share := crasherPrior
				if c.Suspected {
					share = 1
				}
				e.neighbours = append(e.neighbours, neighbour{runtime: ran.Duration(), crasherProbability: share})
			}
			doubt, weight := e.evidence()
			require.InDelta(t, c.Doubt, doubt, 0.01)
			require.InDelta(t, c.Weight, weight, 0.01)
		})
	}
}

// TestTasksThatLoseWorkersByChanceAreNotGivenUp loses each of 20,000 innocent tasks' workers at
// random, as often as the constants say, until its run goes on for long enough: at most as many
// are given up as the bound allows.
func TestTasksThatLoseWorkersByChanceAreNotGivenUp(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	givenUp := 0
	for range 20_000 {
		var tried task
		for {
			ran := time.Duration(draw.ExpFloat64() * float64(meanTimeBetweenLosses))
			if ran >= maxTimeToCrash {
				break
			}
			doubt, weight := lossContext{runtime: ran, chanceRate: baselineLossRate}.evidence()
			tried.suspicion.Lost = append(tried.suspicion.Lost, jobs.LostRun{Doubt: doubt, Weight: weight})
		}
		if tried.crashesWorkers() {
			givenUp++
		}
	}
	require.LessOrEqual(t, givenUp, 1)
}

// TestLossLongAgoMakesNoLaterOneLikelierByChance: workers that went minutes ago say nothing of how
// often they go now. The first loss after a quiet time was weighed as if they had gone just before,
// so that it said too little against the task that had brought it about.
func TestLossLongAgoMakesNoLaterOneLikelierByChance(t *testing.T) {
	weightAfter := func(earlier int) float64 {
		b := newBench(t, 4)
		for n := range b.ids {
			b.report(n, jobs.Report{})
		}
		for n := range earlier {
			b.recordWorkerLoss(b.workers[b.ids[n]], b.now)
		}
		b.now = b.now.Add(lossRetention + 10*time.Second)
		for n := range b.ids {
			b.report(n, jobs.Report{})
		}
		b.AddJob(b.job(one), jobs.Progress{}, true, b.now)
		b.crashWorkerOfOnlyStart(t)
		lost := b.jobs[testJob].steps[0].tasks[0].suspicion.Lost
		require.Len(t, lost, 1)
		return lost[0].Weight
	}
	require.Equal(t, weightAfter(0), weightAfter(3))
}

// TestTimeOfALossThatNobodySawIsNotTakenForItsEnd: a worker's calls were not answered until 0.8 s after
// the start of a task that had ended others after 0.15 s. The loss was weighed as one after 0.8 s, spoke
// for the task, and a sixth start followed.
func TestTimeOfALossThatNobodySawIsNotTakenForItsEnd(t *testing.T) {
	loss := lossContext{runtime: 814 * time.Millisecond, earlierRuntimes: []time.Duration{152 * time.Millisecond}, chanceRate: 0.048}
	_, seen := loss.evidence()
	require.Negative(t, seen)
	loss.runtimeIsUpperBound = true
	_, unseen := loss.evidence()
	require.Greater(t, unseen, 2.0)
}
