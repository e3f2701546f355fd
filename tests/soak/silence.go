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

// Open connections may go silent for good, without a reset, while new connections work; only a timeout
// detects that. The proxy's own toxics affect all connections alike, so this file adds a toxic for it.

// toxicSilentConnections is the type under which the toxic is registered with the proxy.
const toxicSilentConnections = "silent_connections"

func init() { toxics.Register(toxicSilentConnections, new(silentConnections)) }

// silentConnections is a toxic that drops all bytes of the connections that were open when it was added,
// and passes the bytes of later connections.
type silentConnections struct {
	Added int64 `json:"added"` // in Unix milliseconds
}

// toxicSpreadTime bounds how long after the toxic was added the proxy takes to apply it to the connections
// that were open. A connection whose state is made later is regarded as new.
const toxicSpreadTime = 50 * time.Millisecond

// NewState implements toxics.StatefulToxic. The state of a connection is whether it is silent.
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

// Cleanup implements toxics.CleanupToxic. It closes a connection that was silent, since bytes of it are missing.
func (s *silentConnections) Cleanup(stub *toxics.ToxicStub) {
	if silent, _ := stub.State.(bool); silent {
		stub.Close()
	}
}

// silenceProxy makes all open connections through a proxy silent for good.
func (r *run) silenceProxy(p *toxiproxy.Proxy) {
	now := time.Now()
	for _, stream := range []string{"upstream", "downstream"} {
		name := fmt.Sprint("silent since ", now.UnixNano(), " ", stream)
		r.addToxic(p, name, toxicSilentConnections, stream, map[string]int64{"added": now.UnixMilli()})
	}
}

// silenceTarget silences the connections of a daemon to the store and from its peers, or the connections
// to a worker.
func (r *run) silenceTarget(fault Fault, d *daemon, place int) {
	if fault.Kind == SilenceWorker {
		r.silenceProxy(r.site.workerProxies[place])
		return
	}
	r.silenceProxy(d.store)
	r.silenceProxy(d.peers)
}

const (
	silenceStream      = 0x51_1e_4c_e0           // stream of random numbers
	maxSilencePause    = 4 * time.Second         // between two silences
	daemonSilenceOneIn = 3                       // share of silences that affect a daemon: one in so many; the others affect a worker
	silenceDuration    = 1500 * time.Millisecond // until all calls have timed out
)

// drawSilences draws silences from a stream of random numbers of its own, so that the other faults of a
// seed stay the same.
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
