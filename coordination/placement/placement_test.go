package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

var priorities = []releasenote.Priority{releasenote.Interactive, releasenote.Standard, releasenote.Batch}

// randomInput returns a data centre whose memory is memoryFactor times what one replica of every model and adapter
// takes.
func randomInput(random *rand.Rand, targets, models int, memoryFactor float64) Input {
	in := Input{DataCentre: "dc", ReplicaRate: 10}
	var need, largest int64
	for i := range models {
		m := Model{
			Name: fmt.Sprintf("m%03d", i), Version: "1", MemoryBytes: 10 + random.Int64N(30), Priority: priorities[random.IntN(3)],
			MinReplicas: 1, Demand: 40 * random.Float64() * random.Float64(), IsHome: true,
		}
		for a := range random.IntN(3) {
			m.Adapters = append(m.Adapters, Adapter{Name: fmt.Sprintf("a%d", a), Version: "1", MemoryBytes: 1 + random.Int64N(2)})
		}
		in.Models = append(in.Models, m)
		need += bundleBytes(&m)
		largest = max(largest, bundleBytes(&m))
	}
	for i := range targets {
		in.Targets = append(in.Targets, Target{
			Name: fmt.Sprintf("t%03d", i), FailureDomain: fmt.Sprintf("rack%d", i%max(2, targets/8)),
			CapacityBytes: max(largest*2, int64(memoryFactor*float64(need))/int64(targets)),
		})
	}
	return in
}

// advance finishes running loads and unloads and starts new steps, each with the given probability.
func advance(random *rand.Rand, in *Input, steps []Step, probability float64) {
	for i := range in.Targets {
		t := &in.Targets[i]
		for j := range t.Residents {
			if r := &t.Residents[j]; r.State == targetapi.Loading && random.Float64() < probability {
				r.State = targetapi.Ready
			}
		}
		t.Residents = slices.DeleteFunc(t.Residents, func(r memledger.Resident) bool {
			return r.State == targetapi.Unloading && random.Float64() < probability
		})
	}
	for _, s := range steps {
		if random.Float64() > probability {
			continue
		}
		t := &in.Targets[slices.IndexFunc(in.Targets, func(t Target) bool { return t.Name == s.Target })]
		if s.Load {
			t.Residents = append(t.Residents, memledger.Resident{Item: s.Item, State: targetapi.Loading, Bytes: s.Bytes})
			continue
		}
		for j := range t.Residents {
			if t.Residents[j].Item == s.Item {
				t.Residents[j].State = targetapi.Unloading
			}
		}
	}
}

func checkMemory(t *rapid.T, in *Input) {
	for i := range in.Targets {
		sum := int64(0)
		for _, r := range in.Targets[i].Residents {
			sum += r.Bytes
		}
		if sum > in.Targets[i].CapacityBytes {
			t.Fatalf("target %s holds %d of %d bytes", in.Targets[i].Name, sum, in.Targets[i].CapacityBytes)
		}
	}
}

// withoutReadyReplica lists the models and adapters without a ready replica.
func withoutReadyReplica(in *Input) (list []string) {
	c := countReady(in.Targets)
	for i := range in.Models {
		m := &in.Models[i]
		if c.models[m.Name] == 0 {
			list = append(list, m.Name)
		}
		for _, a := range m.Adapters {
			if c.adapters[[2]string{m.Name, a.Name}] == 0 {
				list = append(list, m.Name+":"+a.Name)
			}
		}
	}
	return list
}

// runUntilConverged carries out plans until no step is left and returns the number of steps. It fails when memory is
// overcommitted, when something loses its last ready replica, or when the plans don't converge.
func runUntilConverged(t *rapid.T, random *rand.Rand, in *Input, probability float64) (total int) {
	wasReady := map[string]bool{}
	for busy, round := true, 0; busy; round++ {
		if round > 600 {
			t.Fatalf("the plan has not converged after %d rounds", round)
		}
		wanted := Plan(*in)
		steps := NextSteps(in, &wanted)
		total += len(steps)
		busy = len(steps) > 0 || slices.ContainsFunc(in.Targets, func(t Target) bool {
			return slices.ContainsFunc(t.Residents, func(r memledger.Resident) bool { return r.State != targetapi.Ready })
		})
		advance(random, in, steps, probability)
		checkMemory(t, in)
		missing := withoutReadyReplica(in)
		for _, name := range missing {
			if wasReady[name] {
				t.Fatalf("round %d: %s lost its last ready replica", round, name)
			}
		}
		for i := range in.Models {
			m := &in.Models[i]
			wasReady[m.Name] = !slices.Contains(missing, m.Name)
			for _, a := range m.Adapters {
				wasReady[m.Name+":"+a.Name] = !slices.Contains(missing, m.Name+":"+a.Name)
			}
		}
	}
	return total
}

// Guards against overcommitted memory, unload of a last ready replica, models left out although memory suffices, and
// plans that never converge, under version changes, demand changes and targets that lose their residents.
func TestPlansConvergeWithoutLosingReadyReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		in := randomInput(random, 3+random.IntN(10), 2+random.IntN(20), 2+2*random.Float64())
		for range 5 {
			runUntilConverged(t, random, &in, 0.3+0.7*random.Float64())
			if missing := withoutReadyReplica(&in); len(missing) > 0 {
				t.Fatalf("not ready after the plan converged: %v", missing)
			}
			for i := range in.Targets {
				for _, r := range in.Targets[i].Residents {
					if m := in.Models[slices.IndexFunc(in.Models, func(m Model) bool { return m.Name == r.Item.Model })]; !versionInEffect(&m, r.Item) {
						t.Fatalf("%v is still resident after the plan converged, but is not in effect", r.Item)
					}
				}
			}
			switch random.IntN(3) {
			case 0:
				for range 1 + random.IntN(3) {
					m := &in.Models[random.IntN(len(in.Models))]
					m.Version += "x"
					m.Adapters = slices.Clone(m.Adapters)
					for a := range m.Adapters {
						m.Adapters[a].Version += strings.Repeat("x", random.IntN(2))
					}
				}
			case 1:
				for i := range in.Models {
					in.Models[i].Demand *= 2 * random.Float64()
				}
			case 2:
				in.Targets[random.IntN(len(in.Targets))].Residents = nil
			}
		}
	})
}

// Guards against needless loads and unloads: demand that oscillates by 5 % must not keep causing steps. The first
// oscillations may cause some, where a gain was just below the hysteresis.
func TestSmallDemandChangesCauseNoSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		in := randomInput(random, 8, 12, 3)
		runUntilConverged(t, random, &in, 1)
		base := slices.Clone(in.Models)
		for oscillation := range 20 {
			for i := range in.Models {
				in.Models[i].Demand = base[i].Demand * (0.95 + 0.05*float64((oscillation+i)%2))
			}
			if steps := runUntilConverged(t, random, &in, 1); oscillation >= 10 && steps > 0 {
				t.Fatalf("oscillation %d of the demand by 5 %% caused %d loads and unloads, want 0", oscillation, steps)
			}
		}
	})
}

// Guards against placing all replicas of a model in one failure domain, and against urgent loads out of priority order.
func TestReplicasSpreadOverDomainsAndLoadByPriority(t *testing.T) {
	in := Input{ReplicaRate: 10}
	for i := range 4 {
		in.Targets = append(in.Targets, Target{Name: fmt.Sprint("t", i), FailureDomain: fmt.Sprint("rack", i/2), CapacityBytes: 100})
	}
	for i, p := range []releasenote.Priority{releasenote.Batch, releasenote.Interactive, releasenote.Standard} {
		in.Models = append(in.Models, Model{Name: fmt.Sprint("m", i), Version: "1", MemoryBytes: 40, Priority: p, MinReplicas: 2, IsHome: true})
	}
	wanted := Plan(in)
	for _, m := range in.Models {
		racks := map[string]int{}
		for _, target := range in.Targets {
			if wanted.Has(target.Name, m.item()) {
				racks[target.FailureDomain]++
			}
		}
		if racks["rack0"] != 1 || racks["rack1"] != 1 {
			t.Errorf("%s: replicas by failure domain are %v", m.Name, racks)
		}
	}
	var order []string
	for _, s := range NextSteps(&in, &wanted) {
		if !s.Urgent {
			t.Errorf("step %+v is not urgent, although its model has no ready replica", s)
		}
		order = append(order, s.Item.Model)
	}
	if want := []string{"m1", "m1", "m2", "m2", "m0", "m0"}; !slices.Equal(order, want) {
		t.Errorf("loads in the order %v, want %v", order, want)
	}
	// With memory for one model only, the model with the highest priority is placed and the others are reported.
	in.Targets = in.Targets[:1]
	in.Targets[0].CapacityBytes = 70
	wanted = Plan(in)
	if !wanted.Has("t0", in.Models[1].item()) || len(wanted.Missing) != 2 || wanted.Missing[0].Bytes != 10 {
		t.Errorf("residency %+v, want m1 on t0 and two missing models, the first one by 10 bytes", wanted)
	}
}

// reachableBySearch reports whether any sequence of steps makes the versions in effect ready without losing a model on
// the way. It searches all states of a small data centre; a state has one bit for each item on each target.
func reachableBySearch(in *Input, items []memledger.Item, bytes map[memledger.Item]int64) bool {
	n, start := len(items), uint32(0)
	for i, t := range in.Targets {
		for _, r := range t.Residents {
			start |= 1 << (i*n + slices.Index(items, r.Item))
		}
	}
	has := func(state uint32, item memledger.Item, anyVersion bool) bool {
		for i := range in.Targets {
			for k, other := range items {
				if state&(1<<(i*n+k)) != 0 && other.Model == item.Model && (anyVersion || other == item) {
					return true
				}
			}
		}
		return false
	}
	seen, queue := map[uint32]bool{start: true}, []uint32{start}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		goal := true
		for i := range in.Models {
			goal = goal && has(state, in.Models[i].item(), false)
		}
		if goal {
			return true
		}
		for bit := range n * len(in.Targets) {
			next := state ^ 1<<bit
			use := int64(0)
			for k, item := range items {
				if next&(1<<(bit/n*n+k)) != 0 {
					use += bytes[item]
				}
			}
			ok := use <= in.Targets[bit/n].CapacityBytes
			for i := range in.Models {
				ok = ok && (!has(state, in.Models[i].item(), true) || has(next, in.Models[i].item(), true))
			}
			if ok && !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return false
}

// Guards against accepting a release note that no sequence of steps can carry out.
func TestFeasibleAgainstExhaustiveSearch(t *testing.T) {
	accepted, refused, refusedWrongly := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		in := Input{DataCentre: "dc", ReplicaRate: 10}
		var items []memledger.Item
		bytes := map[memledger.Item]int64{}
		for i := range 2 {
			in.Targets = append(in.Targets, Target{Name: fmt.Sprint("t", i), CapacityBytes: 20 + random.Int64N(20)})
		}
		for i := range 4 {
			m := Model{Name: fmt.Sprint("m", i), Version: "1", MemoryBytes: 5 + random.Int64N(12), IsHome: true}
			items = append(items, m.item())
			bytes[m.item()] = m.MemoryBytes
			target := &in.Targets[i%2]
			target.Residents = append(target.Residents, memledger.Resident{Item: m.item(), State: targetapi.Ready, Bytes: m.MemoryBytes})
			target.CapacityBytes = max(target.CapacityBytes, target.Residents[0].Bytes+m.MemoryBytes)
			if random.IntN(2) == 0 {
				m.Version, m.MemoryBytes = "2", 5+random.Int64N(12)
				items = append(items, m.item())
				bytes[m.item()] = m.MemoryBytes
			}
			in.Models = append(in.Models, m)
		}
		possible := reachableBySearch(&in, items, bytes)
		findings := Feasible([]Input{in})
		switch {
		case len(findings) == 0 && !possible:
			t.Fatalf("accepted, but no sequence of steps exists: %+v", in)
		case len(findings) == 0:
			accepted++
		case possible:
			refusedWrongly++
		default:
			refused++
		}
	})
	t.Logf("accepted %d, refused correctly %d, refused although a sequence exists %d", accepted, refused, refusedWrongly)
	if accepted < 10 || refused < 10 {
		t.Fatal("too few inputs for a conclusion: at least 10 must be accepted and 10 refused correctly")
	}
}

// Guards against findings that don't name the model, the data centre and the missing bytes.
func TestFeasibleFindingsNameModelDataCentreAndBytes(t *testing.T) {
	in := Input{DataCentre: "almadies", ReplicaRate: 10, Targets: []Target{{Name: "t", CapacityBytes: 100}}}
	in.Models = []Model{{Name: "large", Version: "1", MemoryBytes: 130}, {Name: "small", Version: "1", MemoryBytes: 30}}
	findings := Feasible([]Input{in})
	if len(findings) != 1 {
		t.Fatalf("findings %+v, want one", findings)
	}
	for _, want := range []string{`"almadies"`, `"large"`, "lacks 60 bytes"} {
		if !strings.Contains(findings[0].Message, want) {
			t.Errorf("%q does not name %s", findings[0].Message, want)
		}
	}
}

// Guards against a forecast that lags behind a rise, or that falls during a short dip and so causes unloads.
func TestForecastFollowsRiseAndIgnoresDip(t *testing.T) {
	f, now := NewForecaster(), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	observe := func(seconds int, rate func(i int) float64) {
		for i := range seconds {
			now = now.Add(time.Second)
			f.Observe(now, "m", rate(i))
		}
	}
	observe(30, func(int) float64 { return 10 })
	observe(10, func(i int) float64 { return 10 + 5*float64(i) })
	if d := f.Demand("m"); d < 55 {
		t.Errorf("forecast %.1f at the end of a rise to 55, want at least 55", d)
	}
	observe(60, func(int) float64 { return 55 })
	high := f.Demand("m")
	observe(20, func(int) float64 { return 5 })
	if f.Demand("m") < high {
		t.Error("the forecast fell during a dip of 20 s")
	}
	observe(60, func(int) float64 { return 5 })
	if d := f.Demand("m"); d > 20 {
		t.Errorf("forecast %.1f after 80 s at 5, want at most 20", d)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ models, targets int }{{34, 18}, {150, 250}, {500, 860}} {
		b.Run(fmt.Sprintf("%d models %d targets", size.models, size.targets), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			in := randomInput(random, size.targets, size.models, 3)
			for range 20 {
				wanted := Plan(in)
				advance(random, &in, NextSteps(&in, &wanted), 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				wanted := Plan(in)
				NextSteps(&in, &wanted)
			}
		})
	}
}

func BenchmarkFeasible(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	in := randomInput(random, 860, 500, 3)
	for range 20 {
		wanted := Plan(in)
		advance(random, &in, NextSteps(&in, &wanted), 1)
	}
	in.Models = slices.Clone(in.Models)
	for i := range 10 {
		in.Models[i].Version = "2"
	}
	b.ReportAllocs()
	for b.Loop() {
		Feasible([]Input{in})
	}
}

// Guards against loading an adapter beside a model version that the same plan unloads: once ready, the adapter would
// count as a ready replica and then lose its model.
func TestAdapterIsNotLoadedBesideUnwantedVersion(t *testing.T) {
	model := func(version string) memledger.Item { return memledger.Item{Model: "m", Version: version} }
	adapter := memledger.Item{Model: "m", Version: "1", Adapter: "a"}
	resident := func(item memledger.Item) memledger.Resident {
		return memledger.Resident{Item: item, State: targetapi.Ready, Bytes: 10}
	}
	in := Input{
		Targets: []Target{
			{Name: "t1", CapacityBytes: 30, Residents: []memledger.Resident{resident(model("1"))}},
			{Name: "t2", CapacityBytes: 30, Residents: []memledger.Resident{resident(model("2"))}},
		},
		Models: []Model{{Name: "m", Version: "2", MemoryBytes: 10, MinReplicas: 1, IsHome: true, Adapters: []Adapter{{Name: "a", Version: "1", MemoryBytes: 2}}}},
	}
	wanted := Residency{Wanted: map[string]map[memledger.Item]int64{"t1": {adapter: 2}, "t2": {model("2"): 10, adapter: 2}}}
	for _, step := range NextSteps(&in, &wanted) {
		if step.Load && step.Target == "t1" {
			t.Errorf("step %+v loads an adapter beside a version that is not wanted", step)
		}
	}
}

// Guards against models without demand that take memory from popular ones although another data centre keeps them, and
// against models that are left out although one replica of each fits.
func TestScarceMemoryGoesToDemand(t *testing.T) {
	for _, test := range []struct {
		name     string
		capacity int64
		popular  int
		rare     int
	}{
		{"one replica of each fits", 20, 1, 1},
		{"memory is scarce", 10, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := Input{
				DataCentre: "a", ReplicaRate: 10,
				Targets: []Target{{Name: "t1", CapacityBytes: test.capacity}, {Name: "t2", CapacityBytes: test.capacity}},
				Models: []Model{
					{Name: "popular", Version: "1", MemoryBytes: 10, MinReplicas: 1, Demand: 20, IsHome: true},
					{Name: "rare-1", Version: "1", MemoryBytes: 10, MinReplicas: 1, ReadyElsewhere: 1},
					{Name: "rare-2", Version: "1", MemoryBytes: 10, MinReplicas: 1, ReadyElsewhere: 1},
				},
			}
			wanted := Plan(in)
			count := make(map[string]int)
			for _, items := range wanted.Wanted {
				for item := range items {
					count[item.Model]++
				}
			}
			if count["popular"] < test.popular || count["rare-1"] != test.rare || count["rare-2"] != test.rare {
				t.Errorf("replicas by model are %v", count)
			}
		})
	}
}
