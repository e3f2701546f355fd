// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package setting

// Daemon is section [daemon]: the identity of this process.
type Daemon struct {
	ID       string
	Domain   string // failure domain, "region/domain"
	LogLevel string
}

func defaultDaemon() Daemon { return Daemon{LogLevel: "info"} }

func (d *Daemon) register(r *registry) {
	r.text("id", &d.ID, "unique name of this daemon")
	r.text("domain", &d.Domain, "failure domain of this VM, region/domain")
	r.choice("log_level", &d.LogLevel, "lowest level of log lines that are written", "debug", "info", "warn", "error")
}

func checkDaemon(s *Settings) *Error {
	switch {
	case s.Daemon.ID == "":
		return &Error{Section: "daemon", Key: "id", Allowed: "must be given"}
	case s.Daemon.Domain == "":
		return &Error{Section: "daemon", Key: "domain", Allowed: "must be given, as region/domain"}
	}
	return nil
}
