// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

import (
	"flag"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"gopkg.in/ini.v1"
)

// Settings are all settings of a daemon by section.
type Settings struct {
	Daemon   Daemon
	Listen   Listen
	Platform Platform
	Member   Member
	Cell     Cell
	Entry    Entry
	Jobs     Jobs

	// CheckOnly makes the process exit after the settings are checked. It can be set only by a flag.
	CheckOnly bool
}

// Config configures Load.
type Config struct {
	Args   []string  // command line without the program's name
	Output io.Writer // output of -help; standard error if nil
}

// EnvironmentPrefix is the prefix of the environment variables.
const EnvironmentPrefix = "RILLSAIL"

// Load reads the flags, the environment and the file given by -config, and checks each value and the combinations of
// values. Errors about a value are *Error.
func Load(config Config) (*Settings, error) {
	settings := Defaults()
	r := settings.register()
	if config.Output != nil {
		r.flags.SetOutput(config.Output)
	}
	r.flags.BoolVar(&settings.CheckOnly, "check", false, "check the settings and exit")
	_ = r.flags.String("config", "", "settings file in INI format")
	err := ff.Parse(r.flags, config.Args,
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(r.parseINI),
	)
	switch {
	case r.firstError != nil:
		return nil, r.firstError
	case err != nil:
		return nil, errors.Wrap(err, "settings")
	}
	if err := settings.check(); err != nil {
		return nil, err
	}
	return settings, nil
}

// Defaults returns the default settings. The id, the addresses, the failure domain and the tokens have no default and
// must be given.
func Defaults() *Settings {
	return &Settings{
		Daemon:   defaultDaemon(),
		Listen:   defaultListen(),
		Platform: defaultPlatform(),
		Member:   defaultMember(),
		Cell:     defaultCell(),
		Entry:    defaultEntry(),
		Jobs:     defaultJobs(),
	}
}

func (s *Settings) register() *registry {
	r := &registry{flags: flag.NewFlagSet("rillsaild", flag.ContinueOnError)}
	s.Daemon.register(r.inSection("daemon"))
	s.Listen.register(r.inSection("listen"))
	s.Platform.register(r.inSection("platform"))
	s.Member.register(r.inSection("member"))
	s.Cell.register(r.inSection("cell"))
	s.Entry.register(r.inSection("entry"))
	s.Jobs.register(r.inSection("jobs"))
	return r
}

func (s *Settings) check() error {
	for _, check := range []func(*Settings) *Error{checkDaemon, checkListen, checkPlatform, checkMember, checkCell, checkEntry, checkJobs} {
		if err := check(s); err != nil {
			return err
		}
	}
	return nil
}

// requiredKey is a key that must be given, with its value.
type requiredKey struct{ key, value string }

// checkRequired returns an error for the first key of a section that has no value.
func checkRequired(section string, keys []requiredKey) *Error {
	for _, k := range keys {
		if k.value == "" {
			return &Error{Section: section, Key: k.key, Allowed: "must be given"}
		}
	}
	return nil
}

// parseINI passes each key of the file to set. Unknown keys are errors.
func (r *registry) parseINI(file io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(file)
	if err != nil {
		return errors.Wrap(err, "read settings file")
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true}, data)
	if err != nil {
		return errors.Wrap(err, "settings file is not INI")
	}
	for _, section := range parsed.Sections() {
		for _, key := range section.Keys() {
			if err := r.setKey(section.Name(), key, set); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *registry) setKey(section string, key *ini.Key, set func(name, value string) error) error {
	name := section + "." + key.Name()
	err := &Error{Section: section, Key: key.Name(), Value: key.Value()}
	switch {
	case r.flags.Lookup(name) == nil:
		err.Allowed = "unknown key; -help lists the keys"
	case len(key.ValueWithShadows()) > 1:
		err.Allowed = "the key is given more than once"
	default:
		return set(name, key.Value())
	}
	r.firstError = err
	return err
}

// Keys returns all keys as "section.key".
func Keys() []string {
	var keys []string
	Defaults().register().flags.VisitAll(func(f *flag.Flag) { keys = append(keys, f.Name) })
	return keys
}
