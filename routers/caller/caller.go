// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package caller is the callers' listener: the balancer's health check, and
// everything else to the entry.
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

// HealthPath is where the balancer asks whether to send requests here.
const HealthPath = "/healthz"

// Health is the answer to the health check.
type Health struct {
	Healthy bool `json:"healthy"`
}

// New makes the handler.
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
