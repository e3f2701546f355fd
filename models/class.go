// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// Priority decides the order in which waiting requests are served.
type Priority string

// The priorities of request classes, from the first served to the last served.
const (
	PriorityUrgent   Priority = "urgent"
	PriorityOrdinary Priority = "ordinary"
	PriorityDeferred Priority = "deferred"
)

// Class is a class of requests. A request's labels decide its class.
type Class struct {
	Name     ClassName `json:"name"`
	Selector string    `json:"selector"` // label selector on the request's labels
	Priority Priority  `json:"priority"`
	// Deadline applies to requests that carry no deadline of their own; 0 means no deadline.
	Deadline Milli `json:"deadline_ms"`
	// Unrepeatable requests are never sent again once a byte of them may have been sent to an upstream.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// Upstreams is a label selector for the upstreams that serve the class; empty selects all upstreams.
	Upstreams string `json:"upstreams,omitempty"`
	// Floor is the share of slots, in percent, that the class is guaranteed under overload.
	Floor int `json:"floor_percent,omitempty"`
	// Order decides between several classes whose selectors match a request; the lowest value wins.
	Order int `json:"order,omitempty"`
}

func (Class) object() {}

// Key implements Object.
func (o Class) Key() ObjectKey { return ObjectKey{Kind: ObjectClass, Name: string(o.Name)} }

// Check implements Object.
func (o Class) Check() error {
	if err := checkName("class", string(o.Name)); err != nil {
		return err
	}
	if err := checkSelector("selector", o.Selector); err != nil {
		return errors.Wrapf(err, "class %s", o.Name)
	}
	if err := checkSelector("upstreams", o.Upstreams); err != nil {
		return errors.Wrapf(err, "class %s", o.Name)
	}
	switch o.Priority {
	case PriorityUrgent, PriorityOrdinary, PriorityDeferred:
	default:
		return errors.Newf("class %s: priority %q is not one of urgent, ordinary, deferred", o.Name, o.Priority)
	}
	if o.Deadline < 0 {
		return errors.Newf("class %s: deadline_ms %d is negative", o.Name, o.Deadline)
	}
	if o.Floor < 0 || o.Floor > 100 {
		return errors.Newf("class %s: floor_percent %d is outside 0..100", o.Name, o.Floor)
	}
	return nil
}
