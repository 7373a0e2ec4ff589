package controlinstance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// The simulation runs control instances with their replicated log, lease and director in virtual time, against simulated
// engines that check each order when it arrives.

const (
	simExclusionPeriod = 3 * time.Second // within which an engine must not receive orders from two instances
	simLoadWindow      = 5 * time.Second
	simLoadTolerance   = 1.1
	simLoadBurst       = 3
	// simCrashDetectionTime is how long a director may take an engine that crashed for running.
	simCrashDetectionTime = heartbeatTimeout + 3*time.Second
)

var simService = routes.Service{Name: "s", Engine: &routes.Engine{Slots: 8, CapacityMB: capacityMB, AdapterSlots: 2, LoadsPerSecond: 0.2,
	Models: []routes.Model{
		{Name: "m", WeightsMB: modelMB, LoadTime: time.Second, DiskLoadTime: 300 * time.Millisecond, Adapters: 9, AdapterMB: 1},
		{Name: "n", WeightsMB: modelMB, LoadTime: time.Second, DiskLoadTime: 300 * time.Millisecond},
		{Name: "o", WeightsMB: modelMB, LoadTime: time.Second, DiskLoadTime: 300 * time.Millisecond},
		{Name: "p", WeightsMB: modelMB, LoadTime: time.Second, DiskLoadTime: 300 * time.Millisecond},
	}}}

// simulation is the state of one run.
type simulation struct {
	t   *testing.T
	dir string

	mu            sync.Mutex
	rng           *rand.Rand
	instances     []*simInstance
	engines       []*simEngine
	partitioned   map[int]bool // instances that send and receive nothing but calls to engines
	isolated      map[int]bool // instances that send and receive nothing
	lossy         bool         // orders and their responses get lost or delayed
	loads         []time.Time  // times of the loads from the weight store
	crashedCopies []simCrashedCopy
	failures      []string
}

// simCrashedCopy is a model that was loaded on an engine when it crashed.
type simCrashedCopy struct {
	model       string
	countsUntil time.Time
}

func (s *simulation) failf(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// simInstance is one control instance.
type simInstance struct {
	s        *simulation
	number   int
	view     *fleetview.View
	group    *replica.Group
	director *Director
	stop     context.CancelFunc
	done     chan struct{}
}

func instanceName(number int) string { return string(rune('a' + number)) }

func (s *simulation) startInstance(number int, firstStart bool) {
	names := []string{"a", "b", "c"}
	dir := filepath.Join(s.dir, instanceName(number))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		s.t.Fatal(err)
	}
	inst := &simInstance{s: s, number: number, view: newTestView(s.t, simService), done: make(chan struct{})}
	options := replica.Options{
		Name: GroupName, Self: instanceName(number), Voters: names, Dynamic: true, DataDir: dir,
		Machine: routes.NewStore(func(routes.CompressedDocument) {}), Sender: simTransport{s, number}, Peers: simTransport{s, number},
		ElectionTimeout: electionTimeout, HeartbeatInterval: raftHeartbeatInterval, ProposeTimeout: proposeTimeout,
		JoinInterval: joinInterval, UnreachableTimeouts: raft.UnreachableTimeouts{WithReplacement: replacedVoterTimeout, WithoutReplacement: lostVoterTimeout},
		OnRemoved: func() { go s.rejoin(number) },
	}
	if firstStart {
		options.InitialVoters = names
	}
	var err error
	if inst.group, err = replica.Open(options); err != nil {
		s.t.Fatal(err)
	}
	inst.director = newDirector(Options{Name: instanceName(number), ExclusionPeriod: simExclusionPeriod}, inst.view, inst.group, simOrders{s, number}, discardEvents(instanceName(number)),
		metrics.NewRegistry())
	clockStart := time.Unix(0, 0)
	inst.director.lease.clock = func() time.Duration { return time.Since(clockStart) }
	ctx, stop := context.WithCancel(context.Background())
	inst.stop = stop
	var running sync.WaitGroup
	running.Go(func() {
		if err := inst.group.Run(ctx); err != nil {
			s.t.Error(err)
		}
	})
	running.Go(func() { inst.director.Run(ctx) })
	go func() { running.Wait(); close(inst.done) }()
	s.mu.Lock()
	s.instances[number] = inst
	s.mu.Unlock()
}

func (s *simulation) stopInstance(number int) {
	s.mu.Lock()
	inst := s.instances[number]
	s.instances[number] = nil
	s.mu.Unlock()
	if inst != nil {
		inst.stop()
		<-inst.done
	}
}

// rejoin restarts an instance with an empty data folder, as its process does after a removal from the group.
func (s *simulation) rejoin(number int) {
	s.stopInstance(number)
	if err := os.RemoveAll(filepath.Join(s.dir, instanceName(number))); err != nil {
		s.t.Error(err)
	}
	s.startInstance(number, false)
}

// reachableInstance returns the instance with number to, or nil if it is down or unreachable from the instance with
// number from.
func (s *simulation) reachableInstance(from, to int) *simInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partitioned[from] || s.partitioned[to] || s.isolated[from] || s.isolated[to] {
		return nil
	}
	return s.instances[to]
}

// simTransport is the transport between the replicated logs of the instances.
type simTransport struct {
	s    *simulation
	from int
}

func (l simTransport) Send(name string, m raft.Message) {
	time.AfterFunc(time.Millisecond, func() {
		if inst := l.s.reachableInstance(l.from, int(name[0]-'a')); inst != nil {
			inst.group.HandleMessage(m)
		}
	})
}

func (l simTransport) Propose(ctx context.Context, name string, r replica.ProposeRequest) (replica.ProposeResponse, error) {
	if inst := l.s.reachableInstance(l.from, int(name[0]-'a')); inst != nil {
		return inst.group.HandlePropose(ctx, r)
	}
	return replica.ProposeResponse{}, replica.ErrNotRun
}

func (l simTransport) Fetch(ctx context.Context, name string, r replica.FetchRequest) (replica.FetchResponse, error) {
	if inst := l.s.reachableInstance(l.from, int(name[0]-'a')); inst != nil {
		return inst.group.HandleFetch(ctx, r)
	}
	return replica.FetchResponse{}, replica.ErrNotRun
}

// simEngine is one engine replica. The lock of the simulation guards all fields.
type simEngine struct {
	s                 *simulation
	id                string
	startedAtMs       int64
	heartbeatSequence uint64
	models            map[string]bool
	onDisk            map[string]bool
	adapters          map[string]bool
	loading           string
	unloading         string
	sequence          uint64
	fence             uint64
	holder            string
	lastOrderAt       time.Time
	unresponsive      bool
	history           []engineState
}

func (e *simEngine) reset(models ...string) {
	e.startedAtMs, e.heartbeatSequence, e.sequence, e.fence, e.holder, e.loading, e.unloading = e.startedAtMs+1, 0, 0, 0, "", "", ""
	e.models, e.adapters, e.history = make(map[string]bool), make(map[string]bool), nil
	for _, m := range models {
		e.models[m] = true
		e.onDisk[m] = true
	}
	e.recordState()
}

func (e *simEngine) held() []roster.Held {
	var list []roster.Held
	for _, m := range simService.Engine.Models {
		if !e.models[m.Name] {
			continue
		}
		held := roster.Held{Model: m.Name}
		if m.Name == "m" {
			for a := range e.adapters {
				held.Adapters = append(held.Adapters, a)
			}
			slices.Sort(held.Adapters)
		}
		list = append(list, held)
	}
	return list
}

func (e *simEngine) recordState() {
	e.history = append(e.history, engineState{time.Now(), Report{Models: e.held(), Busy: e.loading+e.unloading != "", Sequence: e.sequence}})
}

func (e *simEngine) usedMB() float64 {
	return modelMB*float64(len(e.models)) + float64(len(e.adapters))
}

// checkOrder checks an order when it arrives: fencing number, holder, and whether another copy is left after an unload.
func (e *simEngine) checkOrder(o *Order) {
	s, now := e.s, time.Now()
	switch {
	case o.Fence < e.fence:
		s.failf("%s: order with fencing number %d of %s after %d of %s", e.id, o.Fence, o.Holder, e.fence, e.holder)
	case o.Fence == e.fence && o.Holder != e.holder:
		s.failf("%s: orders with fencing number %d of both %s and %s", e.id, o.Fence, o.Holder, e.holder)
	case e.holder != "" && o.Holder != e.holder && now.Sub(e.lastOrderAt) < simExclusionPeriod:
		s.failf("%s: order of %s only %v after an order of %s", e.id, o.Holder, now.Sub(e.lastOrderAt), e.holder)
	}
	e.fence, e.holder, e.lastOrderAt = o.Fence, o.Holder, now
	if o.Unload && o.Adapter == "" && e.models[o.Model] && !s.heldElsewhere(e, o.Model) {
		s.failf("%s: order to unload the last copy of %s", e.id, o.Model)
	}
}

// heldElsewhere reports whether another engine holds a model and keeps it, or held it at a crash that a director can't
// know of yet.
func (s *simulation) heldElsewhere(e *simEngine, model string) bool {
	for _, other := range s.engines {
		if other != e && other.models[model] && other.unloading != model {
			return true
		}
	}
	return slices.ContainsFunc(s.crashedCopies, func(g simCrashedCopy) bool { return g.model == model && time.Now().Before(g.countsUntil) })
}

// execute executes an order, which may be delayed.
func (e *simEngine) execute(startedAtMs int64, o *Order) Outcome {
	s := e.s
	switch {
	case startedAtMs != e.startedAtMs:
		return Replaced
	case o.Sequence != e.sequence || e.loading+e.unloading != "":
		return Conflict
	case o.Adapter != "" && !e.models[o.Model]:
		return Refused
	}
	outcome := Accepted
	switch {
	case o.Adapter != "" && o.Unload:
		delete(e.adapters, o.Adapter)
		outcome = Completed
	case o.Adapter != "":
		e.adapters[o.Adapter] = true
	case e.models[o.Model] != o.Unload:
		return Completed
	case o.Unload:
		e.unloading = o.Model
		e.runAfter(time.Duration(s.rng.IntN(1500))*time.Millisecond, func() { // its running requests end first
			delete(e.models, o.Model)
			if o.Model == "m" {
				clear(e.adapters)
			}
			e.unloading = ""
		})
	default:
		e.load(o.Model)
	}
	e.sequence++
	e.recordState()
	if used := e.usedMB(); used > capacityMB || len(e.adapters) > simService.Engine.AdapterSlots {
		s.failf("%s: %v MB of %v MB and %d adapters in use after order %+v", e.id, used, capacityMB, len(e.adapters), *o)
	}
	return outcome
}

func (e *simEngine) load(model string) {
	took := time.Second
	if e.onDisk[model] {
		took = 300 * time.Millisecond
	} else {
		e.s.checkLoadRate()
	}
	e.loading = model
	if used := e.usedMB() + modelMB; used > capacityMB {
		e.s.failf("%s: ordered to load %s: needs %v MB of %v MB", e.id, model, used, capacityMB)
	}
	e.runAfter(took, func() {
		e.models[model], e.onDisk[model], e.loading = true, true, ""
	})
}

// runAfter runs f after d, unless the engine has restarted by then.
func (e *simEngine) runAfter(d time.Duration, f func()) {
	startedAtMs := e.startedAtMs
	time.AfterFunc(d, func() {
		e.s.mu.Lock()
		defer e.s.mu.Unlock()
		if startedAtMs == e.startedAtMs {
			f()
			e.recordState()
		}
	})
}

func (s *simulation) checkLoadRate() {
	now := time.Now()
	s.loads = append(s.loads, now)
	s.loads = slices.DeleteFunc(s.loads, func(at time.Time) bool { return now.Sub(at) > simLoadWindow })
	limit := simService.Engine.LoadsPerSecond*simLoadWindow.Seconds()*simLoadTolerance + simLoadBurst
	if float64(len(s.loads)) > limit {
		s.failf("%d loads from the weight store within %v", len(s.loads), simLoadWindow)
	}
}

// simOrders sends the orders of one instance to the engines that it can reach.
type simOrders struct {
	s    *simulation
	from int
}

func (w simOrders) engine(target roster.Target) *simEngine {
	at := slices.IndexFunc(w.s.engines, func(e *simEngine) bool { return e.id == target.ID })
	if e := w.s.engines[at]; !e.unresponsive && !w.s.isolated[w.from] && w.s.instances[w.from] != nil {
		return e
	}
	return nil
}

func (w simOrders) Report(ctx context.Context, target roster.Target) (Report, error) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	e := w.engine(target)
	if e == nil || e.startedAtMs != target.StartedAtMs {
		w.s.mu.Unlock()
		<-ctx.Done()
		w.s.mu.Lock()
		return Report{}, ctx.Err()
	}
	return delayedReport(e.history), nil
}

func (w simOrders) Order(ctx context.Context, target roster.Target, o Order) (Outcome, error) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	e := w.engine(target)
	if e == nil {
		w.s.mu.Unlock()
		<-ctx.Done()
		w.s.mu.Lock()
		return Unknown, ctx.Err()
	}
	if e.startedAtMs != target.StartedAtMs {
		return Replaced, nil
	}
	e.checkOrder(&o)
	if !w.s.lossy || w.s.rng.IntN(3) > 0 {
		return e.execute(target.StartedAtMs, &o), nil
	}
	if w.s.rng.IntN(2) == 0 { // only the response is lost
		e.execute(target.StartedAtMs, &o)
	} else {
		time.AfterFunc(time.Duration(1000+w.s.rng.IntN(5000))*time.Millisecond, func() {
			w.s.mu.Lock()
			defer w.s.mu.Unlock()
			e.execute(target.StartedAtMs, &o)
		})
	}
	return Unknown, errors.New("the response to the order was lost")
}

// heartbeats sends the state of an engine to the instances, delayed by up to two seconds.
func (s *simulation) heartbeats(ctx context.Context, e *simEngine) {
	for ctx.Err() == nil {
		s.mu.Lock()
		e.heartbeatSequence++
		target := roster.Target{Key: roster.Key{ID: e.id, StartedAtMs: e.startedAtMs}, Service: "s", DataCentre: "a", Address: e.id + ":1", Slots: 8,
			State: roster.Ready, HeartbeatSequence: e.heartbeatSequence, Models: e.held()}
		for m := range e.onDisk {
			target.OnDisk = append(target.OnDisk, m)
		}
		slices.Sort(target.OnDisk)
		delay := time.Duration(s.rng.IntN(100)) * time.Millisecond
		if s.rng.IntN(8) == 0 {
			delay = time.Duration(s.rng.IntN(2000)) * time.Millisecond
		}
		s.mu.Unlock()
		time.AfterFunc(delay, func() {
			for number := range s.instances {
				if inst := s.reachableInstance(number, number); inst != nil {
					if _, err := inst.view.ApplyHeartbeat(time.Now(), target); err != nil {
						s.t.Error(err)
					}
				}
			}
		})
		time.Sleep(1200 * time.Millisecond)
	}
}

// gateway reports a demand that changes between the models, and requests adapters.
func (s *simulation) gateway(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		s.mu.Lock()
		busy := simService.Engine.Models[round/50%4].Name
		adapter := fmt.Sprint("a", s.rng.IntN(6))
		s.mu.Unlock()
		report := fleetapi.LoadReport{Gateway: "g", Models: []fleetapi.ModelLoad{
			{Service: "s", Model: busy, Running: 30}, {Service: "s", Model: "m", Running: 3}}}
		for number := range s.instances {
			if inst := s.reachableInstance(number, number); inst != nil {
				if _, err := inst.director.Exchange(time.Now(), &report); err != nil {
					s.t.Error(err)
				}
				if round%3 == 0 {
					go inst.director.Adapter(ctx, &fleetapi.AdapterRequest{Service: "s", Model: "m", Adapter: adapter})
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitAllVoters waits until every instance is a voter of the group, and reports whether that happened within the
// limit.
func (s *simulation) awaitAllVoters(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		voters := 0
		for number := range s.instances {
			if inst := s.reachableInstance(number, number); inst != nil {
				if status := inst.group.Status(); status.Voter && status.Leader != "" && len(status.Voters) == len(s.instances) {
					voters++
				}
			}
		}
		if voters == len(s.instances) {
			return true
		}
	}
	return false
}

// describe returns the state of the engines and of the directors for a failure message. The caller holds s.mu.
func (s *simulation) describe() string {
	var b strings.Builder
	for _, e := range s.engines {
		fmt.Fprintf(&b, "\n%s: started at %d, sequence %d, holds %v, adapters %v, loads %q, unloads %q", e.id, e.startedAtMs, e.sequence, e.models,
			e.adapters, e.loading, e.unloading)
	}
	for _, inst := range s.instances {
		if inst == nil {
			continue
		}
		_, allowed := inst.director.lease.Fence()
		fmt.Fprintf(&b, "\n%s: orders allowed %v, status %+v", instanceName(inst.number), allowed, inst.group.Status())
		if !allowed {
			continue
		}
		inst.director.mu.Lock()
		for id, c := range inst.director.targets {
			c.mu.Lock()
			fmt.Fprintf(&b, "\n  %s: started at %d, known %v, call pending %v, sequence %d, models %v, adapters %v, move %+v", id, c.startedAtMs, c.known, c.callPending,
				c.sequence, c.models, c.adapters, c.move)
			c.mu.Unlock()
		}
		for _, t := range inst.view.Targets() {
			fmt.Fprintf(&b, "\n  %s heard %v ago: started at %d, heartbeat %d, state %v", t.ID, time.Since(t.HeardAt), t.StartedAtMs, t.HeartbeatSequence, t.State)
		}
		fmt.Fprintf(&b, "\n  demand %v, rates %+v", inst.director.smoothed, inst.director.storeRates["s"])
		inst.director.mu.Unlock()
	}
	return b.String()
}

// injectFault injects one fault for a time: 0 cuts an instance off from all but the engines, 1 cuts an instance off
// from everything, 2 restarts an instance, 3 restarts all instances, 4 crashes an engine, 5 makes an engine
// unresponsive, 6 wipes the disk of an instance, and others lose or delay orders and responses.
func (s *simulation) injectFault(fault, victim int, length time.Duration) {
	set := func(change func()) {
		s.mu.Lock()
		defer s.mu.Unlock()
		change()
	}
	instance, engine := victim%len(s.instances), s.engines[victim%len(s.engines)]
	switch fault {
	case 0:
		set(func() { s.partitioned[instance] = true })
		time.Sleep(length)
		set(func() { s.partitioned[instance] = false })
	case 1:
		set(func() { s.isolated[instance] = true })
		time.Sleep(length)
		set(func() { s.isolated[instance] = false })
	case 2:
		s.stopInstance(instance)
		time.Sleep(length)
		s.startInstance(instance, false)
	case 3:
		for number := range s.instances {
			s.stopInstance(number)
		}
		time.Sleep(length)
		for number := range s.instances {
			s.startInstance(number, false)
		}
	case 4:
		set(func() {
			for m := range engine.models {
				s.crashedCopies = append(s.crashedCopies, simCrashedCopy{m, time.Now().Add(simCrashDetectionTime)})
			}
			engine.reset()
		})
	case 5:
		set(func() { engine.unresponsive = true })
		time.Sleep(length)
		set(func() { engine.unresponsive = false })
	case 6:
		if !s.awaitAllVoters(30 * time.Second) {
			return // the loss of two disks at a time is not tolerated
		}
		s.rejoin(instance)
		time.Sleep(length)
	default:
		set(func() { s.lossy = true })
		time.Sleep(length)
		set(func() { s.lossy = false })
	}
}

// Checks the invariants of orders while control instances and engines fail: one holder at a time, fencing numbers that
// never decrease, memory and adapter slots not exceeded, a bounded rate of loads from the weight store, no unload of a
// last copy. After recovery every model is loaded.
func TestOrderInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 6).Draw(rt, "faults")
		victims := rapid.SliceOfN(rapid.IntRange(0, 11), len(faults), len(faults)).Draw(rt, "victims")
		lengths := rapid.SliceOfN(rapid.IntRange(100, 6000), len(faults), len(faults)).Draw(rt, "lengths in ms")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 5000), len(faults), len(faults)).Draw(rt, "pauses in ms")
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			s := &simulation{t: t, dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, 5)), instances: make([]*simInstance, 3),
				partitioned: map[int]bool{}, isolated: map[int]bool{}}
			for i, models := range [][]string{{"m", "n"}, {"m", "o"}, {"m", "p"}, {"n"}} {
				e := &simEngine{s: s, id: fmt.Sprint("t", i), onDisk: map[string]bool{}}
				e.reset(models...)
				s.engines = append(s.engines, e)
			}
			ctx, stop := context.WithCancel(context.Background())
			for number := range s.instances {
				s.startInstance(number, true)
			}
			for _, e := range s.engines {
				go s.heartbeats(ctx, e)
			}
			go s.gateway(ctx)
			time.Sleep(6 * time.Second)
			for i, fault := range faults {
				s.injectFault(fault, victims[i], time.Duration(lengths[i])*time.Millisecond)
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			time.Sleep(40 * time.Second)
			s.mu.Lock()
			for _, m := range simService.Engine.Models {
				if !s.heldElsewhere(nil, m.Name) {
					s.failf("no engine holds %s at the end:%s", m.Name, s.describe())
				}
			}
			failures = slices.Clone(s.failures)
			s.mu.Unlock()
			stop()
			for number := range s.instances {
				s.stopInstance(number)
			}
			time.Sleep(10 * time.Second) // for orders that are still in flight
			synctest.Wait()
		})
		if len(failures) > 0 {
			rt.Fatal(failures)
		}
	})
}
