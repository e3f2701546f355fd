// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package grid

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
)

func TestAuditOfCheckpoints(t *testing.T) {
	for name, checkpoint := range map[string]func(p *gridTest) jobs.Text{
		"of another task":     func(p *gridTest) jobs.Text { return p.checkpointOf(1) },
		"that nobody made":    func(*gridTest) jobs.Text { return "0123" },
		"with a byte changed": func(p *gridTest) jobs.Text { return p.checkpointOf(0) + " " },
	} {
		t.Run(name, func(t *testing.T) {
			runGridTest(t, Config{}, func(p *gridTest) {
				p.mustStart(0, testTask(0), 1, "")
				p.mustStart(0, testTask(1), 1, "")
				time.Sleep(testCheckpointInterval)
				text := checkpoint(p)
				p.stop(0, testTask(0), 1)
				p.mustStart(0, testTask(0), 2, text)
				require.Len(t, p.Breaches(), 1)
				require.Contains(t, p.Breaches()[0], "with the checkpoint")
			})
		})
	}
}

// checkpointOf returns the checkpoint that a running task reports.
func (p *gridTest) checkpointOf(index int) jobs.Text {
	for _, run := range p.report(0, 0).Running {
		if run.Task.Index == index {
			return run.Checkpoint
		}
	}
	require.Fail(p.t, "no such run")
	return ""
}

// TestAuditOfOrders calls the audit directly, because the simulated workers refuse such starts.
func TestAuditOfOrders(t *testing.T) {
	for breach, check := range map[string]func(p *gridTest, w *incarnation){
		"begins on w000-1 after run 5": func(p *gridTest, w *incarnation) {
			p.mustStart(0, testTask(0), 5, "")
			p.audit.checkStaleStart(w, &run{task: testTask(0), id: 5}, jobs.StartCall{})
		},
		"run 4 of 000000000000000a.0.0.1 begins": func(p *gridTest, w *incarnation) {
			p.stop(0, testTask(1), 5)
			require.ErrorContains(p.t, p.tryStart(0, jobs.StartCall{Task: testTask(1), Run: 4}), "refused")
			p.audit.checkStaleStart(w, &run{task: testTask(1), id: 4}, jobs.StartCall{})
		},
		"by fence 0 after 7": func(p *gridTest, w *incarnation) {
			p.audit.noteFence(w, 7)
			p.audit.checkStaleStart(w, &run{task: testTask(0), id: 1}, jobs.StartCall{})
		},
		"no label \"kind-b\"": func(p *gridTest, w *incarnation) {
			p.audit.checkPlace(w, testTask(0), &jobs.Step{Requires: "kind-b"})
		},
		"at most 1 may": func(p *gridTest, w *incarnation) {
			p.mustStart(0, testTask(0), 1, "")
			p.mustStart(0, testTask(1), 1, "")
			p.audit.checkPlace(w, testTask(1), &jobs.Step{PerWorker: 1})
		},
	} {
		t.Run(breach, func(t *testing.T) {
			runGridTest(t, Config{}, func(p *gridTest) {
				check(p, p.workers[p.IDs()[0]])
				require.Len(t, p.Breaches(), 1)
				require.Contains(t, p.Breaches()[0], breach)
			})
		})
	}
}
