// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/services/standin/grid"
)

// servicesCase describes the behaviour of services that the policy is not tuned for.
type servicesCase struct {
	Name    string  `json:"name"`
	Idle    float64 `json:"idle"`
	Load    float64 `json:"load"`
	Swing   float64 `json:"swing"`
	PeriodS float64 `json:"period_s"`
	Heavy   int     `json:"heavy"`
	// LeastUse is the share of the workers' CPU that filler tasks must use on average.
	LeastUse float64 `json:"least_use"`
	// Repetitions is the number of simulations over which the use is averaged; 0: one. The order of
	// simultaneous events differs between simulations, and with it the use, by 0.018 (standard
	// deviation of 40 simulations with high loads).
	Repetitions int `json:"plays"`
}

// Parameters of the simulations.
const (
	servingImages, fillingImages = 3, 4
	servicesWarmup               = 10 * time.Second // time within which the policy must adapt
	servicesDuration             = 50 * time.Second
	maxHarm                      = 4 * time.Second // bound on uninterrupted harm, set by the users
)

// TestServicesKeepTheirTargets runs filler tasks beside services that differ from the users' services in
// every parameter. No service may stay over its target for longer than maxHarm, and the filler tasks must
// get their share of the capacity.
func TestServicesKeepTheirTargets(t *testing.T) {
	for _, c := range casefile.Read[[]servicesCase](t, "testdata/services.json") {
		t.Run(c.Name, func(t *testing.T) {
			repetitions := max(1, c.Repetitions)
			sum := 0.0
			for range repetitions {
				synctest.Test(t, func(t *testing.T) { sum += c.simulate(t) })
			}
			share := sum / float64(repetitions)
			t.Logf("filler tasks use %.3f of the workers' CPU", share)
			require.GreaterOrEqual(t, share, c.LeastUse)
		})
	}
}

// simulate runs services and more filler tasks than there is capacity for. It returns the share of the
// workers' CPU that the filler tasks use.
func (c servicesCase) simulate(t *testing.T) float64 {
	w := newTestCluster(t, 6, 2, nil)
	w.grid.SetServices(grid.Services{IdleTail: c.Idle, MeanLoad: c.Load, Swing: c.Swing, Period: time.Duration(c.PeriodS * float64(time.Second)), HeavyEvery: c.Heavy})
	for n := range 4 {
		spec := longRunningJob(n, 3)
		spec.Steps[0].Image = jobs.ImageName(fmt.Sprint("serving-", n%servingImages))
		w.submit(w.daemons[0], spec)
	}
	start := time.Now()
	harm := map[jobs.TaskID]time.Duration{}
	var use models.MilliCPU
	samples, next := 0, 100
	const interval = 100 * time.Millisecond
	for passed := time.Duration(0); passed < servicesDuration; passed = time.Since(start) {
		if int(passed/interval)%5 == 0 {
			spec := fillerJob(next, 12)
			spec.Steps[0].Image = jobs.ImageName(fmt.Sprint("filling-", next%fillingImages))
			spec.Steps[0].Estimate = 1500
			w.submit(w.daemons[0], spec)
			next++
		}
		time.Sleep(interval)
		w.recordHarm(harm, interval)
		if passed > servicesWarmup {
			use += w.grid.FillerCPU()
			samples++
		}
	}
	w.requireNoBreaches()
	return float64(use) / float64(samples) / float64(6*4000)
}

// recordHarm updates how long each service has been harmed without interruption, and checks the bound.
func (w *testCluster) recordHarm(harm map[jobs.TaskID]time.Duration, passed time.Duration) {
	w.t.Helper()
	now := map[jobs.TaskID]bool{}
	for _, task := range w.grid.HarmedServices() {
		now[task] = true
		harm[task] += passed
		require.LessOrEqual(w.t, harm[task], maxHarm, "%s", task)
	}
	for task := range harm {
		if !now[task] {
			delete(harm, task)
		}
	}
}
