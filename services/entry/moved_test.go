// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/config"
)

// hostRecorder answers every request and records the host that it was sent to.
type hostRecorder struct {
	mu   sync.Mutex
	seen map[string]bool
}

// RoundTrip implements http.RoundTripper.
func (h *hostRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[r.URL.Host] = true
	return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody, Header: http.Header{}}, nil
}

// TestRequestGoesToAnAddressOfItsUpstream changes an upstream's address in the VM list while requests
// are sent to it. It guards against reading the address without the gate's lock while Sync writes it,
// a data race that the race detector reported: the string could combine the bytes of one address with
// the length of the other.
func TestRequestGoesToAnAddressOfItsUpstream(t *testing.T) {
	const requests, changes, callers = 500, 4000, 4
	addresses := []string{"10.0.0.1:1", "192.168.100.100:65000"}
	s := New(Config{
		Self: "e0", Settings: setting.Defaults().Entry, MaxBody: 1 << 20, View: func() *config.View { return config.ViewOf(1, trialClasses...) },
		Logger: zap.NewNop(), Scope: tally.NoopScope, NewID: func() string { return "id" },
	})
	recorder := &hostRecorder{seen: map[string]bool{}}
	s.pooledTransport, s.singleUseTransport = recorder, recorder
	setAddress := func(n int) {
		s.Sync([]models.VM{{
			ID: "u0", Kind: models.KindUpstream, State: models.VMLive, Address: addresses[n%len(addresses)], Slots: 64, MaxConns: 64,
		}}, []models.MemberID{"e0"}, nil)
	}
	setAddress(0)
	var group conc.WaitGroup
	for range callers {
		group.Go(func() {
			for range requests {
				request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
				request.Header.Set(models.HeaderLabels, "class=ordinary")
				s.ServeHTTP(httptest.NewRecorder(), request)
			}
		})
	}
	for n := range changes {
		setAddress(n)
	}
	group.Wait()
	for _, address := range addresses {
		delete(recorder.seen, address)
	}
	require.Empty(t, recorder.seen)
}
