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

// forgetAfter is after how many silent periods a peer that isn't listed any more
// is forgotten.
const forgetAfter = 10

// beatLoop sends heartbeats. A peer that was heard within the period has had this
// daemon's own with the answer, so of each two daemons one asks and one answers.
func (s *Service) beatLoop(ctx context.Context) {
	ticker := time.NewTicker(s.config.Heartbeat)
	defer ticker.Stop()
	s.Round(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.round(ctx, s.addresses(s.config.Heartbeat*9/10))
		case <-s.nudge:
			s.Round(ctx)
		}
	}
}

// Nudge asks for a round of heartbeats at once, because something changed that
// the peers should know.
func (s *Service) Nudge() {
	select {
	case s.nudge <- struct{}{}:
	default:
	}
}

// Round sends one heartbeat to every peer and waits for the answers.
func (s *Service) Round(ctx context.Context) { s.round(ctx, s.addresses(0)) }

func (s *Service) round(ctx context.Context, addresses []string) {
	beat := s.compose()
	ctx, cancel := context.WithTimeout(ctx, s.config.SilentAfter/2)
	defer cancel()
	var group conc.WaitGroup
	for _, address := range addresses {
		group.Go(func() { s.send(ctx, address, beat) })
	}
	group.Wait()
	s.sweep()
}

func (s *Service) send(ctx context.Context, address string, beat models.Heartbeat) {
	answer, err := s.config.Client.Heartbeat(ctx, address, beat)
	if err != nil {
		s.config.Scope.Counter("heartbeats_failed").Inc(1)
		return
	}
	s.config.Scope.Counter("heartbeats").Inc(1)
	s.hear(answer)
}

// compose makes this daemon's heartbeat with the parts of all sources.
func (s *Service) compose() models.Heartbeat {
	beat := models.Heartbeat{Member: s.Self(), Uptime: models.MilliOf(time.Since(s.started))}
	for _, source := range s.sources {
		source(&beat)
	}
	return beat
}

// addresses lists whom to send heartbeats: the known members that were not heard
// within the time, and the seeds that are no known members.
func (s *Service) addresses(unheardFor time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := map[string]bool{}
	for _, seed := range s.config.Seeds {
		set[seed] = true
	}
	for _, k := range s.known {
		set[k.member.PeerAddress] = k.heard.IsZero() || time.Since(k.heard) >= unheardFor
	}
	delete(set, s.self.PeerAddress)
	maps.DeleteFunc(set, func(_ string, wanted bool) bool { return !wanted })
	return slices.Collect(maps.Keys(set))
}

// sweep logs who fell silent and forgets who was silent for long.
func (s *Service) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, k := range s.known {
		s.noteLive(k)
		if !k.heard.IsZero() && time.Since(k.heard) > forgetAfter*s.config.SilentAfter {
			s.noteLost(k)
			delete(s.known, id)
		}
	}
	s.config.Scope.Gauge("known").Update(float64(len(s.known)))
}

// Leave tells every peer that this daemon leaves and takes its key out of the
// store. New work goes elsewhere; what is in flight here goes on.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.self.Leaving = true
	s.mu.Unlock()
	s.Round(ctx)
	return s.deregister(ctx)
}
