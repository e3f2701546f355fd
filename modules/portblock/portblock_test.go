// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package portblock

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAddressesAreNotEphemeral(t *testing.T) {
	firstEphemeral := 32_768
	if data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		firstEphemeral, err = strconv.Atoi(strings.Fields(string(data))[0])
		require.NoError(t, err)
	}
	var block, other Block
	seen := map[string]bool{}
	for range blockSize { // more than one part
		for _, b := range []*Block{&block, &other} {
			address, err := b.Take()
			require.NoError(t, err)
			require.False(t, seen[address], "%s was allocated twice", address)
			seen[address] = true
			tcp, err := net.ResolveTCPAddr("tcp", address)
			require.NoError(t, err)
			require.Less(t, tcp.Port, firstEphemeral)
		}
	}
}
