// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// Another writer leaves entries among those of the workers that no worker would write. They are no fault: the daemons must
// neither end nor use them, and follow the other entries.

const (
	oddEntryStream   = 0x0d_de_47             // stream of random numbers
	maxOddEntryPause = 700 * time.Millisecond // between two of them
)

// oddEntryFormat is the entry of a worker with one odd field, which comes last and so replaces an earlier one.
const oddEntryFormat = `{"backend":"pool","address":"127.0.0.1:9","zone":"a","version":"v1","slots":8,"state":"ready",` +
	`"labels":["kind-a","rack-0"],"capacity":{"cpu":16000,"mem_mb":64000},%s}`

// oddFields are the odd fields of entries.
var oddFields = []string{
	`"colour":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	`"colour":` + strings.Repeat(`{"a":`, 100_000),
	`"capacity":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
	`"capacity":{"cpu":` + strings.Repeat("9", 400) + `,"mem_mb":1}`,
	`"capacity":{"cpu":1e999,"mem_mb":1}`,
	`"capacity":{"cpu":9223372036854775807,"mem_mb":9223372036854775807}`,
	`"clock_ms":1e999`,
	`"slots":-1e308`,
	`"state":"draining","remaining_ms":9223372036854775807`,
	`"address":"127.0.0.1:70000"`,
	`"address":"127.0.0.1:0"`,
	`"address":"127.0.0.1/a:80"`,
	`"address":"%00:80"`,
	`"labels":["` + strings.Repeat("a", 900_000) + `"]`,
	`"labels":[""` + strings.Repeat(`,""`, 50_000) + `]`,
	`"zone":"` + strings.Repeat("\\u0000", 20_000) + `"`,
}

// drawOddEntries draws odd entries from a stream of random numbers of its own.
func drawOddEntries(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, oddEntryStream))
	var faults []Fault
	for at := firstFaultAt; at < length; at += time.Duration(random.Int64N(int64(maxOddEntryPause))) {
		lasts := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faults = append(faults, Fault{At: at, For: lasts, Kind: OddEntry, Target: random.IntN(len(oddFields)), Overlapping: true})
	}
	return faults
}

// writeOddEntry writes an odd entry beside those of the workers, and removes it. One of each kind exists at a time.
func (r *run) writeOddEntry(ctx context.Context, fault Fault) {
	target := fmt.Sprint("odd-", fault.Target)
	if !r.site.reserve(target) {
		return
	}
	defer r.site.release(target)
	began := time.Since(r.begin)
	id := jobs.WorkerID(target)
	if err := r.site.emulator.WriteEntry(ctx, id, fmt.Appendf(nil, oddEntryFormat, oddFields[fault.Target])); err != nil {
		return // ctx has ended
	}
	sleep(ctx, fault.For)
	if err := r.site.emulator.RemoveEntry(context.WithoutCancel(ctx), id); err != nil {
		r.record.addBreach(time.Since(r.begin), "soak", "odd entry can't be removed: %v", err)
	}
	r.record.addFault(began, time.Since(r.begin), fault)
}
