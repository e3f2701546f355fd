// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"bytes"
	"os"
	"time"
)

// raceWarning begins each report of the race detector in the logs of daemons that were built with it. The
// exit status shows races as well, but not that of a daemon that was killed.
var raceWarning = []byte("WARNING: DATA RACE")

// checkRaces checks that the race detector has reported no race in any daemon.
func (r *run) checkRaces() {
	for _, d := range r.site.daemons {
		data, err := os.ReadFile(d.log.Name())
		if err != nil {
			r.record.addBreach(time.Since(r.begin), d.name, "log can't be read: %v", err)
			continue
		}
		if races := bytes.Count(data, raceWarning); races > 0 {
			r.record.addBreach(time.Since(r.begin), d.name, "%d data races, see the daemon's log", races)
		}
	}
}
