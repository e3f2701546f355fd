// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package log creates the logger of a process. Log lines are written only for changes of state; recurring events
// are counters in modules/metrics.
//
// # Usage
//
//	logger, err := log.New(log.Config{Level: "info", Process: "rillsaild", ID: "entry-1"})
//	logger.Info("cell taken over", zap.String("cell", id))
//	logger.Warn("journal lost", log.Err(err)...)
package log

import (
	"os"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rillsail.example/rillsail/modules/errstep"
)

// Config configures the logger.
type Config struct {
	Level   string // debug, info, warn or error
	Process string // name of the program, which becomes the logger's name
	ID      string // id of this process, added to every line
}

// New returns a logger that writes JSON lines to standard output. Logging never blocks: lines that can't be
// written in time are dropped and counted.
func New(config Config) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", config.Level)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	writer := newWriter(os.Stdout, bufferSize)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), writer, level)
	return zap.New(core).Named(config.Process).With(zap.String("id", config.ID)), nil
}

// Err returns the log fields of an error: its step, its peer and its text.
func Err(err error) []zap.Field {
	step, peer := errstep.Of(err)
	return []zap.Field{zap.String("step", step), zap.String("peer", peer), zap.Error(err)}
}
