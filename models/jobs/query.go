// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"github.com/cockroachdb/errors"
)

// maxQueryJobs bounds the jobs, and the demands, of one query.
const maxQueryJobs = 1000

// Query asks the owner of a cell about jobs and queues.
type Query struct {
	Cell    CellName `json:"cell"`
	Jobs    []ID     `json:"jobs,omitempty"`
	Pending bool     `json:"pending,omitempty"` // of all queues
	Learned bool     `json:"learned,omitempty"` // what the cell has learned of images
	Load    bool     `json:"load,omitempty"`
	Demands []Demand `json:"demands,omitempty"` // how many places there are for them
}

// Demand is work that looks for a cell with places for it.
type Demand struct {
	Job    ID       `json:"job"`
	Number int      `json:"number"` // of the step, over all occurrences
	Pool   PoolName `json:"pool"`
	Step   Step     `json:"step"` // its count is the number of tasks
}

// Check rejects queries of too many jobs, and steps that can't be meant.
func (q Query) Check() error {
	if q.Cell == "" || len(q.Jobs) > maxQueryJobs || len(q.Demands) > maxQueryJobs {
		return errors.Newf("query names no cell, or more than %d jobs or demands", maxQueryJobs)
	}
	for i, demand := range q.Demands {
		if err := demand.Step.check(MaxSteps); err != nil {
			return errors.Wrapf(err, "demand %d", i)
		}
	}
	return nil
}

// Answer answers a query.
type Answer struct {
	// Owner tells whether the daemon owns the cell and has recovered its jobs; when not,
	// the rest is empty.
	Owner  bool         `json:"owner"`
	States map[ID]State `json:"states,omitempty"` // jobs that aren't known are missing
	// Further are the further cells that have tasks of jobs, also of those that have left this cell.
	Further map[ID][]CellName `json:"further,omitempty"`
	Pending map[QueueName]int `json:"pending,omitempty"`
	Learned []Learned         `json:"learned,omitempty"`
	Load    CellLoad          `json:"load"`
	Places  []int             `json:"places,omitempty"` // as many as there are demands
}

// Check rejects factors that are told in no unit.
func (a Answer) Check() error {
	for _, l := range a.Learned {
		if !(l.Idle > 0) {
			return errors.Newf("factor of %s beside %s has no unit", l.Filling, l.Serving)
		}
	}
	return nil
}

// Learned is what is believed of a pair of images.
type Learned struct {
	Serving ImageName `json:"serving"`
	Filling ImageName `json:"filling"`
	// Factor is the load that the filling image adds when it uses a whole worker.
	Factor float64 `json:"factor"`
	// Spread is the standard deviation of the factor.
	Spread float64 `json:"spread"`
	// Idle is the tail without load that is assumed, as a part of the target: loads are told
	// in its unit.
	Idle         float64 `json:"idle"`
	Observations int     `json:"observations"` // of the serving image
}

// Layout is the stored division into cells. It is written once; racks are added later.
type Layout struct {
	Cells int               `json:"cells"`
	Racks map[RackLabel]int `json:"racks,omitempty"`
	// Workers is how many there were when the layout was made; 0: not known.
	Workers int `json:"workers,omitempty"`
}

// maxCells bounds the cells of a layout.
const maxCells = 4096

// Check rejects a layout without cells.
func (l Layout) Check() error {
	if l.Cells < 1 || l.Cells > maxCells {
		return errors.Newf("layout has %d cells, 1 to %d are allowed", l.Cells, maxCells)
	}
	return nil
}

// Daemon is a daemon's own key in the store, under its lease. What the daemon accepts is
// written on condition that the key is there, so that a write without answer can't be done
// any more once the lease is over.
type Daemon struct {
	ID string `json:"id"`
	// Processor is how many cores the daemon may use; weaker owners leave cells to it.
	Processor float64 `json:"processor,omitempty"`
	// Link is how many Mbit/s its VM may send and receive; 0: not known.
	Link float64 `json:"link,omitempty"`
}

// Check rejects an impossible amount.
func (d Daemon) Check() error {
	if d.Processor < 0 || d.Link < 0 {
		return errors.Newf("daemon %s: processor or link is negative", d.ID)
	}
	return nil
}

// Owner is the stored owner of a cell; the key has the owner's lease, and its version is
// the epoch.
type Owner struct {
	Daemon  string `json:"daemon"`
	Address string `json:"address"` // where the other daemons call
	Claim   string `json:"claim"`   // unlike that of any other claim
}

// Check rejects an owner that can't be called.
func (o Owner) Check() error {
	if o.Address == "" || o.Claim == "" {
		return errors.New("owner has no address or claim")
	}
	return nil
}
