// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"text/tabwriter"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/routers/operator"
)

// table prints rows with aligned columns.
func (t *tool) table(header string, rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	return w.Flush()
}

// show prints an answer as JSON or as tables, depending on --output.
func (t *tool) show(value any, tables ...func() error) error {
	if t.output == "json" {
		return t.printJSON(value)
	}
	for _, table := range tables {
		if err := table(); err != nil {
			return err
		}
	}
	return nil
}

func (t *tool) status(ctx context.Context) error {
	s, err := get[models.Status](ctx, t.client, operator.PathStatus)
	if err != nil {
		return err
	}
	return t.show(s, func() error { return t.memberTable(s) }, func() error { return t.cellTable(s) }, func() error { return t.upstreamTable(s) })
}

func (t *tool) cells(ctx context.Context) error {
	s, err := get[models.Status](ctx, t.client, operator.PathStatus)
	if err != nil {
		return err
	}
	return t.show(s.Cells, func() error { return t.cellTable(s) })
}

func (t *tool) memberTable(s models.Status) error {
	return t.table("DAEMON\tDOMAIN\tSTATE\tREVISION\tCELLS\tWAITING\tPEERS AT", func(w *tabwriter.Writer) {
		for _, m := range s.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", m.ID, m.Domain, m.State, m.Revision, m.Cells, m.Waiting, m.PeerAddress)
		}
		fmt.Fprintln(w)
	})
}

func (t *tool) cellTable(s models.Status) error {
	return t.table("CELL\tDOMAIN\tOWNER\tEPOCH\tFREE CORES\tFREE MIB\tWAITING", func(w *tabwriter.Writer) {
		for _, c := range s.Cells {
			owner := c.Owner
			if owner == "" {
				owner = "(none)"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%d\t%d\n", c.Cell, c.Domain, owner, c.Epoch, cores(c.Free.CPU), c.Free.Memory, c.Waiting)
		}
		fmt.Fprintln(w)
	})
}

func (t *tool) upstreamTable(s models.Status) error {
	return t.table("UPSTREAM\tSTATE\tOWN\tPEERS\tSHARE\tSLOTS\tLATENCY MS", func(w *tabwriter.Writer) {
		for _, u := range s.Upstreams {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", u.VM, u.State, u.OwnInFlight, u.PeersInFlight, u.Share, u.Slots, u.Latency)
		}
	})
}

func cores(c models.MilliCPU) float64 { return float64(c) / 1000 }

func (t *tool) workers(ctx context.Context) error {
	l, err := get[models.Listing](ctx, t.client, operator.PathWorkers)
	if err != nil {
		return err
	}
	return t.show(l, func() error {
		return t.table("WORKER\tCELL\tSTATE\tTASKS\tCORES\tCOMMITTED\tUSED\tMIB\tCOMMITTED", func(w *tabwriter.Writer) {
			for _, v := range l.Workers {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\n", v.VM, v.Cell, v.State, v.Tasks,
					cores(v.Capacity.CPU), cores(v.Committed.CPU), cores(v.Usage.CPU), v.Capacity.Memory, v.Committed.Memory)
			}
		})
	}, func() error { return t.printMissing(l) })
}

// printMissing prints the cells that did not answer, with the reasons.
func (t *tool) printMissing(l models.Listing) error {
	for cell, why := range l.Missing {
		fmt.Fprintf(t.out, "not shown: cell %s: %s\n", cell, why)
	}
	return nil
}

func (t *tool) tasks(ctx context.Context) error {
	l, err := get[models.Listing](ctx, t.client, operator.PathTasks)
	if err != nil {
		return err
	}
	return t.show(l, func() error { return t.taskTable(l.Tasks) }, func() error { return t.printMissing(l) })
}

func (t *tool) taskTable(tasks []models.Task) error {
	return t.table("TASK\tKIND\tSTATE\tATTEMPT\tWORKER\tEVICTIONS\tREASON", func(w *tabwriter.Writer) {
		for _, v := range tasks {
			where := string(v.Worker)
			if v.Peer != "" {
				where = "in " + string(v.Peer)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n", v.ID, v.Kind, v.State, v.Attempt, where, v.Evictions, v.Reason)
		}
	})
}

func (t *tool) services(ctx context.Context) error {
	c, err := get[models.Configuration](ctx, t.client, operator.PathConfig)
	if err != nil {
		return err
	}
	l, err := get[models.Listing](ctx, t.client, operator.PathTasks)
	if err != nil {
		return err
	}
	running := map[models.ServiceName]int{}
	for _, task := range l.Tasks {
		if task.State == models.TaskRunning {
			running[task.Service]++
		}
	}
	return t.show(l, func() error {
		return t.table("SERVICE\tTEAM\tREPLICAS\tRUNNING\tTARGET P99 MS\tLABELS", func(w *tabwriter.Writer) {
			for _, box := range c.Objects {
				if s, ok := box.Object.(models.Service); ok {
					fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\n", s.Name, s.Team, s.Replicas, running[s.Name], s.Target, s.Labels)
				}
			}
		})
	}, func() error { return t.printMissing(l) })
}

func (t *tool) explain(ctx context.Context, task string) error {
	l, err := get[models.Listing](ctx, t.client, operator.PathExplain+"?task="+url.QueryEscape(task))
	if err != nil {
		return err
	}
	if len(l.Tasks)+len(l.Decisions)+len(l.Missing) == 0 && t.output != "json" { // a cell in Missing may hold the task
		fmt.Fprintf(t.out, "no record and no decision is kept of task %s; it ended long ago, waits as part of its job, or never was\n", task)
	}
	return t.show(l, func() error { return t.taskTable(l.Tasks) }, func() error {
		return t.table("AT\tDECISION\tWORKER\tREASON", func(w *tabwriter.Writer) {
			for _, d := range l.Decisions {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", clockTime(d.At), d.Action, d.Worker, d.Reason)
			}
		})
	}, func() error { return t.printMissing(l) })
}

func (t *tool) refusals(ctx context.Context) error {
	l, err := get[models.Refusals](ctx, t.client, operator.PathRefused)
	if err != nil {
		return err
	}
	return t.show(l, func() error {
		return t.table("AT\tREQUEST\tCLASS\tSTATUS\tOUTCOME\tWAITED MS\tREASON", func(w *tabwriter.Writer) {
			for _, r := range l.Refusals {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n", clockTime(r.At), r.ID, r.Class, r.Status, r.Outcome, r.Waited, r.Reason)
			}
		})
	})
}

func clockTime(at models.UnixMilli) string {
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}

// rawAnswer is an answer that is printed without being interpreted.
type rawAnswer struct{ json.RawMessage }

// Check implements wire.Checker; it accepts any JSON.
func (r rawAnswer) Check() error { return nil }

func (t *tool) dump(ctx context.Context) error {
	d, err := get[rawAnswer](ctx, t.client, operator.PathDump)
	if err != nil {
		return err
	}
	return t.printJSON(d.RawMessage)
}
