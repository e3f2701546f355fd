// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package daemon

import (
	"context"
	"net/http"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/listen"
	"rillsail.example/rillsail/services/cell"
	"rillsail.example/rillsail/services/entry"
	"rillsail.example/rillsail/services/interference"
	"rillsail.example/rillsail/services/member"
	"rillsail.example/rillsail/services/peer"
)

// Handlers are the handlers of the three listeners.
type Handlers struct {
	Caller   http.Handler
	Operator http.Handler
	Peer     http.Handler
}

func (d *Daemon) openListeners(h Handlers) error {
	s := d.Settings.Listen
	limit := int64(s.MaxBody)
	for _, l := range []struct {
		address string
		handler http.Handler
		timeout time.Duration
	}{
		{s.Caller, h.Caller, 0}, // the entry limits the time itself, because watch requests last longer
		{s.Operator, listen.RequireToken(s.OperatorToken, listen.LimitBody(limit, h.Operator)), s.BodyTimeout},
		{s.Peer, listen.RequireToken(s.PeerToken, listen.LimitBody(limit, h.Peer)), s.BodyTimeout},
	} {
		server, err := listen.Open(listen.Config{
			Address: l.address, Handler: l.handler, MaxHeader: s.MaxHeader, MaxConnections: s.MaxConnections,
			HeaderTimeout: s.HeaderTimeout, BodyTimeout: l.timeout, IdleTimeout: s.IdleTimeout,
		})
		if err != nil {
			return err
		}
		d.listeners = append(d.listeners, server)
	}
	return nil
}

// Dump is the daemon's state for operators.
type Dump struct {
	Revision  models.Revision   `json:"revision"`
	Members   member.Dump       `json:"members"`
	Cells     []cell.Dump       `json:"cells"`
	CellMap   models.CellMap    `json:"cell_map"`
	VMs       models.VMList     `json:"vms"`
	Entry     entry.Dump        `json:"entry"`
	Claims    int               `json:"claims"`
	Learned   interference.Dump `json:"learned"`
	PeerCalls peer.Counts       `json:"peer_calls"`
}

// Dump returns the daemon's state for operators.
func (d *Daemon) Dump(ctx context.Context) any {
	return Dump{
		Revision: d.Config.View().Revision(), Members: d.Members.Dump(), Cells: d.Cells.Dump(ctx),
		CellMap: d.Inventory.Cells(), VMs: d.Inventory.VMs(), Entry: d.Entry.Dump(), Claims: d.Claims.Count(),
		Learned: d.Learner.Dump(), PeerCalls: d.client.Counts(),
	}
}
