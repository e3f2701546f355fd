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

// callOutcome is what becomes of one call to the store.
type callOutcome string

const (
	outcomeDone        callOutcome = "done"
	outcomeSlow        callOutcome = "slow"        // done, and the answer takes longer than a move of a job
	outcomeLost        callOutcome = "lost"        // done, without answer
	outcomeSilent      callOutcome = "silent"      // not done, without answer
	outcomeUnavailable callOutcome = "unavailable" // not done, and the answer says so
	outcomeLimited     callOutcome = "limited"     // likewise
	outcomeLate        callOutcome = "late"        // held up and done later, without answer
	// outcomeWritesLimited is of the weather only: writes are limited, and reads are done.
	outcomeWritesLimited callOutcome = "writes limited"
)

// refuses tells whether the store does nothing of a call with this fate.
func (f callOutcome) refuses() bool {
	return f == outcomeSilent || f == outcomeUnavailable || f == outcomeLimited
}

// plannedCall is the fate of one call about one job.
type plannedCall struct {
	Outcome callOutcome   `json:"fate"`
	Late    time.Duration `json:"late,omitempty"` // of outcomeLate
}

// Times of the calls to the store.
const (
	storeLatency      = 3 * time.Millisecond // each way
	slowLatency       = 250 * time.Millisecond
	daemonLatencyStep = 113 * time.Microsecond // more for each daemon, so that calls arrive in the same order each time
)

// commitRecorder sees every transaction that the store does, and knows which daemon sent it and when.
type commitRecorder struct {
	store *kv.Service

	mu        sync.Mutex
	lastSeq   int // counts what happens, so that two things at the same time have an order
	creations []creation
	removed   []jobs.ID // records that were deleted before their jobs had ended
	starts    []runStart
}

// creation is a transaction that gave a job its first record.
type creation struct {
	job     jobs.ID
	daemon  string
	call    *refusalCall
	sentSeq int // the moment
}

// runStart is a run that a worker began.
type runStart struct {
	job jobs.ID
	at  time.Time
}

// nextSeq gives the number of something that happens now.
func (l *commitRecorder) nextSeq() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSeq++
	return l.lastSeq
}

// taskWork is the work of the grid's tasks; it notes their starts.
func (l *commitRecorder) taskWork(task jobs.TaskID, _ jobs.RunID) (time.Duration, jobs.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, runStart{task.Job, time.Now()})
	return scriptTaskTime, jobs.EndSucceeded
}

// records are the keys of a job's records in all cells, without those that bar it.
func (l *commitRecorder) records(id jobs.ID) []string {
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
func (l *commitRecorder) stored(id jobs.ID, layout *jobs.Layout) jobEntries {
	local := &kv.Local{Service: l.store, Fault: kv.NoFault}
	reader := &Service{config: Config{Store: local}, health: newStoreHealth(zap.NewNop(), clock.New(clock.Config{}))}
	entries, err := reader.entriesOf(context.Background(), id, layout)
	if err != nil {
		return nil
	}
	return entries
}

// commit carries out a transaction and notes what it means for the job it is about.
func (l *commitRecorder) commit(d *testDaemon, by *refusalCall, sent int, txn platform.Txn) (platform.Version, error) {
	local := &kv.Local{Service: l.store, Fault: kv.NoFault}
	id := jobOfTxn(txn)
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.records(id)
	l.noteRemoval(d, txn)
	version, err := local.Commit(context.Background(), txn)
	if err == nil && id != "" && len(before) == 0 && len(l.records(id)) > 0 {
		l.creations = append(l.creations, creation{job: id, daemon: d.name, call: by, sentSeq: sent})
	}
	return version, err
}

// noteRemoval notes records of jobs that have not ended and are about to be deleted.
func (l *commitRecorder) noteRemoval(d *testDaemon, txn platform.Txn) {
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

// faultyStore is a daemon's way to the store, on which each call about a job has the fate
// that was planned for it, and all others that of the weather.
type faultyStore struct {
	platform.TxnStore
	daemon       *testDaemon
	recorder     *commitRecorder
	extraLatency time.Duration // of each trip

	mu             sync.Mutex
	dead           bool // the daemon was killed: it sends nothing more
	defaultOutcome callOutcome
	since          time.Time // of the weather
	writes         map[jobs.ID][]plannedCall
	reads          map[jobs.ID][]plannedCall
}

func newFaultyStore(d *testDaemon, l *commitRecorder) *faultyStore {
	return &faultyStore{
		TxnStore: &kv.Local{Service: l.store, Fault: kv.NoFault, Wait: time.Second}, daemon: d, recorder: l,
		extraLatency:   time.Duration(d.world.made) * daemonLatencyStep,
		defaultOutcome: outcomeDone, writes: map[jobs.ID][]plannedCall{}, reads: map[jobs.ID][]plannedCall{},
	}
}

// plan adds the fates of a daemon's next calls about a job.
func (s *faultyStore) plan(id jobs.ID, writes, reads []plannedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes[id] = append(s.writes[id], writes...)
	s.reads[id] = append(s.reads[id], reads...)
}

// setDefaultOutcome changes the fate of all calls; one that is done leaves the plans in force.
func (s *faultyStore) setDefaultOutcome(weather callOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.defaultOutcome != weather {
		s.defaultOutcome, s.since = weather, time.Now()
	}
	// The list of the workers is the store's as well.
	s.daemon.set(func() { s.daemon.storeCut = weather == outcomeUnavailable || weather == outcomeSilent })
}

// unusable tells whether the store has done nothing for the daemon for so long.
func (s *faultyStore) unusable(since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.defaultOutcome.refuses() && time.Since(s.since) >= since
}

func (s *faultyStore) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
}

func (s *faultyStore) killed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

// nextOutcome takes the fate of the next call; id is empty when it is about no job.
func (s *faultyStore) nextOutcome(plans map[jobs.ID][]plannedCall, id jobs.ID, write bool) plannedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	planned := plans[id]
	switch {
	case s.dead:
		return plannedCall{Outcome: outcomeUnavailable}
	case s.defaultOutcome == outcomeWritesLimited && write:
		return plannedCall{Outcome: outcomeLimited}
	case s.defaultOutcome != outcomeDone && s.defaultOutcome != outcomeWritesLimited:
		return plannedCall{Outcome: s.defaultOutcome}
	case id == "" || len(planned) == 0:
		return plannedCall{Outcome: outcomeDone}
	}
	plans[id] = planned[1:]
	return planned[0]
}

// callResult is the answer to a call.
type callResult[T any] struct {
	value T
	err   error
}

// callWithOutcome makes a call that has a fate. Once it is on its way, it is done whether or not
// anybody waits for the answer.
func callWithOutcome[T any](ctx context.Context, s *faultyStore, planned plannedCall, perform func() (T, error)) (T, error) {
	var zero T
	if ctx.Err() != nil {
		return zero, platform.ErrUnknown
	}
	trip := storeLatency + s.extraLatency
	switch planned.Outcome {
	case outcomeUnavailable:
		sleep(ctx, 2*storeLatency)
		return zero, platform.ErrUnavailable
	case outcomeLimited:
		sleep(ctx, 2*storeLatency)
		return zero, platform.ErrLimited
	case outcomeSilent:
		sleep(ctx, callTime)
		return zero, platform.ErrUnknown
	case outcomeLate:
		trip = planned.Late
	case outcomeSlow:
		trip = slowLatency
	}
	answered := make(chan callResult[T], 1)
	time.AfterFunc(trip, func() {
		value, err := perform()
		time.AfterFunc(trip, func() { answered <- callResult[T]{value, err} })
	})
	if planned.Outcome == outcomeLost || planned.Outcome == outcomeLate {
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
func (s *faultyStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	sent := s.recorder.nextSeq()
	by, ok := ctx.Value(callContextKey{}).(*refusalCall)
	if !ok {
		by = &refusalCall{endedSeq: sent} // no call waits for it
	}
	return callWithOutcome(ctx, s, s.nextOutcome(s.writes, jobOfTxn(txn), true), func() (platform.Version, error) {
		return s.recorder.commit(s.daemon, by, sent, txn)
	})
}

// Get implements platform.Store.
func (s *faultyStore) Get(ctx context.Context, key string) (platform.Record, error) {
	return callWithOutcome(ctx, s, s.nextOutcome(s.reads, jobOfStoreKey(key), false), func() (platform.Record, error) {
		return s.TxnStore.Get(context.Background(), key)
	})
}

// listing is what a read of several keys gives.
type listing struct {
	records []platform.Record
	at      platform.Version
}

// List implements platform.Store.
func (s *faultyStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Version, error) {
	f, err := callWithOutcome(ctx, s, s.nextOutcome(s.reads, jobOfStoreKey(prefix), false), func() (listing, error) {
		records, at, err := s.TxnStore.List(context.Background(), prefix)
		return listing{records, at}, err
	})
	return f.records, f.at, err
}

// Watch implements platform.Store.
func (s *faultyStore) Watch(ctx context.Context, prefix string, after platform.Version) ([]platform.Record, platform.Version, error) {
	f, err := callWithOutcome(ctx, s, s.nextOutcome(s.reads, "", false), func() (listing, error) {
		records, at, err := s.TxnStore.Watch(ctx, prefix, after)
		return listing{records, at}, err
	})
	return f.records, f.at, err
}

// Swap implements platform.Store.
func (s *faultyStore) Swap(ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID) (platform.Version, error) {
	return s.Commit(ctx, platform.Txn{
		Require: []platform.Precondition{{Key: key, Version: expect}},
		Put:     []platform.Write{{Key: key, Value: value, Lease: lease}},
	})
}

// Grant implements platform.Store.
func (s *faultyStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return callWithOutcome(ctx, s, s.nextOutcome(s.writes, "", true), func() (platform.LeaseID, error) {
		return s.TxnStore.Grant(context.Background(), ttl)
	})
}

// KeepAlive implements platform.Store.
func (s *faultyStore) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	_, err := callWithOutcome(ctx, s, s.nextOutcome(s.reads, "", false), func() (struct{}, error) {
		return struct{}{}, s.TxnStore.KeepAlive(context.Background(), lease)
	})
	return err
}
