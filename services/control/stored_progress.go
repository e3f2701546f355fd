// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/log"
	"rillsail.example/rillsail/services/platform"
)

// storedProgress is the progress of a cell's jobs, as the store holds it.
type storedProgress struct {
	byJob     map[jobs.ID]jobs.Progress // with what is stored in chunks, once addChunks has been called
	chunkings map[jobs.ID]jobs.Chunking // those that belong to the progress of their jobs
	chunks    []jobs.Chunk              // all chunks and chunkings, also those that belong to no progress

	// What the keys hold.
	versions        map[jobs.ID]platform.Version // of the progress
	chunkContents   map[jobs.Chunk]jobs.Progress
	storedChunkings map[jobs.Chunk]storedChunking
}

// storedChunking is a chunking with the version of its key.
type storedChunking struct {
	jobs.Chunking
	version platform.Version
}

// loadProgress reads the progress of the cell's active jobs.
func (o *Owner) loadProgress(ctx context.Context) (storedProgress, error) {
	records, _, err := o.config.Store.List(ctx, progressKeyPrefix(o.cell))
	if err != nil {
		return storedProgress{}, err
	}
	p := newStoredProgress()
	for _, record := range records {
		if err := p.add(o.cell, record); err != nil {
			o.config.Logger.Error("stored progress of a job cannot be decoded; ignoring it", append(log.Err(err), zap.String("key", record.Key))...)
		}
	}
	p.addChunks()
	return p, nil
}

// newStoredProgress returns the progress of a cell of which nothing has been read.
func newStoredProgress() storedProgress {
	return storedProgress{
		byJob: map[jobs.ID]jobs.Progress{}, chunkings: map[jobs.ID]jobs.Chunking{}, versions: map[jobs.ID]platform.Version{},
		chunkContents: map[jobs.Chunk]jobs.Progress{}, storedChunkings: map[jobs.Chunk]storedChunking{},
	}
}

// add adds what is stored under one key.
func (p *storedProgress) add(cell jobs.CellName, record platform.Record) error {
	id, chunk, err := parseProgressKey(cell, record.Key)
	if err != nil {
		return err
	}
	if chunk == nil {
		p.byJob[id], err = decode[jobs.Progress](record)
		p.versions[id] = record.Version
		return err
	}
	p.chunks = append(p.chunks, *chunk)
	if chunk.Number != jobs.ChunkingItself {
		p.chunkContents[*chunk], err = decode[jobs.Progress](record)
		return err
	}
	chunking, err := decode[jobs.Chunking](record)
	if err != nil {
		return err
	}
	p.storedChunkings[*chunk] = storedChunking{chunking, record.Version}
	return nil
}

// addChunks adds the contents of the chunks to the progress that they belong to: that with which their chunking was written.
func (p *storedProgress) addChunks() {
	for key, chunking := range p.storedChunkings {
		if chunking.ID == key.Chunking && chunking.version == p.versions[key.Job] {
			p.chunkings[key.Job] = chunking.Chunking
		}
	}
	for key, content := range p.chunkContents {
		if chunking, valid := p.chunkings[key.Job]; valid && chunking.ID == key.Chunking {
			whole := p.byJob[key.Job]
			whole.AddChunk(content)
			p.byJob[key.Job] = whole
		}
	}
}
