// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"
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

// Team owns services and jobs, up to a quota.
type Team struct {
	Name  TeamName    `json:"name"`
	Quota Resources   `json:"quota"`         // zero parts are not limited
	Jobs  JobDefaults `json:"jobs,omitzero"` // for what its jobs don't say
}

// JobDefaults are what a team's jobs have when they don't say otherwise.
type JobDefaults struct {
	Labels map[string]string `json:"labels,omitempty"` // a job's own go before them, label by label
	Size   Resources         `json:"size,omitzero"`
	Work   Milli             `json:"work_ms,omitempty"`
}

// Check rejects impossible amounts.
func (d JobDefaults) Check() error {
	if d.Work < 0 {
		return errors.Newf("work_ms %d is negative", d.Work)
	}
	if err := checkLabels(d.Labels); err != nil {
		return err
	}
	return d.Size.Check()
}

// Fill gives the job what it doesn't say.
func (d JobDefaults) Fill(job JobSpec) JobSpec {
	if len(d.Labels) > 0 {
		labels := maps.Clone(d.Labels)
		maps.Copy(labels, job.Labels)
		job.Labels = labels
	}
	if job.Size.IsZero() {
		job.Size = d.Size
	}
	if job.Work == 0 {
		job.Work = d.Work
	}
	return job
}

// Service is kept running with a number of replicas.
type Service struct {
	Name     ServiceName       `json:"name"`
	Team     TeamName          `json:"team"`
	Labels   map[string]string `json:"labels,omitempty"`
	Replicas int               `json:"replicas"`
	Size     Resources         `json:"size"`
	// Target is the latency that the service's p99 shall stay under.
	Target Milli `json:"target_p99_ms"`
}

// RuleKind says what a rule is about.
type RuleKind string

// The kinds of rule.
const (
	RuleShare RuleKind = "share" // tasks of Selector share VMs only with tasks of With
	RuleApart RuleKind = "apart" // tasks of Selector never share a VM with tasks of With
	RuleYield RuleKind = "yield" // batch tasks of Selector yield in the order of Order
)

// Rule is a selector of the operators' about the sharing of VMs.
type Rule struct {
	Name     string   `json:"name"`
	Kind     RuleKind `json:"kind"`
	Selector string   `json:"selector"`
	With     string   `json:"with,omitempty"`
	Order    int      `json:"order,omitempty"` // lower yields first
}

// Priority is the order in which waiting requests are served.
type Priority string

// The priorities of request classes, first served first.
const (
	PriorityUrgent   Priority = "urgent"
	PriorityOrdinary Priority = "ordinary"
	PriorityDeferred Priority = "deferred"
)

// Class is a class of requests, chosen by the labels a request carries.
type Class struct {
	Name     ClassName `json:"name"`
	Selector string    `json:"selector"` // over the request's labels
	Priority Priority  `json:"priority"`
	// Deadline is used for requests that bring none; 0 means none.
	Deadline Milli `json:"deadline_ms"`
	// Unrepeatable requests are never sent a second time once a byte may have left.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// Upstreams selects the upstreams by their labels; empty selects all.
	Upstreams string `json:"upstreams,omitempty"`
	// Floor is the share of slots, in percent, that the class gets under overload.
	Floor int `json:"floor_percent,omitempty"`
	// Order settles which class a request gets when several select it; lower first.
	Order int `json:"order,omitempty"`
}

// VMLabels are labels that operators add to those of the platform's list.
type VMLabels struct {
	VM     VMID              `json:"vm"`
	Labels map[string]string `json:"labels"`
}

// LabelDrain on a VM keeps new work off it and moves away what it runs.
const LabelDrain = "rillsail/drain"

func (Team) object()     {}
func (Service) object()  {}
func (Rule) object()     {}
func (Class) object()    {}
func (VMLabels) object() {}

// Key implements Object.
func (o Team) Key() ObjectKey { return ObjectKey{Kind: ObjectTeam, Name: string(o.Name)} }

// Key implements Object.
func (o Service) Key() ObjectKey {
	return ObjectKey{Kind: ObjectService, Team: o.Team, Name: string(o.Name)}
}

// Key implements Object.
func (o Rule) Key() ObjectKey { return ObjectKey{Kind: ObjectRule, Name: o.Name} }

// Key implements Object.
func (o Class) Key() ObjectKey { return ObjectKey{Kind: ObjectClass, Name: string(o.Name)} }

// Key implements Object.
func (o VMLabels) Key() ObjectKey { return ObjectKey{Kind: ObjectVM, Name: string(o.VM)} }

// Check implements Object.
func (o Team) Check() error {
	if err := checkName("team", string(o.Name)); err != nil {
		return err
	}
	if err := o.Jobs.Check(); err != nil {
		return errors.Wrapf(err, "team %s: jobs", o.Name)
	}
	return errors.Wrapf(o.Quota.Check(), "team %s: quota", o.Name)
}

// MaxReplicas bounds the replicas of one service.
const MaxReplicas = 10_000

// Check implements Object.
func (o Service) Check() error {
	if err := checkName("service", string(o.Name)); err != nil {
		return err
	}
	if err := checkName("team", string(o.Team)); err != nil {
		return errors.Wrapf(err, "service %s", o.Name)
	}
	if o.Replicas < 0 || o.Replicas > MaxReplicas {
		return errors.Newf("service %s: replicas %d is outside 0..%d", o.Name, o.Replicas, MaxReplicas)
	}
	if o.Target < 0 {
		return errors.Newf("service %s: target_p99_ms %d is negative", o.Name, o.Target)
	}
	if o.Size.IsZero() {
		return errors.Newf("service %s: size asks for nothing", o.Name)
	}
	if err := checkLabels(o.Labels); err != nil {
		return errors.Wrapf(err, "service %s", o.Name)
	}
	return errors.Wrapf(o.Size.Check(), "service %s", o.Name)
}

// Check implements Object.
func (o Rule) Check() error {
	if err := checkName("rule", o.Name); err != nil {
		return err
	}
	if err := checkSelector("selector", o.Selector); err != nil {
		return errors.Wrapf(err, "rule %s", o.Name)
	}
	switch o.Kind {
	case RuleShare, RuleApart:
		if o.With == "" {
			return errors.Newf("rule %s: with is missing; a %s rule names both sides", o.Name, o.Kind)
		}
		return errors.Wrapf(checkSelector("with", o.With), "rule %s", o.Name)
	case RuleYield:
		if o.With != "" {
			return errors.Newf("rule %s: with has no meaning in a yield rule", o.Name)
		}
		return nil
	default:
		return errors.Newf("rule %s: kind %q is not one of share, apart, yield", o.Name, o.Kind)
	}
}

// Check implements Object.
func (o Class) Check() error {
	if err := checkName("class", string(o.Name)); err != nil {
		return err
	}
	if err := checkSelector("selector", o.Selector); err != nil {
		return errors.Wrapf(err, "class %s", o.Name)
	}
	if err := checkSelector("upstreams", o.Upstreams); err != nil {
		return errors.Wrapf(err, "class %s", o.Name)
	}
	switch o.Priority {
	case PriorityUrgent, PriorityOrdinary, PriorityDeferred:
	default:
		return errors.Newf("class %s: priority %q is not one of urgent, ordinary, deferred", o.Name, o.Priority)
	}
	if o.Deadline < 0 {
		return errors.Newf("class %s: deadline_ms %d is negative", o.Name, o.Deadline)
	}
	if o.Floor < 0 || o.Floor > 100 {
		return errors.Newf("class %s: floor_percent %d is outside 0..100", o.Name, o.Floor)
	}
	return nil
}

// Check implements Object.
func (o VMLabels) Check() error {
	if err := checkName("vm", string(o.VM)); err != nil {
		return err
	}
	return errors.Wrapf(checkLabels(o.Labels), "vm %s", o.VM)
}

func checkSelector(what, text string) error {
	if len(text) > maxLabelsLength {
		return errors.Newf("%s is longer than %d bytes", what, maxLabelsLength)
	}
	if _, err := labels.Parse(text); err != nil {
		return errors.Newf("%s %q is not a label selector: %v", what, text, err)
	}
	return nil
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
