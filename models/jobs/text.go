// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

// Text is a text of callers or workers that is handed on as it came: nobody here reads it.
type Text string
