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

// linkConfig is what a link works with.
type linkConfig struct {
	Workers platform.Workers
	VM      models.VM
	Cell    models.CellID
	Epoch   models.Epoch
	Lease   time.Duration
	Renew   time.Duration
	Send    func(context.Context, message) bool
}

// link makes the calls to one worker, one after the other, so that its answers
// reach the owner in the order in which the worker gave them.
type link struct {
	config linkConfig
	calls  chan workerCall
	cancel context.CancelFunc

	mu          sync.Mutex
	address     string
	unlisted    bool      // the VM is not listed any more
	leaseCallAt time.Time // when the last call left that may begin or prolong a lease
	acks        map[models.AttemptRef]bool
	throttle    map[models.TaskID]int

	// These belong to the owner's loop.
	vm          models.VM
	incarnation models.Incarnation
	answeredAt  time.Time // last answer of any call
	report      models.RenewAnswer
	observed    map[models.AttemptRef]uint64 // last lagging figure taken, by attempt
	shares      map[models.TaskID]int
	failures    failureRecord
}

// workerCall is a start or a stop. The set is closed.
type workerCall interface{ workerCall() }

type startCall struct{ models.StartCall }

type stopCall struct{ models.StopCall }

func (startCall) workerCall() {}
func (stopCall) workerCall()  {}

// linkQueueSize bounds the calls that wait for one worker; what doesn't fit is tried
// again by the owner.
const linkQueueSize = 64

func newLink(config linkConfig) *link {
	return &link{
		config: config, vm: config.VM, address: config.VM.Address, calls: make(chan workerCall, linkQueueSize),
		acks: map[models.AttemptRef]bool{}, throttle: map[models.TaskID]int{},
		observed: map[models.AttemptRef]uint64{}, shares: map[models.TaskID]int{},
		answeredAt: time.Now(), failures: newFailureRecord(),
	}
}

// enqueue hands a call to the link; false when too many wait.
func (l *link) enqueue(call workerCall) bool {
	select {
	case l.calls <- call:
		return true
	default:
		return false
	}
}

// renewRetryDivisor is how much sooner than usual a renewal without answer is repeated, so
// that a few lost messages don't look like a silent worker.
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

// errUnlisted says that a VM is not asked to start anything.
var errUnlisted = errors.New("the VM is not listed any more")

func (l *link) start(ctx context.Context, address string, call models.StartCall) (models.StartAnswer, error) {
	if !l.beginLeaseCall() {
		return models.StartAnswer{}, errstep.Wrap(errUnlisted, "start task", string(l.config.VM.ID))
	}
	return l.config.Workers.Start(ctx, address, call)
}

// beginLeaseCall notes that a call leaves that brings a lease; false while the VM is not listed, for
// the proof that nothing runs there needs a whole lease without such a call.
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

// renew prolongs the leases; false when no answer came.
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

// nextRenewCall makes the next call.
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

// acknowledge lets the worker forget an ended attempt with the next renewal.
func (l *link) acknowledge(ref models.AttemptRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acks[ref] = true
}

// setThrottle sets the shares that go with each renewal.
func (l *link) setThrottle(shares map[models.TaskID]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.throttle = maps.Clone(shares)
}

// setListed follows the VM list.
func (l *link) setListed(vm models.VM, listed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlisted = !listed
	if listed {
		l.address = vm.Address
	}
}
