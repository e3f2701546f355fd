// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/casefile"
)

// steadyTimeFuncs are the functions of package time whose clock stops while the VM is suspended.
var steadyTimeFuncs = map[string]bool{"Now": true, "Since": true, "Until": true}

// TestLeasesAreJudgedByTheClock checks that this package and package dispatch take the time from the clock
// that includes suspensions of the VM, except for the uses that testdata/clock_uses.json lists with reasons.
func TestLeasesAreJudgedByTheClock(t *testing.T) {
	allowed := casefile.Read[map[string]string](t, "testdata/clock_uses.json")
	found := map[string]bool{}
	for _, pattern := range []string{"*.go", "../dispatch/*.go"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				collectSteadyUses(t, file, found)
			}
		}
	}
	for use := range found {
		assert.NotEmpty(t, allowed[use], "%s reads a clock that stops while the VM is suspended", use)
	}
	for use := range allowed {
		assert.True(t, found[use], "%s is listed in clock_uses.json but does not exist", use)
	}
}

// collectSteadyUses adds the functions of a file that use steadyTimeFuncs to found, as "FILE FUNCTION".
func collectSteadyUses(t *testing.T, file string, found map[string]bool) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	require.NoError(t, err)
	for _, declaration := range parsed.Decls {
		name := "declaration"
		if function, ok := declaration.(*ast.FuncDecl); ok {
			name = function.Name.Name
		}
		ast.Inspect(declaration, func(node ast.Node) bool {
			selector, ok := node.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "time" && steadyTimeFuncs[selector.Sel.Name] {
				found[filepath.Base(file)+" "+name] = true
			}
			return true
		})
	}
}
