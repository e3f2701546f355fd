// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// LabelDrain marks a VM for draining: the VM gets no new work, and its running tasks are moved to other VMs.
const LabelDrain = "rillsail/drain"

// VMLabels are labels that operators add to a VM's labels in the platform's VM list.
type VMLabels struct {
	VM     VMID              `json:"vm"`
	Labels map[string]string `json:"labels"`
}

func (VMLabels) object() {}

// Key implements Object.
func (o VMLabels) Key() ObjectKey { return ObjectKey{Kind: ObjectVM, Name: string(o.VM)} }

// Check implements Object.
func (o VMLabels) Check() error {
	if err := checkName("vm", string(o.VM)); err != nil {
		return err
	}
	return errors.Wrapf(checkLabels(o.Labels), "vm %s", o.VM)
}
