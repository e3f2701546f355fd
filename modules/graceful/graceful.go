// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package graceful shuts a process down in order. A manager holds the loops of the process and the steps of its
// planned stop. When the process is to stop, the manager runs the steps in the order they were added and then
// ends the loops.
//
// # Usage
//
//	manager := graceful.New(graceful.Config{Logger: logger})
//	manager.Loop("heartbeat", members.loop)
//	manager.OnStop("drain entry", entry.Drain)
//	manager.Run(ctx) // returns after ctx ends and all steps and loops are over
package graceful

import (
	"context"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"rillsail.example/rillsail/modules/log"
)

// Config configures a Manager.
type Config struct {
	Logger *zap.Logger // logs the planned stop and its failed steps
}

// Manager holds the loops and stop steps of a process. All of them must be added before Run.
type Manager struct {
	logger *zap.Logger
	steps  []step
	loops  []loop
}

type step struct {
	name string
	run  func(context.Context) error
}

type loop struct {
	name string
	run  func(context.Context)
}

// New returns a manager without loops and steps.
func New(config Config) *Manager { return &Manager{logger: config.Logger} }

// Loop adds a loop that runs until its context ends.
func (m *Manager) Loop(name string, run func(context.Context)) {
	m.loops = append(m.loops, loop{name, run})
}

// OnStop adds a step of the planned stop. If the step fails, the failure is logged and the next step runs.
func (m *Manager) OnStop(name string, run func(context.Context) error) {
	m.steps = append(m.steps, step{name, run})
}

// Run starts the loops and waits until ctx ends. Then it runs the stop steps, ends the loops and waits for them.
func (m *Manager) Run(ctx context.Context) {
	loopContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group conc.WaitGroup
	for _, l := range m.loops {
		group.Go(func() { l.run(loopContext) })
	}
	<-ctx.Done()
	m.logger.Info("planned stop begins")
	for _, s := range m.steps {
		if err := s.run(loopContext); err != nil {
			m.logger.Warn("stop step failed", append(log.Err(err), zap.String("stop_step", s.name))...)
		}
	}
	cancel()
	group.Wait()
	m.logger.Info("planned stop is complete")
}
