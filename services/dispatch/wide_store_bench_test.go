// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"

	"rillsail.example/rillsail/models/jobs"
)

// storeCost is what storing all changes takes.
type storeCost struct{ transactions, values, bytes, largest int }

// storeAndMeasure stores all changes, as an owner encodes them.
func (b *bench) storeAndMeasure(tb testing.TB) storeCost {
	tb.Helper()
	var cost storeCost
	add := func(value any) {
		data, err := json.Marshal(value)
		if err != nil {
			tb.Fatal(err)
		}
		cost.values++
		cost.bytes += len(data)
		cost.largest = max(cost.largest, len(data))
	}
	b.storeEach(tb, func(changes Changes) {
		for _, change := range changes.Jobs {
			for _, each := range change.Chunks {
				add(each.Content)
			}
			if !change.ChunksOnly {
				add(change.Progress)
			}
		}
		cost.transactions++
	})
	return cost
}

// loseRuns counts as many lost runs as given against each task of the job.
func (b *bench) loseRuns(losses int) {
	for s := range b.jobs[testJob].heldSteps() {
		for i := range s.tasks {
			t := &s.tasks[i]
			for n := range losses {
				t.suspicion.Lost = append(t.suspicion.Lost, jobs.LostRun{
					Run: jobs.RunID(10_000_000 + n), RanAtMost: 1234, EvidenceVsChance: 3.42, EvidenceVsAll: -12.61, LossID: 3_141_592_653,
				})
			}
			b.markTaskChanged(t)
		}
	}
}

// BenchmarkStoringAWideJob measures what storing a job of as many tasks as are accepted takes: after each of them has lost
// runs, and then after one of them has lost another.
func BenchmarkStoringAWideJob(b *testing.B) {
	step := jobs.Step{Count: jobs.MaxTasks / 2, Estimate: 60_000}
	for _, losses := range []int{1, 2, 5} {
		for _, part := range []string{"all", "one more"} {
			b.Run(fmt.Sprintf("%d losses of each task, %s", losses, part), func(b *testing.B) {
				var cost storeCost
				for range b.N {
					b.StopTimer()
					w := newBench(b, 1)
					w.AddJob(w.job(step, step), jobs.Progress{}, true, w.now)
					w.loseRuns(losses)
					if part == "one more" {
						w.storeAndMeasure(b)
						t := w.task(w.jobs[testJob], 1, 77)
						t.suspicion.Lost = append(t.suspicion.Lost, jobs.LostRun{Run: 1, EvidenceVsAll: 1})
						w.markTaskChanged(t)
					}
					b.StartTimer()
					cost = w.storeAndMeasure(b)
				}
				b.ReportMetric(float64(cost.transactions), "transactions")
				b.ReportMetric(float64(cost.values), "values")
				b.ReportMetric(float64(cost.bytes), "bytes")
				b.ReportMetric(float64(cost.largest), "largest-value-bytes")
			})
		}
	}
}
