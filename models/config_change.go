// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ConfigChange is what an operator applies: objects to put and keys to delete, all
// or nothing.
type ConfigChange struct {
	Put    []ObjectBox `json:"put,omitempty"`
	Delete []ObjectKey `json:"delete,omitempty"`
	// Base is the revision the operator looked at; 0 stands for the one in force.
	// An object changed since then is a conflict.
	Base Revision `json:"base,omitempty"`
	// DryRun only says what would change.
	DryRun bool `json:"dry_run,omitempty"`
}

// maxChangeObjects bounds one change.
const maxChangeObjects = 1000

// Check rejects empty changes and objects that stand twice.
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

// Keys lists all objects touched.
func (c ConfigChange) Keys() []ObjectKey {
	keys := make([]ObjectKey, 0, len(c.Put)+len(c.Delete))
	for _, box := range c.Put {
		if box.Object != nil {
			keys = append(keys, box.Object.Key())
		}
	}
	return append(keys, c.Delete...)
}

// ConfigResult is the answer to an accepted change.
type ConfigResult struct {
	Revision Revision `json:"revision"`
	Diff     []string `json:"diff,omitempty"`
	Warnings []string `json:"warnings,omitempty"`
}

// Check is there for the decoder; every value is allowed.
func (r ConfigResult) Check() error { return nil }

// ConflictError refuses a change because another operator was faster.
type ConflictError struct {
	Revision Revision `json:"revision"` // in force now
	Objects  []string `json:"objects"`  // changed since the base
}

// Error says which objects changed.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: %v changed since the revision this change is based on; revision %d is in force, look at it and apply again",
		e.Objects, e.Revision)
}
