// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package errclass gives an error one class and no other. Marks add up: an error of several
// tries that is marked "may have been done" over the last try's "nothing was done" is both,
// and is taken for either by whoever asks first.
//
// # Usage
//
//	return errclass.Only(err, ErrUnknown) // the text of err stays, its classes don't
package errclass

import "github.com/cockroachdb/errors"

// Only makes of err an error with the same text that is of one class only; it returns nil
// for nil.
func Only(err, class error) error { return errors.Mark(errors.Handled(err), class) }
