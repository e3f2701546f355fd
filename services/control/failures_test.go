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

// failureLogs holds the paths of the files with the scripts that failed in this process, by test name.
var failureLogs = map[string]string{}

// saveFailure writes a failed script and its whole log to a file outside the repository, because the output of a test
// is truncated, and returns the path. While a random test shrinks its script, the first failure is kept as it was
// drawn, and the latest one is written beside it.
func saveFailure(t *testing.T, script any, failure, log string) string {
	data, err := json.MarshalIndent(script, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	path, saved := failureLogs[t.Name()]
	if !saved {
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
