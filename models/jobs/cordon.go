// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import "rillsail.example/rillsail/models"

// Cordon is an operator's request that nothing starts on the workers of a failure domain until the cordon is lifted.
// What runs there runs on.
type Cordon struct {
	Domain models.FailureDomain `json:"domain"`
	// Version is the store's version of the request.
	Version uint64 `json:"version"`
}
