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

// forgetAfterPeriods is after how many silent periods a peer that isn't listed any more
// is forgotten.
const forgetAfterPeriods = 10

// heartbeatLoop sends heartbeats. A peer that was heard within the period has had this
// daemon's own with the answer, so of each two daemons one asks and one answers.
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

// Nudge asks for a round of heartbeats at once, because something changed that
// the peers should know.
func (s *Service) Nudge() {
	select {
	case s.roundRequested <- struct{}{}:
	default:
	}
}

// SendHeartbeats sends one heartbeat to every peer and waits for the answers.
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

// compose makes this daemon's heartbeat with the parts of all sources.
func (s *Service) compose() models.Heartbeat {
	beat := models.Heartbeat{Member: s.Self(), Uptime: models.MilliOf(time.Since(s.started))}
	for _, source := range s.sources {
		source(&beat)
	}
	return beat
}

// heartbeatTargets lists whom to send heartbeats: the known members that were not heard
// within the time, and the seeds that are no known members.
func (s *Service) heartbeatTargets(unheardFor time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := map[string]bool{}
	for _, seed := range s.config.Seeds {
		set[seed] = true
	}
	for _, k := range s.peers {
		set[k.member.PeerAddress] = k.lastHeard.IsZero() || time.Since(k.lastHeard) >= unheardFor
	}
	delete(set, s.self.PeerAddress)
	maps.DeleteFunc(set, func(_ string, wanted bool) bool { return !wanted })
	return slices.Collect(maps.Keys(set))
}

// sweepSilent logs who fell silent and forgets who was silent for long.
func (s *Service) sweepSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, k := range s.peers {
		s.updateLiveness(k)
		if !k.lastHeard.IsZero() && time.Since(k.lastHeard) > forgetAfterPeriods*s.config.SilentAfter {
			s.recordLost(k)
			delete(s.peers, id)
		}
	}
	s.config.Scope.Gauge("known").Update(float64(len(s.peers)))
}

// Leave tells every peer that this daemon leaves and takes its key out of the
// store. New work goes elsewhere; what is in flight here goes on.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.self.Leaving = true
	s.mu.Unlock()
	s.SendHeartbeats(ctx)
	return s.deregister(ctx)
}
