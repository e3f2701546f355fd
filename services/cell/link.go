// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/services/platform"
)

// linkConfig holds the settings and dependencies of a link.
type linkConfig struct {
	Workers platform.Workers
	VM      models.VM
	Cell    models.CellID
	Epoch   models.Epoch
	Lease   time.Duration
	Renew   time.Duration
	Send    func(context.Context, message) bool
}

// link makes the calls to one worker sequentially, so that the answers reach the owner in the order
// in which the worker gave them.
type link struct {
	config linkConfig
	calls  chan workerCall
	cancel context.CancelFunc

	mu          sync.Mutex
	address     string
	unlisted    bool      // the VM is no longer in the VM list
	leaseCallAt time.Time // when the last call was sent that may begin or renew a lease
	acks        map[models.AttemptRef]bool
	throttle    map[models.TaskID]int

	// The remaining fields belong to the owner's loop.
	vm          models.VM
	incarnation models.Incarnation
	answeredAt  time.Time // when the worker last answered a call
	report      models.RenewAnswer
	observed    map[models.AttemptRef]uint64 // number of the last latency measurement handled, by attempt
	shares      map[models.TaskID]int
	failures    failureRecord
}

// workerCall is a start or a stop. The set of types is closed.
type workerCall interface{ workerCall() }

type startCall struct{ models.StartCall }

type stopCall struct{ models.StopCall }

func (startCall) workerCall() {}
func (stopCall) workerCall()  {}

// linkQueueSize bounds the calls that wait for one worker. The owner retries calls that don't fit.
const linkQueueSize = 64

func newLink(config linkConfig) *link {
	return &link{
		config: config, vm: config.VM, address: config.VM.Address, calls: make(chan workerCall, linkQueueSize),
		acks: map[models.AttemptRef]bool{}, throttle: map[models.TaskID]int{},
		observed: map[models.AttemptRef]uint64{}, shares: map[models.TaskID]int{},
		answeredAt: time.Now(), failures: newFailureRecord(),
	}
}

// enqueue adds a call to the queue of the link; false when the queue is full.
func (l *link) enqueue(call workerCall) bool {
	select {
	case l.calls <- call:
		return true
	default:
		return false
	}
}

// renewRetryDivisor divides the renewal interval after a renewal without an answer, so that a few
// lost messages don't make the worker look silent.
const renewRetryDivisor = 4

func (l *link) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			next := l.config.Renew
			if !l.renew(ctx) {
				next /= renewRetryDivisor
			}
			timer.Reset(next)
		case call := <-l.calls:
			l.perform(ctx, call)
		}
	}
}

func (l *link) perform(ctx context.Context, call workerCall) {
	address := l.currentAddress()
	switch c := call.(type) {
	case startCall:
		answer, err := l.start(ctx, address, c.StartCall)
		l.config.Send(ctx, startedMessage{vm: l.config.VM.ID, ref: c.AttemptRef, answer: answer, err: err})
	case stopCall:
		answer, err := l.config.Workers.Stop(ctx, address, c.StopCall)
		l.config.Send(ctx, stoppedMessage{vm: l.config.VM.ID, ref: c.AttemptRef, answer: answer, err: err})
	}
}

// errUnlisted means that a start was not sent because the VM is no longer listed.
var errUnlisted = errors.New("the VM is no longer in the VM list")

func (l *link) start(ctx context.Context, address string, call models.StartCall) (models.StartAnswer, error) {
	if !l.beginLeaseCall() {
		return models.StartAnswer{}, errstep.Wrap(errUnlisted, "start task", string(l.config.VM.ID))
	}
	return l.config.Workers.Start(ctx, address, call)
}

// beginLeaseCall records that a call is sent that may begin or renew a lease. It returns false while
// the VM is not listed: no such call may be sent then, because the proof that nothing runs on the
// VM requires a whole lease without one.
func (l *link) beginLeaseCall() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unlisted {
		return false
	}
	l.leaseCallAt = time.Now()
	return true
}

func (l *link) lastLeaseCall() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseCallAt
}

// renew renews the leases of the worker's tasks; false when the worker gave no answer.
func (l *link) renew(ctx context.Context) bool {
	if !l.beginLeaseCall() {
		return true
	}
	call := l.nextRenewCall()
	answer, err := l.config.Workers.Renew(ctx, l.currentAddress(), call)
	l.config.Send(ctx, renewedMessage{vm: l.config.VM.ID, answer: answer, err: err})
	if err == nil && answer.Refused == "" {
		l.clearAcks(call.Acknowledge)
	}
	return err == nil
}

// nextRenewCall builds the next renewal, with the current shares and acknowledgements.
func (l *link) nextRenewCall() models.RenewCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := models.RenewCall{
		Guard:    models.Guard{Cell: l.config.Cell, Epoch: l.config.Epoch},
		Lease:    models.MilliOf(l.config.Lease),
		Throttle: maps.Clone(l.throttle),
	}
	for ref := range l.acks {
		call.Acknowledge = append(call.Acknowledge, ref)
	}
	return call
}

func (l *link) clearAcks(refs []models.AttemptRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ref := range refs {
		delete(l.acks, ref)
	}
}

func (l *link) currentAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// acknowledge adds an ended attempt to the next renewal, after which the worker may forget it.
func (l *link) acknowledge(ref models.AttemptRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acks[ref] = true
}

// setThrottle sets the CPU shares that are sent with each renewal.
func (l *link) setThrottle(shares map[models.TaskID]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.throttle = maps.Clone(shares)
}

// setListed records whether the VM is listed, and the address of a listed VM.
func (l *link) setListed(vm models.VM, listed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlisted = !listed
	if listed {
		l.address = vm.Address
	}
}
