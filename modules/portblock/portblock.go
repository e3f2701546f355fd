// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package portblock allocates loopback addresses for programs whose listen address is set before they listen on it.
// The system may assign a port of its ephemeral range to any connection in the meantime. Ports are therefore
// taken from below that range, from a block that the process reserves by listening on the block's first port.
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

// The range of ports that blocks are reserved from. It lies below the ephemeral range, which begins at 32,768
// on Linux, and above the ports of most well-known services.
const (
	firstPort = 20_000
	endPort   = 32_000
	blockSize = 400 // ports reserved at a time, enough for about 50 daemons with their proxies
)

// Block is a set of ports reserved for this process. It grows by blockSize ports when all have been taken.
// The zero value is ready to use.
type Block struct {
	mu   sync.Mutex
	held []net.Listener // on the first port of each reserved part, until the process ends
	used int            // ports taken from the last part
}

// Take returns the next address of the block that is not in use.
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
			return listener.Addr().String(), errors.Wrap(listener.Close(), "release the port")
		}
	}
}

// claim reserves the first part that no process has reserved.
func (b *Block) claim() error {
	for first := firstPort; first < endPort; first += blockSize {
		if listener, err := listenOn(first); err == nil {
			b.held, b.used = append(b.held, listener), 0
			return nil
		}
	}
	return errors.New("all blocks of ports are in use")
}

// listenOn listens on a port of the loopback address.
func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}
