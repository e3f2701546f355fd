// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// RuleKind is the kind of a rule.
type RuleKind string

// The kinds of rules.
const (
	RuleShare RuleKind = "share" // tasks of Selector share VMs only with tasks of With
	RuleApart RuleKind = "apart" // tasks of Selector never share a VM with tasks of With
	RuleYield RuleKind = "yield" // batch tasks of Selector are throttled and evicted in the order of Order
)

// Rule is an operator's rule about the sharing of VMs by the tasks that its selectors match.
type Rule struct {
	Name     string   `json:"name"`
	Kind     RuleKind `json:"kind"`
	Selector string   `json:"selector"`        // label selector on tasks
	With     string   `json:"with,omitempty"`  // label selector on the other tasks; not in yield rules
	Order    int      `json:"order,omitempty"` // lower yields first
}

func (Rule) object() {}

// Key implements Object.
func (o Rule) Key() ObjectKey { return ObjectKey{Kind: ObjectRule, Name: o.Name} }

// Check implements Object.
func (o Rule) Check() error {
	if err := checkName("rule", o.Name); err != nil {
		return err
	}
	if err := checkSelector("selector", o.Selector); err != nil {
		return errors.Wrapf(err, "rule %s", o.Name)
	}
	switch o.Kind {
	case RuleShare, RuleApart:
		if o.With == "" {
			return errors.Newf("rule %s: with is missing; a %s rule names both sides", o.Name, o.Kind)
		}
		return errors.Wrapf(checkSelector("with", o.With), "rule %s", o.Name)
	case RuleYield:
		if o.With != "" {
			return errors.Newf("rule %s: with has no meaning in a yield rule", o.Name)
		}
		return nil
	default:
		return errors.Newf("rule %s: kind %q is not one of share, apart, yield", o.Name, o.Kind)
	}
}
