// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// LabelDrain on a VM keeps new work off it and moves away what it runs.
const LabelDrain = "rillsail/drain"

// VMLabels are labels that operators add to those of the platform's list.
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
