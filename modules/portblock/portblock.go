// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package portblock finds loopback addresses for programs that are told where to listen
// before they do so. A port from the system's ephemeral range may be given to any
// connection meanwhile, so ports come from below that range: from a block that a process
// holds by listening on its first port.
//
// # Usage
//
//	var block portblock.Block
//	address, err := block.Take()
package portblock

import (
	"net"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports that blocks are cut from: below the ephemeral range, which begins at 32,768
// on Linux, and above most well-known services.
const (
	firstPort = 20_000
	endPort   = 32_000
	blockSize = 400 // some 50 daemons with their proxies; a block grows by as many
)

// Block is a range of ports that no other process takes from; it grows when all are given.
// The zero value is ready.
type Block struct {
	mu   sync.Mutex
	held []net.Listener // on the first port of each part, for as long as the process lives
	used int            // of the last part
}

// Take gives the next address of the block that nobody listens on.
func (b *Block) Take() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if len(b.held) == 0 || b.used == blockSize-1 {
			if err := b.claim(); err != nil {
				return "", err
			}
		}
		b.used++
		first := b.held[len(b.held)-1].Addr().(*net.TCPAddr).Port
		if listener, err := listenOn(first + b.used); err == nil {
			return listener.Addr().String(), errors.Wrap(listener.Close(), "free the port")
		}
	}
}

// claim holds the first part that no process holds yet.
func (b *Block) claim() error {
	for first := firstPort; first < endPort; first += blockSize {
		if listener, err := listenOn(first); err == nil {
			b.held, b.used = append(b.held, listener), 0
			return nil
		}
	}
	return errors.New("no block of ports is free")
}

// listenOn listens on a port of the loopback.
func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}
