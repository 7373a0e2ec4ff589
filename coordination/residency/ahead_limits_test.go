package residency

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against a plan by forecast that overcommits a target, unloads a last usable copy or a model that was just loaded,
// orders a second move from a target, or exceeds the rate of the weight store.
func TestPlansByForecastRespectLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 10))
	planned := 0
	for range 5000 {
		in := randomInput(rng)
		for i := range in.Models {
			m := &in.Models[i]
			m.LoadTime = replayStoreLoad
			m.Forecast = Forecast{Soon: m.Demand * (0.5 + rng.Float64()), Loaded: m.Demand * 2 * rng.Float64(), Falling: rng.IntN(4) == 0}
		}
		if oversubscribed(in.Targets, in.Models) {
			continue
		}
		moves := Plan(in)
		planned += len(moves)
		checkMoves(t, in, moves)
	}
	if planned < 1000 {
		t.Fatalf("only %d moves planned", planned)
	}
}

func checkMoves(t *testing.T, in Input, moves []Move) {
	t.Helper()
	usable, weightsOf := map[string]int{}, map[string]float64{}
	for _, m := range in.Models {
		weightsOf[m.Name] = m.WeightsMB
	}
	for i := range in.Targets {
		for _, m := range in.Targets[i].Models {
			if target := &in.Targets[i]; m != target.Loading && !target.AwaitingReport {
				usable[m]++
			}
		}
	}
	storeLoads, moving := 0, map[string]bool{}
	for _, move := range moves {
		target := &in.Targets[slices.IndexFunc(in.Targets, func(t Target) bool { return t.ID == move.Target })]
		used := target.UsedMB + weightsOf[move.Load] - weightsOf[move.Unload]
		switch {
		case target.busy() || moving[target.ID] || target.holds(move.Load):
			t.Fatalf("move %+v on a target that is busy or holds the model: %+v", move, target)
		case used > target.CapacityMB:
			t.Fatalf("move %+v needs %v MB of %v MB", move, used, target.CapacityMB)
		case slices.Contains(target.Settling, move.Unload):
			t.Fatalf("move %+v unloads a model that was just loaded", move)
		case move.Unload != "" && usable[move.Unload] < 2:
			t.Fatalf("move %+v unloads the last usable copy", move)
		}
		moving[target.ID] = true
		usable[move.Unload]--
		if move.FromStore {
			storeLoads++
		}
	}
	if storeLoads > in.StoreLoads {
		t.Fatalf("%d loads from the weight store, %d allowed", storeLoads, in.StoreLoads)
	}
}
