// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package routers creates the HTTP handlers of a daemon's three listeners.
//
// # Usage
//
//	d, err := daemon.New(daemon.Config{Settings: s, Logger: l, Routers: routers.For})
package routers

import (
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/routers/caller"
	"rillsail.example/rillsail/routers/operator"
	"rillsail.example/rillsail/routers/peer"
	"rillsail.example/rillsail/services/daemon"
)

// operatorTimeout bounds an operator's call; if the outcome is not known by then, the
// answer says that it is unknown.
const operatorTimeout = 10 * time.Second

// For returns the handlers for a daemon.
func For(d *daemon.Daemon) daemon.Handlers {
	return daemon.Handlers{
		Caller: caller.New(d.Entry),
		Operator: operator.New(operator.Config{
			Operate: d.Operate, Settings: d.Config, Dump: d.Dump, Metrics: d.Metrics.Handler,
			MaxBody: int64(d.Settings.Listen.MaxBody), Timeout: operatorTimeout,
		}),
		Peer: peer.New(peer.Config{
			Self: models.MemberID(d.Settings.Daemon.ID), Members: d.Members, Settings: d.Config, Cells: d.Cells,
			Claims: d.Claims, Inventory: d.Inventory, OnHeartbeat: d.HandleHeartbeat,
		}),
	}
}
