// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Limits of names and labels.
const (
	maxNameLength   = 200 // bytes
	maxLabels       = 64
	maxLabelsLength = 4096 // bytes of all keys and values, or of a selector
)

// checker is a value that can be checked after it was decoded.
type checker interface{ Check() error }

// checkAll checks the values in order and gives the first error.
func checkAll[T checker](values []T) error {
	for _, value := range values {
		if err := value.Check(); err != nil {
			return err
		}
	}
	return nil
}

// newCountError refuses a list with too few or too many entries.
func newCountError(what string, n, most int) error {
	return errors.Newf("1 to %d %s are allowed in one call, these are %d", most, what, n)
}

// checkName rejects an empty name, a long one and one with spaces.
func checkName(what, name string) error {
	if name == "" || len(name) > maxNameLength {
		return errors.Newf("%s %q must have 1 to %d bytes", what, name, maxNameLength)
	}
	for _, c := range name {
		if c <= ' ' || c == 0x7f {
			return errors.Newf("%s %q holds a space or control character", what, name)
		}
	}
	return nil
}

// checkLabels rejects labels that are too many or too long, and empty keys.
func checkLabels(labels map[string]string) error {
	if len(labels) > maxLabels {
		return errors.Newf("%d labels, at most %d are allowed", len(labels), maxLabels)
	}
	size := 0
	for k, v := range labels {
		if k == "" {
			return errors.New("a label has an empty key")
		}
		size += len(k) + len(v)
	}
	if size > maxLabelsLength {
		return errors.Newf("labels take %d bytes, at most %d are allowed", size, maxLabelsLength)
	}
	return nil
}

// checkSelector rejects what is not a label selector; an empty one is allowed.
func checkSelector(what, text string) error {
	if len(text) > maxLabelsLength {
		return errors.Newf("%s is longer than %d bytes", what, maxLabelsLength)
	}
	if _, err := labels.Parse(text); err != nil {
		return errors.Newf("%s %q is not a label selector: %v", what, text, err)
	}
	return nil
}
