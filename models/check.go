// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Limits on names and labels.
const (
	maxNameLength   = 200 // bytes
	maxLabels       = 64
	maxLabelsLength = 4096 // bytes of all keys and values together, or of a selector
)

// checker is a value that can be validated after it was decoded.
type checker interface{ Check() error }

// checkAll validates the values in order and returns the first error.
func checkAll[T checker](values []T) error {
	for _, value := range values {
		if err := value.Check(); err != nil {
			return err
		}
	}
	return nil
}

// newCountError returns the error for a list of n items that is empty or longer than limit.
func newCountError(items string, n, limit int) error {
	return errors.Newf("1 to %d %s are allowed in one call, these are %d", limit, items, n)
}

// checkName rejects a name that is empty, longer than maxNameLength, or contains an ASCII space or control
// character. field says in the error what the name is of.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameLength {
		return errors.Newf("%s %q must have 1 to %d bytes", field, name, maxNameLength)
	}
	for _, c := range name {
		if c <= ' ' || c == 0x7f {
			return errors.Newf("%s %q holds a space or control character", field, name)
		}
	}
	return nil
}

// checkLabels rejects more than maxLabels labels, labels longer than maxLabelsLength in total, and empty keys.
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

// checkSelector rejects a text that is not a valid label selector; an empty selector is valid. field is the
// name of the checked field in the error.
func checkSelector(field, selector string) error {
	if len(selector) > maxLabelsLength {
		return errors.Newf("%s is longer than %d bytes", field, maxLabelsLength)
	}
	if _, err := labels.Parse(selector); err != nil {
		return errors.Newf("%s %q is not a label selector: %v", field, selector, err)
	}
	return nil
}
