// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// Priority is the order in which waiting requests are served.
type Priority string

// The priorities of request classes, first served first.
const (
	PriorityUrgent   Priority = "urgent"
	PriorityOrdinary Priority = "ordinary"
	PriorityDeferred Priority = "deferred"
)

// Class is a class of requests, chosen by the labels a request carries.
type Class struct {
	Name     ClassName `json:"name"`
	Selector string    `json:"selector"` // over the request's labels
	Priority Priority  `json:"priority"`
	// Deadline is used for requests that bring none; 0 means none.
	Deadline Milli `json:"deadline_ms"`
	// Unrepeatable requests are never sent a second time once a byte may have left.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// Upstreams selects the upstreams by their labels; empty selects all.
	Upstreams string `json:"upstreams,omitempty"`
	// Floor is the share of slots, in percent, that the class gets under overload.
	Floor int `json:"floor_percent,omitempty"`
	// Order settles which class a request gets when several select it; lower first.
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
