// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// Connections may go silent for good, without a reset, while new ones work: only a time limit
// shows it. The proxy's own toxics change all connections alike, so this is one of ours.

// toxicSilentConnections is its name for the proxy.
const toxicSilentConnections = "silent_connections"

func init() { toxics.Register(toxicSilentConnections, new(silentConnections)) }

// silentConnections drops all bytes of the connections that were there when it was added, and
// lets those of later ones pass.
type silentConnections struct {
	Added int64 `json:"added"` // milliseconds since 1970
}

// toxicSpreadTime is how soon after the toxic was added the proxy has given it to the
// connections that were there.
const toxicSpreadTime = 50 * time.Millisecond

// NewState implements toxics.StatefulToxic: it tells of a connection whether it is silent.
func (s *silentConnections) NewState() any {
	return time.Since(time.UnixMilli(s.Added)) < toxicSpreadTime
}

// Pipe implements toxics.Toxic.
func (s *silentConnections) Pipe(stub *toxics.ToxicStub) {
	silent, _ := stub.State.(bool)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if !silent {
				stub.Output <- chunk
			}
		}
	}
}

// Cleanup implements toxics.CleanupToxic: bytes are missing in a connection that was silent.
func (s *silentConnections) Cleanup(stub *toxics.ToxicStub) {
	if silent, _ := stub.State.(bool); silent {
		stub.Close()
	}
}

// silenceProxy lets all connections through a proxy go silent for good.
func (r *run) silenceProxy(p *toxiproxy.Proxy) {
	now := time.Now()
	for _, stream := range []string{"upstream", "downstream"} {
		name := fmt.Sprint("silent since ", now.UnixNano(), " ", stream)
		r.addToxic(p, name, toxicSilentConnections, stream, map[string]int64{"added": now.UnixMilli()})
	}
}

// silenceTarget silences the connections of a daemon to the store and from its peers, or those of
// a worker.
func (r *run) silenceTarget(fault Fault, d *daemon, place int) {
	if fault.Kind == SilenceWorker {
		r.silenceProxy(r.site.workerProxies[place])
		return
	}
	r.silenceProxy(d.store)
	r.silenceProxy(d.peers)
}

const (
	silenceStream      = 0x51_1e_4c_e0           // of the random numbers of silences
	maxSilencePause    = 4 * time.Second         // between two of them
	daemonSilenceOneIn = 3                       // kinds of draws: a daemon, or, twice as often, a worker
	silenceDuration    = 1500 * time.Millisecond // until the time limits of all calls have passed
)

// drawSilences draws them from a stream of its own, so that the other faults of a seed are as
// before.
func drawSilences(seed uint64, length time.Duration, targets int) []Fault {
	random := rand.New(rand.NewPCG(seed, silenceStream))
	var faults []Fault
	for at := firstFaultAt; at < length; at += time.Duration(random.Int64N(int64(maxSilencePause))) {
		kind := SilenceWorker
		if random.IntN(daemonSilenceOneIn) == 0 {
			kind = SilenceDaemon
		}
		faults = append(faults, Fault{At: at, For: silenceDuration, Kind: kind, Target: random.IntN(targets), Overlapping: true})
	}
	return faults
}
