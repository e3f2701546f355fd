// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package listen opens the HTTP listeners of a process with their limits, and checks bearer tokens.
//
// # Usage
//
//	server, err := listen.Open(listen.Config{Address: "127.0.0.1:7000", Handler: h, …})
//	manager.Loop("callers", server.Run)
package listen

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"

	"rillsail.example/rillsail/modules/wire"
)

// Config sets the address and the limits of a listener.
type Config struct {
	Address        string
	Handler        http.Handler
	MaxHeader      int // bytes
	MaxConnections int
	HeaderTimeout  time.Duration
	// BodyTimeout bounds the time for reading a whole request. 0 leaves this to the handler, which is
	// required where answers stay open for longer.
	BodyTimeout time.Duration
	IdleTimeout time.Duration
	// ShutdownTimeout bounds the wait for requests in flight when the server stops; defaultShutdown if 0.
	ShutdownTimeout time.Duration
}

// Server is an open listener.
type Server struct {
	listener net.Listener
	server   *http.Server
	shutdown time.Duration
}

// Open opens the listener. Requests are served once Run is called.
func Open(config Config) (*Server, error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", config.Address)
	}
	if config.ShutdownTimeout == 0 {
		config.ShutdownTimeout = defaultShutdown
	}
	return &Server{
		shutdown: config.ShutdownTimeout,
		listener: netutil.LimitListener(listener, config.MaxConnections),
		server: &http.Server{
			Handler: config.Handler, MaxHeaderBytes: config.MaxHeader,
			ReadHeaderTimeout: config.HeaderTimeout, ReadTimeout: config.BodyTimeout, IdleTimeout: config.IdleTimeout,
		},
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves requests until ctx ends. Requests in flight may then finish within the shutdown timeout.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	_ = s.server.Serve(s.listener) // always returns an error, which the end of ctx has caused
}

// Drain closes idle connections and each other connection after its next answer. New connections are still
// accepted.
func (s *Server) Drain() { s.server.SetKeepAlivesEnabled(false) }

// defaultShutdown is the default of Config.ShutdownTimeout. It can be short, since a planned stop drains the server
// first.
const defaultShutdown = 5 * time.Second

// close waits for requests in flight to finish, and aborts those that have not finished within the shutdown timeout.
func (s *Server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), s.shutdown)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}

// RequireToken passes on only calls with the bearer token. Other calls are answered with 401 Unauthorized.
func RequireToken(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			wire.Write(w, http.StatusUnauthorized, wire.Problem{Error: "the call needs the listener's token"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// LimitBody limits the size of the request bodies that a handler reads.
func LimitBody(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		next.ServeHTTP(w, r)
	})
}
