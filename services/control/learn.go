// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// learnInterval is the interval at which an owner asks the owners of the other cells for their learned
// factors. The interference factors of images change slowly once they are known.
const learnInterval = 1500 * time.Millisecond

// learnLoop merges what the owners of the other cells have learned about images into the core.
func (o *Owner) learnLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, learnInterval)
		for _, cell := range o.cells.otherCells(o.cell) {
			o.learnFrom(ctx, cell)
		}
	}
}

// learnFrom merges what the owner of one other cell has learned.
func (o *Owner) learnFrom(ctx context.Context, cell jobs.CellName) {
	if ctx.Err() != nil {
		return
	}
	answer, err := o.cells.queryOwner(ctx, jobs.Query{Cell: cell, Learned: true})
	if err != nil {
		return // no owner answers for the cell; what was learned from it before stays
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.LearnFromCell(cell, answer.Learned)
}
