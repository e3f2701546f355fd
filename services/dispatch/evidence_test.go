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
	Before     []models.Milli `json:"before_ms"` // earlier runs of the task
	Beside     []models.Milli `json:"beside_ms"`
	Suspected  bool           `json:"suspected"` // whether the neighbours are suspects
	MoreChance float64        `json:"more_chance"`
	Doubt      float64        `json:"doubt"`
	Weight     float64        `json:"weight"`
}

// TestWhatALossSays checks the evidence of a loss: a short run is evidence against its task; neighbours that had
// started with the task take a part of that, and workers that are lost at the same moment take most.
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
				e.neighbourRate += neighbour{runtime: ran.Duration(), crasherProbability: share}.crashRate()
			}
			vsChance, vsAll := e.evidence()
			require.InDelta(t, c.Doubt, vsChance, 0.01)
			require.InDelta(t, c.Weight, vsAll, 0.01)
		})
	}
}

// TestTasksThatLoseWorkersByChanceAreNotGivenUp loses the workers of each of 20,000 innocent tasks at random, at the
// rate of the constants, until a run goes on for long enough: no more tasks are abandoned than the bound allows.
func TestTasksThatLoseWorkersByChanceAreNotGivenUp(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	abandoned := 0
	for range 20_000 {
		var tried task
		for {
			ran := time.Duration(draw.ExpFloat64() * float64(meanTimeBetweenLosses))
			if ran >= maxTimeToCrash {
				break
			}
			vsChance, vsAll := lossContext{runtime: ran, chanceRate: baselineLossRate}.evidence()
			tried.suspicion.Lost = append(tried.suspicion.Lost, jobs.LostRun{EvidenceVsChance: vsChance, EvidenceVsAll: vsAll})
		}
		if tried.crashesWorkers() {
			abandoned++
		}
	}
	require.LessOrEqual(t, abandoned, 1)
}

// TestLossLongAgoMakesNoLaterOneLikelierByChance guards against weighing the first loss after a time without losses as
// if workers lost minutes ago had been lost just before: this gave too little evidence against the task that had caused
// the loss.
func TestLossLongAgoMakesNoLaterOneLikelierByChance(t *testing.T) {
	evidenceAfter := func(earlier int) float64 {
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
		b.AddJob(b.job(singleTaskStep), jobs.Progress{}, true, b.now)
		b.crashWorkerOfOnlyStart(t)
		lost := b.jobs[testJob].occurrences[0].steps[0].tasks[0].suspicion.Lost
		require.Len(t, lost, 1)
		return lost[0].EvidenceVsAll
	}
	require.Equal(t, evidenceAfter(0), evidenceAfter(3))
}

// TestTimeOfALossThatNobodySawIsNotTakenForItsEnd guards against taking the time at which a loss was detected for the
// time of the loss. A worker's calls timed out until 0.8 s after the start of a task that had crashed others after 0.15
// s; weighed as a loss after 0.8 s, the loss spoke for the task, and a sixth start followed.
func TestTimeOfALossThatNobodySawIsNotTakenForItsEnd(t *testing.T) {
	loss := lossContext{runtime: 814 * time.Millisecond, earlierRuntimes: []time.Duration{152 * time.Millisecond}, chanceRate: 0.048}
	_, observed := loss.evidence()
	require.Negative(t, observed)
	loss.runtimeIsUpperBound = true
	_, unobserved := loss.evidence()
	require.Greater(t, unobserved, 2.0)
}
