// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package setting loads and checks the settings of the daemon. Each section has its own source file with its keys,
// defaults and bounds. Every key is also a flag (-section.key) and an environment variable
// (RILLSAIL_SECTION_KEY). A flag takes precedence over the environment, and the environment over the settings file.
//
// # Usage
//
//	settings, err := setting.Load(setting.Config{Args: os.Args[1:]})
//	if err != nil {
//		// *setting.Error: section, key, value and allowed values
//	}
package setting

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Error is the error of an unknown or duplicate key, or of a value that isn't allowed.
type Error struct {
	Section string
	Key     string
	Value   string
	Allowed string // which values are allowed, or why the key is refused
}

// Error returns the section, the key, the value and the allowed values as text.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: [%s] %s = %q: %s", e.Section, e.Key, e.Value, e.Allowed)
}

// registry registers keys as flags that check their values. It keeps the error of the first invalid value, because
// package flag passes on only the error's text.
type registry struct {
	flags      *flag.FlagSet
	section    string
	firstError *Error
}

func (r *registry) inSection(section string) *registry {
	r.section = section
	return r
}

// add registers a key. set checks and stores a value; if the value is invalid, set returns what is allowed.
func (r *registry) add(key, current, usage string, set func(string) (allowed string)) {
	section := r.section
	value := &value{text: current}
	value.set = func(text string) error {
		if allowed := set(text); allowed != "" {
			err := &Error{Section: section, Key: key, Value: text, Allowed: allowed}
			if r.firstError == nil {
				r.firstError = err
			}
			return err
		}
		value.text = text
		return nil
	}
	r.flags.Var(value, section+"."+key, usage)
}

// value is a key's flag.Value.
type value struct {
	text string
	set  func(string) error
}

func (v *value) String() string        { return v.text }
func (v *value) Set(text string) error { return v.set(text) }

func (r *registry) text(key string, into *string, usage string) {
	r.add(key, *into, usage, func(text string) string {
		if strings.TrimSpace(text) == "" {
			return "must not be empty"
		}
		*into = text
		return ""
	})
}

func (r *registry) choice(key string, into *string, usage string, allowed ...string) {
	r.add(key, *into, usage+"; one of "+strings.Join(allowed, ", "), func(text string) string {
		if !slices.Contains(allowed, text) {
			return "must be one of " + strings.Join(allowed, ", ")
		}
		*into = text
		return ""
	})
}

func (r *registry) address(key string, into *string, usage string) {
	r.add(key, *into, usage+"; IP:port", func(text string) string {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return "must be IP:port, for instance 127.0.0.1:7000"
		}
		*into = text
		return ""
	})
}

func (r *registry) duration(key string, into *time.Duration, low, high time.Duration, usage string) {
	r.add(key, into.String(), fmt.Sprintf("%s; %s to %s", usage, low, high), func(text string) string {
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > high {
			return fmt.Sprintf("must be a duration from %s to %s, for instance %s", low, high, *into)
		}
		*into = d
		return ""
	})
}

func (r *registry) number(key string, into *int, low, high int, usage string) {
	r.add(key, strconv.Itoa(*into), fmt.Sprintf("%s; %d to %d", usage, low, high), func(text string) string {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return fmt.Sprintf("must be a whole number from %d to %d", low, high)
		}
		*into = n
		return ""
	})
}

func (r *registry) fraction(key string, into *float64, low, high float64, usage string) {
	r.add(key, strconv.FormatFloat(*into, 'g', -1, 64), fmt.Sprintf("%s; %g to %g", usage, low, high), func(text string) string {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !(f >= low && f <= high) {
			return fmt.Sprintf("must be a number from %g to %g", low, high)
		}
		*into = f
		return ""
	})
}

func (r *registry) addresses(key string, into *[]string, usage string) {
	r.add(key, strings.Join(*into, ","), usage+"; IP:port,IP:port", func(text string) string {
		var list []string
		for _, part := range strings.Split(text, ",") {
			part = strings.TrimSpace(part)
			if _, err := netip.ParseAddrPort(part); err != nil {
				return "must be addresses as IP:port, with commas between them"
			}
			list = append(list, part)
		}
		*into = list
		return ""
	})
}
