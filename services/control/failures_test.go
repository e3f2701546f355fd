// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// failureLogs are the files of the scripts that have failed in this process, by test.
var failureLogs = map[string]string{}

// saveFailure writes a script that has failed and its whole log to a file of its own outside the
// repository, for what a test prints is cut, and tells where. While a random test makes its script
// smaller, the first failure stays, as it was drawn, and the latest one beside it.
func saveFailure(t *testing.T, script any, failure, log string) string {
	data, err := json.MarshalIndent(script, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	path, known := failureLogs[t.Name()]
	if !known {
		name := strings.NewReplacer("/", "-", " ", "-").Replace(t.Name())
		dir, err := os.MkdirTemp("", "rillsail-"+name+"-")
		if err != nil {
			t.Fatal(err)
		}
		path = filepath.Join(dir, "first.log")
		failureLogs[t.Name()] = path
	} else {
		path = filepath.Join(filepath.Dir(path), "latest.log")
	}
	if err := os.WriteFile(path, fmt.Appendf(nil, "%s\n%s\n%s", data, failure, log), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
