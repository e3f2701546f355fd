// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package place

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/modules/selector"
)

// ruleCase is one case of testdata/rules.json.
type ruleCase struct {
	Name  string
	Rules []models.Rule
	A, B  map[string]string
	Apart bool
}

// TestRules checks for each case whether two tasks may share a VM under its rules, in both directions.
func TestRules(t *testing.T) {
	for _, c := range casefile.Read[[]ruleCase](t, "testdata/rules.json") {
		for _, rule := range c.Rules {
			require.NoError(t, rule.Check(), c.Name)
		}
		selectors := selector.New()
		assert.Equal(t, c.Apart, ViolatedRule(c.Rules, selectors, c.A, c.B) != "", c.Name)
		assert.Equal(t, c.Apart, ViolatedRule(c.Rules, selectors, c.B, c.A) != "", "%s, the other way round", c.Name)
	}
}

// TestReasons checks the reasons given for a task that fits no worker.
func TestReasons(t *testing.T) {
	size := models.Resources{CPU: 2000, Memory: 10}
	vm := models.VM{ID: "w", Capacity: models.Resources{CPU: 4000, Memory: 100}}
	task := models.Task{ID: "t", Kind: models.TaskBatch, Size: size}
	request := Request{Task: task, Selectors: selector.New(), Policy: FirstFit{}}
	assert.Equal(t, "the cell has no workers", Choose(request).Reason)
	request.Workers = []Worker{{VM: vm, Free: models.Resources{CPU: 1000, Memory: 100}, Usable: true}}
	assert.Equal(t, "no room (1 workers)", Choose(request).Reason)
	assert.False(t, Choose(request).NeverFits)
	request.Workers[0].Usable, request.Workers[0].UnusableReason = false, "VM is drained"
	assert.Equal(t, "VM is drained (1 workers)", Choose(request).Reason)
	request.Task.Size.CPU = 5000
	assert.True(t, Choose(request).NeverFits)
}
