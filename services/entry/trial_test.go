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

// trial is one run: the real entries on the clock of a synctest bubble, before fake
// upstreams with slots; only the wire is replaced. Time is exact, so tails don't
// show the noise of the machine.
type trial struct {
	picker    string
	load      float64 // of all slots
	entries   int
	upstreams int
	slots     int
	seconds   int
	seed      uint64
	slow      bool // upstream 0 is 5 times slower
	failing   bool // upstream 0 fails everything at once
	leaving   bool // upstream 0 leaves in the middle; the list lags by 5 s
	uneven    bool // entry 0 gets three times its share
	storm     bool // callers send again at once what was refused, up to 3 times
}

const (
	trialMedian    = 10 * time.Millisecond
	trialSigma     = 0.6
	trialHeartbeat = time.Second
	trialOneWay    = 500 * time.Microsecond
	trialListLag   = 5 * time.Second
)

var trialMean = time.Duration(float64(trialMedian) * math.Exp(trialSigma*trialSigma/2))

// trialClassNames are the names of trialClasses, the first served first.
var trialClassNames = []string{"urgent", "ordinary", "deferred"}

var trialClasses = []models.Object{
	models.Class{Name: "urgent", Selector: "class=urgent", Priority: models.PriorityUrgent, Deadline: 250},
	models.Class{Name: "ordinary", Selector: "class=ordinary", Priority: models.PriorityOrdinary, Deadline: 1000},
	models.Class{Name: "deferred", Selector: "class=deferred", Priority: models.PriorityDeferred, Deadline: 10_000, Floor: 10},
}

// trialRun is a trial under way.
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

// trialClass is what became of the requests of one class.
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

// count takes the last answer to a request that was meant to be sent at a time.
func (c *trialClass) count(status int, meant time.Time) {
	c.sent++
	c.status[status]++
	switch status {
	case http.StatusOK:
		c.succeeded++
		_ = c.latency.RecordValue(max(1, time.Since(meant).Microseconds())) // at most the deadline
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

// injectFaults gives an upstream the faults of the trial.
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

// run sends at a fixed rate for the trial's time and waits for all answers.
func (r *trialRun) run() {
	ctx, cancel := context.WithCancel(context.Background())
	go r.heartbeats(ctx)
	synctest.Wait()
	r.sendAll()
	cancel()
	time.Sleep(time.Minute)
	synctest.Wait()
}

// sendAll sends for the trial's time, as independent callers do, and waits for the answers.
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

// drawRequest chooses the class of a request and the entry that it is sent to.
func (r *trialRun) drawRequest(random *rand.Rand) (class string, entry int) {
	class = []string{"urgent", "ordinary", "ordinary", "ordinary", "deferred"}[random.IntN(5)]
	entry = random.IntN(len(r.entries))
	if r.uneven && random.IntN(len(r.entries)+2) < 3 {
		entry = 0
	}
	return class, entry
}

// send sends a request, in a storm again and again, and counts the last answer.
func (r *trialRun) send(class string, entry int, meant time.Time) {
	tries := 1
	if r.storm {
		tries = 4
	}
	status := 0
	for range tries {
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
	r.classes[class].count(status, meant)
}

// heartbeats exchanges what the entries tell each other, each in its turn.
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
			e.Beat(&beats[i])
			e.Sync(r.listedVMs(), live, heartbeatsFor(i, live, beats))
		}
	}
}

// heartbeatsFor are the others' heartbeats as entry i has them.
func heartbeatsFor(i int, live []models.MemberID, beats []models.Heartbeat) map[models.MemberID]models.Heartbeat {
	heard := map[models.MemberID]models.Heartbeat{}
	for j := range beats {
		if j != i {
			heard[live[j]] = beats[j]
		}
	}
	return heard
}

// listedVMs is the platform's list, which lags.
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

// runTrial runs a trial in a bubble of its own.
func runTrial(t *testing.T, settings trial) *trialRun {
	t.Helper()
	var r *trialRun
	synctest.Test(t, func(*testing.T) {
		r = newTrialRun(settings)
		r.run()
	})
	return r
}
