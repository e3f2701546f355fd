// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/config"
)

// scriptedUpstream answers the first request, runs the second and closes the connection without
// an answer, and refuses all further requests without running them.
type scriptedUpstream struct {
	mu   sync.Mutex
	seen int
	ran  int
}

// ServeHTTP implements http.Handler.
func (f *scriptedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen++
	w.Header().Set(models.HeaderRequestID, r.Header.Get(models.HeaderRequestID))
	switch f.seen {
	case 1:
		w.WriteHeader(http.StatusNoContent)
	case 2:
		f.ran++
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set(models.HeaderOutcome, string(models.RequestNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newTestEntry returns an entry with one upstream.
func newTestEntry(t *testing.T, upstream http.Handler, class models.Class) *Service {
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	lastID := 0
	s := New(Config{
		Self: "e0", Settings: setting.Defaults().Entry, MaxBody: 1 << 20,
		View:   func() *config.View { return config.ViewOf(1, class) },
		Logger: zap.NewNop(), Scope: tally.NoopScope,
		NewID: func() string {
			lastID++
			return "id-" + strconv.Itoa(lastID)
		},
	})
	address := server.Listener.Addr().(*net.TCPAddr).String()
	vm := models.VM{ID: "u0", Kind: models.KindUpstream, State: models.VMLive, Address: address, Slots: 4, MaxConns: 8}
	s.Sync([]models.VM{vm}, []models.MemberID{"e0"}, nil)
	return s
}

// TestRequestSentTwiceByTheTransport makes the HTTP library resend a request by itself, which it does
// if a reused connection closes without an answer. The upstream's "not-run" answer to the second
// attempt says nothing about the first, so the outcome must be unknown.
func TestRequestSentTwiceByTheTransport(t *testing.T) {
	upstream := &scriptedUpstream{}
	s := newTestEntry(t, upstream, models.Class{Name: "quotes", Priority: models.PriorityOrdinary})
	get := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/quote", nil))
		return recorder
	}
	require.Equal(t, http.StatusNoContent, get().Code)
	answer := get()
	require.Equal(t, 1, upstream.ran)
	require.Equal(t, string(models.RequestUnknown), answer.Header().Get(models.HeaderOutcome), "the upstream ran the first attempt")
}
