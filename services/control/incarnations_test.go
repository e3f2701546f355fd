// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// incarnationsPage documents for each field that holds or names a worker to which incarnation it belongs.
const incarnationsPage = "../../docs/design/incarnations.md"

// workerFolders are the packages that keep state about workers.
var workerFolders = []string{"../../models/jobs", "../platform", "../dispatch", ".", "../../platform"}

// workerType matches the types of fields that hold or name a worker.
var workerType = regexp.MustCompile(`\b(WorkerID|Incarnation|Worker)\b|\*worker\b`)

// fieldNames matches the names of fields in the first column of the table in incarnationsPage.
var fieldNames = regexp.MustCompile("`([a-zA-Z]+\\.[a-zA-Z]+\\.[a-zA-Z]+)`")

// TestEachFieldOfAWorkerIsInTheTableOfIncarnations guards against state that is kept by worker id and
// outlives the worker's incarnation because nobody considered it when the field was added.
func TestEachFieldOfAWorkerIsInTheTableOfIncarnations(t *testing.T) {
	var inCode []string
	for _, folder := range workerFolders {
		paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
		require.NoError(t, err)
		for _, path := range paths {
			if !strings.HasSuffix(path, "_test.go") {
				inCode = append(inCode, workerFields(t, path)...)
			}
		}
	}
	page, err := os.ReadFile(incarnationsPage)
	require.NoError(t, err)
	var inTable []string
	for line := range strings.Lines(string(page)) {
		first, _, _ := strings.Cut(strings.TrimPrefix(line, "|"), "|")
		for _, match := range fieldNames.FindAllStringSubmatch(first, -1) {
			inTable = append(inTable, match[1])
		}
	}
	assert.ElementsMatch(t, inCode, inTable, "fields in the code (list A) and in %s (list B)", incarnationsPage)
}

// workerFields returns the fields of a file's types that hold or name a worker, as package.Type.field.
func workerFields(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	var fields []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, field := range structure.Fields.List {
			if !workerType.MatchString(types.ExprString(field.Type)) {
				continue
			}
			for _, name := range field.Names {
				fields = append(fields, file.Name.Name+"."+spec.Name.Name+"."+name.Name)
			}
		}
		return true
	})
	return fields
}
