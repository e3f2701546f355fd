// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/wire"
)

const (
	showTimeout   = 60 * time.Second
	pollInterval  = 200 * time.Millisecond
	maxAnswerSize = 16 << 20
)

// show runs the demonstration and prints each step.
func show(ctx context.Context, out io.Writer, r *Endpoints) error {
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	op := operatorClient{address: r.Operator}
	fmt.Fprintln(out, "waiting until every cell has an owner ...")
	if err := op.waitUntil(ctx, func() (bool, error) {
		status, err := ask[models.Status](ctx, op, http.MethodGet, "/v1/status", nil)
		return err == nil && len(status.Cells) > 0 && allOwned(status) && len(status.Upstreams) > 0, nil
	}); err != nil {
		return errors.Wrap(err, "wait for owners")
	}
	result, err := ask[models.ConfigResult](ctx, op, http.MethodPost, "/v1/config", demoConfig())
	if err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	fmt.Fprintf(out, "configuration: revision %d accepted\n", result.Revision)
	if err := showRequest(ctx, out, r); err != nil {
		return err
	}
	return showTasks(ctx, out, op, r)
}

func allOwned(status models.Status) bool {
	for _, cell := range status.Cells {
		if cell.Owner == "" {
			return false
		}
	}
	return true
}

func demoConfig() models.ConfigChange {
	box := func(o models.Object) models.ObjectBox { return models.ObjectBox{Object: o} }
	return models.ConfigChange{Put: []models.ObjectBox{
		box(models.Team{Name: "fleet-office", Quota: models.Resources{CPU: 64_000}}),
		box(models.Service{
			Name: "quotes", Team: "fleet-office", Labels: map[string]string{"app": "quotes"}, Replicas: 3,
			Size: models.Resources{CPU: 2000, Memory: 2048}, Target: 100,
		}),
		box(models.Class{Name: "quote", Selector: "app=quote", Priority: models.PriorityOrdinary, Deadline: 2000}),
		box(models.Class{Name: "contract", Selector: "app=contract", Priority: models.PriorityDeferred, Unrepeatable: true, Floor: 10}),
		box(models.Rule{Name: "reports-yield", Kind: models.RuleYield, Selector: "app=report", Order: 1}),
	}}
}

func showRequest(ctx context.Context, out io.Writer, r *Endpoints) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Caller+"/quote", strings.NewReader("one car"))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set(models.HeaderLabels, "app=quote")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	fmt.Fprintf(out, "request: %s, %q\n", response.Status, body)
	return nil
}

func showTasks(ctx context.Context, out io.Writer, op operatorClient, r *Endpoints) error {
	job := models.JobSpec{
		ID: "nightly-1", Team: "fleet-office", Labels: map[string]string{"app": "report"}, Tasks: 6,
		Size: models.Resources{CPU: 1000, Memory: 512}, Work: 2000,
	}
	if err := submit(ctx, out, op, job); err != nil {
		return err
	}
	r.Task = models.JobTaskID(job.ID, 0)
	var done models.Job
	err := op.waitUntil(ctx, func() (bool, error) {
		listing, err := ask[models.Listing](ctx, op, http.MethodGet, "/v1/jobs", nil)
		if err == nil && len(listing.Jobs) == 1 {
			done = listing.Jobs[0]
		}
		return done.State == models.JobDone, nil
	})
	if err != nil {
		return errors.Wrap(err, "wait for the job")
	}
	fmt.Fprintf(out, "job %s: %s, %d of %d tasks succeeded\n", done.ID, done.State, done.Succeeded, done.Tasks)
	return op.waitUntil(ctx, func() (bool, error) {
		tasks, err := ask[models.Listing](ctx, op, http.MethodGet, "/v1/tasks", nil)
		running := runningReplicas(tasks)
		if err != nil || len(running) < 3 {
			return false, nil
		}
		for _, t := range running {
			fmt.Fprintf(out, "service replica %s: %s on %s\n", t.ID, t.State, t.Worker)
		}
		return true, nil
	})
}

// submit sends the job until it is accepted. Repeating the call is safe whatever the answer was, because a job's id is
// accepted only once.
func submit(ctx context.Context, out io.Writer, op operatorClient, job models.JobSpec) error {
	return op.waitUntil(ctx, func() (bool, error) {
		results, err := ask[models.JobResults](ctx, op, http.MethodPost, "/v1/jobs", models.Submission{Jobs: []models.JobSpec{job}})
		if err != nil || len(results.Results) != 1 {
			return false, errors.Wrap(err, "submit job")
		}
		if results.Results[0].Job == nil {
			fmt.Fprintf(out, "job %s: %s\n", job.ID, results.Results[0].Error)
			return false, nil
		}
		fmt.Fprintf(out, "job %s: accepted\n", job.ID)
		return true, nil
	})
}

func runningReplicas(listing models.Listing) []models.Task {
	var running []models.Task
	for _, t := range listing.Tasks {
		if t.Kind == models.TaskService && t.State == models.TaskRunning {
			running = append(running, t)
		}
	}
	return running
}

// operatorClient calls the operators' interface of a daemon.
type operatorClient struct{ address string }

func ask[T wire.Checker](ctx context.Context, op operatorClient, method, path string, body any) (T, error) {
	return wire.Do[T](ctx, wire.Call{
		Client: http.DefaultClient, Method: method, URL: "http://" + op.address + path, Token: operatorToken, Limit: maxAnswerSize,
	}, body)
}

// waitUntil polls done until it returns true or an error, or the context ends.
func (op operatorClient) waitUntil(ctx context.Context, done func() (bool, error)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
