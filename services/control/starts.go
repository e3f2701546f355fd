// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"rillsail.example/rillsail/modules/inflight"
	"rillsail.example/rillsail/services/dispatch"
)

// An owner whose link or processor cannot handle all the starts of its cell gives priority to work that must not be
// late: it renews its lease in the store and the leases of running work, receives reports, and sends
// stops and throttling orders. Starts get the remaining capacity: the number of starts and throttling orders in flight
// is limited to what workers answer in time. The core keeps starts until they are sent, so that the most urgent start
// is sent next and none expires on the way. As the last measure, reports become less frequent.

// Limits of the starts and throttling orders in flight from this daemon. They apply to all its cells together, which
// share its link.
const (
	// minStarts keeps work going however late answers are; a narrow link carries this many in about 50 ms.
	minStarts = 8
	// initialStarts is more than an owner needs whose calls are answered within some milliseconds.
	initialStarts = 64
	// maxStarts is several times the burst of an owner of 300 workers.
	maxStarts = 512
	// fastAnswerTime is how long the answers to an owner that keeps up take at most.
	fastAnswerTime = 100 * time.Millisecond
	// slowAnswerTime is well below the timeout of a call to the store, which shares the link.
	slowAnswerTime = 200 * time.Millisecond
)

func newStartLimit() *inflight.Limit {
	return inflight.New(inflight.Config{
		Min: minStarts, Initial: initialStarts, Max: maxStarts, Quick: fastAnswerTime, Late: slowAnswerTime,
	})
}

// maxStartAge is how old a start may be when it is sent. An older start would reach the worker after the
// deadline at which the worker refuses it, and would still use the link.
const maxStartAge = 500 * time.Millisecond

// startExpired reports whether an order is a start that was decided too long ago to be sent. A stop is
// always worth sending, and a worker accepts a throttling order of any age. The age includes the time
// for which the VM was suspended.
func (o *Owner) startExpired(order dispatch.Order, decided time.Time) bool {
	_, start := order.(dispatch.StartOrder)
	return start && o.config.Clock.Read().Sub(decided) > maxStartAge
}

// Reports become less frequent while orders take longer than the orders of an owner that keeps up. The pause
// between reports is reportPauseFactor times the excess over normalAnswerTime, up to maxReportPause,
// which still delivers every end of a run well within the second that a report may wait.
const (
	normalAnswerTime  = 50 * time.Millisecond
	reportPauseFactor = 4
	maxReportPause    = 400 * time.Millisecond
)

// reportPause returns the pause before the next call for a report of a worker.
func (o *Owner) reportPause() time.Duration {
	shortest := o.config.Settings.ReportPause
	excess := o.cells.startLimit.MeanLatency() - normalAnswerTime
	return max(shortest, min(reportPauseFactor*excess, maxReportPause))
}
