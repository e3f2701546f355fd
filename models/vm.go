// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// VMKind is the purpose of a VM in the platform's VM list.
type VMKind string

// The kinds of VMs: workers run tasks, upstreams answer requests.
const (
	KindWorker   VMKind = "worker"
	KindUpstream VMKind = "upstream"
)

// VMState is the state of a VM in the platform's VM list. A VM that no longer exists is not listed.
type VMState string

// The states of a VM in the platform's VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list. The platform writes it.
type VM struct {
	ID       VMID              `json:"id"`
	Kind     VMKind            `json:"kind"`
	State    VMState           `json:"state"`
	Address  string            `json:"address"` // IP and port
	Domain   FailureDomain     `json:"domain"`
	Rack     RackID            `json:"rack"`
	Labels   map[string]string `json:"labels,omitempty"`
	Capacity Resources         `json:"capacity"`
	Slots    int               `json:"slots,omitempty"`       // upstreams only
	MaxConns int               `json:"connections,omitempty"` // upstreams only
}

// Upper bounds on the values of an upstream's entry.
const (
	maxSlots = 4096
	maxConns = 1 << 16
)

// Check rejects an entry with an invalid ID, kind, state or address, or with amounts or labels out of range.
func (v VM) Check() error {
	if err := checkName("vm id", string(v.ID)); err != nil {
		return err
	}
	if v.Kind != KindWorker && v.Kind != KindUpstream {
		return errors.Newf("vm %s: kind %q is neither %q nor %q", v.ID, v.Kind, KindWorker, KindUpstream)
	}
	if v.State != VMLive && v.State != VMLeaving {
		return errors.Newf("vm %s: state %q is neither %q nor %q", v.ID, v.State, VMLive, VMLeaving)
	}
	if _, err := netip.ParseAddrPort(v.Address); err != nil {
		return errors.Newf("vm %s: address %q is not IP:port", v.ID, v.Address)
	}
	if v.Kind == KindUpstream && (v.Slots < 1 || v.Slots > maxSlots || v.MaxConns < 1 || v.MaxConns > maxConns) {
		return errors.Newf("vm %s: slots %d must be 1..%d and connections %d must be 1..%d",
			v.ID, v.Slots, maxSlots, v.MaxConns, maxConns)
	}
	if err := checkLabels(v.Labels); err != nil {
		return errors.Wrapf(err, "vm %s", v.ID)
	}
	return errors.Wrapf(v.Capacity.Check(), "vm %s", v.ID)
}

// VMList is a snapshot of the platform's VM list. It lags behind the actual state of the VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Check validates every entry and that no ID is listed twice.
func (l VMList) Check() error {
	seen := make(map[VMID]bool, len(l.VMs))
	for _, vm := range l.VMs {
		if err := vm.Check(); err != nil {
			return err
		}
		if seen[vm.ID] {
			return errors.Newf("vm %s is listed twice", vm.ID)
		}
		seen[vm.ID] = true
	}
	return nil
}
