package residency

import (
	"math"
	"slices"
)

const (
	// victimLoadCost is the weight of the running requests of the unloaded model, which must finish before it is
	// unloaded.
	victimLoadCost = 4.0
	// lastCopyCost is the cost of unloading the last copy of a model, whose next request then waits for a load, and
	// expectedRequestCost the additional cost for each request that the model had at a time recently.
	lastCopyCost        = 0.3
	expectedRequestCost = 1.0
	// maxDonorDemandShare is the maximum demand per copy of a model after it loses a copy, in proportion to the
	// pressure of the model that gains one. It keeps two models from replacing each other in turn.
	maxDonorDemandShare = 0.7
	// maxLastCopyDemandShare is the maximum demand of a model that loses its last copy to a model without one, and
	// maxLastCopyOverloadShare to a model with overloaded copies, in proportion to the demand or pressure of that model.
	maxLastCopyDemandShare   = 0.5
	maxLastCopyOverloadShare = 0.1
	// maxIdleDemand is the demand up to which the last copy of a model counts as idle and may yield to an overloaded model.
	maxIdleDemand = 0.5
	// minLastCopyOverload is the pressure, per slot, from which a model with copies may replace a last copy.
	minLastCopyOverload = 0.3
)

// victim returns the model to unload for another one, empty if there is room, and the cost of unloading it.
func (p *planner) victim(t *Target, m *Model) (name string, loss float64, ok bool) {
	if t.UsedMB+m.WeightsMB <= t.CapacityMB {
		return "", 0, true
	}
	loss = math.Inf(1)
	for _, held := range t.Models {
		other := p.byName[held]
		if other == nil {
			other = &Model{Name: held}
		}
		if !t.canReplace(other, m) {
			continue
		}
		if cost, allowed := p.unloadCost(t, other, m); allowed && cost < loss {
			name, loss = held, cost
		}
	}
	return name, loss, name != ""
}

// canReplace reports whether a held model has settled and its memory, with what is free, is enough for another one.
func (t *Target) canReplace(held, m *Model) bool {
	heldMB, ok := t.HeldMB[held.Name]
	if !ok {
		heldMB = held.WeightsMB
	}
	return !slices.Contains(t.Settling, held.Name) && t.UsedMB-heldMB+m.WeightsMB <= t.CapacityMB
}

// unloadCost returns the cost of unloading the copy of a model on a target in favour of another one, and whether that is allowed. A
// model that was withdrawn costs nothing.
func (p *planner) unloadCost(t *Target, victim, gaining *Model) (cost float64, allowed bool) {
	if p.byName[victim.Name] == nil {
		return 0, true
	}
	copies := p.copies[victim.Name]
	// The running requests of the victim must finish before its memory is free.
	running := victimLoadCost * victim.Demand / float64(copies) / p.maxSlots
	if p.usableCopies[victim.Name] >= 2 {
		demandAfter := victim.Demand / (p.speeds[victim.Name] - t.Speed)
		if p.copies[gaining.Name] > 0 && demandAfter > maxDonorDemandShare*p.pressure(gaining) {
			return 0, false
		}
		return demandAfter/p.maxSlots + running, true
	}
	if copies > 1 || !p.oversubscribed || !p.mayReplaceLastCopy(victim, gaining) {
		return 0, false
	}
	return lastCopyCost + expectedRequestCost*victim.RecentDemand + running, true
}

// oversubscribed reports whether the targets have fewer places than there are models, with the largest model as the size
// of a place. Otherwise each model keeps a copy.
func oversubscribed(targets []Target, models []Model) bool {
	return len(models) > places(targets, models)
}

// places returns the number of models of the largest size that the targets hold. Models without a size need no place.
func places(targets []Target, models []Model) int {
	largestMB := 0.0
	for i := range models {
		largestMB = max(largestMB, models[i].WeightsMB)
	}
	if largestMB == 0 {
		return math.MaxInt
	}
	n := 0
	for i := range targets {
		n += int(targets[i].CapacityMB / largestMB)
	}
	return n
}

// mayReplaceLastCopy reports whether the demand for a model justifies that another model loses its last copy. Without
// this, places that are all taken by last copies would never change, and models beyond them would never be served.
func (p *planner) mayReplaceLastCopy(victim, gaining *Model) bool {
	if p.copies[gaining.Name] == 0 {
		return gaining.Demand >= minAbsentDemand && victim.Demand <= maxLastCopyDemandShare*gaining.Demand
	}
	pressure := p.pressure(gaining)
	return pressure >= minLastCopyOverload*p.maxSlots &&
		max(victim.Demand, victim.RecentDemand) <= min(maxLastCopyOverloadShare*pressure, maxIdleDemand)
}
