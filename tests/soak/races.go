// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"bytes"
	"os"
	"time"
)

// raceWarning is how the race detector's reports begin, in the logs of daemons that were built with
// it. Their exit status tells of races as well, but not of a daemon that was killed.
var raceWarning = []byte("WARNING: DATA RACE")

// checkRaces checks that the race detector has found nothing.
func (r *run) checkRaces() {
	for _, d := range r.site.daemons {
		data, err := os.ReadFile(d.log.Name())
		if err != nil {
			r.record.addBreach(time.Since(r.begin), d.name, "its log can't be read: %v", err)
			continue
		}
		if races := bytes.Count(data, raceWarning); races > 0 {
			r.record.addBreach(time.Since(r.begin), d.name, "%d races between goroutines, see its log", races)
		}
	}
}
