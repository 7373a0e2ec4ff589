package residency

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// unevenSite is the second deployment: a third of the targets at each of three speeds.
var unevenSite = replaySite{models: 147, storeLoad: 6400 * time.Millisecond, speeds: []float64{0.6, 1, 1.6}}

const (
	// unevenRate is the number of streams per second of the second deployment, and unevenShiftingRate that of the models among
	// which demand shifts. One of them gets up to 80 at a time.
	unevenRate         = 281 + 39.1 + 345
	unevenShiftingRate = 280.0
)

// unevenLoad is a load of unevenSite that shifts as in shiftingRates.
type unevenLoad struct {
	gradual bool
	// others is the number of streams per second of the models among which demand does not shift.
	others float64
}

func (l unevenLoad) String() string {
	return fmt.Sprintf("gradual %v, %.0f/s for other models", l.gradual, l.others)
}

func (l unevenLoad) rates(seed uint64) func(m int, elapsed time.Duration) float64 {
	rates := shiftingRates(seed, l.gradual, 0)
	return func(m int, elapsed time.Duration) float64 {
		if m >= replayShifting {
			return l.others / float64(unevenSite.models-replayShifting)
		}
		return rates(m, elapsed) * unevenShiftingRate / replayRate
	}
}

// play sums up the replays of some seeds with a planner that does not know the speeds, and with one that does.
func (l unevenLoad) play(length time.Duration, seeds uint64) (ignoring, bySpeed replayResult) {
	for seed := range seeds {
		site := unevenSite
		ignoring.add(newReplayOf(site, seed, site.storeLoad, l.rates(seed)).run(length))
		site.planBySpeed = true
		bySpeed.add(newReplayOf(site, seed, site.storeLoad, l.rates(seed)).run(length))
	}
	return ignoring, bySpeed
}

// unevenOthers are the streams per second of the other models: hardly any, and so many that the rates of the second deployment are
// reached and half of the slots are in use.
var unevenOthers = map[string]float64{"few slots in use": 3.4, "half of the slots in use": unevenRate - unevenShiftingRate}

// Guards against copies of models in demand on slow targets while fast ones hold models with little demand, and against loads that
// only move models to faster targets.
func TestShiftingDemandIsServedByFastTargets(t *testing.T) {
	const maxMoreLoads = 1.05
	for name, others := range unevenOthers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ignoring, bySpeed replayResult
			for _, gradual := range []bool{true, false} {
				load := unevenLoad{gradual, others}
				before, after := load.play(48*time.Second, 3)
				t.Logf("%v, speeds ignored: %v", load, before)
				t.Logf("%v, by speed: %v", load, after)
				ignoring.add(before)
				bySpeed.add(after)
			}
			if bySpeed.inTimeShare() <= ignoring.inTimeShare() {
				t.Errorf("%.3f of the requests found a slot in time, %.3f with a plan that ignores the speeds", bySpeed.inTimeShare(), ignoring.inTimeShare())
			}
			if float64(bySpeed.storeLoads) > maxMoreLoads*float64(ignoring.storeLoads) {
				t.Errorf("%d loads from the store, %d with a plan that ignores the speeds", bySpeed.storeLoads, ignoring.storeLoads)
			}
		})
	}
}

// Prints the results of many random shifts on targets of different speed.
func TestReplayRandomShiftsOfUnevenSite(t *testing.T) {
	if *replayShifts == 0 {
		t.Skip("only with -replay.shifts")
	}
	for _, others := range unevenOthers {
		for _, gradual := range []bool{true, false} {
			load := unevenLoad{gradual, others}
			t.Run(load.String(), func(t *testing.T) {
				t.Parallel()
				ignoring, bySpeed := load.play(time.Duration(*replayShifts)*replayShiftEvery, 4)
				t.Logf("speeds ignored: %v", ignoring)
				t.Logf("by speed: %v", bySpeed)
			})
		}
	}
}

// plansBeforeSpeeds is the digest of the plans of commit 9049aa5, before targets had speeds, for the inputs of
// TestEqualSpeedsDoNotChangePlans.
const plansBeforeSpeeds = 4231112048815861805

// Guards against a change of the plans of services whose targets have equal speeds, or none.
func TestEqualSpeedsDoNotChangePlans(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	moves, digest := 0, fnv.New64a()
	for i := range 3000 {
		in := randomInput(rng)
		if i%2 == 0 {
			forecastAtRandom(rng, &in)
		}
		want := Plan(in)
		moves += len(want)
		for _, m := range want {
			fmt.Fprintln(digest, m.Target, m.Load, m.Unload, m.FromStore, m.Urgency)
		}
		fmt.Fprintln(digest)
		for _, speed := range []float64{1, 0.6, 1.6} {
			for j := range in.Targets {
				in.Targets[j].Speed = speed
			}
			if diff := cmp.Diff(want, Plan(in)); diff != "" {
				t.Fatalf("speed %v: %s", speed, diff)
			}
		}
		for j := range in.Targets {
			in.Targets[j].Speed = float64(j % 2) // 0 means 1
		}
		if diff := cmp.Diff(want, Plan(in)); diff != "" {
			t.Fatalf("speeds 0 and 1: %s", diff)
		}
	}
	if moves < 1000 {
		t.Fatalf("only %d moves planned", moves)
	}
	if got := digest.Sum64(); got != plansBeforeSpeeds {
		t.Errorf("the digest of the plans is %d, before it was %d", got, uint64(plansBeforeSpeeds))
	}
}

// Guards against plans by speed that overcommit a target or unload a last usable copy, as TestPlansByForecastRespectLimits does.
func TestPlansBySpeedRespectLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(13, 14))
	planned := 0
	for i := range 5000 {
		in := randomInput(rng)
		if oversubscribed(in.Targets, in.Models) {
			continue
		}
		if i%2 == 0 {
			forecastAtRandom(rng, &in)
		}
		for j := range in.Targets {
			in.Targets[j].Speed = 0.25 + rng.Float64()*3.75
		}
		moves := Plan(in)
		planned += len(moves)
		checkMoves(t, in, moves)
	}
	if planned < 1000 {
		t.Fatalf("only %d moves planned", planned)
	}
}

func forecastAtRandom(rng *rand.Rand, in *Input) {
	in.StoreRate = replayStoreRate
	for i := range in.Models {
		m := &in.Models[i]
		m.LoadTime = replayStoreLoad
		m.Forecast = Forecast{Soon: m.Demand * (0.5 + rng.Float64()), Loaded: m.Demand * 2 * rng.Float64(), Falling: rng.IntN(4) == 0}
	}
}

// withSpeeds sets the speeds of some targets of an input by index.
func withSpeeds(in Input, speeds map[int]float64) Input {
	for i, speed := range speeds {
		in.Targets[i].Speed = speed
	}
	return in
}

// byDemand returns the input for a plan by current demand.
func byDemand(in Input) Input {
	for i := range in.Models {
		in.Models[i].LoadTime = 0
	}
	return in
}

// Guards against a copy of a model in demand on a slow target, and against a load from the store where a slow target has the model on
// its disk.
func TestCopyInDemandGoesToTheFastestSuitableTarget(t *testing.T) {
	speeds := map[int]float64{3: 1.6, 6: 1.6, 8: 0.6}
	input := func() Input { return withSpeeds(aheadInput(Forecast{Soon: 8, Loaded: 8}), speeds) }
	for name, kind := range map[string]func(Input) Input{"by forecast": func(in Input) Input { return in }, "by demand": byDemand} {
		if got := Plan(kind(input())); len(got) == 0 || got[0].Target != "t3" {
			t.Errorf("%s: planned %+v, want a copy on t3, which is fast", name, got)
		}
		in := input()
		in.Targets[3].Running = 8
		if got := Plan(kind(in)); len(got) == 0 || got[0].Target != "t6" {
			t.Errorf("%s: planned %+v, want a copy on t6, which is fast and has free slots", name, got)
		}
		in = input()
		in.Targets[8].OnDisk = []string{"hot"}
		if got := Plan(kind(in)); len(got) == 0 || got[0].Target != "t8" || got[0].FromStore {
			t.Errorf("%s: planned %+v, want a load from the disk of t8 although it is slow", name, got)
		}
	}
}

// Guards against a model with hardly any demand that takes a place of a fast target.
func TestCopyWithLittleDemandGoesToASlowTarget(t *testing.T) {
	in := withSpeeds(aheadInput(Forecast{}), map[int]float64{0: 1.6, 1: 1.6, 2: 1.6, 7: 0.6})
	in.Models = append(in.Models, Model{Name: "absent", WeightsMB: weights, Demand: minAbsentDemand, LoadTime: replayStoreLoad,
		Forecast: Forecast{Soon: minAbsentDemand, Loaded: minAbsentDemand}})
	for _, in := range []Input{in, byDemand(in)} {
		if got := Plan(in); len(got) == 0 || got[0].Load != "absent" || got[0].Target != "t7" {
			t.Errorf("planned %+v, want a copy of the absent model on t7, which is slow", got)
		}
	}
}

// Guards against a copy on a fast target that is unloaded while a copy of the same model on a slower one is not, and against a model in
// demand that is unloaded from a fast target.
func TestFastTargetsKeepModelsInDemand(t *testing.T) {
	in := aheadInput(Forecast{Soon: 8, Loaded: 8})
	in.Models[1].Demand, in.Models[1].Forecast = 6, Forecast{Soon: 6, Loaded: 6} // cold
	withSpeeds(in, map[int]float64{2: 1.6, 4: 0.6})
	p := newPlanner(in)
	hot := p.byName["hot"]
	ahead := &aheadPlanner{planner: p}
	for name, cost := range map[string]func(*Target) (float64, bool){
		"by demand": func(t *Target) (float64, bool) { return p.unloadCost(t, p.byName["cold"], hot) },
		"by forecast": func(t *Target) (float64, bool) {
			return ahead.unloadCost(t, p.byName["cold"], &candidate{Model: hot, pressure: 8})
		},
	} {
		fast, _ := cost(&p.targets[2])
		slow, _ := cost(&p.targets[4])
		if fast <= slow {
			t.Errorf("%s: the copy on the fast target costs %v, and that on the slow one %v", name, fast, slow)
		}
	}
	if got := Plan(in); len(got) == 0 || got[0].Target != "t2" || got[0].Unload != "cold2" {
		t.Errorf("planned %+v, want cold2 to be replaced on t2", got)
	}
}

// Guards against copies that count alike whatever the speed of their targets.
func TestDemandPerCopyCountsSpeeds(t *testing.T) {
	for _, c := range []struct {
		speed float64
		moves bool
	}{{0.6, true}, {1.6, false}} {
		in := aheadInput(Forecast{Soon: 4.5, Loaded: 4.5})
		in.Models[0].Forecast.Soon = 0
		withSpeeds(in, map[int]float64{0: c.speed})
		if got := Plan(in); (len(got) > 0) != c.moves {
			t.Errorf("planned %+v for a demand of 4.5 on one copy at speed %v, want a copy: %v", got, c.speed, c.moves)
		}
	}
}

// Guards against loads that only move models to other targets.
func TestSpeedsAloneCauseNoMoves(t *testing.T) {
	rng := rand.New(rand.NewPCG(15, 16))
	for range 200 {
		in := aheadInput(Forecast{Soon: 2, Loaded: 2})
		for i := range in.Targets {
			in.Targets[i].Speed = []float64{0.6, 1, 1.6}[rng.IntN(3)]
			in.Targets[i].OnDisk = slices.Clone(in.Targets[(i+1)%len(in.Targets)].Models)
			in.Targets[i].Running = rng.IntN(3)
		}
		in.Targets[0].Speed = 1 // holds the only copy of the model with demand
		if got := Plan(in); len(got) != 0 {
			t.Fatalf("planned %+v without a model whose copies are short of slots", got)
		}
	}
}
