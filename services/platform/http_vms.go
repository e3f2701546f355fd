// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package platform

import (
	"context"
	"net/http"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/stall"
	"rillsail.example/rillsail/modules/wire"
)

// Paths of the VM list's and the workers' HTTP interfaces.
const (
	PathVMs   = "/v1/vms"
	PathStart = "/v1/start"
	PathRenew = "/v1/renew"
	PathStop  = "/v1/stop"
)

// HTTPVMList implements VMList over HTTP and JSON.
type HTTPVMList struct {
	url     string
	client  *http.Client
	timeout time.Duration
}

// NewHTTPVMList creates the adapter.
func NewHTTPVMList(config HTTPConfig) *HTTPVMList {
	return &HTTPVMList{url: "http://" + config.Address + PathVMs, client: httpClientFor(config), timeout: config.CallTimeout}
}

// VMs implements VMList.
func (l *HTTPVMList) VMs(ctx context.Context) (models.VMList, error) {
	call := wire.Call{
		Client: l.client, Method: http.MethodGet, URL: l.url, Limit: maxListAnswer, Timeouts: stall.Uniform(l.timeout),
	}
	list, err := wire.Do[models.VMList](ctx, call, nil)
	return list, errstep.Wrap(err, "read VM list", "list")
}

// HTTPWorkers implements Workers over HTTP and JSON.
type HTTPWorkers struct {
	client  *http.Client
	timeout time.Duration
}

// NewHTTPWorkers creates the adapter; it ignores config.Address, as each call names its worker's address.
func NewHTTPWorkers(config HTTPConfig) *HTTPWorkers {
	return &HTTPWorkers{client: httpClientFor(config), timeout: config.CallTimeout}
}

// Start implements Workers.
func (w *HTTPWorkers) Start(ctx context.Context, address string, call models.StartCall) (models.StartAnswer, error) {
	return callWorker[models.StartAnswer](ctx, w, "start task", address, PathStart, call)
}

// Renew implements Workers.
func (w *HTTPWorkers) Renew(ctx context.Context, address string, call models.RenewCall) (models.RenewAnswer, error) {
	return callWorker[models.RenewAnswer](ctx, w, "renew leases", address, PathRenew, call)
}

// Stop implements Workers.
func (w *HTTPWorkers) Stop(ctx context.Context, address string, call models.StopCall) (models.StopAnswer, error) {
	return callWorker[models.StopAnswer](ctx, w, "stop task", address, PathStop, call)
}

func callWorker[T wire.Checker](ctx context.Context, w *HTTPWorkers, step, address, path string, body any) (T, error) {
	answer, err := wire.Do[T](ctx, wire.Call{
		Client: w.client, URL: "http://" + address + path, Limit: maxWorkerAnswer, Timeouts: stall.Uniform(w.timeout),
	}, body)
	return answer, errstep.Wrap(err, step, address)
}
