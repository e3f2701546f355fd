// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestStopsWithoutAnswerHoldNoStartsBack guards against tasks that wait beside idle workers: many starts go to workers
// that do not answer any more, and the stops of these runs, which are not answered either, take the place of all other
// orders.
func TestStopsWithoutAnswerHoldNoStartsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			workers = 20
			silent  = workers / 2
		)
		w := newTestCluster(t, workers, 1, nil)
		w.eventually(10*time.Second, "cell has an owner", func() bool { return w.owner() != nil })
		time.Sleep(3 * time.Second)
		d := w.daemons[0]
		d.set(func() {
			for place := range silent {
				d.cutFrom[w.grid.Worker(place).ID] = true
			}
		})
		w.submit(d, shortTasks(1, 4*workers, 300*time.Millisecond))
		for n := range 4 {
			time.Sleep(time.Second)
			id := n + 2
			w.submit(d, shortTasks(id, 1, 300*time.Millisecond))
			w.eventually(time.Second, "a task starts on one of the workers that answer", func() bool { return w.grid.Ran(jobID(id)) })
		}
		w.eventually(30*time.Second, "the tasks of the silent workers are done", func() bool { return w.grid.Succeeded(jobID(1)) })
		w.requireNoBreaches()
	})
}
