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

// lostAnswerStore executes the first write of the head and loses the answer to it. It calls onLost before any other call
// reaches the store.
type lostAnswerStore struct {
	*kv.Local
	onLost     func()
	answerLost bool
}

func newLostAnswerStore(onLost func(store platform.Store)) *lostAnswerStore {
	local := &kv.Local{Service: kv.New(kv.Config{}), Fault: kv.NoFault}
	return &lostAnswerStore{Local: local, onLost: func() { onLost(local) }}
}

// Swap implements platform.Store.
func (s *lostAnswerStore) Swap(ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID) (platform.Version, error) {
	version, err := s.Local.Swap(ctx, key, value, expect, lease)
	if err != nil || key != HeadKey || s.answerLost {
		return version, err
	}
	s.answerLost = true
	s.onLost()
	return 0, platform.ErrUnknownOutcome
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

// TestLostAnswerAndUnreadableHead loses the answer to the write that puts a change in force. Before the daemon reads the
// head back, another daemon writes a head with a field that the first daemon does not know and cannot decode.
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
	require.True(t, errors.Is(err, ErrMaybeApplied), "the change is in force but the error says that it was not applied: %v", err)
}

// TestLostAnswerIsSettled loses the answer to the write that puts a change in force; reading the head back shows that
// the change took effect.
func TestLostAnswerIsSettled(t *testing.T) {
	service := serviceOn(newLostAnswerStore(func(platform.Store) {}))
	result, err := service.Apply(t.Context(), teamPut("office"))
	require.NoError(t, err)
	require.Equal(t, models.Revision(1), result.Revision)
}
