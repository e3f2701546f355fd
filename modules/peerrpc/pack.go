// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package peerrpc holds the calls between daemons, generated from peer.proto, and
// packs the bodies that they carry.
//
// # Usage
//
//	body, err := peerrpc.Pack(heartbeat)
//	data, err := peerrpc.Unpack(envelope.Body)
package peerrpc

import "rillsail.example/rillsail/modules/pack"

// dictionary holds what heartbeats are mostly made of. All daemons must have the
// same.
const dictionary = `{"member":{"id":"entry-","incarnation":"","domain":"","peer_address":"10.0.0."},` +
	`"uptime_ms":,"revision":,"cells":{"cell-rack-":{"epoch":,"free":{"cpu_milli":,"memory_mib":},` +
	`"room":{"cpu_milli":,"memory_mib":},"teams":{"":{"cpu_milli":,"memory_mib":}},"waiting":0},` +
	`"load":{"upstream-":100,"upstream-":200},"waiting":,"leaving_vms":["upstream-"]}`

const (
	deflateFrom = 128      // bytes
	maxBody     = 64 << 20 // bytes that a body may inflate to
)

var packer = pack.New(pack.Config{Dictionary: dictionary, MinDeflate: deflateFrom, MaxInflated: maxBody})

// Pack encodes a domain type as the body of a call.
func Pack(value any) ([]byte, error) { return packer.Pack(value) }

// Unpack gives the JSON of a call's body.
func Unpack(body []byte) ([]byte, error) { return packer.Unpack(body) }
