// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"rillsail.example/rillsail/modules/inflight"
	"rillsail.example/rillsail/services/dispatch"
)

// An owner whose link or processor can't carry what its cell could start comes first to what
// must not be late: its lease in the store, the leases of running work, reports, stops and
// throttling. Starts wait for what is left over. They are bounded by what is answered in time,
// and stay with the core until they are sent, so that the most urgent goes next and none grows
// old on its way. Then reports become fewer.

// The bound of a daemon's orders under way, of all its cells together, for they share its link.
const (
	// minStarts keeps work going whatever is seen; a narrow link carries them in some 50 ms.
	minStarts = 8
	// initialStarts is above what an owner needs whose calls are answered within some milliseconds.
	initialStarts = 64
	// maxStarts is some times as many as an owner of 300 workers has in a burst.
	maxStarts = 512
	// An answer is late well below the time limit of a call to the store, which shares the link.
	fastAnswerTime = 100 * time.Millisecond
	slowAnswerTime = 200 * time.Millisecond
)

func newStartLimit() *inflight.Limit {
	return inflight.New(inflight.Config{
		Least: minStarts, First: initialStarts, Most: maxStarts, Quick: fastAnswerTime, Late: slowAnswerTime,
	})
}

// maxStartAge is how old a start may be when it is sent: later than that it would reach the
// worker after the time at which the worker refuses it, and cost the link all the same.
const maxStartAge = 500 * time.Millisecond

// startExpired tells whether an order that was decided then is not worth sending any more. A stop
// always is, and a throttling order is not bounded in time by its worker. The VM may have been
// suspended since.
func (o *Owner) startExpired(order dispatch.Order, decided time.Time) bool {
	_, start := order.(dispatch.StartOrder)
	return start && o.config.Clock.Read().Sub(decided) > maxStartAge
}

// How reports become fewer while orders take longer than those of an owner that keeps up do:
// pauses grow by so many times the excess, up to the longest, which still sees every end well
// within the second that a report may wait.
const (
	normalAnswerTime  = 50 * time.Millisecond
	reportPauseFactor = 4
	maxReportPause    = 400 * time.Millisecond
)

// reportPause is the pause before the next report of a worker.
func (o *Owner) reportPause() time.Duration {
	least := o.config.Settings.ReportPause
	excess := o.cells.startLimit.Typical() - normalAnswerTime
	return max(least, min(reportPauseFactor*excess, maxReportPause))
}
