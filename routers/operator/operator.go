// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package operator handles the operators' listener: JSON over HTTP, as the rillsail tool
// uses it. Each handler decodes the call, calls one service and encodes the answer.
//
// # Usage
//
//	handler := operator.New(operator.Config{Operate: operate, Settings: configuration, …})
package operator

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/config"
	"rillsail.example/rillsail/services/operate"
)

// Paths of the operators' interface.
const (
	PathStatus  = "/v1/status"
	PathConfig  = "/v1/config"
	PathJobs    = "/v1/jobs"
	PathCancel  = "/v1/jobs/cancel"
	PathTasks   = "/v1/tasks"
	PathWorkers = "/v1/workers"
	PathExplain = "/v1/explain"
	PathRefused = "/v1/refusals"
	PathDump    = "/v1/dump"
	PathMetrics = "/metrics"
	PathProfile = "/debug/pprof/profile" // CPU profile, for go tool pprof
	PathHeap    = "/debug/pprof/heap"
)

// Config holds the services that the handlers call and the limits of a call.
type Config struct {
	Operate  *operate.Service
	Settings *config.Service
	Dump     func(context.Context) any
	Metrics  http.Handler
	MaxBody  int64
	Timeout  time.Duration // per call
}

// New returns the handler of the operators' listener.
func New(c Config) http.Handler {
	h := &handlers{c}
	router := httprouter.New()
	router.GET(PathStatus, h.status)
	router.GET(PathConfig, h.getConfig)
	router.POST(PathConfig, h.applyConfig)
	router.GET(PathJobs, h.list(models.ForwardCall{ListJobs: true}))
	router.POST(PathJobs, h.submit)
	router.POST(PathCancel, h.cancel)
	router.GET(PathTasks, h.list(models.ForwardCall{ListTasks: true}))
	router.GET(PathWorkers, h.list(models.ForwardCall{ListWorkers: true}))
	router.GET(PathExplain, h.explain)
	router.GET(PathRefused, h.refusals)
	router.GET(PathDump, h.dump)
	router.Handler(http.MethodGet, PathMetrics, c.Metrics)
	router.HandlerFunc(http.MethodGet, PathProfile, pprof.Profile)
	router.HandlerFunc(http.MethodGet, PathHeap, pprof.Handler("heap").ServeHTTP)
	return router
}

type handlers struct{ Config }

func (h *handlers) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	wire.Write(w, http.StatusOK, h.Operate.Status())
}

func (h *handlers) getConfig(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	view := h.Settings.View()
	wire.Write(w, http.StatusOK, models.Configuration{Revision: view.Revision(), Objects: view.Objects()})
}

func (h *handlers) applyConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	change, err := wire.Decode[models.ConfigChange](r.Body, h.MaxBody)
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
	defer cancel()
	result, err := h.Settings.Apply(ctx, change)
	if err != nil {
		wire.Write(w, configStatus(err), wire.Problem{Error: err.Error(), Kind: configKind(err)})
		return
	}
	wire.Write(w, http.StatusOK, result)
}

// Kinds of a failed change of the configuration.
const (
	KindConflict = "conflict"
	KindRefused  = "refused"
	KindUnknown  = "unknown" // the change may have been accepted
	KindNotRun   = "not-run"
)

func configKind(err error) string {
	var conflict *models.ConflictError
	var refused *config.RefusedError
	switch {
	case errors.As(err, &conflict):
		return KindConflict
	case errors.As(err, &refused):
		return KindRefused
	case errors.Is(err, config.ErrNotApplied):
		return KindNotRun
	default: // an error of another type does not tell whether the change was accepted
		return KindUnknown
	}
}

func configStatus(err error) int {
	switch configKind(err) {
	case KindConflict:
		return http.StatusConflict
	case KindRefused:
		return http.StatusUnprocessableEntity
	case KindNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

func (h *handlers) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	submission, err := wire.Decode[models.Submission](r.Body, h.MaxBody)
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
	defer cancel()
	wire.Write(w, http.StatusOK, h.Operate.Submit(ctx, submission))
}

func (h *handlers) cancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	cancellation, err := wire.Decode[models.Cancellation](r.Body, h.MaxBody)
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
	defer cancel()
	wire.Write(w, http.StatusOK, h.Operate.Cancel(ctx, cancellation))
}

func (h *handlers) list(call models.ForwardCall) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
		defer cancel()
		wire.Write(w, http.StatusOK, h.Operate.List(ctx, call))
	}
}

func (h *handlers) explain(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	task := models.TaskID(r.URL.Query().Get("task"))
	if task == "" {
		wire.Write(w, http.StatusBadRequest, wire.Problem{Error: "query parameter task is missing"})
		return
	}
	h.list(models.ForwardCall{ExplainTask: task})(w, r, p)
}

func (h *handlers) refusals(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	wire.Write(w, http.StatusOK, models.Refusals{Refusals: h.Operate.Refusals()})
}

func (h *handlers) dump(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
	defer cancel()
	wire.Write(w, http.StatusOK, h.Dump(ctx))
}
