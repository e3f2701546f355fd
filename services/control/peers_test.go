// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/peerrpc"
	"rillsail.example/rillsail/services/standin/link"
)

// stubOwner answers every query with the same learned parameters.
type stubOwner struct{ learned []jobs.LearnedFactor }

// Jobs implements peerrpc.Owner.
func (o *stubOwner) Jobs(_ context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	return peerrpc.Serve("owner", in, func(jobs.Query) (jobs.Answer, error) {
		return jobs.Answer{IsOwner: true, Learned: o.learned}, nil
	})
}

// TestLargeAnswerOfAPeerOverANarrowLink checks that an answer that takes longer than peerTimeout to transfer
// arrives whole: the timeout ends only queries that make no progress.
func TestLargeAnswerOfAPeerOverANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		draw := rand.New(rand.NewPCG(1, 1)) // random values hardly compress
		owner := &stubOwner{}
		for i := range 20_000 {
			owner.learned = append(owner.learned, jobs.LearnedFactor{
				Serving: jobs.ImageName(fmt.Sprintf("serving-%d", i)), Filler: jobs.ImageName(fmt.Sprintf("filling-%d", i)),
				Factor: draw.Float64(), StdDev: draw.Float64(), IdleTail: draw.Float64() + 1, Observations: draw.IntN(1000),
			})
		}
		const narrow = 1_250_000 // bytes per second, 10 Mbit/s
		l := link.New(link.Config{Rate: narrow})
		server := &http.Server{Handler: peerrpc.NewOwnerServer(owner), ReadHeaderTimeout: time.Minute}
		var group conc.WaitGroup
		listener := l.Listen("owner:80")
		group.Go(func() { _ = server.Serve(listener) }) // ends with Shutdown
		peers := newPeerClientWithDial("asker", l.Dial)
		start := time.Now()
		answer, err := peers.Jobs(t.Context(), "owner:80", jobs.Query{Cell: "0", Learned: true})
		took := time.Since(start)
		peers.close()
		require.NoError(t, server.Shutdown(context.Background()))
		group.Wait()
		require.NoError(t, err)
		require.Len(t, answer.Learned, len(owner.learned))
		require.Greater(t, took, peerTimeout)
	})
}

// silentOwner delays every answer for longer than any query waits.
type silentOwner struct{ stubOwner }

// Jobs implements peerrpc.Owner.
func (s *silentOwner) Jobs(ctx context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	time.Sleep(10 * peerTimeout)
	return s.stubOwner.Jobs(ctx, in)
}

// TestSilentPeerCostsNoConnectionsToOthers guards against closing the idle connections to all daemons when a
// query to one of them times out. It queries a healthy owner, then a frozen one, then the healthy one
// again, which must reuse its connection.
func TestSilentPeerCostsNoConnectionsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := link.New(link.Config{Rate: 1_250_000})
		var group conc.WaitGroup
		defer group.Wait()
		for address, owner := range map[string]peerrpc.Owner{"well:80": &stubOwner{}, "frozen:80": &silentOwner{}} {
			server := &http.Server{Handler: peerrpc.NewOwnerServer(owner), ReadHeaderTimeout: time.Minute}
			listener := l.Listen(address)
			group.Go(func() { _ = server.Serve(listener) }) // ends with Shutdown
			defer func() { require.NoError(t, server.Shutdown(context.Background())) }()
		}
		opened := map[string]int{}
		peers := newPeerClientWithDial("asker", func(ctx context.Context, network, address string) (net.Conn, error) {
			opened[address]++
			return l.Dial(ctx, network, address)
		})
		defer peers.close()
		ask := func(address string) error {
			_, err := peers.Jobs(t.Context(), address, jobs.Query{Cell: "0"})
			return err
		}
		require.NoError(t, ask("well:80"))
		require.Error(t, ask("frozen:80"))
		require.NoError(t, ask("well:80"))
		require.Equal(t, map[string]int{"well:80": 1, "frozen:80": 1}, opened)
	})
}
