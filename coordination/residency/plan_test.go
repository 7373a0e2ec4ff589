package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	weights = 70.0
	// placesPerTarget is the number of models of up to 80 MB that fit on a target of 240 MB.
	placesPerTarget = 3
)

func engine(id string, models ...string) Target {
	return Target{ID: id, CapacityMB: 3*weights + 5, Slots: 32, Models: models, UsedMB: weights * float64(len(models))}
}

func models(demand map[string]float64, names ...string) []Model {
	list := make([]Model, len(names))
	for i, name := range names {
		list[i] = Model{Name: name, WeightsMB: weights, Demand: demand[name]}
	}
	return list
}

// Guards against a wrong choice when demand shifts between models: the model with rising demand must replace the one
// with falling demand, on the target that loads it fastest, and no last copy may be unloaded.
func TestPlanFollowsShiftingDemand(t *testing.T) {
	withDiskCopy := engine("c", "old", "x", "y")
	withDiskCopy.OnDisk = []string{"new"}
	in := Input{
		Targets:    []Target{engine("a", "old", "new", "z"), engine("b", "old", "u", "v"), withDiskCopy},
		Models:     models(map[string]float64{"new": 40, "old": 1}, "new", "old", "u", "v", "x", "y", "z"),
		StoreLoads: 1,
	}
	want := []Move{{Target: "c", Load: "new", Unload: "old"}}
	if diff := cmp.Diff(want, Plan(in)); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against two models with similar demand that replace each other in turn.
func TestBalancedDemandCausesNoMoves(t *testing.T) {
	in := Input{
		Targets:    []Target{engine("a", "p", "q", "z"), engine("b", "p", "q", "w"), engine("c", "p", "q", "v")},
		Models:     models(map[string]float64{"p": 60, "q": 50}, "p", "q", "v", "w", "z"),
		StoreLoads: 3,
	}
	if got := Plan(in); len(got) != 0 {
		t.Fatalf("planned %+v for balanced demand, want no moves", got)
	}
}

// Guards against targets that stay idle because they hold only last copies of rarely used models, as after a start,
// while the other targets carry all the demand.
func TestLastCopiesAreSpread(t *testing.T) {
	targets := []Target{engine("a", "hot", "busy", "warm"), engine("b", "hot", "busy", "warm"), engine("c", "x", "y", "z")}
	names := []string{"busy", "hot", "warm", "x", "y", "z"}
	applyPlan := func(demand map[string]float64) []Move {
		moves := Plan(Input{Targets: targets, Models: models(demand, names...), StoreLoads: 3})
		for _, m := range moves {
			for i := range targets {
				if targets[i].ID != m.Target {
					continue
				}
				for j, held := range targets[i].Models {
					if held == m.Unload {
						targets[i].Models[j] = m.Load
					}
				}
			}
		}
		return moves
	}
	targets[0].Settling, targets[1].Settling = []string{"busy", "hot"}, []string{"busy", "hot", "warm"}
	if got := Plan(Input{Targets: targets, Models: models(map[string]float64{"hot": 1, "busy": 2, "warm": 3}, names...), StoreLoads: 3}); len(got) != 1 || got[0].Unload != "warm" {
		t.Fatalf("planned %+v, want only warm, which was not just loaded, to be replaced", got)
	}
	targets[0].Settling, targets[1].Settling = nil, nil
	first := applyPlan(map[string]float64{"hot": 1, "busy": 2, "warm": 3})
	if len(first) != 1 || first[0].Target == "c" || first[0].Unload != "hot" || first[0].Load != "x" {
		t.Fatalf("planned %+v, want x to replace hot, the spare model with the lowest demand", first)
	}
	for range 3 {
		applyPlan(map[string]float64{"hot": 30, "busy": 30})
	}
	if !targets[2].holds("hot") && !targets[2].holds("busy") {
		t.Fatalf("the idle target holds %v, want hot or busy among them", targets[2].Models)
	}
}

// Guards against a model that no target holds after its only target failed, and against loading an idle model before
// one with waiting requests.
func TestAbsentModelsAreLoadedByDemand(t *testing.T) {
	in := Input{
		Targets:    []Target{engine("a", "p"), engine("b", "p")},
		Models:     models(map[string]float64{"wanted": 3}, "idle", "p", "wanted"),
		StoreLoads: 1,
	}
	got := Plan(in)
	if len(got) != 1 || got[0].Load != "wanted" || got[0].Unload != "" || !got[0].FromStore {
		t.Fatalf("planned %+v, want one load of the model wanted from the weight store", got)
	}
	in.Models[2].Demand = 0
	in.StoreLoads = 5
	if got := Plan(in); len(got) != 1 || got[0].Load != "idle" {
		t.Fatalf("planned %+v, want one load of idle: two targets allow one concurrent move", got)
	}
}

// Guards against concurrent moves on all targets of a model with adapters: adapter orders would be rejected until the
// moves end.
func TestOneTargetKeepsAcceptingAdapterOrders(t *testing.T) {
	in := Input{
		Targets:    []Target{engine("a", "p", "x", "y"), engine("b", "p", "x", "z"), engine("c", "q", "u", "v")},
		Models:     models(map[string]float64{"p": 2, "q": 90, "x": 1}, "p", "q", "u", "v", "x", "y", "z"),
		StoreLoads: 3,
	}
	if got := Plan(in); len(got) != 1 {
		t.Fatalf("planned %+v for models without adapters, want one move", got)
	}
	in.Models[0].HasAdapters = true
	in.Targets[1].MoveInProgress = true
	if got := Plan(in); len(got) != 0 {
		t.Fatalf("planned %+v, want no move on the last target that accepts adapter orders for p", got)
	}
}

// Guards against memory that stays free until the first requests arrive.
func TestFreeMemoryIsFilledBeforeDemand(t *testing.T) {
	in := Input{
		Targets:    []Target{engine("a", "p", "q", "x"), engine("b", "p", "q", "y"), engine("c", "p", "z")},
		Models:     models(nil, "p", "q", "x", "y", "z"),
		StoreLoads: 1,
	}
	want := []Move{{Target: "c", Load: "q", FromStore: true}}
	if diff := cmp.Diff(want, Plan(in)); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a plan that overcommits a target, unloads a model that was just loaded, moves a busy target or exceeds
// the rate of the weight store, for any demand. A last copy is only unloaded where the models exceed the places, and only
// for a model that is more in demand.
func TestPlansRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{StoreLoads: rapid.IntRange(0, 4).Draw(t, "loads")}
		names := make([]string, 8)
		for i := range names {
			names[i] = fmt.Sprint("m", i)
			in.Models = append(in.Models, Model{Name: names[i], WeightsMB: float64(rapid.IntRange(60, 80).Draw(t, "weights")),
				Demand: rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 200)).Draw(t, "demand")})
		}
		weightsOf, demandOf := map[string]float64{}, map[string]float64{}
		for _, m := range in.Models {
			weightsOf[m.Name], demandOf[m.Name] = m.WeightsMB, m.Demand
		}
		copies := map[string]int{}
		for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
			target := Target{ID: fmt.Sprint("t", i), CapacityMB: 240, Slots: 32, MoveInProgress: rapid.Bool().Draw(t, "moveInProgress")}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID[string]).Draw(t, "held") {
				if target.UsedMB+weightsOf[name] > target.CapacityMB {
					break
				}
				target.Models = append(target.Models, name)
				target.UsedMB += weightsOf[name]
				copies[name]++
			}
			if len(target.Models) > 0 && rapid.Bool().Draw(t, "justLoaded") {
				target.Settling = target.Models[:1]
			}
			target.OnDisk = rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID[string]).Draw(t, "disk")
			in.Targets = append(in.Targets, target)
		}
		modelsExceedPlaces := len(in.Models) > placesPerTarget*len(in.Targets)
		storeLoads := 0
		byID := map[string]*Target{}
		for i := range in.Targets {
			byID[in.Targets[i].ID] = &in.Targets[i]
		}
		for _, move := range Plan(in) {
			target := byID[move.Target]
			if target.MoveInProgress || target.holds(move.Load) {
				t.Fatalf("move %+v on a target that is moving or holds the model: %+v", move, target)
			}
			target.MoveInProgress = true
			if move.Unload != "" && slices.Contains(target.Settling, move.Unload) {
				t.Fatalf("move %+v unloads a model that was just loaded", move)
			}
			if move.Unload != "" && copies[move.Unload] == 1 && (!modelsExceedPlaces || demandOf[move.Unload] > demandOf[move.Load]/2) {
				t.Fatalf("move %+v unloads a last copy with demand %v for a demand of %v", move, demandOf[move.Unload], demandOf[move.Load])
			}
			used := target.UsedMB + weightsOf[move.Load]
			if move.Unload != "" {
				used -= weightsOf[move.Unload]
				copies[move.Unload]--
			}
			if used > target.CapacityMB {
				t.Fatalf("move %+v needs %v MB of %v MB", move, used, target.CapacityMB)
			}
			if move.FromStore {
				storeLoads++
			}
		}
		if storeLoads > in.StoreLoads {
			t.Fatalf("%d loads from the weight store, %d allowed", storeLoads, in.StoreLoads)
		}
	})
}

// Guards against loads from the weight store above its rate, also directly after a leader change.
func TestRateLimitsLoads(t *testing.T) {
	now := time.Unix(100, 0)
	limiter := NewLoadLimiter(now)
	if n := limiter.Available(now, 2); n != 0 {
		t.Fatalf("%d loads allowed directly after a leader change, want 0", n)
	}
	taken := 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		for range limiter.Available(now, 2) {
			limiter.Take()
			taken++
		}
	}
	if taken != 10 { // 5 s at 2 loads/s
		t.Fatalf("%d loads in 5 s at 2 loads/s, want 10", taken)
	}
	if n := limiter.Available(now.Add(time.Hour), 2); n != loadBurst {
		t.Fatalf("burst of %d loads after an idle hour, want loadBurst", n)
	}
}

// Guards against moves after a brief drop of the demand, and against a rise that is followed too slowly.
func TestSmoothedFollowsRiseAndIgnoresBriefDrop(t *testing.T) {
	now := time.Unix(100, 0)
	var s SmoothedDemand
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		s.Add(now, 50)
	}
	now = now.Add(100 * time.Millisecond)
	if got := s.Add(now, 0); got < 45 {
		t.Errorf("smoothed demand %v after one sample of 0, want at least 45", got)
	}
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		s.Add(now, 100)
	}
	if got := s.Add(now, 100); got < 80 {
		t.Errorf("smoothed demand %v half a second after the rise, want at least 80", got)
	}
}

// Guards against a model that no target holds for seconds: its last usable copy must not be unloaded while the next one
// is still being loaded, or is on a target that has not reported what it holds.
func TestUnusableCopyDoesNotReplaceLastCopy(t *testing.T) {
	loading := engine("b", "busy", "rare", "u")
	loading.Loading, loading.MoveInProgress = "rare", true
	notReported := engine("b", "busy", "rare", "u")
	notReported.AwaitingReport = true
	for name, other := range map[string]Target{"being loaded": loading, "on a target that has not reported": notReported} {
		in := Input{
			Targets:    []Target{engine("a", "rare", "v", "w"), other},
			Models:     models(map[string]float64{"busy": 40}, "busy", "rare", "u", "v", "w"),
			StoreLoads: 3,
		}
		if got := Plan(in); len(got) != 0 {
			t.Errorf("copy %s: planned %+v, want no moves", name, got)
		}
		in.Targets[1].Loading, in.Targets[1].AwaitingReport, in.Targets[1].MoveInProgress = "", false, false
		if got := Plan(in); len(got) != 1 || got[0].Load != "busy" || got[0].Unload != "rare" {
			t.Errorf("copy %s: planned %+v once the copy is usable, want busy to replace rare", name, got)
		}
	}
}

// Guards against requests that wait seconds for an adapter slot, when more adapters of a model are in demand than its
// targets have slots, although another target could hold the model.
func TestAdapterDemandBeyondSlotsAddsCopy(t *testing.T) {
	in := Input{
		Targets:    []Target{engine("a", "adapted", "x", "y"), engine("b", "plain", "u", "v"), engine("c", "plain", "w", "z")},
		Models:     models(map[string]float64{"adapted": 20, "plain": 30}, "adapted", "plain", "u", "v", "w", "x", "y", "z"),
		StoreLoads: 1,
	}
	for i := range in.Targets {
		in.Targets[i].AdapterSlots = 4
	}
	if got := Plan(in); len(got) != 0 {
		t.Fatalf("planned %+v for balanced demand, want no moves", got)
	}
	in.Models[0].Adapters = 20
	if got := Plan(in); len(got) != 1 || got[0].Load != "adapted" || got[0].Unload != "plain" {
		t.Fatalf("planned %+v, want adapted, whose adapters exceed the slots, to replace plain", got)
	}
}
