// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// BucketName names one bucket of the configuration: a kind, or a kind and team.
type BucketName string

// BucketHash is the hash of a bucket's content; with the name it is its key.
type BucketHash string

// Bucket is an immutable part of the configuration. WriteID keeps the keys of two
// writers apart even when they write the same.
type Bucket struct {
	Name    BucketName  `json:"name"`
	WriteID string      `json:"write_id"`
	Objects []ObjectBox `json:"objects"` // sorted by key
	// Deleted holds the revisions of the latest deletions, so that a change based on
	// an older revision meets a conflict.
	Deleted map[string]Revision `json:"deleted,omitempty"`
}

// Check checks that every object belongs to the bucket.
func (b Bucket) Check() error {
	for _, box := range b.Objects {
		if err := box.Check(); err != nil {
			return errors.Wrapf(err, "bucket %s", b.Name)
		}
		if box.Object.Key().Bucket() != b.Name {
			return errors.Newf("bucket %s holds %s", b.Name, box.Object.Key())
		}
	}
	return nil
}

// Encode gives the stored form and its hash.
func (b Bucket) Encode() ([]byte, BucketHash, error) {
	sort.Slice(b.Objects, func(i, j int) bool {
		return b.Objects[i].Object.Key().String() < b.Objects[j].Object.Key().String()
	})
	data, err := json.Marshal(b)
	if err != nil {
		return nil, "", errors.Wrapf(err, "encode bucket %s", b.Name)
	}
	return data, HashBucket(data), nil
}

// HashBucket hashes a bucket's stored form.
func HashBucket(data []byte) BucketHash {
	sum := xxhash.New()
	_, _ = sum.Write(data) // never fails
	return BucketHash(hex.EncodeToString(sum.Sum(nil)) + strconv.FormatInt(int64(len(data)), 36))
}

// ConfigHead names the buckets that are in force. It is the one key that a change
// of configuration swaps. Writes holds the ids of the latest changes, so that a
// writer whose answer was lost can tell whether its change took effect.
type ConfigHead struct {
	Revision Revision                  `json:"revision"`
	Buckets  map[BucketName]BucketHash `json:"buckets"`
	Writes   map[string]Revision       `json:"writes"`
	Retired  []RetiredBucket           `json:"retired,omitempty"`
}

// RetiredBucket is a bucket no longer in force, kept for daemons that lag.
type RetiredBucket struct {
	Name  BucketName `json:"name"`
	Hash  BucketHash `json:"hash"`
	Since Revision   `json:"since"`
}

// Check rejects a head without revision.
func (h ConfigHead) Check() error {
	if h.Revision == 0 {
		return errors.New("configuration head has revision 0")
	}
	return nil
}

// strictUnmarshal decodes one JSON value and rejects unknown fields and trailing
// data, so that a misspelt key in a change is an error and not ignored.
func strictUnmarshal(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "malformed object")
	}
	if decoder.More() {
		return errors.New("malformed object: data after its end")
	}
	return nil
}
