// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package claim keeps the idempotency keys of unrepeatable requests, so that a
// request that its caller sends again, through whatever daemon, runs at most once.
//
// A key has two homes: the first two daemons in the hash order of the key, in
// different failure domains where there are two. A request asks the homes one after
// the other, always in that order, and is sent only when all grant it; so of two
// requests with one key the first home decides. A daemon younger than the time keys
// are kept can't know them all, and the next in the order is asked as well until
// two have answered that are old enough. When the homes a key had have both died
// within that time, nobody knows whether it was used, and the answer is "unknown".
// A daemon that leaves as planned carries its keys to their next homes.
//
// # Usage
//
//	claims := claim.New(claim.Config{Members: members, Client: client, Keep: 10 * time.Minute})
//	state, ended, err := claims.Claim(ctx, key, requestID)
//	claims.End(key, requestID, notRun)
//	answer := claims.Serve(call)      // from a peer
//	err := claims.Carry(ctx)          // planned stop
//
// docs/design/claims.md weighs this against claims in the platform's store.
package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/rendezvous"
	"rillsail.example/rillsail/services/member"
	"rillsail.example/rillsail/services/peer"
)

// Config says who the homes are.
type Config struct {
	Self    models.MemberID
	Members *member.Service
	Client  *peer.Client
	// Keep is how long the key of an ended request is kept.
	Keep time.Duration
	// MaxKeys bounds the keys kept; beyond it claims are refused. 0: the default.
	MaxKeys int
}

const defaultMaxKeys = 200_000

// requiredHomes is how many daemons that are old enough have to grant a claim.
const requiredHomes = 2

// ErrFull says that a home keeps as many keys as it may.
var ErrFull = errors.New("too many idempotency keys are kept; try again later")

// errNoHome says that no daemon is known to be live.
var errNoHome = errors.New("no home of the key is known")

type record struct {
	holder    string
	ended     bool
	updatedAt time.Time
}

// Service holds the keys whose home this daemon is.
type Service struct {
	config Config

	mu        sync.Mutex
	records   map[string]record
	lastSweep time.Time
}

// New makes a service without keys.
func New(config Config) *Service {
	if config.MaxKeys == 0 {
		config.MaxKeys = defaultMaxKeys
	}
	return &Service{config: config, records: map[string]record{}}
}

// Claim asks the homes for the right to send. On an error nothing is claimed and
// the request must not be sent.
func (s *Service) Claim(ctx context.Context, key, holder string) (state models.ClaimState, ended bool, err error) {
	if s.homesLost(key) {
		return models.ClaimUnknown, false, nil
	}
	call := models.ClaimCall{Action: models.ClaimTake, Records: []models.ClaimRecord{{Key: key, Holder: holder}}}
	old := 0
	var granted []models.MemberID
	for _, home := range s.homeOrder(key) {
		if old >= requiredHomes {
			break
		}
		answer, err := s.ask(ctx, home, call)
		if err != nil || answer.State != models.ClaimGranted {
			s.notify(granted, models.ClaimFree, key, holder)
			return answer.State, answer.Ended, err
		}
		granted = append(granted, home)
		if s.config.Members.Uptime(home) >= s.config.Keep {
			old++
		}
	}
	if len(granted) == 0 {
		return "", false, errstep.Wrap(errNoHome, "claim key", string(s.config.Self))
	}
	return models.ClaimGranted, false, nil
}

// homeOrder lists the daemons by the key's hash, the second one from another failure
// domain than the first where there is one.
func (s *Service) homeOrder(key string) []models.MemberID {
	live := s.config.Members.Live()
	domains := make(map[models.MemberID]models.FailureDomain, len(live))
	ids := make([]models.MemberID, len(live))
	for i, m := range live {
		ids[i] = m.ID
		domains[m.ID] = m.Domain
	}
	return spreadDomains(rendezvous.Order(key, ids), domains)
}

func spreadDomains(order []models.MemberID, domains map[models.MemberID]models.FailureDomain) []models.MemberID {
	for i := 1; i < len(order); i++ {
		if domains[order[i]] != domains[order[0]] {
			second := order[i]
			order = slices.Delete(order, i, i+1)
			return slices.Insert(order, 1, second)
		}
	}
	return order
}

// homesLost tells whether the homes that the key had were both lost lately.
func (s *Service) homesLost(key string) bool {
	lost := s.config.Members.LostSince(s.config.Keep)
	if len(lost) < requiredHomes {
		return false
	}
	all := s.config.Members.LiveIDs()
	for _, id := range lost {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	for _, home := range rendezvous.Order(key, all)[:requiredHomes] {
		if !slices.Contains(lost, home) {
			return false
		}
	}
	return true
}

func (s *Service) ask(ctx context.Context, home models.MemberID, call models.ClaimCall) (models.ClaimAnswer, error) {
	if home == s.config.Self {
		return s.Serve(call)
	}
	m, ok := s.config.Members.Find(home)
	if !ok {
		return models.ClaimAnswer{}, errstep.Wrap(errNoHome, "claim key", string(home))
	}
	return s.config.Client.Claim(ctx, m.PeerAddress, call)
}

// End tells the homes that the request is over; with notRun the key is free again.
func (s *Service) End(key, holder string, notRun bool) {
	action := models.ClaimEnd
	if notRun {
		action = models.ClaimFree
	}
	order := s.homeOrder(key)
	s.notify(order[:min(len(order), s.homesAsked(order))], action, key, holder)
}

// homesAsked is how many of the order a claim asks.
func (s *Service) homesAsked(order []models.MemberID) int {
	old := 0
	for i, home := range order {
		if old >= requiredHomes {
			return i
		}
		if s.config.Members.Uptime(home) >= s.config.Keep {
			old++
		}
	}
	return len(order)
}

// notifyTimeout bounds how long a caller waits for the homes to hear of the end.
const notifyTimeout = time.Second

// notify tells homes what became of a claim. One that doesn't hear it keeps the key as
// taken, which is safe.
func (s *Service) notify(homes []models.MemberID, action models.ClaimAction, key, holder string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	call := models.ClaimCall{Action: action, Records: []models.ClaimRecord{{Key: key, Holder: holder}}}
	for _, home := range homes {
		_, _ = s.ask(ctx, home, call) // see above
	}
}

// Serve answers a claim at this daemon as a home.
func (s *Service) Serve(call models.ClaimCall) (models.ClaimAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sweep(now)
	switch call.Action {
	case models.ClaimTake:
		return s.take(call.Records[0], now)
	case models.ClaimEnd:
		s.end(call.Records[0], now)
	case models.ClaimFree:
		s.free(call.Records[0])
	case models.ClaimCarry:
		s.importRecords(call.Records, now)
	}
	return models.ClaimAnswer{State: models.ClaimGranted}, nil
}

func (s *Service) take(r models.ClaimRecord, now time.Time) (models.ClaimAnswer, error) {
	held, ok := s.records[r.Key]
	if ok && held.holder != r.Holder {
		return models.ClaimAnswer{State: models.ClaimTaken, Ended: held.ended}, nil
	}
	if !ok && len(s.records) >= s.config.MaxKeys {
		return models.ClaimAnswer{}, ErrFull
	}
	s.records[r.Key] = record{holder: r.Holder, updatedAt: now}
	return models.ClaimAnswer{State: models.ClaimGranted}, nil
}

func (s *Service) end(r models.ClaimRecord, now time.Time) {
	if held, ok := s.records[r.Key]; ok && held.holder == r.Holder {
		s.records[r.Key] = record{holder: r.Holder, ended: true, updatedAt: now}
	}
}

func (s *Service) free(r models.ClaimRecord) {
	if held, ok := s.records[r.Key]; ok && held.holder == r.Holder {
		delete(s.records, r.Key)
	}
}

func (s *Service) importRecords(records []models.ClaimRecord, now time.Time) {
	for _, r := range records {
		if _, ok := s.records[r.Key]; !ok {
			s.records[r.Key] = record{holder: r.Holder, ended: r.Ended, updatedAt: now}
		}
	}
}

// openRetentionFactor is by how much longer a key is kept whose request never ended, for its
// daemon may have died.
const openRetentionFactor = 2

// sweep forgets keys that were kept long enough; the caller holds the lock.
func (s *Service) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < s.config.Keep/10 {
		return
	}
	s.lastSweep = now
	for key, r := range s.records {
		keep := s.config.Keep
		if !r.ended {
			keep *= openRetentionFactor
		}
		if now.Sub(r.updatedAt) > keep {
			delete(s.records, key)
		}
	}
}

// Carry passes every key to the homes it has once this daemon has left.
func (s *Service) Carry(ctx context.Context) error {
	byHome := map[models.MemberID][]models.ClaimRecord{}
	s.mu.Lock()
	for key, r := range s.records {
		order := s.homeOrder(key)
		for _, home := range order[:min(requiredHomes, len(order))] {
			byHome[home] = append(byHome[home], models.ClaimRecord{Key: key, Holder: r.holder, Ended: r.ended})
		}
	}
	s.mu.Unlock()
	var failed error
	for home, records := range byHome {
		for batch := range slices.Chunk(records, models.MaxCarried) {
			_, err := s.ask(ctx, home, models.ClaimCall{Action: models.ClaimCarry, Records: batch})
			failed = errors.CombineErrors(failed, errstep.Wrap(err, "carry claims", string(home)))
		}
	}
	return failed
}

// Count is how many keys this daemon keeps.
func (s *Service) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}
