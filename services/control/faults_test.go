// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"time"

	"rillsail.example/rillsail/services/standin/grid"
)

// Worker faults that the tests use.
var (
	noFaults   = grid.Faults{}
	faultsCut  = grid.Faults{Cut: true}
	faultsLate = grid.Faults{LateOrders: 4 * time.Second}
)
