// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package claim_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	routers "rillsail.example/rillsail/routers/peer"
	"rillsail.example/rillsail/services/claim"
	"rillsail.example/rillsail/services/member"
	"rillsail.example/rillsail/services/peer"
	"rillsail.example/rillsail/services/platform"
)

// home is a daemon with a claim service, which the other daemons call over HTTP.
type home struct {
	members *member.Service
	claims  *claim.Service
	self    models.Member
	server  *httptest.Server
}

const retention = time.Hour

// newHomes starts daemons that consider each other live, with an uptime above the retention
// time of keys. Their own uptime is below that time.
func newHomes(t *testing.T, n int) []*home {
	t.Helper()
	homes := make([]*home, n)
	for i := range homes {
		h := &home{server: httptest.NewUnstartedServer(nil)}
		h.self = models.Member{
			ID: models.MemberID(fmt.Sprint("e", i)), Incarnation: "1", Domain: models.FailureDomain(fmt.Sprint("south/", i%2)),
			PeerAddress: h.server.Listener.Addr().String(),
		}
		client := peer.New(peer.Config{Self: h.self.ID, Timeout: time.Second})
		h.members = member.New(member.Config{
			Self: h.self, Store: platform.NewHTTPStore(platform.HTTPConfig{Address: "127.0.0.1:1", CallTimeout: time.Second}),
			Client: client, Logger: zap.NewNop(), Scope: tally.NoopScope, SilentAfter: time.Hour, Heartbeat: time.Hour, Lease: time.Hour,
		})
		h.claims = claim.New(claim.Config{Self: h.self.ID, Members: h.members, Client: client, Keep: retention})
		h.server.Config.Handler = routers.New(routers.Config{
			Self: h.self.ID, Members: h.members, Claims: h.claims, OnHeartbeat: func(models.Heartbeat) {},
		})
		h.server.Start()
		t.Cleanup(h.server.Close)
		homes[i] = h
	}
	for _, h := range homes {
		for _, other := range homes {
			h.receive(other.self)
		}
	}
	return homes
}

func (h *home) receive(m models.Member) {
	h.members.Receive(models.Heartbeat{Member: m, Uptime: models.MilliOf(2 * retention)})
}

// TestOneOfTwoIsGranted claims the same keys through several daemons: only the first claim is granted,
// until it is released.
func TestOneOfTwoIsGranted(t *testing.T) {
	homes := newHomes(t, 4)
	for i := range 50 {
		key := fmt.Sprint("key-", i)
		first, _, err := homes[i%4].claims.Claim(t.Context(), key, "first")
		require.NoError(t, err)
		assert.Equal(t, models.ClaimGranted, first)
		second, ended, err := homes[(i+1)%4].claims.Claim(t.Context(), key, "second")
		require.NoError(t, err)
		assert.Equal(t, models.ClaimTaken, second)
		assert.False(t, ended)
		homes[i%4].claims.End(key, "first", i%2 == 0)
		third, ended, err := homes[(i+2)%4].claims.Claim(t.Context(), key, "third")
		require.NoError(t, err)
		if i%2 == 0 {
			assert.Equal(t, models.ClaimGranted, third, "the key of a request that did not run may be claimed again")
		} else {
			assert.Equal(t, models.ClaimTaken, third)
			assert.True(t, ended)
		}
	}
}

// TestHomeOutOfReachRefuses stops a home that counts as live: claims of its keys are refused,
// and nothing stays claimed at the other home.
func TestHomeOutOfReachRefuses(t *testing.T) {
	homes := newHomes(t, 6)
	homes[2].server.Close()
	refused := 0
	for i := range 50 {
		key := fmt.Sprint("key-", i)
		if _, _, err := homes[0].claims.Claim(t.Context(), key, "a"); err != nil {
			refused++
			assert.Contains(t, err.Error(), homes[2].self.PeerAddress)
		}
	}
	assert.Positive(t, refused)
	assert.Less(t, refused, 50)
}

// TestBothHomesLost restarts two daemons without their keys: keys that had both homes at these
// daemons are unknown, all others are still known as taken.
func TestBothHomesLost(t *testing.T) {
	homes := newHomes(t, 4)
	asked := homes[0]
	for i := range 60 {
		_, _, err := asked.claims.Claim(t.Context(), fmt.Sprint("key-", i), "before")
		require.NoError(t, err)
	}
	for _, lost := range homes[1:3] {
		lost.self.Incarnation = "2"
		asked.receive(lost.self)
	}
	states := map[models.ClaimState]int{}
	for i := range 60 {
		state, _, err := asked.claims.Claim(t.Context(), fmt.Sprint("key-", i), "again")
		require.NoError(t, err)
		states[state]++
	}
	assert.Zero(t, states[models.ClaimGranted])
	assert.Positive(t, states[models.ClaimUnknown])
	assert.Positive(t, states[models.ClaimTaken])
}

// TestLeavingHomeCarriesItsKeys makes two daemons leave one after the other: their keys stay taken.
func TestLeavingHomeCarriesItsKeys(t *testing.T) {
	homes := newHomes(t, 4)
	for i := range 60 {
		_, _, err := homes[0].claims.Claim(t.Context(), fmt.Sprint("key-", i), "before")
		require.NoError(t, err)
	}
	for _, leaving := range homes[:2] {
		leaving.self.Leaving = true
		_ = leaving.members.Leave(t.Context()) // fails, as there is no store from which to delete the member key
		require.NoError(t, leaving.claims.TransferKeys(t.Context()))
		for _, other := range homes {
			if other != leaving {
				other.receive(leaving.self)
			}
		}
	}
	for i := range 60 {
		state, _, err := homes[3].claims.Claim(t.Context(), fmt.Sprint("key-", i), "again")
		require.NoError(t, err)
		assert.Equal(t, models.ClaimTaken, state)
	}
}

// TestFullHomeRefuses fills a home: further keys are refused, and no key is dropped in their favour.
func TestFullHomeRefuses(t *testing.T) {
	h := claim.New(claim.Config{Self: "e", Keep: retention, MaxKeys: 2})
	for i := range 3 {
		_, err := h.Serve(models.ClaimCall{Action: models.ClaimAcquire, Records: []models.ClaimRecord{{Key: strings.Repeat("k", i+1), Holder: "h"}}})
		assert.Equal(t, i == 2, err != nil)
	}
	assert.Equal(t, 2, h.Count())
}
