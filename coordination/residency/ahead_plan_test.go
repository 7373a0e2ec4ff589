package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// aheadInput has ten targets that hold the model hot or cold beside rarely used ones.
func aheadInput(hot Forecast) Input {
	in := Input{StoreLoads: 20, StoreRate: 13}
	load := func(name string, f Forecast) {
		in.Models = append(in.Models, Model{Name: name, WeightsMB: weights, Demand: f.Soon, LoadTime: replayStoreLoad, Forecast: f})
	}
	load("hot", hot)
	load("cold", Forecast{})
	for i := range 10 {
		rare := fmt.Sprint("rare", i)
		load(rare, Forecast{})
		t := engine(fmt.Sprint("t", i), "cold", rare, "cold2")
		if i == 0 {
			t.Models[2] = "hot"
		}
		t.Slots = replaySlots
		in.Targets = append(in.Targets, t)
	}
	load("cold2", Forecast{})
	return in
}

// Guards against copies for falling demand, or beyond the demand that copies being loaded already cover.
func TestNoCopiesForFallingOrCoveredDemand(t *testing.T) {
	if got := Plan(aheadInput(Forecast{Soon: 30, Loaded: 30})); len(got) == 0 || got[0].Load != "hot" || got[0].Urgency != UrgencyOverload {
		t.Fatalf("planned %+v for an overloaded model, want copies of it", got)
	}
	if got := Plan(aheadInput(Forecast{Soon: 30, Loaded: 10, Falling: true})); len(got) != 0 {
		t.Errorf("planned %+v for falling demand, want no moves", got)
	}
	in := aheadInput(Forecast{Soon: 16, Loaded: 16})
	for i := 1; i < 4; i++ {
		in.Targets[i].Models[2] = "hot"
		in.Targets[i].Loading, in.Targets[i].MoveInProgress = "hot", true
	}
	if got := Plan(in); len(got) != 0 {
		t.Errorf("planned %+v for demand that copies being loaded cover, want no moves", got)
	}
}

// Guards against a load from the store where a target has the model on disk, and against copies on busy targets or all in
// one data centre.
func TestFastIdleAndSpreadTargetsComeFirst(t *testing.T) {
	in := aheadInput(Forecast{Soon: 8, Loaded: 8})
	in.Targets[7].OnDisk = []string{"hot"}
	if got := Plan(in); len(got) != 1 || got[0].Target != "t7" || got[0].FromStore {
		t.Errorf("planned %+v, want one load from the disk of t7", got)
	}
	in = aheadInput(Forecast{Soon: 8, Loaded: 8})
	for i := range in.Targets {
		in.Targets[i].Running = 2
	}
	in.Targets[5].Running = 0
	if got := Plan(in); len(got) != 1 || got[0].Target != "t5" {
		t.Errorf("planned %+v, want one copy on t5, which is idle", got)
	}
	in = aheadInput(Forecast{Soon: 8, Loaded: 8})
	for i := range in.Targets {
		in.Targets[i].DataCentre = "a"
	}
	in.Targets[6].DataCentre = "b"
	if got := Plan(in); len(got) != 1 || got[0].Target != "t6" {
		t.Errorf("planned %+v, want one copy on t6 in the other data centre", got)
	}
}

// Guards against moves for models with few requests that leave no room for those of an overloaded model.
func TestBudgetKeepsRoomForOverload(t *testing.T) {
	b := newBudget(replayTargets, 104, replayStoreRate, replayStoreLoad)
	for running, want := range map[int][3]bool{0: {true, true, true}, 24: {false, true, true}, 40: {false, false, true}, 46: {}} {
		for u := range want {
			if got := b.allows(Urgency(u), running); got != want[u] {
				t.Errorf("a move of urgency %v beside %d others: allowed is %v, want %v", Urgency(u), running, got, want[u])
			}
		}
	}
	if got := [2]bool{b.allowsFill(78), b.allowsFill(80)}; got != [2]bool{true, false} {
		t.Errorf("loads into free memory beside 78 and 80 others: allowed is %v", got)
	}
	if b := newBudget(1, 0, 0, replayStoreLoad); !b.allows(UrgencySpare, 0) {
		t.Error("a single target may not move at all")
	}
}

// Guards against a budget that delays the loads after a restart of all targets, when every place is free.
func TestEmptyTargetsAreFilledAtTheRateOfTheStore(t *testing.T) {
	filled := func(loadTime time.Duration) time.Duration {
		r := newReplay(1, loadTime, func(int, time.Duration) float64 { return 1.0 / 30 })
		for _, t := range r.targets {
			t.Models, t.OnDisk, t.UsedMB = nil, nil, 0
		}
		for r.elapsed < time.Minute {
			r.run(r.elapsed + replayStep)
			if !slices.ContainsFunc(r.targets, func(t *replayTarget) bool { return len(t.Models) < 3 || t.MoveInProgress }) {
				break
			}
		}
		return r.elapsed
	}
	before, after := filled(0), filled(replayStoreLoad)
	t.Logf("all places are filled after %v by current demand, %v by forecast", before, after)
	if 4*after > 3*before {
		t.Errorf("all places are filled after %v, after %v with the plan by current demand", after, before)
	}
}
