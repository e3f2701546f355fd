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

// startStore serves the store until close; each daemon has an address of its own there, so
// that faults know whose call they have.
func (s *site) startStore() {
	s.storeFaults.accepted = newAcceptanceLog()
	s.emulator.SetFault(s.storeFaults.fault)
	s.store = &http.Server{Handler: withArrivalTime(s.emulator.Handler()), ReadHeaderTimeout: time.Minute, ConnContext: s.connContext}
}

// listenForStore opens a daemon's address at the store.
func (s *site) listenForStore(d *daemon) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for the store")
	}
	address = listener.Addr().String()
	s.mu.Lock()
	s.storeListeners[address] = d
	s.mu.Unlock()
	s.group.Go(func() { _ = s.store.Serve(listener) }) // ends with close
	return address, nil
}

// The keys under which a call's context says where it comes from, and when it arrived.
type (
	connectionKey struct{}
	arrivalKey    struct{}
)

// connection is a daemon's connection to the store.
type connection struct {
	daemon      *daemon
	incarnation int // of the daemon's process
}

// connContext finds whose a new connection is.
func (s *site) connContext(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	d := s.storeListeners[c.LocalAddr().String()]
	s.mu.Unlock()
	life, _ := d.running()
	return context.WithValue(ctx, connectionKey{}, connection{d, life})
}

// withArrivalTime notes when calls arrive.
func withArrivalTime(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), arrivalKey{}, time.Now())))
	})
}

// storeFaults are the store's faults in force. It is safe for concurrent use.
type storeFaults struct {
	accepted      *acceptanceLog // that the store has seen
	mu            sync.Mutex
	active        []*kv.Fault // the newest first
	lastHeldUntil time.Time   // when the last of the writes that are held up is done
}

// add puts a fault beside the others until it is removed.
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

// fault implements kv.Fault: all faults in force are asked, until one has something to say.
func (f *storeFaults) fault(ctx context.Context, write, after bool, key string) error {
	f.mu.Lock()
	all := f.active
	f.mu.Unlock()
	var err error
	for _, fault := range all {
		if err = (*fault)(ctx, write, after, key); err != nil {
			break
		}
	}
	if write && after {
		f.accepted.recordWrite(ctx, err == nil)
	}
	return err
}

// delayWrite holds a write up.
func (f *storeFaults) delayWrite(d time.Duration) {
	f.mu.Lock()
	if until := time.Now().Add(d); until.After(f.lastHeldUntil) {
		f.lastHeldUntil = until
	}
	f.mu.Unlock()
	time.Sleep(d)
}

// heldUntil is when no write is held up any more.
func (f *storeFaults) heldUntil() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastHeldUntil
}

// Figures of the store's faults: slow answers come within callTimeout, late writes
// are done after it.
const (
	slowDelay    = 150 * time.Millisecond
	loseOneIn    = 3 // calls
	busyOneIn    = 2 // calls
	minLateDelay = time.Second
	maxLateDelay = 5 * time.Second
)

// applyStoreFault lets calls to the store go wrong.
func (r *run) applyStoreFault(ctx context.Context, fault Fault) {
	if fault.Kind == StoreForgets {
		r.site.emulator.Store.Forget()
		return
	}
	defer r.site.storeFaults.add(r.restrictToDaemons(fault, r.newStoreFault(fault)))()
	sleep(ctx, fault.For)
}

// restrictToDaemons restricts a fault to the calls of the daemons that it is planned for.
func (r *run) restrictToDaemons(planned Fault, fault kv.Fault) kv.Fault {
	if planned.Every <= 1 {
		return fault
	}
	hit := map[*daemon]bool{}
	for n, d := range r.site.daemons {
		hit[d] = n%planned.Every == planned.Target%planned.Every
	}
	return func(ctx context.Context, write, after bool, key string) error {
		if from, _ := ctx.Value(connectionKey{}).(connection); !hit[from.daemon] {
			return nil
		}
		return fault(ctx, write, after, key)
	}
}

// newStoreFault is what the emulator asks before and after each call.
func (r *run) newStoreFault(planned Fault) kv.Fault {
	var mu sync.Mutex
	stream := uint64(storeStream)
	if planned.Overlapping {
		stream += uint64(planned.At) // faults that overlap must not draw the same
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
			return platform.ErrUnknown
		case after:
			return nil
		case kind == StoreSlow:
			time.Sleep(slowDelay)
		case kind == StoreLate && write && draw(loseOneIn) == 0:
			r.site.storeFaults.delayWrite(minLateDelay + time.Duration(draw(int64(maxLateDelay-minLateDelay)))) // then it is done, and nobody waits any more
		case kind == StoreDown, kind == StoreReadsFail && !write, kind == StoreBusy && draw(busyOneIn) == 0:
			return platform.ErrUnavailable
		case kind == StoreLimited && draw(busyOneIn) == 0:
			return platform.ErrLimited
		}
		return nil
	}
}
