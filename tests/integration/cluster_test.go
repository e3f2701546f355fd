// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/rendezvous"
)

// clusterConfig configures the programs of a cluster.
type clusterConfig struct {
	daemons       int
	fleetFlags    []string          // flags of the stand-in fleet
	storeFlags    []string          // flags of the stand-in store
	extraSettings map[string]string // settings of all daemons, by "section.key"
}

// cluster is the set of running programs: the daemons and the stand-in store and fleet, with proxies.
type cluster struct {
	t            *testing.T
	config       clusterConfig
	storeAddress string
	fleetAddress string
	proxies      *toxiproxy.ApiServer
	storeProxy   *toxiproxy.Proxy
	listProxy    *toxiproxy.Proxy
	daemons      []*daemonProcess
}

// daemonProcess is a daemon's process with the addresses of its listeners.
type daemonProcess struct {
	*process
	id, caller, operator, peer string
	number                     int
}

// newCluster starts all programs and waits until all cells are owned.
func newCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	c := &cluster{t: t, config: config}
	_, c.storeAddress = startStandin(t, append([]string{"store"}, config.storeFlags...)...)
	_, c.fleetAddress = startStandin(t, append([]string{"fleet", "--list-lag", "200ms", "--report-lag", "200ms", "--domains", "south/a,south/b"}, config.fleetFlags...)...)
	c.startProxies()
	for i := range config.daemons {
		c.daemons = append(c.daemons, c.startDaemon(i, nil))
	}
	c.waitCellsOwned()
	return c
}

// startProxies starts proxies in front of the store and the VM list.
func (c *cluster) startProxies() {
	c.proxies = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	c.storeProxy = c.newProxy("store", c.storeAddress)
	c.listProxy = c.newProxy("list", c.fleetAddress)
}

// newProxy starts a fault-injecting proxy in front of an address.
func (c *cluster) newProxy(name, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(c.proxies, name, freeAddress(c.t), upstream)
	require.NoError(c.t, p.Start())
	c.t.Cleanup(p.Stop)
	return p
}

// startDaemon starts daemon number i. Its own settings override those of the cluster.
func (c *cluster) startDaemon(i int, own map[string]string) *daemonProcess {
	c.t.Helper()
	d := &daemonProcess{
		id: fmt.Sprintf("entry-%d", i), number: i,
		caller: freeAddress(c.t), operator: freeAddress(c.t), peer: freeAddress(c.t),
	}
	settings := c.defaultSettings(d)
	maps.Copy(settings, c.config.extraSettings)
	maps.Copy(settings, own)
	file := filepath.Join(c.t.TempDir(), "app.ini")
	require.NoError(c.t, os.WriteFile(file, []byte(formatINI(settings)), 0o600))
	d.process = startDaemonProcess(c.t, file)
	return d
}

// defaultSettings returns the settings of a daemon before those of the cluster and its own are applied.
func (c *cluster) defaultSettings(d *daemonProcess) map[string]string {
	return map[string]string{
		"daemon.id": d.id, "daemon.domain": []string{"south/a", "south/b"}[d.number%2],
		"listen.caller": d.caller, "listen.operator": d.operator, "listen.peer": d.peer,
		"listen.operator_token": operatorToken, "listen.peer_token": peerToken,
		"platform.store": c.storeProxy.Listen, "platform.list": c.listProxy.Listen,
		"platform.list_every": "200ms", "platform.call_timeout": "1s", "platform.watch_wait": "5s",
		"member.heartbeat": "100ms", "member.silent_after": "1s", "member.lease": "3s", "member.sync": "500ms",
		"cell.lease": "4s", "cell.renew": "200ms", "cell.append": "50ms", "cell.tick": "100ms", "cell.settle_after": "500ms",
	}
}

// formatINI formats settings, keyed by "section.key", as INI.
func formatINI(settings map[string]string) string {
	sections := map[string][]string{}
	for name, value := range settings {
		section, key, _ := strings.Cut(name, ".")
		sections[section] = append(sections[section], key+" = "+value)
	}
	var b strings.Builder
	for section, lines := range sections {
		fmt.Fprintf(&b, "[%s]\n%s\n", section, strings.Join(lines, "\n"))
	}
	return b.String()
}

// waitCellsOwned waits until every daemon knows that each cell has the owner that rendezvous hashing
// selects, so that no cell moves any more.
func (c *cluster) waitCellsOwned() {
	c.t.Helper()
	var ids []models.MemberID
	for _, d := range c.daemons {
		ids = append(ids, models.MemberID(d.id))
	}
	for _, d := range c.daemons {
		eventually(c.t, "every cell has its owner, as "+d.id+" sees it", func() bool {
			s, err := statusOf(d)
			if err != nil || len(s.Cells) == 0 || len(s.Upstreams) == 0 || len(s.Members) < len(c.daemons) {
				return false
			}
			for _, cell := range s.Cells {
				if owner, _ := rendezvous.First(string(cell.Cell), ids); cell.Owner != owner {
					return false
				}
			}
			return true
		})
	}
}
