// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"rillsail.example/rillsail/models/jobs"
)

// loadInterval is how often the owners are asked for the loads of their cells. A job changes the load of a cell of a
// hundred workers by less than one percent.
const loadInterval = 1500 * time.Millisecond

// loadLoop keeps the known loads of all cells current if there is more than one cell.
func (c *Cells) loadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, loadInterval)
		if !c.hasMultipleCells() {
			continue
		}
		for n := range c.layout().Cells {
			c.queryLoad(ctx, cellName(n))
		}
	}
}

// queryLoad asks the owner of a cell for the cell's load and stores it.
func (c *Cells) queryLoad(ctx context.Context, cell jobs.CellName) {
	answer, err := c.queryOwner(ctx, jobs.Query{Cell: cell, Load: true})
	load := answer.Load
	if err != nil {
		load = jobs.CellLoad{Reserved: loadWithoutOwner, ExpectedUse: loadWithoutOwner}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[cell] = load
}

// useOfOthers returns the use of all other cells, as last reported by their owners.
func (c *Cells) useOfOthers(cell jobs.CellName) jobs.Use {
	others := c.otherCells(cell)
	c.mu.Lock()
	defer c.mu.Unlock()
	var use jobs.Use
	for _, other := range others {
		use = use.Add(c.loads[other].Use)
	}
	return use
}

// loadWithoutOwner is the assumed load of a cell whose owner doesn't answer: jobs avoid the cell unless all of their
// cells are full.
const loadWithoutOwner = 1.5

// Loads at which a cell is full, by the kind of the job.
const (
	fullLoad       = 1.0
	fullFillerLoad = 1.3 // filler tasks also use capacity that is declared but not used
)

// minHeadroom is the assumed headroom of a full cell: some jobs still go there, and if all cells are full, they
// share the jobs evenly.
const minHeadroom = 0.02

// fullLoadFor returns the load at which a cell is full for the job.
func fullLoadFor(spec *jobs.Spec) float64 {
	if spec.ReservesCapacity() {
		return fullLoad
	}
	return fullFillerLoad
}

// chooseCell chooses one of the cells that a job may be in at random, in proportion to the square of their headroom.
// All daemons know the same loads; choosing the least loaded cell would send all jobs there until the loads are next
// read.
func (c *Cells) chooseCell(cells []jobs.CellName, spec *jobs.Spec) jobs.CellName {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := fullLoadFor(spec)
	weights := make([]float64, len(cells))
	for i, cell := range cells {
		headroom := max(minHeadroom, full-c.loads[cell].For(spec))
		weights[i] = headroom * headroom
	}
	cell := cells[drawWeighted(weights, placementDraw(spec.ID))]
	c.loads[cell] = c.loads[cell].WithJob(spec)
	return cell
}

// drawWeighted returns the index that a draw from 0 to 1 falls on, in proportion to weights.
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

// placementDraw returns a number from 0 to 1 that depends on the job's ID alone.
func placementDraw(id jobs.ID) float64 {
	return float64(xxhash.Sum64String("cell of "+string(id))) / (1 << 64)
}
