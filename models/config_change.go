// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ConfigChange is an operator's change of the configuration: objects to create or replace and keys to delete.
// It is applied as a whole or not at all.
type ConfigChange struct {
	Put    []ObjectBox `json:"put,omitempty"`
	Delete []ObjectKey `json:"delete,omitempty"`
	// Base is the revision on which the operator based the change; 0 stands for the revision in force.
	// If an object of the change was changed after Base, the change is a conflict.
	Base Revision `json:"base,omitempty"`
	// DryRun reports what would change without applying the change.
	DryRun bool `json:"dry_run,omitempty"`
}

// maxChangeObjects bounds the objects of one change.
const maxChangeObjects = 1000

// Check rejects a change that is empty, has more than maxChangeObjects objects, or names an object twice.
func (c ConfigChange) Check() error {
	n := len(c.Put) + len(c.Delete)
	if n == 0 || n > maxChangeObjects {
		return errors.Newf("a change names 1 to %d objects, this one %d", maxChangeObjects, n)
	}
	seen := map[ObjectKey]bool{}
	for _, key := range c.Keys() {
		if seen[key] {
			return errors.Newf("%s stands twice", key)
		}
		seen[key] = true
	}
	return checkAll(c.Put)
}

// Keys returns the keys of all objects that the change puts or deletes.
func (c ConfigChange) Keys() []ObjectKey {
	keys := make([]ObjectKey, 0, len(c.Put)+len(c.Delete))
	for _, box := range c.Put {
		if box.Object != nil {
			keys = append(keys, box.Object.Key())
		}
	}
	return append(keys, c.Delete...)
}

// ConfigResult is the response to an accepted change.
type ConfigResult struct {
	Revision Revision `json:"revision"`
	Diff     []string `json:"diff,omitempty"`
	Warnings []string `json:"warnings,omitempty"`
}

// Check implements wire.Checker; every value is valid.
func (r ConfigResult) Check() error { return nil }

// ConflictError rejects a change because another operator changed the same objects in the meantime.
type ConflictError struct {
	Revision Revision `json:"revision"` // in force at the time of the rejection
	Objects  []string `json:"objects"`  // changed since the change's base
}

// Error names the objects that changed and the revision in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: %v changed since the revision this change is based on; revision %d is in force, look at it and apply again",
		e.Objects, e.Revision)
}
