// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package member

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"rillsail.example/rillsail/models"
)

// forgetAfterPeriods is the number of SilentAfter periods without a heartbeat after which a
// peer that is no longer listed is forgotten.
const forgetAfterPeriods = 10

// heartbeatLoop sends heartbeats. A peer whose heartbeat arrived within the period has received
// this daemon's heartbeat in the answer, so of each pair of daemons only one has to send.
func (s *Service) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(s.config.Heartbeat)
	defer ticker.Stop()
	s.SendHeartbeats(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendHeartbeats(ctx, s.heartbeatTargets(s.config.Heartbeat*9/10))
		case <-s.roundRequested:
			s.SendHeartbeats(ctx)
		}
	}
}

// RequestRound requests an immediate round of heartbeats, because something has changed that the
// peers should know.
func (s *Service) RequestRound() {
	select {
	case s.roundRequested <- struct{}{}:
	default:
	}
}

// SendHeartbeats sends a heartbeat to every peer and waits for the answers.
func (s *Service) SendHeartbeats(ctx context.Context) { s.sendHeartbeats(ctx, s.heartbeatTargets(0)) }

func (s *Service) sendHeartbeats(ctx context.Context, addresses []string) {
	beat := s.compose()
	ctx, cancel := context.WithTimeout(ctx, s.config.SilentAfter/2)
	defer cancel()
	var group conc.WaitGroup
	for _, address := range addresses {
		group.Go(func() { s.sendHeartbeat(ctx, address, beat) })
	}
	group.Wait()
	s.sweepSilent()
}

func (s *Service) sendHeartbeat(ctx context.Context, address string, beat models.Heartbeat) {
	answer, err := s.config.Client.Heartbeat(ctx, address, beat)
	if err != nil {
		s.config.Scope.Counter("heartbeats_failed").Inc(1)
		return
	}
	s.config.Scope.Counter("heartbeats").Inc(1)
	s.recordHeartbeat(answer)
}

// compose returns this daemon's heartbeat with the contributions of all sources.
func (s *Service) compose() models.Heartbeat {
	beat := models.Heartbeat{Member: s.Self(), Uptime: models.MilliOf(time.Since(s.started))}
	for _, source := range s.sources {
		source(&beat)
	}
	return beat
}

// heartbeatTargets lists the addresses to which to send heartbeats: those of known members
// from which no heartbeat arrived within unheardFor, and of seeds that are not known members.
func (s *Service) heartbeatTargets(unheardFor time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[string]bool{}
	for _, seed := range s.config.Seeds {
		wanted[seed] = true
	}
	for _, p := range s.peers {
		wanted[p.member.PeerAddress] = p.lastHeard.IsZero() || time.Since(p.lastHeard) >= unheardFor
	}
	delete(wanted, s.self.PeerAddress)
	maps.DeleteFunc(wanted, func(_ string, send bool) bool { return !send })
	return slices.Collect(maps.Keys(wanted))
}

// sweepSilent logs peers that have become silent, and forgets peers that have been silent for forgetAfterPeriods.
func (s *Service) sweepSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.peers {
		s.updateLiveness(p)
		if !p.lastHeard.IsZero() && time.Since(p.lastHeard) > forgetAfterPeriods*s.config.SilentAfter {
			s.recordLost(p)
			delete(s.peers, id)
		}
	}
	s.config.Scope.Gauge("known").Update(float64(len(s.peers)))
}

// Leave announces to every peer that this daemon leaves, and deletes its key from the store.
// New work goes to other daemons; work in flight here continues.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.self.Leaving = true
	s.mu.Unlock()
	s.SendHeartbeats(ctx)
	return s.deregister(ctx)
}
