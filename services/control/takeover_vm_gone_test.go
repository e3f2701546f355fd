// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"testing"
	"testing/synctest"

	"rillsail.example/rillsail/modules/casefile"
)

// TestTasksRunSoonAfterTheOwnersVMIsGone guards against tasks that wait beside idle workers for longer than callers allow
// where no worker is cut off: the owner's VM goes for good, so that nobody can be asked for its end and its key in the
// store has to lapse, and one worker has gone for good just before.
func TestTasksRunSoonAfterTheOwnersVMIsGone(t *testing.T) {
	for _, c := range casefile.Read[[]takeoverCase](t, "testdata/takeovers_vm_gone.json") {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.play) })
	}
}
