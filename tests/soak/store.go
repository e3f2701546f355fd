// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// startStore creates the store's HTTP server, which close ends. Each daemon has an address of its own at
// the store, so that faults can tell which daemon a call comes from.
func (s *site) startStore() {
	s.storeFaults.accepted = newAcceptanceLog()
	s.emulator.SetFault(s.storeFaults.fault)
	s.store = &http.Server{Handler: withArrivalTime(s.emulator.Handler()), ReadHeaderTimeout: time.Minute, ConnContext: s.connContext}
}

// listenForStore opens a listener of the store for one daemon.
func (s *site) listenForStore(d *daemon) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for the store")
	}
	address = listener.Addr().String()
	s.mu.Lock()
	s.storeListeners[address] = d
	s.mu.Unlock()
	s.group.Go(func() { _ = s.store.Serve(listener) }) // returns after close
	return address, nil
}

// Keys of the context values that hold the connection and the arrival time of a call.
type (
	connectionKey struct{}
	arrivalKey    struct{}
)

// connection is a daemon's connection to the store.
type connection struct {
	daemon      *daemon
	incarnation int // of the daemon when the connection was opened
}

// connContext adds to the context of a new connection which daemon has opened it.
func (s *site) connContext(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	d := s.storeListeners[c.LocalAddr().String()]
	s.mu.Unlock()
	incarnation, _ := d.running()
	return context.WithValue(ctx, connectionKey{}, connection{d, incarnation})
}

// withArrivalTime adds the arrival time to the context of each call.
func withArrivalTime(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), arrivalKey{}, time.Now())))
	})
}

// storeFaults holds the active faults of the store. It is safe for concurrent use.
type storeFaults struct {
	accepted         *acceptanceLog
	mu               sync.Mutex
	active           []*kv.Fault // the newest first
	lastDelayedUntil time.Time   // when the last of the delayed writes takes effect
}

// add activates a fault in addition to the others, until remove is called.
func (f *storeFaults) add(fault kv.Fault) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append([]*kv.Fault{&fault}, f.active...)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.active = slices.DeleteFunc(slices.Clone(f.active), func(other *kv.Fault) bool { return other == &fault })
	}
}

// clear removes all faults.
func (f *storeFaults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = nil
}

// fault implements kv.Fault: it returns the error of the first active fault that has one.
func (f *storeFaults) fault(ctx context.Context, write, after bool, key string) error {
	f.mu.Lock()
	active := f.active
	f.mu.Unlock()
	var err error
	for _, fault := range active {
		if err = (*fault)(ctx, write, after, key); err != nil {
			break
		}
	}
	if write && after {
		f.accepted.recordWrite(ctx, err == nil)
	}
	return err
}

// delayWrite blocks a write for the given time before it takes effect.
func (f *storeFaults) delayWrite(d time.Duration) {
	f.mu.Lock()
	if until := time.Now().Add(d); until.After(f.lastDelayedUntil) {
		f.lastDelayedUntil = until
	}
	f.mu.Unlock()
	time.Sleep(d)
}

// delayedUntil returns when the last of the delayed writes takes effect.
func (f *storeFaults) delayedUntil() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastDelayedUntil
}

// Parameters of the store's faults: slow answers arrive within callTimeout, late writes
// take effect after it.
const (
	slowDelay    = 150 * time.Millisecond
	loseOneIn    = 3 // calls
	busyOneIn    = 2 // calls
	minLateDelay = time.Second
	maxLateDelay = 5 * time.Second
)

// applyStoreFault applies a fault to calls to the store for the fault's duration.
func (r *run) applyStoreFault(ctx context.Context, fault Fault) {
	if fault.Kind == StoreForgets {
		r.site.emulator.Store.Compact()
		return
	}
	defer r.site.storeFaults.add(r.restrictToDaemons(fault, r.newStoreFault(fault)))()
	sleep(ctx, fault.For)
}

// restrictToDaemons restricts a fault to the calls of the daemons that the plan selects.
func (r *run) restrictToDaemons(planned Fault, fault kv.Fault) kv.Fault {
	if planned.Every <= 1 {
		return fault
	}
	affected := map[*daemon]bool{}
	for n, d := range r.site.daemons {
		affected[d] = n%planned.Every == planned.Target%planned.Every
	}
	return func(ctx context.Context, write, after bool, key string) error {
		if from, _ := ctx.Value(connectionKey{}).(connection); !affected[from.daemon] {
			return nil
		}
		return fault(ctx, write, after, key)
	}
}

// newStoreFault returns the fault that the emulator consults before and after each call.
func (r *run) newStoreFault(planned Fault) kv.Fault {
	var mu sync.Mutex
	stream := uint64(storeStream)
	if planned.Overlapping {
		stream += uint64(planned.At) // overlapping faults must not draw the same numbers
	}
	random := rand.New(rand.NewPCG(r.plan.Seed, stream))
	draw := func(n int64) int64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Int64N(n)
	}
	kind := planned.Kind
	return func(_ context.Context, write, after bool, _ string) error {
		switch {
		case after && write && kind == StoreLossy && draw(loseOneIn) == 0:
			return platform.ErrUnknownOutcome
		case after:
			return nil
		case kind == StoreSlow:
			time.Sleep(slowDelay)
		case kind == StoreLate && write && draw(loseOneIn) == 0:
			r.site.storeFaults.delayWrite(minLateDelay + time.Duration(draw(int64(maxLateDelay-minLateDelay)))) // the write takes effect after the daemon's call has timed out
		case kind == StoreDown, kind == StoreReadsFail && !write, kind == StoreBusy && draw(busyOneIn) == 0:
			return platform.ErrUnavailable
		case kind == StoreLimited && draw(busyOneIn) == 0:
			return platform.ErrRateLimited
		}
		return nil
	}
}
