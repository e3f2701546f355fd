// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package selector matches label selectors in the usual syntax
// ("tier=urgent,app in (quote,fare),!batch") against label sets, and caches parsed selectors.
//
// # Usage
//
//	set := selector.New()
//	set.Matches("team=roads", task.Labels)
package selector

import (
	"sync"

	"k8s.io/apimachinery/pkg/labels"
)

// Set is a cache of parsed selectors. It is safe for concurrent use.
type Set struct {
	mu     sync.RWMutex
	parsed map[string]labels.Selector
}

// New returns an empty set.
func New() *Set { return &Set{parsed: map[string]labels.Selector{}} }

// Matches reports whether the selector matches the labels. An empty selector matches all labels; an invalid
// selector matches none.
func (s *Set) Matches(text string, set map[string]string) bool {
	return s.parse(text).Matches(labels.Set(set))
}

func (s *Set) parse(text string) labels.Selector {
	s.mu.RLock()
	parsed, ok := s.parsed[text]
	s.mu.RUnlock()
	if ok {
		return parsed
	}
	parsed, err := labels.Parse(text)
	if err != nil {
		parsed = labels.Nothing()
	}
	s.mu.Lock()
	s.parsed[text] = parsed
	s.mu.Unlock()
	return parsed
}
