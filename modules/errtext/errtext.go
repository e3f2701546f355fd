// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package errtext limits the text of errors that quote input, so that odd input fills neither logs nor answers.
//
// # Usage
//
//	if err := json.Unmarshal(input, &value); err != nil {
//		return errors.Wrap(errtext.Limit(err), "decode value")
//	}
package errtext

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLength is the length of the longest text that is kept, in bytes.
const maxLength = 500

// Limit returns err if its text is short, and otherwise an error with the beginning and the length of the text. That
// error wraps nothing, because verbose output prints wrapped errors in full.
func Limit(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= maxLength {
		return err
	}
	return errors.Newf("%s... (%d bytes)", strings.ToValidUTF8(text[:maxLength], ""), len(text))
}
