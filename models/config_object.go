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

// Object is a configuration object. The set is closed: Team, Service, Rule, Class
// and VMLabels. Operators write them.
type Object interface {
	// Key names the object within the configuration.
	Key() ObjectKey
	// Check rejects an object that is wrong in itself.
	Check() error
	object()
}

// ObjectKey names one object of the configuration.
type ObjectKey struct {
	Kind ObjectKind `json:"kind"`
	Team TeamName   `json:"team,omitempty"`
	Name string     `json:"name"`
}

// String is "kind/name", or "kind/team/name" for what belongs to a team.
func (k ObjectKey) String() string {
	if k.Team == "" {
		return string(k.Kind) + "/" + k.Name
	}
	return string(k.Kind) + "/" + string(k.Team) + "/" + k.Name
}

// Bucket is the part of the configuration the object is stored in: its team's
// objects of its kind.
func (k ObjectKey) Bucket() BucketName {
	if k.Team == "" {
		return BucketName(k.Kind)
	}
	return BucketName(string(k.Kind) + "/" + string(k.Team))
}

// ObjectBox carries an Object over the wire with its kind beside it.
type ObjectBox struct {
	Object Object
	// Changed is the revision that last changed the object; the daemon that accepts
	// a change sets it.
	Changed Revision
}

type objectWire struct {
	Kind    ObjectKind      `json:"kind"`
	Spec    json.RawMessage `json:"spec"`
	Changed Revision        `json:"changed,omitempty"`
}

// MarshalJSON writes the kind and the object.
func (b ObjectBox) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(b.Object)
	if err != nil {
		return nil, errors.Wrap(err, "encode object")
	}
	return json.Marshal(objectWire{Kind: b.Object.Key().Kind, Spec: spec, Changed: b.Changed})
}

// UnmarshalJSON reads an object of a known kind and checks it.
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

// Check checks the object inside.
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
