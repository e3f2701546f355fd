// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// An owner that stood still, or is cut off from the store, may have a successor without
// knowing it. Workers refuse its orders once the successor has called them, but calls get
// lost, and a worker that the successor hasn't reached yet would obey. So an owner acts only
// on recent proof that it is the owner:
//
//   - for any order: a transaction of its own, which requires its key, or the answers of two
//     thirds of its workers. A successor counts former runs as lapsed previousOwnerMargin after most
//     workers have answered it, and two thirds that obey this owner leave no such majority.
//   - to start what ran on a silent worker elsewhere: a transaction after the worker's lease
//     had run out. Only then has no successor prolonged it.

// proofValidity is for how long after a proof orders are given; with the time limit of a call it
// stays below previousOwnerMargin.
const proofValidity = 2 * time.Second

// proofRefreshAge is how old a proof gets before a transaction is made for that reason alone.
const proofRefreshAge = time.Second

// answerCountInterval is how often the workers' answers are counted.
const answerCountInterval = 100 * time.Millisecond

// mayOrder tells whether there is recent proof that this core still is the cell's owner.
func (c *Core) mayOrder(now time.Time) bool {
	if now.Sub(c.countedAt) >= answerCountInterval {
		c.countedAt = now
		c.obeyed = c.twoThirdsAnsweredSince()
	}
	age := now.Sub(latest(c.proved, c.obeyed))
	c.wantsProof = age > proofRefreshAge
	c.setIdle(age > proofValidity, age)
	return !c.idle
}

// setIdle logs when orders begin to wait for a proof, and when they go on.
func (c *Core) setIdle(idle bool, age time.Duration) {
	if idle == c.idle {
		return
	}
	c.idle = idle
	message := "orders go on"
	if idle {
		message = "orders wait for a proof that this is still the owner"
	}
	c.config.Logger.Info(message, zap.Duration("proof_age", age), zap.Int("workers", len(c.order)))
}

// twoThirdsAnsweredSince is when the calls were sent, at the latest, that two thirds of the workers have
// answered.
func (c *Core) twoThirdsAnsweredSince() time.Time {
	if len(c.order) == 0 {
		return time.Time{}
	}
	sent := make([]time.Time, 0, len(c.order))
	for _, w := range c.order {
		sent = append(sent, w.asked)
	}
	slices.SortFunc(sent, time.Time.Compare)
	return sent[len(sent)/3]
}

// latest is the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
