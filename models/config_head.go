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

// BucketName names one bucket of the configuration: an object kind, or an object kind and a team.
type BucketName string

// BucketHash is the hash of a bucket's stored form. Name and hash together form the bucket's key in the store.
type BucketHash string

// Bucket is an immutable part of the configuration. WriteID makes the hashes, and so the store keys, of two
// writers differ even if they write the same objects.
type Bucket struct {
	Name    BucketName  `json:"name"`
	WriteID string      `json:"write_id"`
	Objects []ObjectBox `json:"objects"` // sorted by key
	// Deleted holds the revisions of the most recent deletions by object key, so that a change of a deleted
	// object that is based on an older revision is detected as a conflict.
	Deleted map[string]Revision `json:"deleted,omitempty"`
}

// Check validates every object and that it belongs to the bucket.
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

// Encode returns the bucket's stored form and its hash. It sorts the objects in place.
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

// HashBucket returns the hash of a bucket's stored form.
func HashBucket(data []byte) BucketHash {
	sum := xxhash.New()
	_, _ = sum.Write(data) // never fails
	return BucketHash(hex.EncodeToString(sum.Sum(nil)) + strconv.FormatInt(int64(len(data)), 36))
}

// ConfigHead names the buckets that are in force. It is the only key that a configuration change replaces by
// compare-and-swap.
type ConfigHead struct {
	Revision Revision                  `json:"revision"`
	Buckets  map[BucketName]BucketHash `json:"buckets"`
	// RecentWrites holds the revisions of the most recent changes by write ID. A writer that got no answer from
	// the store finds its write ID here if its change took effect.
	RecentWrites map[string]Revision `json:"writes"`
	Retired      []RetiredBucket     `json:"retired,omitempty"`
}

// RetiredBucket is a bucket that is no longer in force. It is kept for daemons that still read an older head.
type RetiredBucket struct {
	Name  BucketName `json:"name"`
	Hash  BucketHash `json:"hash"`
	Since Revision   `json:"since"` // first revision without the bucket
}

// Check rejects a head without a revision.
func (h ConfigHead) Check() error {
	if h.Revision == 0 {
		return errors.New("configuration head has revision 0")
	}
	return nil
}

// strictUnmarshal decodes one JSON value into target. It rejects unknown fields and trailing data, so that a
// misspelt key in a change is an error instead of being ignored.
func strictUnmarshal(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.Wrap(err, "malformed object")
	}
	if decoder.More() {
		return errors.New("malformed object: data after its end")
	}
	return nil
}
