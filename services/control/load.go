// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"rillsail.example/rillsail/models/jobs"
)

// loadEvery is how often the owners are asked for their cells' loads: a job changes the
// load of a cell of a hundred workers by less than a hundredth.
const loadEvery = 1500 * time.Millisecond

// loadLoop keeps the loads of all cells, where there are several to choose from.
func (c *Cells) loadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, loadEvery)
		if !c.several() {
			continue
		}
		for n := range c.layout().Cells {
			c.queryLoad(ctx, cellName(n))
		}
	}
}

// queryLoad asks the owner of a cell for the cell's load and keeps it.
func (c *Cells) queryLoad(ctx context.Context, cell jobs.CellName) {
	answer, err := c.ask(ctx, jobs.Query{Cell: cell, Load: true})
	load := answer.Load
	if err != nil {
		load = jobs.CellLoad{Room: loadWithoutOwner, Filling: loadWithoutOwner}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[cell] = load
}

// loadWithoutOwner is the load of a cell whose owner doesn't answer: a job goes elsewhere
// unless all of its cells are full.
const loadWithoutOwner = 1.5

// Loads at which a cell is full for jobs of each kind.
const (
	fullLoad       = 1.0
	fullFillerLoad = 1.3 // what is declared and not used is filled as well
)

// minHeadroom is what a full cell is taken to have: some jobs go there nevertheless, and
// where all cells are full, they share the jobs evenly.
const minHeadroom = 0.02

// fullLoadFor is the load at which a cell is full for the job.
func fullLoadFor(spec *jobs.Spec) float64 {
	if spec.NeedsRoom() {
		return fullLoad
	}
	return fullFillerLoad
}

// chooseCell chooses from the cells that a job may be in, in proportion to the square of
// their headroom: all daemons know the same loads, and would fill the same cell until they
// hear of the next.
func (c *Cells) chooseCell(cells []jobs.CellName, spec *jobs.Spec) jobs.CellName {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := fullLoadFor(spec)
	weights := make([]float64, len(cells))
	for i, cell := range cells {
		headroom := max(minHeadroom, full-c.loads[cell].Of(spec))
		weights[i] = headroom * headroom
	}
	cell := cells[drawWeighted(weights, placementDraw(spec.ID))]
	c.loads[cell] = c.loads[cell].With(spec)
	return cell
}

// drawWeighted gives the index that a draw from 0 to 1 falls on, in proportion to weights.
func drawWeighted(weights []float64, draw float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	rest := draw * sum
	last := len(weights) - 1
	for i, weight := range weights[:last] {
		if rest -= weight; rest < 0 {
			return i
		}
	}
	return last
}

// placementDraw is a number from 0 to 1 that is always the same for a job.
func placementDraw(id jobs.ID) float64 {
	return float64(xxhash.Sum64String("cell of "+string(id))) / (1 << 64)
}
