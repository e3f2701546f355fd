// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/routers/operator"
)

func (t *tool) configCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "rillsail config <get|apply|diff|delete>", ShortHelp: "the configuration in force",
		Subcommands: []*ffcli.Command{
			t.noArgCommand("get", "print the configuration in force", t.getConfig),
			t.fileCommand("apply", "apply a change", func(ctx context.Context, file string) error { return t.applyFile(ctx, file, false) }),
			t.fileCommand("diff", "show what a change would do, without applying it", func(ctx context.Context, file string) error { return t.applyFile(ctx, file, true) }),
			t.oneArgCommand("delete", "<kind/[team/]name>", "delete one object", t.deleteObject),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// fileCommand returns a subcommand that reads the file given by -f.
func (t *tool) fileCommand(name, help string, do func(context.Context, string) error) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	file := flags.String("f", "-", "file in JSON; - reads standard input")
	return &ffcli.Command{
		Name: name, ShortUsage: "rillsail ... " + name + " -f FILE", ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error { return do(ctx, *file) },
	}
}

func (t *tool) getConfig(ctx context.Context) error {
	c, err := get[models.Configuration](ctx, t.client, operator.PathConfig)
	if err != nil {
		return err
	}
	return t.show(c, func() error {
		fmt.Fprintf(t.out, "revision %d\n", c.Revision)
		return t.table("OBJECT\tCHANGED AT\tSPEC", func(w *tabwriter.Writer) {
			for _, box := range c.Objects {
				fmt.Fprintf(w, "%s\t%d\t%+v\n", box.Object.Key(), box.Changed, box.Object)
			}
		})
	})
}

func (t *tool) applyFile(ctx context.Context, file string, dryRun bool) error {
	change, err := readFile[models.ConfigChange](file)
	if err != nil {
		return err
	}
	change.DryRun = change.DryRun || dryRun
	return t.apply(ctx, change)
}

func (t *tool) apply(ctx context.Context, change models.ConfigChange) error {
	result, err := post[models.ConfigResult](ctx, t.client, operator.PathConfig, change)
	if err != nil {
		return err
	}
	return t.show(result, func() error {
		for _, line := range result.Diff {
			fmt.Fprintln(t.out, line)
		}
		for _, warning := range result.Warnings {
			fmt.Fprintln(t.out, "warning:", warning)
		}
		if change.DryRun {
			fmt.Fprintf(t.out, "nothing was changed; revision %d is in force\n", result.Revision)
		} else {
			fmt.Fprintf(t.out, "revision %d accepted\n", result.Revision)
		}
		return nil
	})
}

func (t *tool) deleteObject(ctx context.Context, name string) error {
	key, err := parseKey(name)
	if err != nil {
		return err
	}
	return t.apply(ctx, models.ConfigChange{Delete: []models.ObjectKey{key}})
}

// parseKey parses "kind/name" or "kind/team/name".
func parseKey(name string) (models.ObjectKey, error) {
	parts := strings.Split(name, "/")
	switch len(parts) {
	case 2:
		return models.ObjectKey{Kind: models.ObjectKind(parts[0]), Name: parts[1]}, nil
	case 3:
		return models.ObjectKey{Kind: models.ObjectKind(parts[0]), Team: models.TeamName(parts[1]), Name: parts[2]}, nil
	default:
		return models.ObjectKey{}, usageError{fmt.Errorf("%q is not kind/name or kind/team/name", name)}
	}
}

func (t *tool) labelCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "label", ShortUsage: "rillsail label <service/team/name|vm/name> key=value ... key-",
		ShortHelp: "change single labels of a service or VM",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) < 2 {
				return usageError{fmt.Errorf("label needs an object and at least one key=value or key-")}
			}
			key, err := parseKey(args[0])
			if err != nil {
				return err
			}
			return t.label(ctx, key, args[1:])
		},
	}
}

// label changes labels of one object of the configuration in force. It bases the change on the revision
// that it has read, so that a concurrent change of the object is reported as a conflict.
func (t *tool) label(ctx context.Context, key models.ObjectKey, changes []string) error {
	c, err := get[models.Configuration](ctx, t.client, operator.PathConfig)
	if err != nil {
		return err
	}
	object := findObject(c, key)
	switch o := object.(type) {
	case models.Service:
		o.Labels, err = applyLabelChanges(o.Labels, changes)
		object = o
	case models.VMLabels:
		o.Labels, err = applyLabelChanges(o.Labels, changes)
		object = o
	default:
		return usageError{fmt.Errorf("%s is no service or vm in revision %d", key, c.Revision)}
	}
	if err != nil {
		return err
	}
	return t.apply(ctx, models.ConfigChange{Put: []models.ObjectBox{{Object: object}}, Base: c.Revision})
}

func findObject(c models.Configuration, key models.ObjectKey) models.Object {
	for _, box := range c.Objects {
		if box.Object.Key() == key {
			return box.Object
		}
	}
	if key.Kind == models.ObjectVM {
		return models.VMLabels{VM: models.VMID(key.Name)}
	}
	return nil
}

func applyLabelChanges(labels map[string]string, changes []string) (map[string]string, error) {
	labels = maps.Clone(labels)
	if labels == nil {
		labels = map[string]string{}
	}
	for _, change := range changes {
		if key, value, ok := strings.Cut(change, "="); ok && key != "" {
			labels[key] = value
			continue
		}
		key, ok := strings.CutSuffix(change, "-")
		if !ok || key == "" {
			return nil, usageError{fmt.Errorf("%q is neither key=value nor key-", change)}
		}
		delete(labels, key)
	}
	return labels, nil
}

func (t *tool) drain(ctx context.Context, vm string) error {
	return t.label(ctx, models.ObjectKey{Kind: models.ObjectVM, Name: vm}, []string{models.LabelDrain + "=true"})
}

func (t *tool) undrain(ctx context.Context, vm string) error {
	return t.label(ctx, models.ObjectKey{Kind: models.ObjectVM, Name: vm}, []string{models.LabelDrain + "-"})
}
