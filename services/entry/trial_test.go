// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/config"
)

// trial configures one run of real entries in front of fake upstreams with slots, in a
// synctest bubble. Only the network is replaced. The fake clock is exact, so tail latencies
// do not contain noise of the machine.
type trial struct {
	picker    string
	load      float64 // fraction of the capacity of all slots
	entries   int
	upstreams int
	slots     int
	seconds   int
	seed      uint64
	slow      bool // upstream 0 is 5 times slower
	failing   bool // upstream 0 fails every request immediately
	leaving   bool // upstream 0 leaves halfway through; the VM list lags by trialListLag
	uneven    bool // entry 0 gets three times its share
	storm     bool // callers resend refused requests at once, up to 3 times
}

const (
	trialMedian    = 10 * time.Millisecond
	trialSigma     = 0.6
	trialHeartbeat = time.Second
	trialOneWay    = 500 * time.Microsecond
	trialListLag   = 5 * time.Second
)

var trialMean = time.Duration(float64(trialMedian) * math.Exp(trialSigma*trialSigma/2))

// trialClassNames lists the names of trialClasses in the order of service.
var trialClassNames = []string{"urgent", "ordinary", "deferred"}

var trialClasses = []models.Object{
	models.Class{Name: "urgent", Selector: "class=urgent", Priority: models.PriorityUrgent, Deadline: 250},
	models.Class{Name: "ordinary", Selector: "class=ordinary", Priority: models.PriorityOrdinary, Deadline: 1000},
	models.Class{Name: "deferred", Selector: "class=deferred", Priority: models.PriorityDeferred, Deadline: 10_000, Floor: 10},
}

// trialRun is the state of a running trial.
type trialRun struct {
	trial
	upstreams []*fakeUpstream
	vms       []models.VM
	entries   []*Service
	view      *config.View

	mu       sync.Mutex
	random   *rand.Rand
	overruns int
	wasted   int
	reached  int
	classes  map[string]*trialClass
}

// trialClass counts the results of the requests of one class.
type trialClass struct {
	sent, succeeded, refused, failed int
	status                           map[int]int
	latency                          *hdrhistogram.Histogram
}

func newTrialClass() *trialClass {
	return &trialClass{status: map[int]int{}, latency: hdrhistogram.New(1, 60_000_000, 3)}
}

func (c *trialClass) ms(q float64) float64 { return float64(c.latency.ValueAtQuantile(q)) / 1000 }
func (c *trialClass) goodput() float64     { return float64(c.succeeded) / float64(max(c.sent, 1)) }

// count records the last answer to a request that was scheduled for the given time.
func (c *trialClass) count(status int, scheduled time.Time) {
	c.sent++
	c.status[status]++
	switch status {
	case http.StatusOK:
		c.succeeded++
		_ = c.latency.RecordValue(max(1, time.Since(scheduled).Microseconds())) // in range: no answer is later than the deadline
	case http.StatusServiceUnavailable:
		c.refused++
	default:
		c.failed++
	}
}

func newTrialRun(t trial) *trialRun {
	r := &trialRun{trial: t, random: rand.New(rand.NewPCG(t.seed, 1)), classes: map[string]*trialClass{}, view: config.ViewOf(1, trialClasses...)}
	for i := range t.upstreams {
		r.upstreams = append(r.upstreams, &fakeUpstream{trial: r, slots: make(chan struct{}, t.slots), slowdown: 1})
		r.vms = append(r.vms, models.VM{
			ID: models.VMID(fmt.Sprint("u", i)), Kind: models.KindUpstream, State: models.VMLive,
			Address: fmt.Sprintf("10.0.0.1:%d", i+1), Slots: t.slots, MaxConns: 64,
		})
	}
	r.injectFaults(r.upstreams[0])
	for _, name := range trialClassNames {
		r.classes[name] = newTrialClass()
	}
	for i := range t.entries {
		r.entries = append(r.entries, r.newEntry(i))
	}
	return r
}

// injectFaults applies the faults of the trial to an upstream.
func (r *trialRun) injectFaults(u *fakeUpstream) {
	if r.slow {
		u.slowdown = 5
	}
	u.fails = r.failing
	if r.leaving {
		u.leavesAt = time.Now().Add(time.Duration(r.seconds) * time.Second / 2)
	}
}

func (r *trialRun) newEntry(i int) *Service {
	settings := setting.Defaults().Entry
	settings.Picker = r.picker
	s := New(Config{
		Self: models.MemberID(fmt.Sprint("e", i)), Settings: settings, MaxBody: 1 << 20, View: func() *config.View { return r.view },
		Logger: zap.NewNop(), Scope: tally.NoopScope, NewID: func() string { return "id" },
	})
	s.pooledTransport, s.singleUseTransport = r, r
	return s
}

// run exchanges heartbeats, sends requests for the trial's duration, and waits for all answers.
func (r *trialRun) run() {
	ctx, cancel := context.WithCancel(context.Background())
	go r.heartbeats(ctx)
	synctest.Wait()
	r.sendAll()
	cancel()
	time.Sleep(time.Minute)
	synctest.Wait()
}

// sendAll sends requests at random intervals for the trial's duration, as independent callers do, and
// waits for the answers.
func (r *trialRun) sendAll() {
	rate := r.load * float64(len(r.upstreams)*r.slots) / trialMean.Seconds()
	random := rand.New(rand.NewPCG(r.seed, 2))
	gap := func() time.Duration { return time.Duration(random.ExpFloat64() / rate * float64(time.Second)) }
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	for at := time.Duration(0); at < time.Duration(r.seconds)*time.Second; at += gap() {
		time.Sleep(time.Until(start.Add(at)))
		class, entry := r.drawRequest(random)
		group.Go(func() { r.send(class, entry, start.Add(at)) })
	}
}

// drawRequest draws the class of a request and the entry that receives it.
func (r *trialRun) drawRequest(random *rand.Rand) (class string, entry int) {
	class = []string{"urgent", "ordinary", "ordinary", "ordinary", "deferred"}[random.IntN(5)]
	entry = random.IntN(len(r.entries))
	if r.uneven && random.IntN(len(r.entries)+2) < 3 {
		entry = 0
	}
	return class, entry
}

// send sends a request, resends it in a storm as long as it is refused, and counts the last answer.
func (r *trialRun) send(class string, entry int, scheduled time.Time) {
	attempts := 1
	if r.storm {
		attempts = 4
	}
	status := 0
	for range attempts {
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
		request.Header.Set(models.HeaderLabels, "class="+class)
		recorder := httptest.NewRecorder()
		r.entries[entry].ServeHTTP(recorder, request)
		if status = recorder.Code; status != http.StatusServiceUnavailable {
			break
		}
		entry = (entry + 1) % len(r.entries)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes[class].count(status, scheduled)
}

// heartbeats exchanges the heartbeats of the entries in turn.
func (r *trialRun) heartbeats(ctx context.Context) {
	var live []models.MemberID
	for _, e := range r.entries {
		live = append(live, e.config.Self)
	}
	beats := make([]models.Heartbeat, len(r.entries))
	for _, e := range r.entries {
		e.Sync(r.listedVMs(), live, nil)
	}
	for {
		for i, e := range r.entries {
			if wait(ctx, trialHeartbeat/time.Duration(len(r.entries))) != nil {
				return
			}
			e.FillHeartbeat(&beats[i])
			e.Sync(r.listedVMs(), live, heartbeatsFor(i, live, beats))
		}
	}
}

// heartbeatsFor returns the other entries' heartbeats, which entry i has received.
func heartbeatsFor(i int, live []models.MemberID, beats []models.Heartbeat) map[models.MemberID]models.Heartbeat {
	received := map[models.MemberID]models.Heartbeat{}
	for j := range beats {
		if j != i {
			received[live[j]] = beats[j]
		}
	}
	return received
}

// listedVMs returns the platform's VM list, which lags by trialListLag.
func (r *trialRun) listedVMs() []models.VM {
	vms := append([]models.VM(nil), r.vms...)
	for i, u := range r.upstreams {
		if !u.leavesAt.IsZero() && time.Since(u.leavesAt) > trialListLag {
			vms[i].State = models.VMLeaving
		}
	}
	return vms
}

func (r *trialRun) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// runTrial runs a trial in a synctest bubble of its own.
func runTrial(t *testing.T, settings trial) *trialRun {
	t.Helper()
	var r *trialRun
	synctest.Test(t, func(*testing.T) {
		r = newTrialRun(settings)
		r.run()
	})
	return r
}
