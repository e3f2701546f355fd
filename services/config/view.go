// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"rillsail.example/rillsail/models"
)

// View is one accepted configuration. It is immutable.
type View struct {
	Head    models.ConfigHead
	buckets map[models.BucketName]models.Bucket
	stored  map[models.BucketHash][]byte

	Teams    map[models.TeamName]models.Team
	Services map[models.ServiceName]models.Service
	VMs      map[models.VMID]models.VMLabels
	Rules    []models.Rule  // sorted by name
	Classes  []models.Class // sorted by order, then by name
}

// Empty returns the configuration before the first change.
func Empty() *View {
	return newView(models.ConfigHead{Buckets: map[models.BucketName]models.BucketHash{}}, nil, nil)
}

// ViewOf returns a view of the given objects, for tests and trials without a store.
func ViewOf(revision models.Revision, objects ...models.Object) *View {
	buckets := map[models.BucketName]models.Bucket{}
	for _, object := range objects {
		bucket := buckets[object.Key().Bucket()]
		bucket.Objects = append(bucket.Objects, models.ObjectBox{Object: object, Changed: revision})
		buckets[object.Key().Bucket()] = bucket
	}
	return newView(models.ConfigHead{Revision: revision}, buckets, nil)
}

func newView(head models.ConfigHead, buckets map[models.BucketName]models.Bucket, stored map[models.BucketHash][]byte) *View {
	v := &View{
		Head: head, buckets: buckets, stored: stored,
		Teams:    map[models.TeamName]models.Team{},
		Services: map[models.ServiceName]models.Service{},
		VMs:      map[models.VMID]models.VMLabels{},
	}
	for _, bucket := range buckets {
		for _, box := range bucket.Objects {
			v.add(box.Object)
		}
	}
	slices.SortFunc(v.Rules, func(a, b models.Rule) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(v.Classes, func(a, b models.Class) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), strings.Compare(string(a.Name), string(b.Name)))
	})
	return v
}

func (v *View) add(object models.Object) {
	switch o := object.(type) {
	case models.Team:
		v.Teams[o.Name] = o
	case models.Service:
		v.Services[o.Name] = o
	case models.VMLabels:
		v.VMs[o.VM] = o
	case models.Rule:
		v.Rules = append(v.Rules, o)
	case models.Class:
		v.Classes = append(v.Classes, o)
	}
}

// Revision returns the revision of the view; 0 before the first change.
func (v *View) Revision() models.Revision { return v.Head.Revision }

// Objects returns all objects, sorted by key.
func (v *View) Objects() []models.ObjectBox {
	var boxes []models.ObjectBox
	for _, bucket := range v.buckets {
		boxes = append(boxes, bucket.Objects...)
	}
	slices.SortFunc(boxes, func(a, b models.ObjectBox) int {
		return strings.Compare(a.Object.Key().String(), b.Object.Key().String())
	})
	return boxes
}

// Drained reports whether the operators have drained the VM.
func (v *View) Drained(vm models.VMID) bool {
	_, ok := v.VMs[vm].Labels[models.LabelDrain]
	return ok
}

// LabelsOf returns the labels of a VM. The operators' labels override those of the VM list.
func (v *View) LabelsOf(vm models.VM) map[string]string {
	extra := v.VMs[vm.ID].Labels
	if len(extra) == 0 {
		return vm.Labels
	}
	merged := maps.Clone(vm.Labels)
	if merged == nil {
		merged = map[string]string{}
	}
	maps.Copy(merged, extra)
	return merged
}

// changedAt returns the revision that last changed or deleted the object; 0 if the view records none.
func (v *View) changedAt(key models.ObjectKey) models.Revision {
	bucket := v.buckets[key.Bucket()]
	if box, ok := findObject(bucket, key); ok {
		return box.Changed
	}
	return bucket.Deleted[key.String()]
}

// object returns the object as it is in force.
func (v *View) object(key models.ObjectKey) (models.Object, bool) {
	box, ok := findObject(v.buckets[key.Bucket()], key)
	return box.Object, ok
}

func findObject(bucket models.Bucket, key models.ObjectKey) (models.ObjectBox, bool) {
	for _, box := range bucket.Objects {
		if box.Object.Key() == key {
			return box, true
		}
	}
	return models.ObjectBox{}, false
}

// diff describes what a change does to the view, one line per object removed or added.
func (v *View) diff(change models.ConfigChange) []string {
	var lines []string
	for _, box := range change.Put {
		key := box.Object.Key()
		old, ok := v.object(key)
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("+ %s %+v", key, box.Object))
		case fmt.Sprint(old) != fmt.Sprint(box.Object):
			lines = append(lines, fmt.Sprintf("- %s %+v", key, old), fmt.Sprintf("+ %s %+v", key, box.Object))
		}
	}
	for _, key := range change.Delete {
		if old, ok := v.object(key); ok {
			lines = append(lines, fmt.Sprintf("- %s %+v", key, old))
		}
	}
	return lines
}
