// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// MilliCPU is processor time in thousandths of a core.
type MilliCPU int64

// MiB is memory in mebibytes.
type MiB int64

// Accelerators is a number of whole accelerators.
type Accelerators int64

// Upper bounds on amounts. They keep sums of amounts far from an integer overflow.
const (
	maxMilliCPU     MilliCPU     = 4_096_000
	maxMemory       MiB          = 64 << 20
	maxAccelerators Accelerators = 4096
)

// Resources is an amount of the resources that a VM provides to tasks.
type Resources struct {
	CPU          MilliCPU     `json:"cpu_milli"`
	Memory       MiB          `json:"memory_mib"`
	Accelerators Accelerators `json:"accelerators,omitempty"`
}

// Check rejects amounts that are negative or above their upper bound.
func (r Resources) Check() error {
	switch {
	case r.CPU < 0 || r.CPU > maxMilliCPU:
		return errors.Newf("cpu_milli %d is outside 0..%d", r.CPU, maxMilliCPU)
	case r.Memory < 0 || r.Memory > maxMemory:
		return errors.Newf("memory_mib %d is outside 0..%d", r.Memory, maxMemory)
	case r.Accelerators < 0 || r.Accelerators > maxAccelerators:
		return errors.Newf("accelerators %d is outside 0..%d", r.Accelerators, maxAccelerators)
	}
	return nil
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; single resources may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// IsZero reports whether all amounts are zero.
func (r Resources) IsZero() bool { return r == Resources{} }
