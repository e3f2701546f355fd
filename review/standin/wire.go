// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireData []byte

// wire holds the names of the platform's protocol by what they mean. Go code outside the adapter does not contain them.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireData, &names); err != nil {
		panic(err)
	}
	return names
}()

// UnmarshalJSON decodes a call; absent fields are zero.
func (c *workerCall) UnmarshalJSON(data []byte) error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, target := range map[string]any{
		"task": &c.Task, wire["run"]: &c.Run, "deadline_ms": &c.Until, wire["fence"]: &c.Fence, wire["seen"]: &c.Seen, "wait_ms": &c.WaitMS,
	} {
		if value, ok := fields[name]; ok {
			if err := json.Unmarshal(value, target); err != nil {
				return err
			}
		}
	}
	return nil
}
