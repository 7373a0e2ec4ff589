package residency

import (
	"cmp"
	"math"
	"slices"
)

// Targets differ in speed. A copy serves requests in proportion to the speed of its target, so the demand per copy is that
// of the model over the sum of the speeds of its copies. Speeds decide which target a copy is loaded on, and which copy is
// unloaded for it. They are no reason for a load.

const (
	// speedWeight is the cost of a target without speed, compared with one of nominal speed, for a copy whose slots would
	// all be in use. It is a third of aheadStoreLoadCost, so that a disk goes before speed. With 3 instead of 2, fewer requests
	// found a slot in time in the replay.
	speedWeight = 2.0
	// lowDemandShare is the demand per copy, in requests per slot, below which a copy is better placed on a slow target.
	lowDemandShare = 0.05
)

// setSpeeds gives targets without a speed the nominal one. Equal speeds become 1, so that only differences count.
func setSpeeds(targets []Target) {
	equal := true
	for i := range targets {
		t := &targets[i]
		if !(t.Speed > 0) || math.IsInf(t.Speed, 1) { // NaN too
			t.Speed = 1
		}
		equal = equal && t.Speed == targets[0].Speed
	}
	for i := range targets {
		if equal {
			targets[i].Speed = 1
		}
	}
}

// speedCost returns the cost of the speed of a target for another copy of a model with a demand. It is negative for a fast
// target and a copy in demand, and for a slow one and a copy with little demand.
func (p *planner) speedCost(t *Target, model string, demand float64) float64 {
	share := min(demand/(p.speeds[model]+1)/p.maxSlots, 1)
	// The conversion keeps the compiler from fusing the product with the sum of the caller on some processors.
	return float64(speedWeight * (1 - t.Speed) * (share - lowDemandShare))
}

// fastestFirst returns the targets, the fastest first.
func (p *planner) fastestFirst() []*Target {
	targets := make([]*Target, len(p.targets))
	for i := range p.targets {
		targets[i] = &p.targets[i]
	}
	slices.SortStableFunc(targets, func(a, b *Target) int { return cmp.Compare(b.Speed, a.Speed) })
	return targets
}
