// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "github.com/cockroachdb/errors"

// Service is a service that is kept running with the configured number of replicas.
type Service struct {
	Name     ServiceName       `json:"name"`
	Team     TeamName          `json:"team"`
	Labels   map[string]string `json:"labels,omitempty"`
	Replicas int               `json:"replicas"`
	Size     Resources         `json:"size"`
	// Target is the upper limit for the service's p99 latency; 0 means no limit.
	Target Milli `json:"target_p99_ms"`
}

func (Service) object() {}

// Key implements Object.
func (o Service) Key() ObjectKey {
	return ObjectKey{Kind: ObjectService, Team: o.Team, Name: string(o.Name)}
}

// MaxReplicas bounds the number of replicas of a service.
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
