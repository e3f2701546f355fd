// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ObjectKind names a kind of configuration object.
type ObjectKind string

// The kinds of configuration object.
const (
	ObjectTeam    ObjectKind = "team"
	ObjectService ObjectKind = "service"
	ObjectRule    ObjectKind = "rule"
	ObjectClass   ObjectKind = "class"
	ObjectVM      ObjectKind = "vm"
)

// Object is a configuration object written by operators. The set of types is closed: Team, Service, Rule,
// Class and VMLabels.
type Object interface {
	// Key returns the object's key, which is unique in the configuration.
	Key() ObjectKey
	// Check rejects an object that is invalid whatever the rest of the configuration holds.
	Check() error
	object()
}

// ObjectKey identifies one object of the configuration.
type ObjectKey struct {
	Kind ObjectKind `json:"kind"`
	Team TeamName   `json:"team,omitempty"`
	Name string     `json:"name"`
}

// String returns "kind/name", or "kind/team/name" for an object that belongs to a team.
func (k ObjectKey) String() string {
	if k.Team == "" {
		return string(k.Kind) + "/" + k.Name
	}
	return string(k.Kind) + "/" + string(k.Team) + "/" + k.Name
}

// Bucket returns the name of the bucket that stores the object: the bucket of the object's kind, or, for an
// object that belongs to a team, the bucket of the kind and the team.
func (k ObjectKey) Bucket() BucketName {
	if k.Team == "" {
		return BucketName(k.Kind)
	}
	return BucketName(string(k.Kind) + "/" + string(k.Team))
}

// ObjectBox wraps an Object together with its kind for JSON, so that the decoder knows the object's type.
type ObjectBox struct {
	Object Object
	// Changed is the revision that last changed the object. The daemon that accepts a change sets it.
	Changed Revision
}

// objectWire is the JSON form of an ObjectBox.
type objectWire struct {
	Kind    ObjectKind      `json:"kind"`
	Spec    json.RawMessage `json:"spec"`
	Changed Revision        `json:"changed,omitempty"`
}

// MarshalJSON encodes the object with its kind.
func (b ObjectBox) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(b.Object)
	if err != nil {
		return nil, errors.Wrap(err, "encode object")
	}
	return json.Marshal(objectWire{Kind: b.Object.Key().Kind, Spec: spec, Changed: b.Changed})
}

// UnmarshalJSON decodes and validates an object of a known kind.
func (b *ObjectBox) UnmarshalJSON(data []byte) error {
	var w objectWire
	if err := strictUnmarshal(data, &w); err != nil {
		return err
	}
	object, err := decodeObject(w)
	if err != nil {
		return err
	}
	b.Object, b.Changed = object, w.Changed
	return object.Check()
}

// Check validates the wrapped object.
func (b ObjectBox) Check() error {
	if b.Object == nil {
		return errors.New("object is missing")
	}
	return b.Object.Check()
}

func decodeObject(w objectWire) (Object, error) {
	switch w.Kind {
	case ObjectTeam:
		return decodeSpec[Team](w.Spec)
	case ObjectService:
		return decodeSpec[Service](w.Spec)
	case ObjectRule:
		return decodeSpec[Rule](w.Spec)
	case ObjectClass:
		return decodeSpec[Class](w.Spec)
	case ObjectVM:
		return decodeSpec[VMLabels](w.Spec)
	default:
		return nil, errors.Newf("kind %q is not one of team, service, rule, class, vm", w.Kind)
	}
}

func decodeSpec[T Object](data []byte) (Object, error) {
	var v T
	if err := strictUnmarshal(data, &v); err != nil {
		return nil, err
	}
	return v, nil
}
