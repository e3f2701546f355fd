// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package errclass gives an error exactly one class. Marks of package errors accumulate: if a call is
// marked "may have been done" on top of the last attempt's "nothing was done", its error has both classes,
// and how it is handled depends on which of them is checked first.
//
// # Usage
//
//	return errclass.Only(err, ErrUnknown) // the text of err stays, its classes don't
package errclass

import "github.com/cockroachdb/errors"

// Only returns an error with the text of err and class as its only class. It returns nil if err is nil.
func Only(err, class error) error { return errors.Mark(errors.Handled(err), class) }
