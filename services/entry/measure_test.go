// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/setting"
	"rillsail.example/rillsail/services/config"
)

var measureOnly = flag.String("only", "", "part of the names of the scenes to measure")

var measureTo = flag.String("measure", "", "file to write the figures of the whole measurement to")

var measureSeconds = flag.Int("seconds", 6, "length of each run of the whole measurement")

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

var trialClasses = []models.Object{
	models.Class{Name: "urgent", Selector: "class=urgent", Priority: models.PriorityUrgent, Deadline: 250},
	models.Class{Name: "ordinary", Selector: "class=ordinary", Priority: models.PriorityOrdinary, Deadline: 1000},
	models.Class{Name: "deferred", Selector: "class=deferred", Priority: models.PriorityDeferred, Deadline: 10_000, Floor: 10},
}

// fakeUpstream has slots, before which requests wait in order.
type fakeUpstream struct {
	trial    *trialRun
	slots    chan struct{}
	factor   float64
	fails    bool
	leavesAt time.Time
	present  int // requests that wait or are served
	got      int
	gotLate  int // new requests more than 3 s after it began to leave
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

type trialClass struct {
	sent, right, refused, failed int
	status                       map[int]int
	latency                      *hdrhistogram.Histogram
}

func (c *trialClass) ms(q float64) float64 { return float64(c.latency.ValueAtQuantile(q)) / 1000 }
func (c *trialClass) goodput() float64     { return float64(c.right) / float64(max(c.sent, 1)) }

// RoundTrip implements http.RoundTripper: the wire, the slots and the service.
func (r *trialRun) RoundTrip(request *http.Request) (*http.Response, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(request.URL.Host, "10.0.0.1:"))
	if err != nil {
		return nil, err
	}
	u := r.upstreams[number-1]
	if trace := httptrace.ContextClientTrace(request.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if err := wait(request.Context(), trialOneWay); err != nil {
		return nil, err
	}
	work := u.accept()
	defer u.leave()
	if u.fails {
		return r.respond(request, http.StatusInternalServerError), nil
	}
	select {
	case u.slots <- struct{}{}:
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	time.Sleep(work) // the upstream goes on when its caller has given up
	<-u.slots
	if err := wait(request.Context(), trialOneWay); err != nil {
		r.count(&r.wasted)
		return nil, err
	}
	return r.respond(request, http.StatusOK), nil
}

// accept counts a request and draws its service time.
func (u *fakeUpstream) accept() time.Duration {
	u.trial.mu.Lock()
	defer u.trial.mu.Unlock()
	u.got++
	u.present++
	u.trial.reached++
	if u.present > u.trial.slots+1 {
		u.trial.overruns++ // one more than there are slots hides the time on the wire
	}
	if !u.leavesAt.IsZero() && time.Since(u.leavesAt) > 3*time.Second {
		u.gotLate++
	}
	return time.Duration(float64(trialMedian) * math.Exp(trialSigma*u.trial.random.NormFloat64()) * u.factor)
}

func (u *fakeUpstream) leave() {
	u.trial.mu.Lock()
	defer u.trial.mu.Unlock()
	u.present--
}

func (r *trialRun) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

func (r *trialRun) respond(request *http.Request, status int) *http.Response {
	leaving := false
	for _, u := range r.upstreams {
		leaving = leaving || !u.leavesAt.IsZero() && strings.HasSuffix(request.URL.Host, ":1") && !time.Now().Before(u.leavesAt)
	}
	return &http.Response{
		StatusCode: status, Header: http.Header{}, ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok")),
		Request: request, Close: leaving,
	}
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newTrialRun(t trial) *trialRun {
	r := &trialRun{trial: t, random: rand.New(rand.NewPCG(t.seed, 1)), classes: map[string]*trialClass{}, view: config.ViewOf(1, trialClasses...)}
	for i := range t.upstreams {
		u := &fakeUpstream{trial: r, slots: make(chan struct{}, t.slots), factor: 1}
		if i == 0 && t.slow {
			u.factor = 5
		}
		u.fails = i == 0 && t.failing
		if i == 0 && t.leaving {
			u.leavesAt = time.Now().Add(time.Duration(t.seconds) * time.Second / 2)
		}
		r.upstreams = append(r.upstreams, u)
		r.vms = append(r.vms, models.VM{
			ID: models.VMID(fmt.Sprint("u", i)), Kind: models.KindUpstream, State: models.VMLive,
			Address: fmt.Sprintf("10.0.0.1:%d", i+1), Slots: t.slots, MaxConns: 64,
		})
	}
	for _, name := range []string{"urgent", "ordinary", "deferred"} {
		r.classes[name] = &trialClass{status: map[int]int{}, latency: hdrhistogram.New(1, 60_000_000, 3)}
	}
	for i := range t.entries {
		r.entries = append(r.entries, r.newEntry(i))
	}
	return r
}

func (r *trialRun) newEntry(i int) *Service {
	settings := setting.Defaults().Entry
	settings.Picker = r.picker
	made := 0
	s := New(Config{
		Self: models.MemberID(fmt.Sprint("e", i)), Settings: settings, MaxBody: 1 << 20, View: func() *config.View { return r.view },
		Logger: zap.NewNop(), Scope: tally.NoopScope, NewID: func() string {
			r.count(&made)
			return "id"
		},
	})
	s.repeat, s.once = r, r
	return s
}

// heartbeats exchanges what the entries tell each other, each in its turn.
func (r *trialRun) heartbeats(ctx context.Context) {
	var live []models.MemberID
	for _, e := range r.entries {
		live = append(live, e.config.Self)
	}
	beats := make([]models.Heartbeat, len(r.entries))
	for _, e := range r.entries {
		e.Sync(r.listed(), live, nil)
	}
	for {
		for i, e := range r.entries {
			if wait(ctx, trialHeartbeat/time.Duration(len(r.entries))) != nil {
				return
			}
			e.Beat(&beats[i])
			heard := map[models.MemberID]models.Heartbeat{}
			for j := range beats {
				if j != i {
					heard[live[j]] = beats[j]
				}
			}
			e.Sync(r.listed(), live, heard)
		}
	}
}

// listed is the platform's list, which lags.
func (r *trialRun) listed() []models.VM {
	vms := append([]models.VM(nil), r.vms...)
	for i, u := range r.upstreams {
		if !u.leavesAt.IsZero() && time.Since(u.leavesAt) > trialListLag {
			vms[i].State = models.VMLeaving
		}
	}
	return vms
}

// run sends at a fixed rate for the trial's time and waits for all answers.
func (r *trialRun) run() {
	ctx, cancel := context.WithCancel(context.Background())
	go r.heartbeats(ctx)
	synctest.Wait()
	rate := r.load * float64(len(r.upstreams)*r.slots) / trialMean.Seconds()
	var group sync.WaitGroup
	random := rand.New(rand.NewPCG(r.seed, 2))
	start := time.Now()
	for at := time.Duration(0); at < time.Duration(r.seconds)*time.Second; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(at)))
		class := []string{"urgent", "ordinary", "ordinary", "ordinary", "deferred"}[random.IntN(5)]
		entry := random.IntN(len(r.entries))
		if r.uneven && random.IntN(len(r.entries)+2) < 3 {
			entry = 0
		}
		group.Add(1)
		go func() {
			defer group.Done()
			r.send(class, entry, start.Add(at))
		}()
	}
	group.Wait()
	cancel()
	time.Sleep(time.Minute)
	synctest.Wait()
}

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
	c := r.classes[class]
	c.sent++
	c.status[status]++
	switch status {
	case http.StatusOK:
		c.right++
		_ = c.latency.RecordValue(max(1, time.Since(meant).Microseconds())) // at most the deadline
	case http.StatusServiceUnavailable:
		c.refused++
	default:
		c.failed++
	}
}

// play runs a trial in a bubble of its own.
func play(t *testing.T, settings trial) *trialRun {
	t.Helper()
	var r *trialRun
	synctest.Test(t, func(*testing.T) {
		r = newTrialRun(settings)
		r.run()
	})
	return r
}

func small(picker string) trial {
	return trial{picker: picker, load: 0.8, entries: 3, upstreams: 6, slots: 8, seconds: 3, seed: 1}
}

// TestDividedSlotsAreNotOverrun sends an even load near all slots: entries that see
// only their own requests don't send an upstream more than it has slots.
func TestDividedSlotsAreNotOverrun(t *testing.T) {
	settings := small("divided")
	settings.load = 0.95
	divided := play(t, settings)
	settings.picker = "two-choices"
	choices := play(t, settings)
	assert.Less(t, float64(divided.overruns), 0.02*float64(divided.reached))
	assert.Less(t, divided.overruns, choices.overruns/4)
}

// TestFailingUpstreamAttractsNothing lets one of six upstreams fail at once.
func TestFailingUpstreamAttractsNothing(t *testing.T) {
	settings := small("divided")
	settings.failing = true
	r := play(t, settings)
	assert.Less(t, r.upstreams[0].got, r.reached/50)
	for name, c := range r.classes {
		assert.Greater(t, c.goodput(), 0.99, "%s: %v", name, c.status)
	}
}

// TestLeavingUpstreamIsNoticedBeforeTheList lets one leave while the list lags.
func TestLeavingUpstreamIsNoticedBeforeTheList(t *testing.T) {
	settings := small("divided")
	settings.leaving, settings.seconds = true, 10
	r := play(t, settings)
	assert.Zero(t, r.upstreams[0].gotLate)
}

// TestOverloadKeepsTheOrderOfClasses sends a fifth more than all slots take: urgent
// and ordinary requests keep their deadlines, and those that can wait get their
// floor.
func TestOverloadKeepsTheOrderOfClasses(t *testing.T) {
	settings := small("divided")
	settings.load, settings.seconds = 1.2, 12
	r := play(t, settings)
	assert.Greater(t, r.classes["urgent"].goodput(), 0.99, "%v", r.classes["urgent"].status)
	deferred := r.classes["deferred"]
	share := float64(deferred.right) / float64(deferred.right+r.classes["urgent"].right+r.classes["ordinary"].right)
	assert.Greater(t, share, 0.05, "the floor of those that can wait")
	assert.Zero(t, deferred.failed+r.classes["urgent"].failed+r.classes["ordinary"].failed, "what can't make it is refused, not left to time out: %v %v %v",
		deferred.status, r.classes["urgent"].status, r.classes["ordinary"].status)
}

// TestMeasureRouting is the whole measurement; "make measure" asks for it.
func TestMeasureRouting(t *testing.T) {
	seconds, seeds := 1, []uint64{1}
	if *measureTo != "" {
		seconds, seeds = *measureSeconds, []uint64{1, 2, 3}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "| trial | picker | urgent p50 / p99 / p99.9 ms | ordinary p50 / p99 / p99.9 ms | ordinary p99, least to most | goodput urgent / ordinary / deferred | overruns %% | wasted %% |\n|---|---|---|---|---|---|---|---|\n")
	for _, scene := range scenes(seconds) {
		if !strings.Contains(scene.name, *measureOnly) {
			continue
		}
		for _, picker := range []string{"random", "least-loaded", "two-choices", "divided"} {
			fmt.Fprint(&b, measureScene(t, scene, picker, seeds))
		}
	}
	if *measureTo == "" {
		assert.Contains(t, b.String(), "storm")
		return
	}
	require.NoError(t, os.WriteFile(*measureTo, []byte(b.String()), 0o600))
}

type scene struct {
	name string
	trial
}

func scenes(seconds int) []scene {
	base := trial{entries: 4, upstreams: 12, slots: 8, seconds: seconds, load: 0.8}
	with := func(name string, change func(*trial)) scene {
		t := base
		change(&t)
		return scene{name, t}
	}
	return []scene{
		with("50 %", func(t *trial) { t.load = 0.5 }),
		with("80 %", func(*trial) {}),
		with("95 %", func(t *trial) { t.load = 0.95 }),
		with("120 %", func(t *trial) { t.load = 1.2 }),
		with("80 %, one 5 x slower", func(t *trial) { t.slow = true }),
		with("80 %, one fails fast", func(t *trial) { t.failing = true }),
		with("80 %, one leaves", func(t *trial) { t.leaving = true }),
		with("80 %, one entry 3 x", func(t *trial) { t.uneven = true }),
		with("120 %, retry storm", func(t *trial) { t.load, t.storm = 1.2, true }),
	}
}

// measureScene runs one scene with each seed and gives a row: the median of the
// seeds and, for p99 of ordinary requests, the spread.
func measureScene(t *testing.T, s scene, picker string, seeds []uint64) string {
	t.Helper()
	var runs []*trialRun
	for _, seed := range seeds {
		s.picker, s.seed = picker, seed
		runs = append(runs, play(t, s.trial))
	}
	middle := func(value func(*trialRun) float64) float64 {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = value(r)
		}
		return median(values)
	}
	quantiles := func(class string) string {
		var parts []string
		for _, q := range []float64{50, 99, 99.9} {
			parts = append(parts, fmt.Sprintf("%.1f", middle(func(r *trialRun) float64 { return r.classes[class].ms(q) })))
		}
		return strings.Join(parts, " / ")
	}
	var goodput []string
	for _, class := range []string{"urgent", "ordinary", "deferred"} {
		goodput = append(goodput, fmt.Sprintf("%.4f", middle(func(r *trialRun) float64 { return r.classes[class].goodput() })))
	}
	overruns := middle(func(r *trialRun) float64 { return 100 * float64(r.overruns) / float64(max(r.reached, 1)) })
	wasted := middle(func(r *trialRun) float64 { return 100 * float64(r.wasted) / float64(max(r.reached, 1)) })
	low, high := math.Inf(1), 0.0
	for _, r := range runs {
		low, high = min(low, r.classes["ordinary"].ms(99)), max(high, r.classes["ordinary"].ms(99))
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %.1f to %.1f | %s | %.1f | %.2f |\n",
		s.name, picker, quantiles("urgent"), quantiles("ordinary"), low, high, strings.Join(goodput, " / "), overruns, wasted)
}

func median(values []float64) float64 {
	for i := range values {
		for j := i; j > 0 && values[j] < values[j-1]; j-- {
			values[j], values[j-1] = values[j-1], values[j]
		}
	}
	return values[len(values)/2]
}
