// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package models holds the domain types of rillsail and the form in which they
// are stored and sent. It imports no service.
//
// # Usage
//
// Every type that crosses a process boundary carries its JSON tags here and a
// Check method; modules/wire calls Check after each decoding, so a value that
// reached a service is known to be well formed:
//
//	job, err := wire.Decode[models.Job](body, limit)
//
// The life of a task is the pure function Step in task_step.go: given a task and
// an event it returns the next task and the actions its owner has to take. The
// state of a cell is CellState; the journal stores it as changes (CellChange)
// and applies them with CellState.Apply.
package models

import "time"

// MemberID names one daemon; it is written in that daemon's settings.
type MemberID string

// VMID names a VM as the platform's list does.
type VMID string

// CellID names a cell: one or more racks of a failure domain under one owner.
type CellID string

// RackID names a rack as the platform's list does.
type RackID string

// FailureDomain names a failure domain, "region/domain".
type FailureDomain string

// TaskID names a task for ever; a new replica has a new id.
type TaskID string

// JobID names a job; it is chosen by the operator who submits it.
type JobID string

// ServiceName names a service of the configuration.
type ServiceName string

// TeamName names a team of the configuration.
type TeamName string

// ClassName names a request class of the configuration.
type ClassName string

// Epoch counts the owners a cell has had; each takeover adds one.
type Epoch uint64

// Sequence numbers the entries of one cell's journal.
type Sequence uint64

// Revision numbers the configurations accepted so far.
type Revision uint64

// Attempt numbers the starts of one task, from 1.
type Attempt uint32

// Incarnation tells one run of a process from the next on the same VM.
type Incarnation string

// Milli is a duration in milliseconds, as it is stored and sent.
type Milli int64

// Duration converts m for use with package time.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MilliOf converts d, rounding down.
func MilliOf(d time.Duration) Milli { return Milli(d / time.Millisecond) }

// UnixMilli is a wall-clock time in milliseconds since 1970. It is only shown and
// used for age; no decision compares the clocks of two VMs.
type UnixMilli int64

// UnixMilliOf converts t.
func UnixMilliOf(t time.Time) UnixMilli { return UnixMilli(t.UnixMilli()) }

// Time is the time it counts.
func (t UnixMilli) Time() time.Time { return time.UnixMilli(int64(t)) }
