// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"slices"
	"strings"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// progressInterval is the pause between two checks of the progress of jobs.
const progressInterval = 100 * time.Millisecond

// startProgressChecks checks, until the cluster ends, that accepted jobs make progress.
func (s *scriptRun) startProgressChecks() {
	if !s.scenario.progressUnchecked {
		go s.progressLoop()
	}
}

func (s *scriptRun) progressLoop() {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.checkProgress()
		}
	}
}

// checkProgress checks once that accepted jobs make progress.
func (s *scriptRun) checkProgress() {
	if s.isDisturbed() {
		s.grid.NoteFault()
	}
	s.grid.CheckProgress(s.hasEnded)
}

// hasEnded reports whether any daemon shows a job as ended.
func (s *scriptRun) hasEnded(id jobs.ID) bool {
	for _, d := range s.daemonList() {
		if s.state(d, id).Ended() {
			return true
		}
	}
	return false
}

// isDisturbed reports whether a fault of the store or of a daemon lasts.
func (w *testCluster) isDisturbed() bool {
	w.mu.Lock()
	outage := w.outage
	w.mu.Unlock()
	if outage {
		return true
	}
	for _, d := range w.daemonList() {
		if d.isDisturbed() {
			return true
		}
	}
	return false
}

// isDisturbed reports whether a fault of the daemon's process or connections lasts.
func (d *testDaemon) isDisturbed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.frozen != nil || d.storeCut || d.workerCut || d.lostAnswerDraw != nil
}

// noteStepFault tells the audit of the fault that a step of a script is, unless the step is an action of a caller or
// affects workers only, whose faults the audit sees by itself.
func (s *scriptRun) noteStepFault(step scriptStep) {
	if strings.Contains(step.What, "daemon") || strings.Contains(step.What, "store") {
		s.grid.NoteFault()
	}
}

// resumeProgressChecks checks the progress of an accepted job again after a cancellation that certainly had no effect.
func (s *scriptRun) resumeProgressChecks(id jobs.ID) {
	if s.cancelled[id] || s.maybeCancelled[id] {
		return
	}
	if slices.ContainsFunc(s.accepted, func(spec jobs.Spec) bool { return spec.ID == id }) {
		s.grid.Accepted(id)
	}
}
