// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package integration

import (
	"context"
	"net/http"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/routers/operator"
)

// call makes a call to a daemon's operators' listener.
func call[T wire.Checker](d *daemonProcess, method, path string, body any) (T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return wire.Do[T](ctx, wire.Call{
		Client: http.DefaultClient, Method: method, URL: "http://" + d.operator + path, Token: operatorToken, Limit: maxAnswerSize,
	}, body)
}

// statusOf returns the status that a daemon reports.
func statusOf(d *daemonProcess) (models.Status, error) {
	return call[models.Status](d, http.MethodGet, operator.PathStatus, nil)
}

// revisionAt returns the revision of the configuration that a daemon has, or 0 if the daemon does not answer.
func revisionAt(d *daemonProcess) models.Revision {
	s, err := statusOf(d)
	if err != nil {
		return 0
	}
	return s.Revision
}

// apply changes the configuration to contain the objects.
func (c *cluster) apply(d *daemonProcess, objects ...models.Object) models.ConfigResult {
	c.t.Helper()
	var change models.ConfigChange
	for _, o := range objects {
		change.Put = append(change.Put, models.ObjectBox{Object: o})
	}
	result, err := call[models.ConfigResult](d, http.MethodPost, operator.PathConfig, change)
	require.NoError(c.t, err)
	return result
}

// submit submits a job repeatedly until it is accepted.
func (c *cluster) submit(d *daemonProcess, job models.JobSpec) {
	c.t.Helper()
	var results models.JobResults
	var err error
	defer func() {
		if c.t.Failed() {
			c.t.Logf("%+v %v", results, err)
		}
	}()
	eventually(c.t, "job "+string(job.ID)+" is accepted", func() bool {
		results, err = call[models.JobResults](d, http.MethodPost, operator.PathJobs, models.Submission{Jobs: []models.JobSpec{job}})
		return err == nil && len(results.Results) == 1 && results.Results[0].Job != nil
	})
}

// job returns a job as a daemon knows it, or an empty job if the daemon does not know it.
func (c *cluster) job(d *daemonProcess, id models.JobID) models.Job {
	l, err := call[models.Listing](d, http.MethodGet, operator.PathJobs, nil)
	if err != nil {
		return models.Job{}
	}
	for _, job := range l.Jobs {
		if job.ID == id {
			return job
		}
	}
	return models.Job{}
}

// waitEnded waits until a job has ended and returns it.
func (c *cluster) waitEnded(d *daemonProcess, id models.JobID) models.Job {
	c.t.Helper()
	var job models.Job
	defer func() {
		if c.t.Failed() {
			c.logState(d, job)
		}
	}()
	eventually(c.t, "job "+string(id)+" ends", func() bool {
		job = c.job(d, id)
		return job.EndedAt != 0
	})
	return job
}

// logState logs what the daemons know about tasks and workers after a wait has failed.
func (c *cluster) logState(d *daemonProcess, job models.Job) {
	l, err := call[models.Listing](d, http.MethodGet, operator.PathTasks, nil)
	c.t.Logf("job %+v\nmissing %v, %v", job, l.Missing, err)
	for _, t := range l.Tasks {
		c.t.Logf("%s %s attempt %d on %s home %q peer %q cancelled %v: %s", t.ID, t.State, t.Attempt, t.Worker, t.Home, t.Peer, t.Cancelled, t.Reason)
	}
	w, _ := call[models.Listing](d, http.MethodGet, operator.PathWorkers, nil)
	for _, v := range w.Workers {
		c.t.Logf("%s %s in %s: %d tasks, committed %+v of %+v", v.VM, v.State, v.Cell, v.Tasks, v.Committed, v.Capacity)
	}
}

// runningReplicas returns how many replicas of a service run according to the daemons.
func (c *cluster) runningReplicas(d *daemonProcess, service models.ServiceName) int {
	l, err := call[models.Listing](d, http.MethodGet, operator.PathTasks, nil)
	if err != nil {
		return 0
	}
	n := 0
	for _, t := range l.Tasks {
		if t.Service == service && t.State == models.TaskRunning {
			n++
		}
	}
	return n
}
