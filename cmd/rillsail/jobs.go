// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/routers/operator"
)

func (t *tool) jobsCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "jobs", ShortUsage: "rillsail jobs [list|submit|cancel]", ShortHelp: "batch jobs",
		Subcommands: []*ffcli.Command{
			t.noArgCommand("list", "list the jobs of all cells", t.listJobs),
			t.fileCommand("submit", "submit jobs; each id is accepted only once", t.submit),
			{
				Name: "cancel", ShortUsage: "rillsail jobs cancel <job> ...", ShortHelp: "cancel jobs",
				Exec: t.cancel,
			},
		},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return flag.ErrHelp
			}
			return t.listJobs(ctx)
		},
	}
}

func (t *tool) listJobs(ctx context.Context) error {
	l, err := get[models.Listing](ctx, t.client, operator.PathJobs)
	if err != nil {
		return err
	}
	return t.show(l, func() error { return t.jobTable(l.Jobs) }, func() error { return t.printMissing(l) })
}

func (t *tool) jobTable(jobs []models.Job) error {
	return t.table("JOB\tTEAM\tSTATE\tTASKS\tSTARTED\tSUCCEEDED\tFAILED\tMAY HAVE RUN\tSTOPPED\tEVICTIONS\tREASON", func(w *tabwriter.Writer) {
		for _, j := range jobs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
				j.ID, j.Team, j.State, j.Tasks, j.NextIndex, j.Succeeded, j.Failed, j.MayHaveRun, j.Stopped, j.Evictions, j.Reason)
		}
	})
}

func (t *tool) submit(ctx context.Context, file string) error {
	submission, err := readFile[models.Submission](file)
	if err != nil {
		return err
	}
	results, err := post[models.JobResults](ctx, t.client, operator.PathJobs, submission)
	return t.showResults(results, err)
}

func (t *tool) cancel(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return usageError{errors.New("cancel needs at least one job")}
	}
	var cancellation models.Cancellation
	for _, id := range args {
		cancellation.Jobs = append(cancellation.Jobs, models.JobID(id))
	}
	results, err := post[models.JobResults](ctx, t.client, operator.PathCancel, cancellation)
	return t.showResults(results, err)
}

// showResults prints the result of each job. One refused job makes the call a failure, and one job
// whose outcome is unknown makes the outcome of the call unknown.
func (t *tool) showResults(results models.JobResults, err error) error {
	if err != nil {
		return err
	}
	var jobs []models.Job
	var failed jobErrors
	for _, r := range results.Results {
		if r.Job != nil {
			jobs = append(jobs, *r.Job)
			continue
		}
		failed = append(failed, t.jobError(r))
	}
	if err := t.show(results, func() error { return t.jobTable(jobs) }); err != nil {
		return err
	}
	if len(failed) == 0 {
		return nil
	}
	return failed
}

// jobError describes a job that the daemon did not accept or cancel. Only the outcome "not run" from the
// daemon itself means that nothing was done; otherwise the outcome is unknown.
func (t *tool) jobError(r models.JobResult) *callError {
	e := &callError{daemon: t.client.daemon, cause: fmt.Errorf("job %s: %s", r.ID, r.Error), advice: "the other jobs are not affected", status: exitUnknown}
	if r.Outcome == models.RequestNotRun {
		e.status = exitFailed
	}
	return e
}

// jobErrors are the errors of the jobs of one call that were not accepted or cancelled.
type jobErrors []*callError

// Error returns one line for each job.
func (e jobErrors) Error() string {
	lines := make([]string, len(e))
	for i, job := range e {
		lines[i] = job.Error()
	}
	return strings.Join(lines, "\n")
}

// status returns the exit status of the call: unknown if the outcome of any job is unknown.
func (e jobErrors) status() int {
	if slices.ContainsFunc(e, func(job *callError) bool { return job.status == exitUnknown }) {
		return exitUnknown
	}
	return exitFailed
}
