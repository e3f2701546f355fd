// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"context"
	"net/http"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/standin/fleet"
	"rillsail.example/rillsail/services/standin/kv"
)

// callStandin calls the stand-in at an address; the body is nil for a GET.
func callStandin[T wire.Checker](c *cluster, method, address, path string, body any) T {
	c.t.Helper()
	answer, err := wire.Do[T](context.Background(), wire.Call{
		Client: http.DefaultClient, Method: method, URL: "http://" + address + path, Limit: maxAnswerSize,
	}, body)
	require.NoError(c.t, err)
	return answer
}

// audit returns what the fleet has observed.
func (c *cluster) audit() fleet.Audit {
	c.t.Helper()
	return callStandin[fleet.Audit](c, http.MethodGet, c.fleetAddress, fleet.PathAudit, nil)
}

// requireNoViolations checks that the fleet has observed no violation.
func (c *cluster) requireNoViolations() {
	c.t.Helper()
	require.Empty(c.t, c.audit().Violations)
}

// control performs an action on a VM of the fleet.
func (c *cluster) control(vm models.VMID, action fleet.Action) {
	c.t.Helper()
	c.controlWith(fleet.Control{VM: vm, Action: action})
}

func (c *cluster) controlWith(control fleet.Control) {
	c.t.Helper()
	callStandin[fleet.Control](c, http.MethodPost, c.fleetAddress, fleet.PathControl, control)
}

// setStoreFaults replaces the faults of the store; empty faults clear them.
func (c *cluster) setStoreFaults(faults kv.Faults) {
	c.t.Helper()
	callStandin[kv.Faults](c, http.MethodPost, c.storeAddress, kv.PathFaults, faults)
}

// storeStats returns the store's counters.
func (c *cluster) storeStats() kv.Stats {
	c.t.Helper()
	return callStandin[kv.Stats](c, http.MethodGet, c.storeAddress, kv.PathStats, nil)
}
