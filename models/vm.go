// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// VMKind says what a VM of the platform's list is for.
type VMKind string

// The kinds of VM: tasks run on workers, requests are answered by upstreams.
const (
	KindWorker   VMKind = "worker"
	KindUpstream VMKind = "upstream"
)

// VMState is what the platform's list says of a VM; a VM that is gone is not listed.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list. The platform writes it.
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

// Bounds on what the list may say of an upstream.
const (
	maxSlots = 4096
	maxConns = 1 << 16
)

// Check rejects a line that names no VM or no usable address.
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
		return errors.Newf("vm %s: slots %d or connections %d out of range", v.ID, v.Slots, v.MaxConns)
	}
	if err := checkLabels(v.Labels); err != nil {
		return errors.Wrapf(err, "vm %s", v.ID)
	}
	return errors.Wrapf(v.Capacity.Check(), "vm %s", v.ID)
}

// VMList is the platform's list at one moment; it lags behind the truth.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Check checks every line and that no id stands twice.
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
