// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"rillsail.example/rillsail/services/standin/fleet"
)

// drawTable draws by how much each batch app slows down each service: most pairs by little, some by
// much. A service is over its target when the slowdowns of its neighbours sum up to more than 1.
func drawTable(seed uint64) fleet.SlowdownTable {
	random := rand.New(rand.NewPCG(seed, 3))
	levels := []float64{0, 0.02, 0.05, 0.1, 0.3, 0.7, 1.3}
	table := fleet.SlowdownTable{}
	for s := range trialServices {
		for b := range trialApps {
			table[fleet.Pair{Service: fmt.Sprint("s", s), Batch: fmt.Sprint("b", b)}] = levels[random.IntN(len(levels))]
		}
	}
	return table
}

// trialTable holds the current table. The table is replaced as a whole, because the workers read it
// concurrently.
type trialTable struct {
	table atomic.Pointer[fleet.SlowdownTable]
}

func newTable(seed uint64) *trialTable {
	t := &trialTable{}
	t.set(drawTable(seed))
	return t
}

func (t *trialTable) set(table fleet.SlowdownTable) { t.table.Store(&table) }

func (t *trialTable) now() fleet.SlowdownTable { return *t.table.Load() }
