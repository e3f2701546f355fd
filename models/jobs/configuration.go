// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package jobs

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Version numbers configurations in increasing order, with gaps.
type Version uint64

// Queue accepts jobs that callers submit under its host and path prefix.
type Queue struct {
	Name   QueueName
	Host   string
	Prefix string // of the path, with a trailing slash
	Terms  Terms
}

// Pool is a named set of workers.
type Pool struct {
	Name PoolName
	// GuardsRoom is set if the pool's workers refuse starts that exceed their free capacity. Other
	// workers start every run that they are sent.
	GuardsRoom bool
}

// Configuration is the complete current configuration that operators have stored.
type Configuration struct {
	Version Version
	Queues  []Queue
	Pools   []Pool
	// MaxBody is the maximum size of callers' request bodies in bytes; 0: the daemon's settings apply.
	MaxBody int64
	// Size is the size in bytes of the stored configuration; 0: not known.
	Size int
}

// Check rejects queues without name, host or prefix, and queues with the same host and prefix.
func (c Configuration) Check() error {
	seen := map[string]bool{}
	for _, q := range c.Queues {
		if q.Name == "" || q.Host == "" || !strings.HasPrefix(q.Prefix, "/") {
			return errors.Newf("configuration %d: queue %q has no name, host or prefix", c.Version, q.Name)
		}
		key := q.Host + q.Prefix
		if seen[key] {
			return errors.Newf("configuration %d: more than one queue has the host and prefix %s", c.Version, key)
		}
		seen[key] = true
	}
	return nil
}

// Route returns the queue for a host and path; the queue with the longest matching prefix wins.
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
