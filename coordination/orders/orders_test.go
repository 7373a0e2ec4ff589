package orders

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/coordination/controllerlease"
	"github.com/tarragonhoist/tarragonhoist/coordination/loadlimit"
	"github.com/tarragonhoist/tarragonhoist/coordination/lossynet"
	"github.com/tarragonhoist/tarragonhoist/coordination/placement"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
	"github.com/tarragonhoist/tarragonhoist/state/memledger/memledgertest"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// unlimitedSlots permits every load.
type unlimitedSlots struct{}

func (unlimitedSlots) AddRunning(string, loadlimit.Kind) {}
func (unlimitedSlots) Finish(time.Time, string)          {}
func (unlimitedSlots) Start(_ time.Time, loads []loadlimit.Load) []string {
	ids := make([]string, len(loads))
	for i := range loads {
		ids[i] = loads[i].ID
	}
	return ids
}

// simulation is a data centre with three electors (one may be the witness), several engines and one controller at a time.
// A deposed controller may continue for a while, and its messages stay in transit.
type simulation struct {
	t          *rapid.T
	random     *rand.Rand
	now        time.Time
	electorate controllerlease.Electorate
	voters     []string
	copies     map[string]*electorate.JournalCopy
	promised   map[string]uint64
	engines    []*memledgertest.Engine
	issuer     *Issuer
	// deposed continues until deposedUntil without knowing of its successor.
	deposed       *Issuer
	deposedUntil  time.Time
	fence         uint64
	models        []placement.Model
	newestReports map[string]*targetapi.Announcement
	network       *lossynet.Network
	delivered     int
	terms         int
	journaled     map[string]bool
	// copyLost is set once an elector has lost records that it had acknowledged.
	copyLost    bool
	losesCopies bool
	ready       map[string]bool
	lastRestart time.Time
}

func (sim *simulation) post(deliver func()) { sim.network.Post(sim.now.Sub(epoch), deliver) }

// startTerm starts a new controller with the journal copies of a majority: the named electors and random others.
func (sim *simulation) startTerm(names ...string) {
	sim.fence++
	sim.terms++
	others := slices.Clone(sim.voters)
	sim.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, name := range others {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	var copies []electorate.JournalCopy
	for _, name := range names[:sim.electorate.Majority()] {
		sim.promised[name] = sim.fence
		copies = append(copies, sim.copies[name].Clone())
	}
	sim.deposed, sim.deposedUntil = sim.issuer, sim.now.Add(time.Duration(sim.random.Int64N(int64(20*time.Second))))
	sim.issuer = New(sim.electorate)
	if err := sim.issuer.StartTerm(sim.now, sim.fence, copies, unlimitedSlots{}); err != nil {
		sim.t.Fatal(err)
	}
}

func (sim *simulation) runController(issuer *Issuer) {
	if _, err := issuer.ApplyReports(sim.now, slices.Collect(maps.Values(sim.newestReports))); err != nil {
		sim.t.Fatal(err)
	}
	in := placement.Input{Targets: issuer.Targets(), Models: sim.models, ReplicaRate: 10}
	wanted := placement.Plan(in)
	if _, err := issuer.Plan(sim.now, &in, &wanted); err != nil {
		sim.t.Fatal(err)
	}
	for _, r := range issuer.PendingRecords(sim.now) {
		if r.Elector == "c" && sim.random.IntN(10) > 0 {
			// Nine of ten records to elector c are dropped, so that its copy lags behind.
			continue
		}
		sim.post(func() {
			held, state := sim.copies[r.Elector].Add(r.Record, sim.promised[r.Elector])
			sim.post(func() {
				issuer.AcknowledgeRecord(controllerlease.RecordResponse{Elector: r.Elector, Stored: held, State: state})
			})
		})
	}
	for _, s := range issuer.DueOrders(sim.now) {
		e := sim.engines[slices.IndexFunc(sim.engines, func(e *memledgertest.Engine) bool { return e.Name == s.Target })]
		if s.Order.Kind != targetapi.RaiseFence && !sim.copyLost && !sim.journaled[s.Order.ID] {
			sim.checkRecordOnMajority(s.Order.ID)
		}
		sim.post(func() {
			if e.Incarnation == s.Incarnation {
				e.Receive(s.Order)
				sim.delivered++
			}
		})
	}
}

// checkRecordOnMajority fails the test if an order is sent before a majority holds its journal record.
func (sim *simulation) checkRecordOnMajority(id string) {
	holders := 0
	for _, c := range sim.copies {
		state, err := replay(c)
		if err != nil {
			sim.t.Fatal(err)
		}
		for _, t := range state.Targets {
			if slices.ContainsFunc(t.Open, func(o targetapi.Order) bool { return o.ID == id }) {
				holders++
			}
		}
	}
	if holders < sim.electorate.Majority() {
		sim.t.Fatalf("order %s was sent while %d electors held its record, fewer than a majority", id, holders)
	}
	sim.journaled[id] = true
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(100 * time.Millisecond)
	sim.network.Deliver(sim.now.Sub(epoch))
	for _, e := range sim.engines {
		for _, id := range e.Running() {
			if sim.random.IntN(5) == 0 {
				e.Finish(id, sim.random.IntN(10) == 0)
			}
		}
		if sim.random.IntN(5) == 0 {
			a := e.Announce()
			sim.post(func() {
				// The newest announcement normally wins, but one in four late ones replaces it: a new controller may see an
				// older one first.
				if old := sim.newestReports[a.Target]; old == nil || sim.random.IntN(4) == 0 || old.Incarnation < a.Incarnation ||
					old.Incarnation == a.Incarnation && old.Sequence < a.Sequence {
					sim.newestReports[a.Target] = a
				}
			})
		}
		if use := e.UsedBytes(); use > e.CapacityBytes {
			sim.t.Fatalf("at %v engine %s uses %d of %d bytes", sim.now.Sub(epoch), e.Name, use, e.CapacityBytes)
		}
	}
	refusing := 0
	for _, p := range sim.promised {
		if p > sim.fence {
			refusing++
		}
	}
	if refusing >= sim.electorate.Majority() || refusing > 0 && sim.random.IntN(30) == 0 {
		// The lease ends, or its holder takes a higher fencing number to win back an elector that promised one.
		sim.startTerm()
	}
	sim.checkReadyReplicas()
	sim.runController(sim.issuer)
	if !sim.losesCopies && sim.deposed != nil && sim.now.Before(sim.deposedUntil) {
		sim.runController(sim.deposed)
	}
}

func newSimulation(t *rapid.T, losesCopies bool) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: epoch,
		electorate: controllerlease.Electorate{DataCentre: "dc", Instances: []string{"a", "b", "c"}}, journaled: map[string]bool{},
		copies: map[string]*electorate.JournalCopy{}, promised: map[string]uint64{}, newestReports: map[string]*targetapi.Announcement{},
	}
	sim.network = &lossynet.Network{
		Random: sim.random, LossShare: 0.16, RepeatShare: 0.16, LateShare: 0.12, MaxDelay: 300 * time.Millisecond, MaxLate: 20 * time.Second,
	}
	sim.losesCopies = losesCopies
	if sim.random.IntN(2) == 0 {
		sim.electorate.Instances = []string{"a", "c"}
	}
	sim.voters = slices.Clone(sim.electorate.Instances)
	if sim.electorate.HasWitness() {
		sim.voters = append(sim.voters, controllerlease.Witness)
	}
	if losesCopies {
		sim.network.MaxLate = memledger.MaxMessageLifetime - sim.network.MaxDelay
	}
	for _, name := range sim.voters {
		sim.copies[name] = &electorate.JournalCopy{}
	}
	for i := range 3 {
		e := &memledgertest.Engine{Name: fmt.Sprint("t", i), ChecksFencing: sim.random.IntN(2) == 0, CapacityBytes: 70}
		e.Restart()
		sim.engines = append(sim.engines, e)
	}
	for i := range 4 {
		m := placement.Model{Name: fmt.Sprint("m", i), Version: "1", MemoryBytes: 10 + sim.random.Int64N(12), IsHome: true, Demand: 30 * sim.random.Float64()}
		m.Adapters = []placement.Adapter{{Name: "a", Version: "1", MemoryBytes: 2}}
		sim.models = append(sim.models, m)
	}
	sim.startTerm()
	return sim
}

// checkReadyReplicas fails the test if a model or adapter loses its last ready replica, in any version, unless a target
// was restarted a short time ago.
func (sim *simulation) checkReadyReplicas() {
	ready := map[string]bool{}
	for _, e := range sim.engines {
		for item, r := range e.Residents {
			modelReady := false
			for other, m := range e.Residents {
				modelReady = modelReady || other.Model == item.Model && other.Adapter == "" && m.State == targetapi.Ready
			}
			if r.State == targetapi.Ready && (item.Adapter == "" || modelReady) {
				ready[item.Model+":"+item.Adapter] = true
			}
		}
	}
	for name := range sim.ready {
		if !ready[name] && sim.now.Sub(sim.lastRestart) > sim.network.MaxLate+10*time.Second {
			sim.t.Fatalf("at %v the last ready replica of %s was lost", sim.now.Sub(epoch), name)
		}
	}
	sim.ready = ready
}

// allReady reports whether each model and adapter is ready on some engine in the version in effect.
func (sim *simulation) allReady() bool {
	for _, m := range sim.models {
		for _, item := range []memledger.Item{{Model: m.Name, Version: m.Version}, {Model: m.Name, Version: m.Adapters[0].Version, Adapter: "a"}} {
			if !slices.ContainsFunc(sim.engines, func(e *memledgertest.Engine) bool { return e.Residents[item].State == targetapi.Ready }) {
				return false
			}
		}
	}
	return true
}

// Guards against load slots that stay in use by orders that never reached the journal, after the fencing number of the
// holder changed, or by orders to a lost target.
func TestSlotsOfAbandonedAndLostLoadsAreFreed(t *testing.T) {
	limiter, err := loadlimit.New(epoch, "dc", 1, []string{"dc"}, loadlimit.Limits{WeightLoadsPerSecond: 9, WeightLoads: 9, AdapterLoads: 9})
	if err != nil {
		t.Fatal(err)
	}
	issuer, now := New(controllerlease.Electorate{DataCentre: "dc", Instances: []string{"a"}}), epoch.Add(time.Minute)
	e := &memledgertest.Engine{Name: "t", CapacityBytes: 100, ChecksFencing: true}
	e.Restart()
	e.Receive(targetapi.Order{ID: "raise", Fence: 2, Kind: targetapi.RaiseFence})
	in := placement.Input{Models: []placement.Model{{Name: "m", Version: "1", MemoryBytes: 10, IsHome: true}}}
	for fence := uint64(1); fence < 3; fence++ {
		if err := issuer.StartTerm(now, fence, nil, limiter); err != nil {
			t.Fatal(err)
		}
		if n := limiter.Status()[loadlimit.Weights].InFlight; n != 0 {
			t.Fatalf("%d slots are in use at the start of term %d, want 0", n, fence)
		}
		_, _ = issuer.ApplyReports(now, []*targetapi.Announcement{e.Announce()})
		in.Targets = issuer.Targets()
		wanted := placement.Plan(in)
		if planned, err := issuer.Plan(now, &in, &wanted); err != nil || len(planned) != 1 {
			t.Fatalf("planned orders %v with error %v, want one order", planned, err)
		}
	}
	// The slots of a lost target are freed, and count again when it returns with the same incarnation.
	for _, step := range []struct {
		after   time.Duration
		reports []*targetapi.Announcement
		want    int
	}{{time.Second, nil, 1}, {loadlimit.MaxLoadTime, nil, 0}, {loadlimit.MaxLoadTime, nil, 0}, {20 * time.Second, []*targetapi.Announcement{e.Announce()}, 1}} {
		_, _ = issuer.ApplyReports(now.Add(step.after), step.reports)
		if n := limiter.Status()[loadlimit.Weights].InFlight; n != step.want {
			t.Errorf("%d loads in flight after %v, want %d", n, step.after, step.want)
		}
	}
}

// Guards against a successor that trusts journal copies although none of them may hold the latest orders, because one
// elector lost its copy and another one lagged behind.
func TestTakeNeedsEnoughIntactCopies(t *testing.T) {
	e := controllerlease.Electorate{DataCentre: "dc", Instances: []string{"a", "b", "c"}}
	first, copies := New(e), map[string]*electorate.JournalCopy{"a": {}, "b": {}, "c": {}}
	_ = first.StartTerm(epoch, 1, nil, unlimitedSlots{})
	_, _ = first.ApplyReports(epoch.Add(2*memledger.MaxMessageLifetime), nil)
	for _, r := range first.PendingRecords(epoch) {
		copies[r.Elector].Add(r.Record, 0)
	}
	for _, c := range []struct {
		copies []electorate.JournalCopy
		want   bool
	}{
		{nil, false}, {[]electorate.JournalCopy{{}, *copies["c"]}, false}, {[]electorate.JournalCopy{*copies["b"], *copies["c"]}, true},
	} {
		issuer := New(e)
		if err := issuer.StartTerm(epoch, 2, c.copies, unlimitedSlots{}); err != nil || issuer.JournalComplete() != c.want {
			t.Errorf("with %d copies: journal complete %v, error %v", len(c.copies), issuer.JournalComplete(), err)
		}
		in := placement.Input{Models: []placement.Model{{Name: "m", Version: "1", MemoryBytes: 10, IsHome: true}}}
		engine := &memledgertest.Engine{Name: "t", CapacityBytes: 100}
		engine.Restart()
		// This target accepts reservations at once because it checks fencing numbers. It has an item to unload and none
		// to load.
		full := &memledgertest.Engine{Name: "u", CapacityBytes: 10, ChecksFencing: true}
		full.Restart()
		full.Receive(targetapi.Order{ID: "raise", Fence: 2, Kind: targetapi.RaiseFence})
		full.Residents[memledger.Item{Model: "withdrawn"}] = targetapi.Resident{Model: "withdrawn", State: targetapi.Ready, Bytes: 10}
		for _, after := range []time.Duration{0, 2*memledger.MaxMessageLifetime - 1, 2 * memledger.MaxMessageLifetime} {
			now := epoch.Add(after)
			_, _ = issuer.ApplyReports(now, []*targetapi.Announcement{engine.Announce(), full.Announce()})
			in.Targets = issuer.Targets()
			wanted := placement.Plan(in)
			want := c.want && after == 0 || !c.want && after == 2*memledger.MaxMessageLifetime
			if planned, _ := issuer.Plan(now, &in, &wanted); (len(planned) > 0) != want {
				t.Errorf("%v after the takeover with %d copies: %d orders are planned", after, len(c.copies), len(planned))
			}
		}
	}
}

// Guards against overcommitted memory, orders that are sent before a majority holds their journal record, lost last
// replicas, and models that never become ready. The schedule has lost, late and duplicate messages, controller changes,
// version changes, target restarts and, if losesCopies is set, electors that lose their journal copies.
func TestOrdersStayWithinMemory(t *testing.T) {
	for _, losesCopies := range []bool{false, true} {
		t.Run(fmt.Sprintf("copies lost %v", losesCopies), func(t *testing.T) {
			delivered, terms := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				sim := newSimulation(t, losesCopies)
				for range 600 {
					sim.step()
					switch sim.random.IntN(400) {
					case 0, 1, 2, 3:
						sim.startTerm()
					case 4:
						sim.engines[sim.random.IntN(len(sim.engines))].Restart()
						sim.lastRestart = sim.now
					case 5, 6, 7:
						sim.models = slices.Clone(sim.models)
						m := &sim.models[sim.random.IntN(len(sim.models))]
						m.Version += "x"
						m.MemoryBytes = 10 + sim.random.Int64N(12)
					case 8, 9:
						if losesCopies {
							// The elector rejoins with an empty copy and promises a fencing number above all earlier ones.
							name := sim.electorate.Instances[sim.random.IntN(len(sim.electorate.Instances))]
							*sim.copies[name], sim.promised[name] = electorate.JournalCopy{}, sim.fence+1
							sim.copyLost = true
							if sim.random.IntN(2) == 0 {
								sim.startTerm(name)
							}
						}
					}
				}
				for round := 0; !sim.allReady(); round++ {
					if round > 1200 {
						t.Fatal("not all models and adapters are ready 120 s after the last disturbance")
					}
					sim.step()
				}
				delivered += sim.delivered
				terms += sim.terms
			})
			if delivered < 1000 || terms < 100 {
				t.Fatalf("too few events: %d deliveries and %d terms, want at least 1000 and 100", delivered, terms)
			}
			t.Logf("%d deliveries, %d terms", delivered, terms)
		})
	}
}

// BenchmarkTick measures a controller tick without changes: all reports, a plan, its steps, records and sends.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ models, targets int }{{34, 18}, {150, 250}, {500, 860}} {
		b.Run(fmt.Sprintf("%d models %d targets", size.models, size.targets), func(b *testing.B) {
			issuer, now := New(controllerlease.Electorate{DataCentre: "dc", Instances: []string{"a"}}), epoch
			if err := issuer.StartTerm(now, 1, nil, unlimitedSlots{}); err != nil {
				b.Fatal(err)
			}
			in := placement.Input{ReplicaRate: 10}
			for i := range size.models {
				in.Models = append(in.Models, placement.Model{Name: fmt.Sprint("m", i), Version: "1", MemoryBytes: 20, IsHome: true, Demand: float64(i % 30)})
			}
			engines := make([]*memledgertest.Engine, size.targets)
			for i := range engines {
				engines[i] = &memledgertest.Engine{Name: fmt.Sprint("t", i), CapacityBytes: 100}
				engines[i].Restart()
			}
			reports := make([]*targetapi.Announcement, size.targets)
			tick := func() {
				now = now.Add(time.Second)
				_, _ = issuer.ApplyReports(now, reports)
				in.Targets = issuer.Targets()
				wanted := placement.Plan(in)
				_, _ = issuer.Plan(now, &in, &wanted)
				for _, r := range issuer.PendingRecords(now) {
					issuer.AcknowledgeRecord(controllerlease.RecordResponse{Elector: r.Elector, Stored: true, State: electorate.JournalPosition{Fence: 1, Last: r.Record.Sequence}})
				}
			}
			for range 30 {
				for i, e := range engines {
					reports[i] = e.Announce()
				}
				tick()
				for _, s := range issuer.DueOrders(now) {
					e := engines[slices.IndexFunc(engines, func(e *memledgertest.Engine) bool { return e.Name == s.Target })]
					e.Receive(s.Order)
					e.Finish(s.Order.ID, false)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				for i := range reports {
					reports[i].Sequence++
				}
				tick()
				issuer.DueOrders(now)
			}
		})
	}
}
