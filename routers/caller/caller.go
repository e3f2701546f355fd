// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package caller handles the callers' listener: it answers the load balancer's health
// check and passes all other requests to the entry service.
//
// # Usage
//
//	handler := caller.New(entry)
package caller

import (
	"net/http"

	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/entry"
)

// HealthPath is the path of the load balancer's health check.
const HealthPath = "/healthz"

// Health is the body of the answer to the health check.
type Health struct {
	Healthy bool `json:"healthy"`
}

// New returns the handler of the callers' listener.
func New(service *entry.Service) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != HealthPath {
			service.ServeHTTP(w, r)
			return
		}
		status := http.StatusOK
		if !service.Healthy() {
			status = http.StatusServiceUnavailable
		}
		wire.Write(w, status, Health{Healthy: service.Healthy()})
	})
}
