// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Version numbers configurations, rising with gaps.
type Version uint64

// Queue is how jobs come in: by host and path prefix.
type Queue struct {
	Name   QueueName
	Host   string
	Prefix string // of the path, ends in a slash
	Terms  Terms
}

// Pool is a set of workers.
type Pool struct {
	Name PoolName
	// GuardsRoom: its workers refuse what does not fit; others start whatever they are
	// told.
	GuardsRoom bool
}

// Configuration is the operators' newest configuration, whole.
type Configuration struct {
	Version Version
	Queues  []Queue
	Pools   []Pool
	// MaxBody bounds the bodies of callers' requests, in bytes; 0: the settings do.
	MaxBody int64
	// Size is how many bytes the operators have stored; 0 where that is not known.
	Size int
}

// Check rejects a configuration whose queues can't be told apart.
func (c Configuration) Check() error {
	seen := map[string]bool{}
	for _, q := range c.Queues {
		if q.Name == "" || q.Host == "" || !strings.HasPrefix(q.Prefix, "/") {
			return errors.Newf("configuration %d: queue %q has no name, host or prefix", c.Version, q.Name)
		}
		key := q.Host + q.Prefix
		if seen[key] {
			return errors.Newf("configuration %d: %s stands twice", c.Version, key)
		}
		seen[key] = true
	}
	return nil
}

// Route finds the queue for a host and path: the one with the longest prefix.
func (c *Configuration) Route(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if !found || len(q.Prefix) > len(best.Prefix) {
			best, found = q, true
		}
	}
	return best, found
}
