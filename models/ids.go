// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package models holds the domain types of rillsail and their stored and transmitted form. It does not import
// packages of services/.
//
// # Usage
//
// Every type that crosses a process boundary has JSON tags and a Check method. modules/wire calls Check after
// decoding, so every decoded value that reaches a service is valid:
//
//	job, err := wire.Decode[models.Job](body, limit)
//
// The state machine of a task is the pure function Step in task_step.go: from a task and an event it returns
// the task's next record and the actions that the owner of the task's cell has to take. The state of a cell
// is CellState; the journal stores it as changes (CellChange) and applies them with CellState.Apply.
package models

import "time"

// MemberID identifies a daemon. It is set in that daemon's settings.
type MemberID string

// VMID is the ID of a VM in the platform's VM list.
type VMID string

// CellID identifies a cell: one or more racks of a failure domain that have one owner.
type CellID string

// RackID is the ID of a rack in the platform's VM list.
type RackID string

// FailureDomain identifies a failure domain as "region/domain".
type FailureDomain string

// TaskID identifies a task. It is never reused: a new generation of a replica gets a new ID.
type TaskID string

// JobID identifies a job. The operator who submits the job chooses it.
type JobID string

// ServiceName identifies a service of the configuration.
type ServiceName string

// TeamName identifies a team of the configuration.
type TeamName string

// ClassName identifies a request class of the configuration.
type ClassName string

// Epoch numbers the owners of a cell: each takeover increments it.
type Epoch uint64

// Sequence numbers the entries of a cell's journal.
type Sequence uint64

// Revision numbers the accepted configurations, from 1.
type Revision uint64

// Attempt numbers the starts of one task, from 1.
type Attempt uint32

// Incarnation identifies one run of a process. It differs after each restart of the process on the same VM.
type Incarnation string

// Milli is a duration in milliseconds, the form in which durations are stored and sent.
type Milli int64

// Duration converts m to a time.Duration.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MilliOf converts d to milliseconds and truncates fractions.
func MilliOf(d time.Duration) Milli { return Milli(d / time.Millisecond) }

// UnixMilli is a wall-clock time in milliseconds since 1970. It is only displayed
// and used to compute ages; no decision compares the clocks of two VMs.
type UnixMilli int64

// UnixMilliOf converts t to a UnixMilli.
func UnixMilliOf(t time.Time) UnixMilli { return UnixMilli(t.UnixMilli()) }

// Time converts t to a time.Time.
func (t UnixMilli) Time() time.Time { return time.UnixMilli(int64(t)) }
