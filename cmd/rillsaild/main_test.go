// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package main

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"gopkg.in/ini.v1"

	"rillsail.example/rillsail/modules/setting"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rillsaild": main})
}

// TestScripts runs the daemon with the valid and invalid settings of testdata/script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

// TestExampleListsEveryKey checks that app.example.ini and the settings have the same keys.
func TestExampleListsEveryKey(t *testing.T) {
	data, err := os.ReadFile("../../app.example.ini")
	require.NoError(t, err)
	text := regexp.MustCompile(`(?m)^;(\w)`).ReplaceAllString(string(data), "$1") // includes keys that are commented out
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: true}, []byte(text))
	require.NoError(t, err)
	known := map[string]bool{}
	for _, key := range setting.Keys() {
		known[key] = true
		section, name, _ := strings.Cut(key, ".")
		assert.True(t, file.Section(section).HasKey(name), "key %s is missing in app.example.ini", key)
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			assert.True(t, known[section.Name()+"."+key.Name()], "[%s] %s in app.example.ini is not a known key", section.Name(), key.Name())
		}
	}
}
