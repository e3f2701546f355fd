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

// servicesCase is how services behave that nothing in the policy is made for.
type servicesCase struct {
	Name    string  `json:"name"`
	Idle    float64 `json:"idle"`
	Load    float64 `json:"load"`
	Swing   float64 `json:"swing"`
	PeriodS float64 `json:"period_s"`
	Heavy   int     `json:"heavy"`
	// LeastUse is the share of the workers that filling work must use on average.
	LeastUse float64 `json:"least_use"`
	// Repetitions is how many plays LeastUse is the mean of; 0: one. The order of what happens at
	// the same moment differs between plays, and with it the use, by 0.018 (standard
	// deviation of 40 plays with high loads).
	Repetitions int `json:"plays"`
}

// Figures of the services played.
const (
	servingImages, fillingImages = 3, 4
	servicesWarmup               = 10 * time.Second // until when the policy must have adapted
	servicesDuration             = 50 * time.Second
	maxHarm                      = 4 * time.Second // without a break, as the users bound it
)

// TestServicesKeepTheirTargets lets work fill beside services that differ from the users' in
// every figure: none may stay over its target for long, and the work must get its room.
func TestServicesKeepTheirTargets(t *testing.T) {
	for _, c := range casefile.Read[[]servicesCase](t, "testdata/services.json") {
		t.Run(c.Name, func(t *testing.T) {
			plays := max(1, c.Repetitions)
			sum := 0.0
			for range plays {
				synctest.Test(t, func(t *testing.T) { sum += c.simulate(t) })
			}
			share := sum / float64(plays)
			t.Logf("filling work uses %.3f of the workers", share)
			require.GreaterOrEqual(t, share, c.LeastUse)
		})
	}
}

// simulate runs services and more filling work than there is room for. It gives the share of
// the workers that the filling work uses.
func (c servicesCase) simulate(t *testing.T) float64 {
	w := newWorld(t, 6, 2, nil)
	w.grid.SetServices(grid.Services{Idle: c.Idle, Load: c.Load, Swing: c.Swing, Period: time.Duration(c.PeriodS * float64(time.Second)), Heavy: c.Heavy})
	for n := range 4 {
		spec := lasting(n, 3)
		spec.Steps[0].Image = jobs.ImageName(fmt.Sprint("serving-", n%servingImages))
		w.submit(w.daemons[0], spec)
	}
	begin := time.Now()
	harm := map[jobs.TaskID]time.Duration{}
	var use models.MilliCPU
	samples, next := 0, 100
	const look = 100 * time.Millisecond
	for passed := time.Duration(0); passed < servicesDuration; passed = time.Since(begin) {
		if int(passed/look)%5 == 0 {
			spec := fillerJob(next, 12)
			spec.Steps[0].Image = jobs.ImageName(fmt.Sprint("filling-", next%fillingImages))
			spec.Steps[0].Estimate = 1500
			w.submit(w.daemons[0], spec)
			next++
		}
		time.Sleep(look)
		w.recordHarm(harm, look)
		if passed > servicesWarmup {
			use += w.grid.FillingUse()
			samples++
		}
	}
	w.noBreach()
	return float64(use) / float64(samples) / float64(6*4000)
}

// recordHarm counts for how long services have been harmed without a break.
func (w *world) recordHarm(harm map[jobs.TaskID]time.Duration, passed time.Duration) {
	w.t.Helper()
	now := map[jobs.TaskID]bool{}
	for _, task := range w.grid.Harmed() {
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
