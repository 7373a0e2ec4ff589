package controlinstance

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/coordination/residency"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	modelMB     = 70.0
	capacityMB  = 145.0
	reportDelay = 200 * time.Millisecond
)

var testEngine = &routes.Engine{Slots: 8, CapacityMB: capacityMB, AdapterSlots: 2, LoadsPerSecond: 10, Models: []routes.Model{
	{Name: "m", WeightsMB: modelMB, LoadTime: 300 * time.Millisecond, Adapters: 9, AdapterMB: 1},
	{Name: "n", WeightsMB: modelMB, LoadTime: 300 * time.Millisecond},
	{Name: "o", WeightsMB: modelMB, LoadTime: 300 * time.Millisecond},
}}

// fakeEngine is a target whose reports are delayed, and which loses responses to orders and executes these orders late.
// It fails the test on an order that exceeds its memory or its adapter slots.
type fakeEngine struct {
	t            *testing.T
	mu           sync.Mutex
	models       map[string]bool
	heldMB       map[string]float64 // sizes at which models were loaded, modelMB without an entry
	configuredMB func(model string) float64
	adapters     map[string]bool
	loading      string
	unloading    bool
	sequence     uint64
	history      []engineState
	loseResponse func() bool // whether the next order gets no response and is executed later
	rng          *rand.Rand
	orders       int
}

type engineState struct {
	at     time.Time
	report Report
}

func newFakeEngine(t *testing.T, models ...string) *fakeEngine {
	e := &fakeEngine{t: t, models: map[string]bool{}, heldMB: map[string]float64{}, adapters: map[string]bool{},
		configuredMB: func(string) float64 { return modelMB }, loseResponse: func() bool { return false },
		rng: rand.New(rand.NewPCG(3, 4))}
	for _, m := range models {
		e.models[m] = true
	}
	e.recordState()
	return e
}

// recordState records the state for delayed reports. The caller holds e.mu or has the only reference.
func (e *fakeEngine) recordState() {
	r := Report{Busy: e.loading != "" || e.unloading, Sequence: e.sequence}
	for m := range e.models {
		held := roster.Held{Model: m}
		for a := range e.adapters {
			if m == "m" {
				held.Adapters = append(held.Adapters, a)
			}
		}
		r.Models = append(r.Models, held)
	}
	e.history = append(e.history, engineState{time.Now(), r})
}

func (e *fakeEngine) Report(context.Context, roster.Target) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return delayedReport(e.history), nil
}

// delayedReport returns the state as of reportDelay ago.
func delayedReport(history []engineState) Report {
	limit := time.Now().Add(-reportDelay)
	best := history[0].report
	for _, s := range history {
		if s.at.After(limit) {
			break
		}
		best = s.report
	}
	return best
}

func (e *fakeEngine) Order(_ context.Context, _ roster.Target, o Order) (Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.loseResponse() {
		time.AfterFunc(time.Duration(2+e.rng.IntN(5))*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.execute(o)
		})
		return Unknown, nil
	}
	return e.execute(o), nil
}

func (e *fakeEngine) execute(o Order) Outcome {
	if o.Sequence == e.sequence && !o.Unload && o.Adapter == "" && !e.models[o.Model] {
		used := e.configuredMB(o.Model)
		for m := range e.models {
			used += e.sizeOf(m)
		}
		if used > capacityMB {
			e.t.Errorf("ordered to load %s in addition to %v: %v MB of %v MB", o.Model, e.models, used, capacityMB)
		}
	}
	if e.loading != "" || e.unloading || o.Sequence != e.sequence {
		return Conflict
	}
	outcome := Accepted
	switch {
	case o.Adapter != "" && o.Unload:
		delete(e.adapters, o.Adapter)
		outcome = Completed
	case o.Adapter != "":
		e.adapters[o.Adapter] = true
		if len(e.adapters) > testEngine.AdapterSlots {
			e.t.Errorf("ordered to hold %d adapters, more than the slots", len(e.adapters))
		}
	case o.Unload && !e.models[o.Model]:
		return Completed
	case o.Unload:
		e.unloading = true
		time.AfterFunc(time.Duration(e.rng.IntN(1500))*time.Millisecond, func() { // its running requests end first
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.models, o.Model)
			clear(e.adapters)
			e.unloading = false
			e.recordState()
		})
	case e.models[o.Model]:
		return Completed
	default:
		e.loading = o.Model
		e.heldMB[o.Model] = e.configuredMB(o.Model)
		time.AfterFunc(300*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.models[e.loading], e.loading = true, ""
			e.recordState()
		})
	}
	e.sequence++
	e.recordState()
	return outcome
}

func (e *fakeEngine) sizeOf(model string) float64 {
	if mb, ok := e.heldMB[model]; ok {
		return mb
	}
	return modelMB
}

func (e *fakeEngine) holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[model]
}

// deliverHeartbeatAfter delivers the current state as a heartbeat after a delay, unless a newer heartbeat arrives before.
func (e *fakeEngine) deliverHeartbeatAfter(c *controlledTarget, heartbeatSequence uint64, delay time.Duration) {
	e.mu.Lock()
	state := e.history[len(e.history)-1].report
	e.mu.Unlock()
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		target := c.target
		c.mu.Unlock()
		if target.HeartbeatSequence < heartbeatSequence {
			target.HeartbeatSequence, target.Models = heartbeatSequence, state.Models
			c.applyHeartbeat(target)
		}
	})
}

// discardEvents returns a recorder that discards its events.
func discardEvents(name string) *events.Recorder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return events.NewRecorder(log, name, "a", time.Now)
}

// newTestView returns a view with a configuration of one service.
func newTestView(t *testing.T, service routes.Service) *fleetview.View {
	t.Helper()
	view := fleetview.New(func([]byte) (*routes.Document, error) {
		return &routes.Document{Version: 1, Services: []routes.Service{service}}, nil
	}, "", nil)
	packed, err := routes.Pack(1, nil)
	if err == nil {
		err = view.SetDocument(packed)
	}
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// newTestDirector returns a director with a valid lease and one target "t".
func newTestDirector(t *testing.T, engine OrderClient) (*Director, *controlledTarget) {
	t.Helper()
	view := newTestView(t, routes.Service{Name: "s", Engine: testEngine})
	d := newDirector(Options{Name: "instance"}, view, nil, engine, discardEvents("instance"), metrics.NewRegistry())
	d.lease = &lease{term: 7, expiresAt: bootTime() + time.Hour, clock: bootTime}
	c := newControlledTarget(roster.Target{Key: roster.Key{ID: "t", StartedAtMs: 1}, Service: "s", Slots: 8})
	d.targets["t"] = c
	return d, c
}

func stepUntil(d *Director, c *controlledTarget, done func() bool) bool {
	for range 600 {
		c.step(context.Background(), time.Now(), d)
		time.Sleep(tickInterval)
		synctest.Wait()
		if done() {
			return true
		}
	}
	return false
}

func (c *controlledTarget) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && c.move == nil && !c.callPending
}

// Guards against more models on a target than its memory holds: reports lag, so one that is requested right after an
// order shows the state before it, and a second load must not be checked against it.
func TestStaleReportsDoNotOvercommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine(t, "m", "n")
		d, c := newTestDirector(t, engine)
		if !stepUntil(d, c, c.idle) {
			t.Fatal("the state of the target did not become known")
		}
		c.startMove(time.Now(), residency.Move{Target: "t", Load: "o", Unload: "n"}, testEngine)
		if !stepUntil(d, c, c.idle) {
			t.Fatal("the move did not end within 600 steps")
		}
		if !engine.holds("o") || engine.holds("n") {
			t.Fatalf("models after loading o and unloading n: %v", engine.models)
		}
	})
}

// Guards against exceeded memory and adapter slots when orders get no response and are executed seconds later, after
// newer ones.
func TestLateOrdersDoNotOvercommit(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := newFakeEngine(t, "m", "n")
				rng := rand.New(rand.NewPCG(seed, 1))
				engine.loseResponse = func() bool { return rng.IntN(3) == 0 }
				d, c := newTestDirector(t, engine)
				others := []string{"n", "o"}
				for round := range 12 {
					if !stepUntil(d, c, c.idle) {
						t.Fatal("the state of the target did not become known again")
					}
					adapter := fmt.Sprint("a", rng.IntN(5))
					c.ensureAdapter(context.Background(), d, "m", adapter, testEngine, &testEngine.Models[0])
					if !stepUntil(d, c, c.idle) {
						t.Fatal("the state of the target did not become known again")
					}
					load, unload := others[round%2], others[(round+1)%2]
					c.mu.Lock()
					possible := c.models[unload] && !c.models[load]
					c.mu.Unlock()
					if possible {
						c.startMove(time.Now(), residency.Move{Target: "t", Load: load, Unload: unload}, testEngine)
					}
				}
				time.Sleep(10 * time.Second) // for orders that are still in flight
			})
		})
	}
}

// fakeFleet maps target ids to engines.
type fakeFleet map[string]OrderClient

func (f fakeFleet) Report(ctx context.Context, t roster.Target) (Report, error) {
	return f[t.ID].Report(ctx, t)
}

func (f fakeFleet) Order(ctx context.Context, t roster.Target, o Order) (Outcome, error) {
	return f[t.ID].Order(ctx, t, o)
}

// Guards against more models on a target than its memory holds, from a load planned on a stale report: the demand jumps
// between models while reports lag and orders are lost or executed late.
func TestPlansOnStaleReportsDoNotOvercommit(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 2))
				engines := map[string]*fakeEngine{"t1": newFakeEngine(t, "m", "n"), "t2": newFakeEngine(t, "m", "o"), "t3": newFakeEngine(t, "m")}
				fleet := fakeFleet{}
				d, _ := newTestDirector(t, fleet)
				clear(d.targets)
				for id, e := range engines {
					fleet[id] = e
					e.loseResponse = func() bool { return rng.IntN(4) == 0 }
					d.targets[id] = newControlledTarget(roster.Target{Key: roster.Key{ID: id, StartedAtMs: 1}, Service: "s", Slots: 8})
				}
				service := &d.view.Table().Document().Services[0]
				beats := map[string]uint64{}
				for round := range 300 {
					if round%4 == 0 {
						for id, e := range engines {
							beats[id]++
							e.deliverHeartbeatAfter(d.targets[id], beats[id], time.Duration(rng.IntN(1500))*time.Millisecond)
						}
					}
					if round%15 == 0 {
						for _, m := range testEngine.Models {
							d.smoothed[modelKey{"s", m.Name}] = float64(rng.IntN(60))
						}
					}
					for _, c := range d.targets {
						c.step(context.Background(), time.Now(), d)
					}
					d.plan(time.Now(), service)
					time.Sleep(tickInterval)
					synctest.Wait()
				}
				time.Sleep(10 * time.Second) // for orders that are still in flight
			})
		})
	}
}

// unresponsiveEngine never responds.
type unresponsiveEngine struct{}

func (unresponsiveEngine) Report(ctx context.Context, _ roster.Target) (Report, error) {
	<-ctx.Done()
	return Report{}, ctx.Err()
}

func (unresponsiveEngine) Order(ctx context.Context, _ roster.Target, _ Order) (Outcome, error) {
	<-ctx.Done()
	return Unknown, ctx.Err()
}

// Guards against one unresponsive target whose heartbeats still arrive, and which blocks the moves of all others after a
// change of leader.
func TestUnresponsiveTargetDoesNotBlockPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fakeFleet{"t1": newFakeEngine(t, "m", "n"), "t2": newFakeEngine(t, "m"), "t3": unresponsiveEngine{}}
		d, _ := newTestDirector(t, fleet)
		clear(d.targets)
		for id := range fleet {
			d.targets[id] = newControlledTarget(roster.Target{Key: roster.Key{ID: id, StartedAtMs: 1}, Service: "s", Slots: 8,
				Models: []roster.Held{{Model: "o"}}})
		}
		d.smoothed[modelKey{"s", "n"}] = 60
		service := &d.view.Table().Document().Services[0]
		for range 30 {
			for _, c := range d.targets {
				c.step(context.Background(), time.Now(), d)
			}
			d.plan(time.Now(), service)
			time.Sleep(tickInterval)
			synctest.Wait()
		}
		if engine := fleet["t2"].(*fakeEngine); !engine.holds("n") {
			t.Errorf("the model n in demand was not loaded on t2: %v", engine.models)
		}
		if d.targets["t3"].move != nil {
			t.Error("a move was started on the unresponsive target")
		}
		time.Sleep(2 * reportTimeout) // for calls that are still in flight
	})
}

// Guards against the eviction of an adapter that requests use, and against more adapters than slots.
func TestAdapterInUseIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine(t, "m")
		d, c := newTestDirector(t, engine)
		if !stepUntil(d, c, c.idle) {
			t.Fatal("the state of the target did not become known")
		}
		ensure := func(adapter string) bool {
			_, ok := c.ensureAdapter(context.Background(), d, "m", adapter, testEngine, &testEngine.Models[0])
			return ok
		}
		if !ensure("a1") || !ensure("a2") {
			t.Fatal("adapters were not loaded into free slots")
		}
		if ensure("a3") {
			t.Fatal("an adapter was evicted right after its request")
		}
		time.Sleep(adapterMinIdle)
		c.markAdapterUsed(time.Now(), "m", "a2")
		time.Sleep(adapterMinIdle / 2)
		if !ensure("a3") {
			t.Fatal("no adapter was evicted for a3")
		}
		if engine.adapters["a1"] || !engine.adapters["a2"] || !engine.adapters["a3"] {
			t.Fatalf("adapters %v, want a2 and a3", engine.adapters)
		}
	})
}

// Guards against orders after the lease has ended.
func TestNoOrdersWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine(t, "m", "n")
		d, c := newTestDirector(t, engine)
		if !stepUntil(d, c, c.idle) {
			t.Fatal("the state of the target did not become known")
		}
		d.lease.expiresAt = 0
		c.startMove(time.Now(), residency.Move{Target: "t", Load: "o", Unload: "n"}, testEngine)
		stepUntil(d, c, func() bool { return false })
		if engine.orders != 0 {
			t.Fatalf("%d orders sent without a lease", engine.orders)
		}
	})
}

// Guards against a former leader that goes on giving out permits, and against a new one that begins before the lease of the
// former has ended: gateways that know different leaders would send a target twice its limit.
func TestNoPermitsWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newTestDirector(t, newFakeEngine(t, "m"))
		ask := func() bool {
			request := fleetapi.PermitRequest{Target: roster.Key{ID: "t"}, PerSecond: 2}
			_, _ = d.Permit(time.Now(), request) // the first permit of a leader is not due yet
			time.Sleep(time.Second)
			response, err := d.Permit(time.Now(), request)
			return err == nil && response.Granted
		}
		clock := time.Duration(0)
		d.lease.clock = func() time.Duration { return clock }
		d.lease.permitsFrom, d.lease.expiresAt = time.Minute, time.Hour
		if ask() {
			t.Error("a new leader gives out a permit before the lease of the former one has ended")
		}
		clock = 2 * time.Minute
		if !ask() {
			t.Error("the leader gives out no permit")
		}
		clock = 2 * time.Hour
		if ask() {
			t.Error("a former leader gives out a permit after its lease has ended")
		}
	})
}

// Guards against a gateway that counts its own load as that of others, and against stale load of gateways that no longer
// report.
func TestExchangeSumsOtherGateways(t *testing.T) {
	engine := newFakeEngine(t, "m")
	d, _ := newTestDirector(t, engine)
	now := time.Unix(100, 0)
	report := func(name string, running int, at time.Time) fleetapi.LoadSummary {
		s, err := d.Exchange(at, &fleetapi.LoadReport{Gateway: name, Targets: []fleetapi.TargetLoad{{ID: "t", Running: running, SlownessPercent: 100 * running}}})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	report("one", 3, now)
	report("two", 4, now)
	s := report("three", 5, now)
	if len(s.Targets) != 1 || s.Targets[0].Running != 7 || s.Targets[0].SlownessPercent != 400 || s.Gateways != 3 {
		t.Fatalf("load summary for three: %+v, want that of one and two", s)
	}
	if s = report("three", 5, now.Add(2*gatewayTimeout)); len(s.Targets) != 0 || s.Gateways != 1 {
		t.Fatalf("load summary after the others stopped to report: %+v, want no targets", s)
	}
}

// Guards against an adapter that is loaded at a target of another software version than the one at which a stream goes on.
func TestAdapterAtSoftwareVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := map[string]*fakeEngine{"t1": newFakeEngine(t, "m"), "t2": newFakeEngine(t, "m")}
		d, _ := newTestDirector(t, fakeFleet{"t1": engines["t1"], "t2": engines["t2"]})
		clear(d.targets)
		for id, version := range map[string]string{"t1": "v1", "t2": "v2"} {
			d.targets[id] = newControlledTarget(roster.Target{Key: roster.Key{ID: id, StartedAtMs: 1}, Service: "s", Slots: 8, SoftwareVersion: version})
			if !stepUntil(d, d.targets[id], d.targets[id].idle) {
				t.Fatal("the state of a target did not become known")
			}
		}
		request := fleetapi.AdapterRequest{Service: "s", Model: "m", Adapter: "a1"}
		for version, want := range map[string]string{"v1": "t1", "v2": "t2", "v3": ""} {
			request.SoftwareVersion = &version
			if got := d.Adapter(context.Background(), &request); got.ID != want {
				t.Errorf("target of version %s: %q, problem %q; want %q", version, got.ID, got.Problem, want)
			}
		}
	})
}
