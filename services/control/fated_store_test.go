// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// storeFate is what becomes of one call to the store.
type storeFate string

const (
	fateDone    storeFate = "done"
	fateSlow    storeFate = "slow"        // done, and the answer takes longer than a move of a job
	fateLost    storeFate = "lost"        // done, without answer
	fateSilent  storeFate = "silent"      // not done, without answer
	fateAway    storeFate = "unavailable" // not done, and the answer says so
	fateLimited storeFate = "limited"     // likewise
	fateLate    storeFate = "late"        // held up and done later, without answer
	// fateWrites is of the weather only: writes are limited, and reads are done.
	fateWrites storeFate = "writes limited"
)

// refuses tells whether the store does nothing of a call with this fate.
func (f storeFate) refuses() bool { return f == fateSilent || f == fateAway || f == fateLimited }

// plannedCall is the fate of one call about one job.
type plannedCall struct {
	Fate storeFate     `json:"fate"`
	Late time.Duration `json:"late,omitempty"` // of fateLate
}

// Times of the calls to the store.
const (
	storeTrip = 3 * time.Millisecond // each way
	slowTrip  = 250 * time.Millisecond
	extraTrip = 113 * time.Microsecond // more for each daemon, so that calls arrive in the same order each time
)

// ledger sees every transaction that the store does, and knows which daemon sent it and when.
type ledger struct {
	store *kv.Service

	mu       sync.Mutex
	moments  int // counts what happens, so that two things at the same time have an order
	creating []creation
	removed  []jobs.ID // records that were deleted before their jobs had ended
	starts   []start
}

// creation is a transaction that gave a job its first record.
type creation struct {
	job    jobs.ID
	daemon string
	by     *refusalTry
	sent   int // the moment
}

// start is a run that a worker began.
type start struct {
	job jobs.ID
	at  time.Time
}

// moment gives the number of something that happens now.
func (l *ledger) moment() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moments++
	return l.moments
}

// work is the work of the grid's tasks; it notes their starts.
func (l *ledger) work(task jobs.TaskID, _ jobs.RunID) (time.Duration, jobs.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, start{task.Job, time.Now()})
	return fatedWork, jobs.EndSucceeded
}

// records are the keys of a job's records in all cells, without those that bar it.
func (l *ledger) records(id jobs.ID) []string {
	local := &kv.Local{Service: l.store, Fault: kv.NoFault}
	var keys []string
	for _, key := range l.store.KeysWith(jobPrefix) {
		if !strings.HasSuffix(key, "/"+string(id)) {
			continue
		}
		record, err := read[jobs.Record](context.Background(), local, key)
		if err != nil || record.Ended != jobs.StateBarred {
			keys = append(keys, key)
		}
	}
	return keys
}

// stored gives a job's entries as the store holds them.
func (l *ledger) stored(id jobs.ID, layout *jobs.Layout) jobEntries {
	local := &kv.Local{Service: l.store, Fault: kv.NoFault}
	reader := &Service{config: Config{Store: local}, health: newStoreHealth(zap.NewNop(), clock.New(clock.Config{}))}
	entries, err := reader.entriesOf(context.Background(), id, layout)
	if err != nil {
		return nil
	}
	return entries
}

// commit carries out a transaction and notes what it means for the job it is about.
func (l *ledger) commit(d *testDaemon, by *refusalTry, sent int, txn platform.Txn) (platform.Version, error) {
	local := &kv.Local{Service: l.store, Fault: kv.NoFault}
	id := jobOfTxn(txn)
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.records(id)
	l.noteRemoval(d, txn)
	version, err := local.Commit(context.Background(), txn)
	if err == nil && id != "" && len(before) == 0 && len(l.records(id)) > 0 {
		l.creating = append(l.creating, creation{job: id, daemon: d.name, by: by, sent: sent})
	}
	return version, err
}

// noteRemoval notes records of jobs that have not ended and are about to be deleted.
func (l *ledger) noteRemoval(d *testDaemon, txn platform.Txn) {
	for _, key := range txn.Delete {
		id := jobOfStoreKey(key)
		if id == "" || strings.HasSuffix(key, cancelSuffix) {
			continue
		}
		if entries := l.stored(id, d.Cells.layout()); entries.known() && !entries.state().Ended() {
			l.removed = append(l.removed, id)
		}
	}
}

// jobOfStoreKey is the job that a key among a cell's jobs is about; empty: none.
func jobOfStoreKey(key string) jobs.ID {
	rest, ok := strings.CutPrefix(key, jobPrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) < 2 || parts[1] == markerName {
		return ""
	}
	return jobs.ID(parts[1])
}

// jobOfTxn is the first job that a transaction writes something of; empty: none.
func jobOfTxn(txn platform.Txn) jobs.ID {
	for _, w := range txn.Put {
		if id := jobOfStoreKey(w.Key); id != "" {
			return id
		}
	}
	return ""
}

// fatedStore is a daemon's way to the store, on which each call about a job has the fate
// that was planned for it, and all others that of the weather.
type fatedStore struct {
	platform.TxnStore
	daemon *testDaemon
	ledger *ledger
	extra  time.Duration // of each trip

	mu      sync.Mutex
	dead    bool // the daemon was killed: it sends nothing more
	weather storeFate
	since   time.Time // of the weather
	writes  map[jobs.ID][]plannedCall
	reads   map[jobs.ID][]plannedCall
}

func newFatedStore(d *testDaemon, l *ledger) *fatedStore {
	return &fatedStore{
		TxnStore: &kv.Local{Service: l.store, Fault: kv.NoFault, Wait: time.Second}, daemon: d, ledger: l,
		extra:   time.Duration(d.world.made) * extraTrip,
		weather: fateDone, writes: map[jobs.ID][]plannedCall{}, reads: map[jobs.ID][]plannedCall{},
	}
}

// plan adds the fates of a daemon's next calls about a job.
func (s *fatedStore) plan(id jobs.ID, writes, reads []plannedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes[id] = append(s.writes[id], writes...)
	s.reads[id] = append(s.reads[id], reads...)
}

// setWeather changes the fate of all calls; one that is done leaves the plans in force.
func (s *fatedStore) setWeather(weather storeFate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weather != weather {
		s.weather, s.since = weather, time.Now()
	}
	// The list of the workers is the store's as well.
	s.daemon.set(func() { s.daemon.storeCut = weather == fateAway || weather == fateSilent })
}

// useless tells whether the store has done nothing for the daemon for so long.
func (s *fatedStore) useless(since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weather.refuses() && time.Since(s.since) >= since
}

func (s *fatedStore) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
}

func (s *fatedStore) killed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

// fateOf takes the fate of the next call; id is empty when it is about no job.
func (s *fatedStore) fateOf(plans map[jobs.ID][]plannedCall, id jobs.ID, write bool) plannedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	planned := plans[id]
	switch {
	case s.dead:
		return plannedCall{Fate: fateAway}
	case s.weather == fateWrites && write:
		return plannedCall{Fate: fateLimited}
	case s.weather != fateDone && s.weather != fateWrites:
		return plannedCall{Fate: s.weather}
	case id == "" || len(planned) == 0:
		return plannedCall{Fate: fateDone}
	}
	plans[id] = planned[1:]
	return planned[0]
}

// callResult is the answer to a call.
type callResult[T any] struct {
	value T
	err   error
}

// fated makes a call that has a fate. Once it is on its way, it is done whether or not
// anybody waits for the answer.
func fated[T any](ctx context.Context, s *fatedStore, planned plannedCall, perform func() (T, error)) (T, error) {
	var zero T
	if ctx.Err() != nil {
		return zero, platform.ErrUnknown
	}
	trip := storeTrip + s.extra
	switch planned.Fate {
	case fateAway:
		sleep(ctx, 2*storeTrip)
		return zero, platform.ErrUnavailable
	case fateLimited:
		sleep(ctx, 2*storeTrip)
		return zero, platform.ErrLimited
	case fateSilent:
		sleep(ctx, callTime)
		return zero, platform.ErrUnknown
	case fateLate:
		trip = planned.Late
	case fateSlow:
		trip = slowTrip
	}
	answered := make(chan callResult[T], 1)
	time.AfterFunc(trip, func() {
		value, err := perform()
		time.AfterFunc(trip, func() { answered <- callResult[T]{value, err} })
	})
	if planned.Fate == fateLost || planned.Fate == fateLate {
		sleep(ctx, callTime)
		return zero, platform.ErrUnknown
	}
	select {
	case result := <-answered:
		return result.value, result.err
	case <-ctx.Done():
		return zero, platform.ErrUnknown
	}
}

// Commit implements platform.TxnStore.
func (s *fatedStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	sent := s.ledger.moment()
	by, ok := ctx.Value(tryOfContext{}).(*refusalTry)
	if !ok {
		by = &refusalTry{ended: sent} // no call waits for it
	}
	return fated(ctx, s, s.fateOf(s.writes, jobOfTxn(txn), true), func() (platform.Version, error) {
		return s.ledger.commit(s.daemon, by, sent, txn)
	})
}

// Get implements platform.Store.
func (s *fatedStore) Get(ctx context.Context, key string) (platform.Record, error) {
	return fated(ctx, s, s.fateOf(s.reads, jobOfStoreKey(key), false), func() (platform.Record, error) {
		return s.TxnStore.Get(context.Background(), key)
	})
}

// found is what a read of several keys gives.
type found struct {
	records []platform.Record
	at      platform.Version
}

// List implements platform.Store.
func (s *fatedStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Version, error) {
	f, err := fated(ctx, s, s.fateOf(s.reads, jobOfStoreKey(prefix), false), func() (found, error) {
		records, at, err := s.TxnStore.List(context.Background(), prefix)
		return found{records, at}, err
	})
	return f.records, f.at, err
}

// Watch implements platform.Store.
func (s *fatedStore) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Record, platform.Version, error) {
	f, err := fated(ctx, s, s.fateOf(s.reads, "", false), func() (found, error) {
		records, at, err := s.TxnStore.Watch(ctx, prefix, after)
		return found{records, at}, err
	})
	return f.records, f.at, err
}

// Swap implements platform.Store.
func (s *fatedStore) Swap(ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID) (platform.Version, error) {
	return s.Commit(ctx, platform.Txn{
		Require: []platform.Precondition{{Key: key, Version: expect}},
		Put:     []platform.Write{{Key: key, Value: value, Lease: lease}},
	})
}

// Grant implements platform.Store.
func (s *fatedStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return fated(ctx, s, s.fateOf(s.writes, "", true), func() (platform.LeaseID, error) {
		return s.TxnStore.Grant(context.Background(), ttl)
	})
}

// KeepAlive implements platform.Store.
func (s *fatedStore) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	_, err := fated(ctx, s, s.fateOf(s.reads, "", false), func() (struct{}, error) {
		return struct{}{}, s.TxnStore.KeepAlive(context.Background(), lease)
	})
	return err
}
