// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package peerrpc contains the clients and servers of the calls between daemons, generated from peer.proto, and
// packs the bodies of these calls.
//
// # Usage
//
//	body, err := peerrpc.Pack(heartbeat)
//	data, err := peerrpc.Unpack(envelope.Body)
package peerrpc

import "rillsail.example/rillsail/modules/pack"

// dictionary is the compression dictionary of bodies. It contains the JSON text that most heartbeats have in common.
// All daemons must use the same dictionary, because a body can be inflated only with the dictionary that deflated it.
const dictionary = `{"member":{"id":"entry-","incarnation":"","domain":"","peer_address":"10.0.0."},` +
	`"uptime_ms":,"revision":,"cells":{"cell-rack-":{"epoch":,"free":{"cpu_milli":,"memory_mib":},` +
	`"room":{"cpu_milli":,"memory_mib":},"teams":{"":{"cpu_milli":,"memory_mib":}},"waiting":0},` +
	`"load":{"upstream-":100,"upstream-":200},"waiting":,"leaving_vms":["upstream-"]}`

const (
	minDeflate  = 128      // size of a body's JSON in bytes from which it is deflated
	maxInflated = 64 << 20 // maximum size of an inflated body in bytes
)

var packer = pack.New(pack.Config{Dictionary: dictionary, MinDeflate: minDeflate, MaxInflated: maxInflated})

// Pack encodes a value of a domain type as the body of a call.
func Pack(value any) ([]byte, error) { return packer.Pack(value) }

// Unpack returns the JSON in the body of a call.
func Unpack(body []byte) ([]byte, error) { return packer.Unpack(body) }
