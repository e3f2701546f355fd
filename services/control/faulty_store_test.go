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

// callOutcome is the outcome of one call to the store, as a script plans it.
type callOutcome string

const (
	outcomeDone        callOutcome = "done"
	outcomeSlow        callOutcome = "slow"        // performed; the answer takes longer than a move of a job
	outcomeLost        callOutcome = "lost"        // performed, without answer
	outcomeSilent      callOutcome = "silent"      // not performed, without answer
	outcomeUnavailable callOutcome = "unavailable" // not performed; the answer says so
	outcomeLimited     callOutcome = "limited"     // not performed; the answer says so
	outcomeLate        callOutcome = "late"        // performed after a delay, without answer
	// outcomeWritesLimited is a default outcome only: writes are rate-limited, reads are performed.
	outcomeWritesLimited callOutcome = "writes limited"
)

// refuses reports whether the store performs nothing for a call with this outcome.
func (f callOutcome) refuses() bool {
	return f == outcomeSilent || f == outcomeUnavailable || f == outcomeLimited
}

// plannedCall is the planned outcome of one call about one job.
type plannedCall struct {
	Outcome callOutcome   `json:"fate"`
	Late    time.Duration `json:"late,omitempty"` // of outcomeLate
}

// Latencies of calls to the store.
const (
	storeLatency      = 3 * time.Millisecond // each way
	slowLatency       = 250 * time.Millisecond
	daemonLatencyStep = 113 * time.Microsecond // added for each daemon, so that calls arrive in the same order in each run
)

// commitRecorder records the transactions that the store performs, with the daemon that sent each and when.
type commitRecorder struct {
	store *kv.Service

	mu        sync.Mutex
	lastSeq   int // number of events so far; it orders events that happen at the same time
	creations []creation
	removed   []jobs.ID // jobs whose records were deleted before the job had ended
	starts    []runStart
}

// creation is a transaction that stored the first record of a job.
type creation struct {
	job     jobs.ID
	daemon  string
	call    *refusalCall
	sentSeq int // sequence number of the event
}

// runStart is the start of a run on a worker.
type runStart struct {
	job jobs.ID
	at  time.Time
}

// nextSeq returns the sequence number of an event that happens now.
func (r *commitRecorder) nextSeq() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSeq++
	return r.lastSeq
}

// taskWork is the work function of the grid's tasks; it records their starts.
func (r *commitRecorder) taskWork(task jobs.TaskID, _ jobs.RunID) (time.Duration, jobs.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, runStart{task.Job, time.Now()})
	return scriptTaskTime, jobs.EndSucceeded
}

// records returns the keys of a job's records in all cells, except records that bar it.
func (r *commitRecorder) records(id jobs.ID) []string {
	local := &kv.Local{Service: r.store, Fault: kv.NoFault}
	var keys []string
	for _, key := range r.store.KeysWithPrefix(jobPrefix) {
		if !strings.HasSuffix(key, "/"+string(id)) {
			continue
		}
		record, _, err := readWithVersion[jobs.Record](context.Background(), local, key)
		if err != nil || record.Ended != jobs.StateBarred {
			keys = append(keys, key)
		}
	}
	return keys
}

// stored returns a job's entries as the store holds them.
func (r *commitRecorder) stored(id jobs.ID, layout *jobs.Layout) jobEntries {
	local := &kv.Local{Service: r.store, Fault: kv.NoFault}
	reader := &Service{config: Config{Store: local}, health: newStoreHealth(zap.NewNop(), clock.New(clock.Config{}))}
	entries, err := reader.readEntries(context.Background(), id, layout)
	if err != nil {
		return nil
	}
	return entries
}

// commit performs a transaction and records whether it creates or removes a job.
func (r *commitRecorder) commit(d *testDaemon, by *refusalCall, sent int, txn platform.Txn) (platform.Version, error) {
	local := &kv.Local{Service: r.store, Fault: kv.NoFault}
	id := jobOfTxn(txn)
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.records(id)
	r.recordRemoval(d, txn)
	version, err := local.Commit(context.Background(), txn)
	if err == nil && id != "" && len(before) == 0 && len(r.records(id)) > 0 {
		r.creations = append(r.creations, creation{job: id, daemon: d.name, call: by, sentSeq: sent})
	}
	return version, err
}

// recordRemoval records jobs that have not ended and whose records a transaction deletes.
func (r *commitRecorder) recordRemoval(d *testDaemon, txn platform.Txn) {
	for _, key := range txn.Delete {
		id := jobOfStoreKey(key)
		if id == "" || strings.HasSuffix(key, cancelSuffix) {
			continue
		}
		if entries := r.stored(id, d.Cells.layout()); entries.stored() && !entries.state().Ended() {
			r.removed = append(r.removed, id)
		}
	}
}

// jobOfStoreKey returns the job of a key among a cell's jobs; empty if there is none.
func jobOfStoreKey(key string) jobs.ID {
	rest, ok := strings.CutPrefix(key, jobPrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) < 2 || parts[1] == markerName {
		return ""
	}
	return jobs.ID(parts[1])
}

// jobOfTxn returns the first job of which a transaction writes a key; empty if there is none.
func jobOfTxn(txn platform.Txn) jobs.ID {
	for _, w := range txn.Put {
		if id := jobOfStoreKey(w.Key); id != "" {
			return id
		}
	}
	return ""
}

// faultyStore is a daemon's connection to the store. Each call about a job has the outcome that was planned for it, all
// others the default outcome.
type faultyStore struct {
	platform.TxnStore
	daemon       *testDaemon
	recorder     *commitRecorder
	extraLatency time.Duration // added to the latency in each direction

	mu             sync.Mutex
	dead           bool // the daemon was killed and sends nothing more
	defaultOutcome callOutcome
	since          time.Time // when the default outcome last changed
	writes         map[jobs.ID][]plannedCall
	reads          map[jobs.ID][]plannedCall
}

func newFaultyStore(d *testDaemon, r *commitRecorder) *faultyStore {
	return &faultyStore{
		TxnStore: &kv.Local{Service: r.store, Fault: kv.NoFault, WatchWait: time.Second}, daemon: d, recorder: r,
		extraLatency:   time.Duration(d.cluster.daemonsStarted) * daemonLatencyStep,
		defaultOutcome: outcomeDone, writes: map[jobs.ID][]plannedCall{}, reads: map[jobs.ID][]plannedCall{},
	}
}

// plan adds the outcomes of the daemon's next calls about a job.
func (s *faultyStore) plan(id jobs.ID, writes, reads []plannedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes[id] = append(s.writes[id], writes...)
	s.reads[id] = append(s.reads[id], reads...)
}

// setDefaultOutcome changes the outcome of all calls; with outcomeDone the planned outcomes apply.
func (s *faultyStore) setDefaultOutcome(outcome callOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.defaultOutcome != outcome {
		s.defaultOutcome, s.since = outcome, time.Now()
	}
	// The list of workers is kept in the store as well.
	s.daemon.set(func() { s.daemon.storeCut = outcome == outcomeUnavailable || outcome == outcomeSilent })
}

// unusable reports whether the store has performed nothing for the daemon for the given time.
func (s *faultyStore) unusable(atLeast time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.defaultOutcome.refuses() && time.Since(s.since) >= atLeast
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

// nextOutcome takes the outcome of the next call; id is empty if the call is about no job.
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

// callWithOutcome makes a call with a planned outcome. A call in flight is performed whether or not the caller still
// waits for the answer.
func callWithOutcome[T any](ctx context.Context, s *faultyStore, planned plannedCall, perform func() (T, error)) (T, error) {
	var zero T
	if ctx.Err() != nil {
		return zero, platform.ErrUnknownOutcome
	}
	latency := storeLatency + s.extraLatency
	switch planned.Outcome {
	case outcomeUnavailable:
		sleep(ctx, 2*storeLatency)
		return zero, platform.ErrUnavailable
	case outcomeLimited:
		sleep(ctx, 2*storeLatency)
		return zero, platform.ErrRateLimited
	case outcomeSilent:
		sleep(ctx, testCallTimeout)
		return zero, platform.ErrUnknownOutcome
	case outcomeLate:
		latency = planned.Late
	case outcomeSlow:
		latency = slowLatency
	}
	answered := make(chan callResult[T], 1)
	time.AfterFunc(latency, func() {
		value, err := perform()
		time.AfterFunc(latency, func() { answered <- callResult[T]{value, err} })
	})
	if planned.Outcome == outcomeLost || planned.Outcome == outcomeLate {
		sleep(ctx, testCallTimeout)
		return zero, platform.ErrUnknownOutcome
	}
	select {
	case result := <-answered:
		return result.value, result.err
	case <-ctx.Done():
		return zero, platform.ErrUnknownOutcome
	}
}

// Commit implements platform.TxnStore.
func (s *faultyStore) Commit(ctx context.Context, txn platform.Txn) (platform.Version, error) {
	sent := s.recorder.nextSeq()
	by, ok := ctx.Value(callContextKey{}).(*refusalCall)
	if !ok {
		by = &refusalCall{endedSeq: sent} // not on behalf of a call
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

// listing is the result of a read of several keys.
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
