// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package fleet

import (
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rillsail.example/rillsail/models"
)

// The headers by which the load generator controls an upstream.
const (
	HeaderLoadID       = "Load-Id"           // identifies the request in the audit
	HeaderUnrepeatable = "Load-Unrepeatable" // running the request twice is a violation
	HeaderWork         = "Load-Work-Ms"      // service time, instead of a random one
	HeaderBytes        = "Load-Bytes"        // length of the answer's padding
	HeaderWatch        = "Load-Watch-Ms"     // stream lines for this time
)

// ServiceTimes is a log-normal distribution of service times with an upper bound.
type ServiceTimes struct {
	Median time.Duration
	Sigma  float64
	Max    time.Duration
}

// Draw returns a random service time.
func (s ServiceTimes) Draw() time.Duration {
	d := time.Duration(float64(s.Median) * math.Exp(s.Sigma*rand.NormFloat64()))
	return min(d, s.Max)
}

// upstream serves as many requests at a time as it has slots; further requests wait.
type upstream struct {
	fleet *Fleet
	vm    models.VM
	slots chan struct{}

	mu          sync.Mutex
	cut         bool
	leaving     bool
	faulty      bool
	factor      int
	truncate    int
	hangUp      int
	wrongAnswer int
	conns       int
}

func newUpstream(f *Fleet, vm models.VM) *upstream {
	return &upstream{fleet: f, vm: vm, slots: make(chan struct{}, vm.Slots), factor: 1}
}

func (u *upstream) update(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

// requestFaults are the faults that apply to one request.
type requestFaults struct {
	leaving, faulty, truncate, hangUp, wrongAnswer bool
	factor                                         int
}

// nextFaults returns the faults of the next request and counts them down. If the VM is cut, nextFaults aborts the
// request.
func (u *upstream) nextFaults() requestFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cut {
		panic(http.ErrAbortHandler)
	}
	b := requestFaults{leaving: u.leaving, faulty: u.faulty, factor: u.factor}
	b.truncate = takeOne(&u.truncate)
	b.hangUp = takeOne(&u.hangUp)
	b.wrongAnswer = takeOne(&u.wrongAnswer)
	return b
}

func takeOne(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP implements http.Handler: it runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := u.nextFaults()
	u.fleet.audit.countUpstream(u.vm.ID)
	if b.leaving {
		w.Header().Set("Connection", "close")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if b.faulty {
		http.Error(w, "faulty", http.StatusInternalServerError)
		return
	}
	overrun := u.acquireSlot(r)
	u.fleet.audit.requestRun(r.Header.Get(HeaderLoadID), r.Header.Get(HeaderUnrepeatable) != "", overrun)
	if watch, err := strconv.Atoi(r.Header.Get(HeaderWatch)); err == nil {
		<-u.slots // a watch request occupies a connection, not a slot
		u.stream(w, r, time.Duration(watch)*time.Millisecond)
		return
	}
	time.Sleep(u.serviceTime(r) * time.Duration(b.factor))
	<-u.slots
	u.answer(w, r, body, b)
}

// acquireSlot waits for a slot and returns whether the request had to wait.
func (u *upstream) acquireSlot(r *http.Request) (overrun bool) {
	select {
	case u.slots <- struct{}{}:
		return false
	default:
	}
	select {
	case u.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (u *upstream) serviceTime(r *http.Request) time.Duration {
	if ms, err := strconv.Atoi(r.Header.Get(HeaderWork)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return u.fleet.config.UpstreamServiceTimes.Draw()
}

// AnswerFor returns the whole answer to a request, with which a caller can check an answer.
func AnswerFor(id string, body []byte, padding int) string {
	return "answer to " + id + " " + string(body) + strings.Repeat(".", padding) + " end"
}

func (u *upstream) answer(w http.ResponseWriter, r *http.Request, body []byte, b requestFaults) {
	if b.hangUp {
		panic(http.ErrAbortHandler)
	}
	padding, _ := strconv.Atoi(r.Header.Get(HeaderBytes))
	text := AnswerFor(r.Header.Get(HeaderLoadID), body, padding)
	id := r.Header.Get(models.HeaderRequestID)
	if b.wrongAnswer { // the answer to another request
		id += "-other"
		text = AnswerFor(r.Header.Get(HeaderLoadID)+"-other", body, padding)
	}
	w.Header().Set(models.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if b.truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

const watchLineInterval = 50 * time.Millisecond

// stream answers a watch request: it sends a line every watchLineInterval and a last one after the length.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request, length time.Duration) {
	controller := http.NewResponseController(w)
	end := time.NewTimer(length)
	defer end.Stop()
	ticker := time.NewTicker(watchLineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-end.C:
			_, _ = io.WriteString(w, "end\n")
			return
		case <-ticker.C:
			_, _ = io.WriteString(w, "line\n")
			_ = controller.Flush()
		}
	}
}
