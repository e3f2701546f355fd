// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package config

import (
	"fmt"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/selector"
)

// contradictions returns the problems that make a configuration unusable.
func contradictions(view *View) []string {
	var problems []string
	for i, a := range view.Rules {
		for _, b := range view.Rules[i+1:] {
			if rulesContradict(a, b) {
				problems = append(problems, fmt.Sprintf("rules %s and %s contradict: %q shall both share with and stay apart from %q",
					a.Name, b.Name, a.Selector, a.With))
			}
		}
	}
	for _, service := range view.Services {
		if _, ok := view.Teams[service.Team]; !ok {
			problems = append(problems, fmt.Sprintf("service %s belongs to team %s, which is not in the configuration", service.Name, service.Team))
		}
	}
	return problems
}

func rulesContradict(a, b models.Rule) bool {
	if a.Kind == b.Kind || a.Kind == models.RuleYield || b.Kind == models.RuleYield {
		return false
	}
	same := a.Selector == b.Selector && a.With == b.With
	mirrored := a.Selector == b.With && a.With == b.Selector
	return same || mirrored
}

// warnings returns the problems that operators should know of but that do not reject a change, because a later change
// of jobs or VMs may resolve them.
func (s *Service) warnings(view *View) []string {
	var warnings []string
	vms := s.config.VMs().VMs
	selectors := selector.New()
	for _, rule := range view.Rules {
		for _, text := range []string{rule.Selector, rule.With} {
			if text != "" && !matchesAnyService(view, selectors, text) {
				warnings = append(warnings, fmt.Sprintf("rule %s: %q selects no service now; it may select jobs", rule.Name, text))
			}
		}
	}
	for _, class := range view.Classes {
		if class.Upstreams != "" && !matchesAnyUpstream(view, selectors, class.Upstreams, vms) {
			warnings = append(warnings, fmt.Sprintf("class %s: %q selects no upstream now; its requests would be refused", class.Name, class.Upstreams))
		}
	}
	for _, service := range view.Services {
		if len(vms) > 0 && !fitsAnyWorker(service.Size, vms) {
			warnings = append(warnings, fmt.Sprintf("service %s: no worker can hold %+v; its replicas will wait", service.Name, service.Size))
		}
	}
	return warnings
}

func matchesAnyService(view *View, selectors *selector.Set, text string) bool {
	for _, service := range view.Services {
		if selectors.Matches(text, service.Labels) {
			return true
		}
	}
	return false
}

func matchesAnyUpstream(view *View, selectors *selector.Set, text string, vms []models.VM) bool {
	for _, vm := range vms {
		if vm.Kind == models.KindUpstream && selectors.Matches(text, view.LabelsOf(vm)) {
			return true
		}
	}
	return false
}

func fitsAnyWorker(size models.Resources, vms []models.VM) bool {
	for _, vm := range vms {
		if vm.Kind == models.KindWorker && size.Fits(vm.Capacity) {
			return true
		}
	}
	return false
}
