// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package claim keeps the idempotency keys of unrepeatable requests, so that a request runs
// at most once even if its caller sends it again through another daemon.
//
// A key has two homes: the first two daemons in the rendezvous order of the key, in different
// failure domains if there are two. A daemon asks the homes in that order, and sends the
// request only if all grant the key. The first home therefore decides between two requests
// with the same key. A daemon that has run for less than the retention time cannot know all
// keys, so the next daemons in the order are asked as well, until two that have run for long
// enough have answered. If both previous homes of a key were lost within the retention time, no
// daemon knows whether the key was used, and the answer is "unknown". A daemon that leaves as
// planned transfers its keys to their next homes.
//
// # Usage
//
//	claims := claim.New(claim.Config{Members: members, Client: client, Keep: 10 * time.Minute})
//	state, ended, err := claims.Claim(ctx, key, requestID)
//	claims.End(key, requestID, notRun)
//	answer, err := claims.Serve(call) // a call from a peer
//	err := claims.TransferKeys(ctx)   // planned stop
//
// docs/design/claims.md compares this design with claims in the platform's store.
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

// Config holds the settings of the service and the members among which the homes are chosen.
type Config struct {
	Self    models.MemberID
	Members *member.Service
	Client  *peer.Client
	// Keep is the time for which the key of an ended request is kept.
	Keep time.Duration
	// MaxKeys bounds the number of keys kept; further claims are refused. 0 means defaultMaxKeys.
	MaxKeys int
}

const defaultMaxKeys = 200_000

// requiredHomes is the number of daemons with an uptime of at least Config.Keep that have to grant a claim.
const requiredHomes = 2

// ErrFull is returned by a home that already keeps the maximum number of keys.
var ErrFull = errors.New("too many idempotency keys are kept; try again later")

// errNoHome is returned if no live daemon is known that could be a home of the key.
var errNoHome = errors.New("no home of the key is known")

// record is the claim of one key.
type record struct {
	holder    string // id of the request that holds the key
	ended     bool   // the request has ended
	updatedAt time.Time
}

// Service claims keys at their homes, and holds the keys of which this daemon is a home.
type Service struct {
	config Config

	mu        sync.Mutex
	records   map[string]record
	lastSweep time.Time
}

// New returns a service without keys.
func New(config Config) *Service {
	if config.MaxKeys == 0 {
		config.MaxKeys = defaultMaxKeys
	}
	return &Service{config: config, records: map[string]record{}}
}

// Claim asks the homes of the key for the right to send the request whose id is holder. On an
// error nothing is claimed, and the request must not be sent.
func (s *Service) Claim(ctx context.Context, key, holder string) (state models.ClaimState, ended bool, err error) {
	if s.homesLost(key) {
		return models.ClaimUnknown, false, nil
	}
	call := models.ClaimCall{Action: models.ClaimAcquire, Records: []models.ClaimRecord{{Key: key, Holder: holder}}}
	established := 0 // granting homes that have run for at least Config.Keep
	var granted []models.MemberID
	for _, home := range s.homeOrder(key) {
		if established >= requiredHomes {
			break
		}
		answer, err := s.ask(ctx, home, call)
		if err != nil || answer.State != models.ClaimGranted {
			s.notify(granted, models.ClaimRelease, key, holder)
			return answer.State, answer.Ended, err
		}
		granted = append(granted, home)
		if s.config.Members.Uptime(home) >= s.config.Keep {
			established++
		}
	}
	if len(granted) == 0 {
		return "", false, errstep.Wrap(errNoHome, "claim key", string(s.config.Self))
	}
	return models.ClaimGranted, false, nil
}

// homeOrder lists the live daemons in the rendezvous order of the key. The second daemon is
// from another failure domain than the first if there is one.
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

// spreadDomains moves the first member of another failure domain than that of order[0] to the second place.
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

// homesLost reports whether both previous homes of the key were lost within Config.Keep.
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

// ask sends a call to a home, or serves the call here if this daemon is the home.
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

// End tells the homes that the request has ended; if notRun is set, the key is released.
func (s *Service) End(key, holder string, notRun bool) {
	action := models.ClaimComplete
	if notRun {
		action = models.ClaimRelease
	}
	order := s.homeOrder(key)
	s.notify(order[:min(len(order), s.homesAsked(order))], action, key, holder)
}

// homesAsked returns the number of daemons in the order that a claim asks.
func (s *Service) homesAsked(order []models.MemberID) int {
	established := 0
	for i, home := range order {
		if established >= requiredHomes {
			return i
		}
		if s.config.Members.Uptime(home) >= s.config.Keep {
			established++
		}
	}
	return len(order)
}

// notifyTimeout bounds the time for which a caller waits until the homes are notified of the end.
const notifyTimeout = time.Second

// notify tells homes that the request that holds the key has ended, or that the key is released. A home
// that is not reached keeps the key as taken, which is safe.
func (s *Service) notify(homes []models.MemberID, action models.ClaimAction, key, holder string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	call := models.ClaimCall{Action: action, Records: []models.ClaimRecord{{Key: key, Holder: holder}}}
	for _, home := range homes {
		_, _ = s.ask(ctx, home, call) // a home that is not reached keeps the key as taken
	}
}

// Serve answers a call at this daemon as a home of the keys.
func (s *Service) Serve(call models.ClaimCall) (models.ClaimAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sweep(now)
	switch call.Action {
	case models.ClaimAcquire:
		return s.acquire(call.Records[0], now)
	case models.ClaimComplete:
		s.complete(call.Records[0], now)
	case models.ClaimRelease:
		s.release(call.Records[0])
	case models.ClaimTransfer:
		s.importRecords(call.Records, now)
	}
	return models.ClaimAnswer{State: models.ClaimGranted}, nil
}

func (s *Service) acquire(r models.ClaimRecord, now time.Time) (models.ClaimAnswer, error) {
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

func (s *Service) complete(r models.ClaimRecord, now time.Time) {
	if held, ok := s.records[r.Key]; ok && held.holder == r.Holder {
		s.records[r.Key] = record{holder: r.Holder, ended: true, updatedAt: now}
	}
}

func (s *Service) release(r models.ClaimRecord) {
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

// openRetentionFactor extends the retention of a key whose request has not ended, because the
// daemon that sent the request may have been lost.
const openRetentionFactor = 2

// sweep removes keys whose retention time has passed; s.mu must be held.
func (s *Service) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < s.config.Keep/10 {
		return
	}
	s.lastSweep = now
	for key, r := range s.records {
		retention := s.config.Keep
		if !r.ended {
			retention *= openRetentionFactor
		}
		if now.Sub(r.updatedAt) > retention {
			delete(s.records, key)
		}
	}
}

// TransferKeys passes every key to the homes that the key has after this daemon has left.
func (s *Service) TransferKeys(ctx context.Context) error {
	byHome := map[models.MemberID][]models.ClaimRecord{}
	s.mu.Lock()
	for key, r := range s.records {
		order := s.homeOrder(key)
		for _, home := range order[:min(requiredHomes, len(order))] {
			byHome[home] = append(byHome[home], models.ClaimRecord{Key: key, Holder: r.holder, Ended: r.ended})
		}
	}
	s.mu.Unlock()
	var failures error
	for home, records := range byHome {
		for batch := range slices.Chunk(records, models.MaxClaimRecords) {
			_, err := s.ask(ctx, home, models.ClaimCall{Action: models.ClaimTransfer, Records: batch})
			failures = errors.CombineErrors(failures, errstep.Wrap(err, "transfer keys", string(home)))
		}
	}
	return failures
}

// Count returns the number of keys that this daemon keeps.
func (s *Service) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}
