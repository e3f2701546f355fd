// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package inventory

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/platform"
)

// CellMapKey is the store's key of the cell map.
const CellMapKey = "cellmap"

// addMissingRacks adds the racks of the list that the cell map lacks to the map in the store. It retries after version
// conflicts and writes with an unknown outcome.
func (s *Service) addMissingRacks(ctx context.Context, list models.VMList) error {
	for {
		cells, version := s.cellMap()
		next, missing := cells.WithRacks(list)
		if !missing {
			return nil
		}
		// Read the stored map first: another daemon may have added the racks.
		found, foundVersion, err := s.readCells(ctx)
		if err != nil {
			return err
		}
		if foundVersion != version {
			s.setCells(found, foundVersion)
			continue
		}
		version, err = s.writeCells(ctx, next, version)
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) {
			continue
		}
		if err != nil {
			return err
		}
		s.setCells(next, version)
		return nil
	}
}

func (s *Service) readCells(ctx context.Context) (models.CellMap, platform.Version, error) {
	record, err := s.config.Store.Get(ctx, CellMapKey)
	if errors.Is(err, platform.ErrNotFound) {
		return models.CellMap{}, 0, nil
	}
	if err != nil {
		return models.CellMap{}, 0, errstep.Wrap(err, "read cell map", "store")
	}
	cells, err := wire.DecodeBytes[models.CellMap](record.Value)
	return cells, record.Version, errstep.Wrap(err, "decode cell map", "store")
}

func (s *Service) writeCells(ctx context.Context, cells models.CellMap, version platform.Version) (platform.Version, error) {
	value, err := json.Marshal(cells)
	if err != nil {
		return 0, errors.Wrap(err, "encode cell map")
	}
	version, err = s.config.Store.Swap(ctx, CellMapKey, value, version, 0)
	return version, errstep.Wrap(err, "write cell map", "store")
}

func (s *Service) cellMap() (models.CellMap, platform.Version) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.cells, s.version
}

func (s *Service) setCells(cells models.CellMap, version platform.Version) {
	s.mu.Lock()
	s.cells, s.version = cells, version
	s.mu.Unlock()
	s.config.Logger.Info("cell map is in force", zap.Int("cells", len(cells.Cells)), zap.Int("racks", len(cells.Racks)))
	s.config.Changed()
}

// AcceptPeerCells adopts a peer's cell map if the peer's map has more cells and this daemon has not read the map from
// the store, as during a store outage.
func (s *Service) AcceptPeerCells(cells models.CellMap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == 0 && len(s.cells.Cells) < len(cells.Cells) {
		s.cells = cells
	}
}

// Cells returns the cell map.
func (s *Service) Cells() models.CellMap {
	cells, _ := s.cellMap()
	return cells
}
