// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"github.com/cockroachdb/errors"
)

// maxQueryJobs is the maximum number of jobs, and of demands, in a query.
const maxQueryJobs = 1000

// Query asks the owner of a cell about its jobs, queues, load, learned factors and free places.
type Query struct {
	Cell    CellName `json:"cell"`
	Jobs    []ID     `json:"jobs,omitempty"`
	Pending bool     `json:"pending,omitempty"` // count the pending jobs of all queues
	Learned bool     `json:"learned,omitempty"` // list the interference factors that the cell has learned
	Load    bool     `json:"load,omitempty"`
	Demands []Demand `json:"demands,omitempty"` // count the places for them, one demand after the other
	// EndClaim is the ClaimID of an earlier claim of the cell, which the daemon that is asked made and which the asking
	// daemon has superseded: the daemon stops to run the cell under that claim.
	EndClaim string `json:"end_claim,omitempty"`
	// ClaimLeases is the ClaimID of an earlier claim of the cell, which the daemon that is asked made and which has ended.
	// Daemons of older versions don't know the question, so that it comes apart from that for the end.
	ClaimLeases string `json:"claim_leases,omitempty"`
	// Witness asks the daemon as a witness, whether it owns the cell or not; nil: it is not asked.
	Witness *WitnessCall `json:"witness,omitempty"`
}

// Demand describes tasks of a step for which an owner looks for places in other cells.
type Demand struct {
	Job    ID       `json:"job"`
	Number int      `json:"number"` // of the step, counted over all occurrences
	Pool   PoolName `json:"pool"`
	Step   Step     `json:"step"` // Count is the number of tasks that need a place
}

// Check rejects a query without a cell, with too many jobs or demands, or with an invalid step.
func (q Query) Check() error {
	if q.Cell == "" || len(q.Jobs) > maxQueryJobs || len(q.Demands) > maxQueryJobs {
		return errors.Newf("query names no cell, or more than %d jobs or demands", maxQueryJobs)
	}
	if q.Witness != nil {
		if err := q.Witness.Check(); err != nil {
			return err
		}
	}
	for i, demand := range q.Demands {
		if err := demand.Step.check(MaxSteps); err != nil {
			return errors.Wrapf(err, "demand %d", i)
		}
	}
	return nil
}

// Answer is the answer to a Query.
type Answer struct {
	// IsOwner is set if the daemon owns the cell and has recovered its jobs. Otherwise the other
	// fields but ClaimEnd, ClaimLeases and Witness are empty.
	IsOwner bool         `json:"owner"`
	States  map[ID]State `json:"states,omitempty"` // jobs that the owner does not know are left out
	// AdditionalCells has an entry for each job of which other cells may have tasks, also if all of its tasks have been
	// moved away from this cell. The entry lists those of these cells to which the job's id does not lead.
	AdditionalCells map[ID][]CellName `json:"further,omitempty"`
	Pending         map[QueueName]int `json:"pending,omitempty"`
	Learned         []LearnedFactor   `json:"learned,omitempty"`
	Load            CellLoad          `json:"load"`
	Places          []int             `json:"places,omitempty"` // one count per demand, in their order
	// ClaimEnd answers Query.EndClaim, also if the daemon does not own the cell; nil: the claim has not ended yet.
	ClaimEnd *ClaimEnd `json:"claim_end,omitempty"`
	// ClaimLeases answers Query.ClaimLeases; nil: the claim has not ended, or its process has.
	ClaimLeases *ClaimLeases `json:"claim_leases,omitempty"`
	// Witness answers Query.Witness; nil: the daemon does not answer as a witness.
	Witness *WitnessAnswer `json:"witness,omitempty"`
}

// Check rejects factors whose idle tail is not positive, as they can't be converted to another unit of load, and invalid
// leases.
func (a Answer) Check() error {
	for _, l := range a.Learned {
		if !(l.IdleTail > 0) {
			return errors.Newf("factor of %s beside %s has no unit", l.Filler, l.Serving)
		}
	}
	if a.ClaimLeases != nil {
		return a.ClaimLeases.Check()
	}
	return nil
}

// LearnedFactor is the estimated interference factor of a pair of images.
type LearnedFactor struct {
	Serving ImageName `json:"serving"`
	Filler  ImageName `json:"filling"`
	// Factor is the load that the filler image adds to the serving image when it uses a whole worker.
	Factor float64 `json:"factor"`
	// StdDev is the standard deviation of the factor.
	StdDev float64 `json:"spread"`
	// IdleTail is the assumed tail latency without load, as a fraction of the target. It sets the unit of
	// loads and factors.
	IdleTail     float64 `json:"idle"`
	Observations int     `json:"observations"` // of the serving image
}

// Layout is the stored division of workers and jobs into cells. It is written once; only racks are added later.
type Layout struct {
	Cells int               `json:"cells"`
	Racks map[RackLabel]int `json:"racks,omitempty"`
	// Workers is the number of workers when the layout was made; 0: not known.
	Workers int `json:"workers,omitempty"`
}

// maxCells is the maximum number of cells in a layout.
const maxCells = 4096

// Check rejects a layout with no cells or more than maxCells.
func (l Layout) Check() error {
	if l.Cells < 1 || l.Cells > maxCells {
		return errors.Newf("layout has %d cells, 1 to %d are allowed", l.Cells, maxCells)
	}
	return nil
}

// Daemon is the value of a daemon's own key in the store, which has the daemon's lease. Jobs that the
// daemon accepts are written on condition that the key exists, so that a write with unknown
// outcome can't take effect after the lease is over.
type Daemon struct {
	ID string `json:"id"`
	// Cores is the number of cores that the daemon may use. Daemons with fewer cores leave cells to this daemon.
	Cores float64 `json:"processor,omitempty"`
	// LinkMbps is the bandwidth in Mbit/s with which the VM may send and receive; 0: not known.
	LinkMbps float64 `json:"link,omitempty"`
	// Address and Process name the daemon as a witness. Daemons of older versions publish neither.
	Address string    `json:"address,omitempty"`
	Process ProcessID `json:"process,omitempty"`
}

// Check rejects negative amounts.
func (d Daemon) Check() error {
	if d.Cores < 0 || d.LinkMbps < 0 {
		return errors.Newf("daemon %s: number of cores or bandwidth is negative", d.ID)
	}
	return nil
}

// Owner is the stored owner of a cell. The key has the owner's lease, and the key's version is
// the epoch.
type Owner struct {
	Daemon  string `json:"daemon"`
	Address string `json:"address"` // at which other daemons call the owner
	ClaimID string `json:"claim"`   // unique per claim
	// Witnesses are the processes that vouch for the claim. Only the list of claims names them.
	Witnesses []Witness `json:"witnesses,omitempty"`
}

// WithoutWitnesses returns the owner as its own key has it.
func (o Owner) WithoutWitnesses() Owner {
	o.Witnesses = nil
	return o
}

// Check rejects an owner without address or claim, or with invalid witnesses.
func (o Owner) Check() error {
	if o.Address == "" || o.ClaimID == "" {
		return errors.New("owner has no address or claim")
	}
	return checkWitnesses(o.Witnesses)
}
