package residency

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The digests of the plans of commit f174914, before plans by forecast, for the inputs of randomInput and the loads of
// TestRareModelsShareThePlaces.
const (
	unchangedPlans = 2074211311809992276
	unchangedTail  = "177 173 79\n181 174 92\n477 468 185\n"
)

// randomInput returns an input with models, sizes, caches, adapters and demand of any kind.
func randomInput(rng *rand.Rand) Input {
	in := Input{StoreLoads: rng.IntN(5)}
	names := make([]string, 4+rng.IntN(20))
	for i := range names {
		names[i] = fmt.Sprint("m", i)
		m := Model{Name: names[i], WeightsMB: 60 + float64(rng.IntN(20)), HasAdapters: rng.IntN(4) == 0, Adapters: rng.IntN(8)}
		if rng.IntN(3) > 0 {
			m.Demand = rng.ExpFloat64() * 15
			m.RecentDemand = m.Demand * rng.Float64()
		}
		in.Models = append(in.Models, m)
	}
	for i := range 1 + rng.IntN(12) {
		t := Target{ID: fmt.Sprint("t", i), CapacityMB: 240, Slots: 4 + rng.IntN(30), AdapterSlots: rng.IntN(5),
			MoveInProgress: rng.IntN(5) == 0, AwaitingReport: rng.IntN(9) == 0, Running: rng.IntN(12)}
		for _, j := range rng.Perm(len(names))[:rng.IntN(4)] {
			if t.UsedMB+in.Models[j].WeightsMB <= t.CapacityMB {
				t.Models = append(t.Models, names[j])
				t.UsedMB += in.Models[j].WeightsMB
			}
		}
		if len(t.Models) > 0 && rng.IntN(4) == 0 {
			t.Settling = t.Models[:1]
		}
		if t.MoveInProgress && len(t.Models) > 0 {
			t.Loading = t.Models[0]
		}
		for _, j := range rng.Perm(len(names))[:rng.IntN(4)] {
			t.OnDisk = append(t.OnDisk, names[j])
		}
		in.Targets = append(in.Targets, t)
	}
	return in
}

// Guards against a change of the plans of services without a model with a long load.
func TestPlansWithoutLongLoadsAreUnchanged(t *testing.T) {
	digest, rng := fnv.New64a(), rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		in := randomInput(rng)
		for i := range in.Models {
			in.Models[i].LoadTime = minAheadLoadTime - time.Millisecond
			in.Models[i].Forecast = Forecast{Soon: float64(i * 7), Loaded: float64(90 - i), Falling: i%2 == 0}
		}
		in.StoreRate = 13
		for i := range in.Targets {
			in.Targets[i].DataCentre = fmt.Sprint("dc", i%3)
		}
		for _, m := range Plan(in) {
			fmt.Fprintln(digest, m.Target, m.Load, m.Unload, m.FromStore)
		}
		fmt.Fprintln(digest)
	}
	if got := digest.Sum64(); got != unchangedPlans {
		t.Errorf("the digest of the plans is %d, before it was %d", got, uint64(unchangedPlans))
	}
	tail := ""
	for seed, load := range []tailLoad{
		{targets: 12, busyModels: 12, rareModels: 31, busyPerSecond: 40, rarePerSecond: 3},
		{targets: 12, busyModels: 12, rareModels: 31, busyPerSecond: 40, rarePerSecond: 3, shiftEvery: 8 * time.Second},
		{targets: 40, busyModels: 30, rareModels: 120, busyPerSecond: 120, rarePerSecond: 8, shiftEvery: 10 * time.Second},
	} {
		s := newTailSimulation(load, uint64(seed))
		s.run()
		tail += fmt.Sprintln(s.asked, s.served, s.storeLoads)
	}
	if tail != unchangedTail {
		t.Errorf("the replays give\n%s, before they gave\n%s", tail, unchangedTail)
	}
}

// Guards against rarely used models that are no longer served where there are more models than places: a plan by forecast
// kept the places for the models in demand in a trial.
func TestModelsBeyondThePlacesArePlannedByDemand(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	checked := 0
	for range 500 {
		in := randomInput(rng)
		if !oversubscribed(in.Targets, in.Models) {
			continue
		}
		checked++
		before := Plan(in)
		for i := range in.Models {
			in.Models[i].LoadTime, in.Models[i].Forecast = replayStoreLoad, Forecast{Soon: 50, Loaded: 70}
		}
		if diff := cmp.Diff(before, Plan(in)); diff != "" {
			t.Fatal(diff)
		}
	}
	if checked < 100 {
		t.Fatalf("only %d inputs have more models than places", checked)
	}
}
