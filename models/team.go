// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import (
	"maps"

	"github.com/cockroachdb/errors"
)

// Team is the owner of services and jobs, which may use resources up to a quota.
type Team struct {
	Name  TeamName    `json:"name"`
	Quota Resources   `json:"quota"`         // a resource with amount 0 is not limited
	Jobs  JobDefaults `json:"jobs,omitzero"` // defaults for the team's jobs
}

func (Team) object() {}

// Key implements Object.
func (o Team) Key() ObjectKey { return ObjectKey{Kind: ObjectTeam, Name: string(o.Name)} }

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

// JobDefaults are the values that a team's jobs get for fields that they don't set.
type JobDefaults struct {
	Labels map[string]string `json:"labels,omitempty"` // merged with the job's own labels, which take precedence
	Size   Resources         `json:"size,omitzero"`
	Work   Milli             `json:"work_ms,omitempty"`
}

// Check rejects amounts and labels that are out of range.
func (d JobDefaults) Check() error {
	if d.Work < 0 {
		return errors.Newf("work_ms %d is negative", d.Work)
	}
	if err := checkLabels(d.Labels); err != nil {
		return err
	}
	return d.Size.Check()
}

// ApplyTo returns the job with the defaults filled in for the fields that it doesn't set.
func (d JobDefaults) ApplyTo(job JobSpec) JobSpec {
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
