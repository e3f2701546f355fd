// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package fleet

import (
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/platform"
)

// The HTTP paths by which tests and trials control the fleet.
const (
	PathControl = "/standin/control"
	PathAudit   = "/standin/audit"
	PathRuns    = "/standin/runs"
)

// Action is a fault or a change of state of a VM.
type Action string

// The actions. ActionHeal undoes ActionCut, ActionStay undoes ActionLeave, and ActionRepair undoes ActionFaulty.
const (
	ActionKill        Action = "kill"    // the VM dies; the list drops it after the list's lag
	ActionRestart     Action = "restart" // workers only: the worker process starts a new incarnation
	ActionCut         Action = "cut"     // the VM continues to run but can't be reached
	ActionHeal        Action = "heal"
	ActionLeave       Action = "leave" // the list shows the VM as leaving after the list's lag
	ActionStay        Action = "stay"
	ActionFaulty      Action = "faulty" // all tasks fail; requests fail at once
	ActionRepair      Action = "sound"
	ActionSlow        Action = "slow"    // upstreams only: requests take Factor times as long
	ActionTruncate    Action = "half"    // upstreams only: the next Count answers are truncated
	ActionHangUp      Action = "hang-up" // upstreams only: the next Count requests run and get no answer
	ActionWrongAnswer Action = "foreign" // upstreams only: the next Count answers belong to another request
)

// Control is one action on one VM.
type Control struct {
	VM     models.VMID `json:"vm"`
	Action Action      `json:"action"`
	Factor int         `json:"factor,omitempty"`
	Count  int         `json:"count,omitempty"`
}

// Check implements wire.Checker. It accepts everything; Apply rejects invalid actions.
func (c Control) Check() error { return nil }

const maxControlSize = 1 << 16

// Handler returns the handler for the VM list and the fleet's control paths.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathVMs, func(w http.ResponseWriter, _ *http.Request) { wire.Write(w, http.StatusOK, f.VMs()) })
	mux.HandleFunc("GET "+PathAudit, func(w http.ResponseWriter, _ *http.Request) { wire.Write(w, http.StatusOK, f.Audit()) })
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, r *http.Request) {
		wire.Write(w, http.StatusOK, f.RunsOf(r.URL.Query().Get("id")))
	})
	mux.HandleFunc("POST "+PathControl, f.serveControl)
	return mux
}

func (f *Fleet) serveControl(w http.ResponseWriter, r *http.Request) {
	control, err := wire.Decode[Control](r.Body, maxControlSize)
	if err == nil {
		err = f.Apply(control)
	}
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	wire.Write(w, http.StatusOK, control)
}

// Apply carries out an action.
func (f *Fleet) Apply(control Control) error {
	if w, ok := f.workers[control.VM]; ok {
		return f.applyToWorker(w, control)
	}
	if u, ok := f.upstreams[control.VM]; ok {
		return f.applyToUpstream(u, control)
	}
	return errors.Newf("no vm %s", control.VM)
}

func (f *Fleet) applyToWorker(w *worker, control Control) error {
	switch control.Action {
	case ActionKill:
		w.kill(false)
		f.setListed(control.VM, "")
	case ActionRestart:
		w.kill(true)
	case ActionCut, ActionHeal:
		w.update(func() { w.cut = control.Action == ActionCut })
	case ActionLeave:
		f.setListed(control.VM, models.VMLeaving)
	case ActionStay:
		f.setListed(control.VM, models.VMLive)
	case ActionFaulty, ActionRepair:
		w.update(func() { w.faulty = control.Action == ActionFaulty })
	default:
		return errors.Newf("action %q is not for workers", control.Action)
	}
	return nil
}

func (f *Fleet) applyToUpstream(u *upstream, control Control) error {
	switch control.Action {
	case ActionKill:
		u.update(func() { u.cut = true })
		f.setListed(control.VM, "")
	case ActionCut, ActionHeal:
		u.update(func() { u.cut = control.Action == ActionCut })
	case ActionLeave:
		u.update(func() { u.leaving = true })
		f.setListed(control.VM, models.VMLeaving)
	case ActionStay:
		u.update(func() { u.leaving = false })
		f.setListed(control.VM, models.VMLive)
	case ActionFaulty, ActionRepair:
		u.update(func() { u.faulty = control.Action == ActionFaulty })
	case ActionSlow:
		u.update(func() { u.factor = max(control.Factor, 1) })
	case ActionTruncate:
		u.update(func() { u.truncate = control.Count })
	case ActionHangUp:
		u.update(func() { u.hangUp = control.Count })
	case ActionWrongAnswer:
		u.update(func() { u.wrongAnswer = control.Count })
	default:
		return errors.Newf("action %q is not for upstreams", control.Action)
	}
	return nil
}

// setListed changes the state of a VM in the list after the list's lag; an empty state removes the VM.
func (f *Fleet) setListed(id models.VMID, state models.VMState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.actualVMs = slices.Clone(f.actualVMs)
	for i, vm := range f.actualVMs {
		if vm.ID != id {
			continue
		}
		if state == "" {
			f.actualVMs = slices.Delete(f.actualVMs, i, i+1)
		} else {
			f.actualVMs[i].State = state
		}
		break
	}
	f.publish(f.config.ListLag)
}

func (w *worker) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// handler serves the worker agent's interface. A worker that is down or cut aborts every call without an answer.
func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathStart, serveAgent(w, w.start))
	mux.HandleFunc("POST "+platform.PathRenew, serveAgent(w, w.renew))
	mux.HandleFunc("POST "+platform.PathStop, serveAgent(w, w.stop))
	return mux
}

const maxAgentCallSize = 4 << 20

func serveAgent[C wire.Checker, A any](w *worker, perform func(C) A) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		unreachable := w.down || w.cut
		w.mu.Unlock()
		if unreachable {
			panic(http.ErrAbortHandler)
		}
		call, err := wire.Decode[C](r.Body, maxAgentCallSize)
		if err != nil {
			wire.WriteError(rw, err)
			return
		}
		wire.Write(rw, http.StatusOK, perform(call))
	}
}
