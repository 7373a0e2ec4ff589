package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchInput returns the input of one tick while demand shifts: a fifth of the models are in demand and some targets move.
func benchInput(targets, models int, loadTime time.Duration) Input {
	rng := rand.New(rand.NewPCG(3, 4))
	in := Input{StoreLoads: 2, StoreRate: replayStoreRate}
	for i := range models {
		m := Model{Name: fmt.Sprintf("m%03d", i), WeightsMB: weights, LoadTime: loadTime}
		if i%5 == 0 {
			m.Demand = rng.ExpFloat64() * 8 * float64(targets) * 3 / float64(models)
			m.RecentDemand = m.Demand
			m.Forecast = Forecast{Soon: m.Demand, Loaded: m.Demand * (0.5 + rng.Float64())}
		}
		in.Models = append(in.Models, m)
	}
	for i := range targets {
		t := Target{ID: fmt.Sprintf("t%03d", i), CapacityMB: 3*weights + 5, UsedMB: 3 * weights, Slots: replaySlots, Running: rng.IntN(replaySlots),
			MoveInProgress: i%20 == 0, DataCentre: fmt.Sprint("dc", i%3)}
		for place := range 3 {
			t.Models = append(t.Models, in.Models[(i+place*targets)%models].Name)
		}
		t.OnDisk = t.Models
		in.Targets = append(in.Targets, t)
	}
	return in
}

// Measures one plan of the leader, which has 0.48 of a core and plans every 100 ms.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ targets, models int }{{90, 166}, {860, 500}} {
		for name, loadTime := range map[string]time.Duration{"by demand": 0, "by forecast": replayStoreLoad} {
			in := benchInput(size.targets, size.models, loadTime)
			b.Run(fmt.Sprintf("%d targets, %d models, %s", size.targets, size.models, name), func(b *testing.B) {
				b.ReportAllocs()
				moves := 0
				for b.Loop() {
					moves = len(Plan(in))
				}
				b.ReportMetric(float64(moves), "moves")
			})
		}
	}
}
