// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package config

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/platform"
	"rillsail.example/rillsail/services/standin/kv"
)

// lostAnswerStore is a store that does one write of the head and loses its answer; lost is called
// before anything else reaches the store.
type lostAnswerStore struct {
	*kv.Local
	onLost     func()
	answerLost bool
}

func newLostAnswerStore(lost func(store platform.Store)) *lostAnswerStore {
	quiet := &kv.Local{Service: kv.New(kv.Config{}), Fault: kv.NoFault}
	return &lostAnswerStore{Local: quiet, onLost: func() { lost(quiet) }}
}

// Swap implements platform.Store.
func (s *lostAnswerStore) Swap(ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID) (platform.Version, error) {
	version, err := s.Local.Swap(ctx, key, value, expect, lease)
	if err != nil || key != HeadKey || s.answerLost {
		return version, err
	}
	s.answerLost = true
	s.onLost()
	return 0, platform.ErrUnknown
}

func serviceOn(store platform.Store) *Service {
	made := 0
	return New(Config{
		Store: store, Logger: zap.NewNop(), Scope: tally.NoopScope, Accepted: func(*View) {},
		VMs: func() models.VMList { return models.VMList{} },
		NewID: func() string {
			made++
			return "write-" + strconv.Itoa(made)
		},
	})
}

func teamPut(name models.TeamName) models.ConfigChange {
	return models.ConfigChange{Put: []models.ObjectBox{{Object: models.Team{Name: name}}}}
}

// TestLostAnswerAndUnreadableHead loses the answer of the write that puts a change in force,
// and lets a daemon that says more in its heads write the next one before the first reads
// back what became of it.
func TestLostAnswerAndUnreadableHead(t *testing.T) {
	store := newLostAnswerStore(func(store platform.Store) {
		record, err := store.Get(t.Context(), HeadKey)
		require.NoError(t, err)
		var head map[string]any
		require.NoError(t, json.Unmarshal(record.Value, &head))
		head["said_since"] = "later"
		value, err := json.Marshal(head)
		require.NoError(t, err)
		_, err = store.Swap(t.Context(), HeadKey, value, record.Version, 0)
		require.NoError(t, err)
	})
	_, err := serviceOn(store).Apply(t.Context(), teamPut("office"))
	require.Error(t, err)
	require.True(t, errors.Is(err, ErrMaybeApplied), "the change is in force, and is answered as if nothing was done: %v", err)
}

// TestLostAnswerIsSettled loses the answer of the write that puts a change in force.
func TestLostAnswerIsSettled(t *testing.T) {
	service := serviceOn(newLostAnswerStore(func(platform.Store) {}))
	result, err := service.Apply(t.Context(), teamPut("office"))
	require.NoError(t, err)
	require.Equal(t, models.Revision(1), result.Revision)
}
