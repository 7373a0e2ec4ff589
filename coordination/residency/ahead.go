package residency

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Models with a long load from the weight store are planned by forecast: a plan by current demand completes when the
// demand has moved on. A load from the disk or the memory of a target costs little and is done while demand lasts, so it
// has a lower threshold than one from the store.

const (
	// minSpareAhead is the forecast demand per copy, in requests per slot, from which a copy is worth a load from the
	// store while there is room in the budget, and minOverloadAhead that from which a model counts as overloaded. Three
	// models share a target, so the slots of a copy are not all its own.
	minSpareAhead    = 0.35
	minOverloadAhead = 0.75
	// minOverloadSoon is the same for a load from the disk or memory of the target.
	minOverloadSoon = 0.2
	// aheadStoreLoadCost is that of a target without a free slot: a fast copy there is worth as little as a late one.
	aheadStoreLoadCost = targetLoadCost
	// dataCentreCost is the cost of a copy in the only data centre that holds the model. It decides between targets that
	// are equal otherwise.
	dataCentreCost = 0.1
	// recentDemandCost is the weight of the demand of the last 20 s, per copy and slot, of a model that loses a copy.
	recentDemandCost = 0.5
)

// ahead reports whether copies of a model are planned by forecast. Where there are more models than places, they share the
// places over time, and a plan by forecast would keep them for the models in demand.
func (p *planner) ahead(m *Model) bool { return p.byForecast && m.longLoad() }

// expected returns the demand by which the copies of a model are planned.
func (p *planner) expected(m *Model) float64 {
	if p.ahead(m) {
		return m.Forecast.Loaded
	}
	return m.Demand
}

// expectedSoon returns the demand to be expected by the time a fast load is done.
func (p *planner) expectedSoon(m *Model) float64 {
	if p.ahead(m) {
		return m.Forecast.Soon
	}
	return m.Demand
}

// candidate is a model for which a copy is planned.
type candidate struct {
	*Model
	urgency Urgency
	// fastOnly means that a load from the weight store is not worth it.
	fastOnly bool
	// freeMemoryOnly means that the moves that replace a model are used up.
	freeMemoryOnly bool
	pressure       float64
}

// aheadPlanner plans models with a long load.
type aheadPlanner struct {
	*planner
	budget budget
	// load is the expected demand by target, from the forecasts of the models that it holds.
	load []float64
	// unplaced are models that found no target. They find none later in the same plan either.
	unplaced map[string]bool
}

func (p *planner) planAhead(storeRate float64) []Move {
	var longest time.Duration
	for i := range p.models {
		longest = max(longest, p.models[i].LoadTime)
	}
	a := &aheadPlanner{planner: p, budget: newBudget(len(p.targets), places(p.targets, p.models)-len(p.models), storeRate, longest), unplaced: make(map[string]bool)}
	a.expectLoads()
	var moves []Move
	for !a.budget.exhausted(a.runningMoves) {
		move, ok := a.next()
		if !ok {
			break
		}
		a.apply(move)
		move.ByForecast = true
		moves = append(moves, move)
	}
	return moves
}

func (a *aheadPlanner) next() (Move, bool) {
	if move, ok := a.addCopy(); ok {
		return move, true
	}
	if a.budget.allowsFill(a.runningMoves) && a.anyFreeMemory() {
		if move, ok := a.fillFreeMemory(); ok {
			return move, true
		}
	}
	// Spreading makes room for models that found no target.
	if len(a.unplaced) == 0 || !a.budget.allows(UrgencySpare, a.runningMoves) {
		return Move{}, false
	}
	return a.spreadLastCopies()
}

// anyFreeMemory reports whether a target may have room for another model, so that the others need no closer look.
func (a *aheadPlanner) anyFreeMemory() bool {
	smallest := math.Inf(1)
	for i := range a.models {
		smallest = min(smallest, a.models[i].WeightsMB)
	}
	return slices.ContainsFunc(a.targets, func(t Target) bool { return !t.busy() && t.UsedMB+smallest <= t.CapacityMB })
}

// expectLoads sets the expected load of each target.
func (a *aheadPlanner) expectLoads() {
	a.load = make([]float64, len(a.targets))
	for i := range a.targets {
		for _, name := range a.targets[i].Models {
			a.load[i] += a.demandPerCopy(name)
		}
	}
}

func (a *aheadPlanner) demandPerCopy(name string) float64 {
	m := a.byName[name]
	if m == nil {
		return 0
	}
	return a.expectedSoon(m) / float64(max(a.copies[name], 1))
}

// addCopy returns the most urgent possible move that adds a copy.
func (a *aheadPlanner) addCopy() (Move, bool) {
	for _, c := range a.candidates() {
		c.freeMemoryOnly = !a.budget.allows(c.urgency, a.runningMoves)
		if c.freeMemoryOnly && !a.budget.allowsFill(a.runningMoves) {
			continue
		}
		if move, ok := a.place(&c); ok {
			return move, true
		}
		a.unplaced[c.Name] = true
	}
	return Move{}, false
}

// candidates returns the models that another copy is worth a load for, the most urgent first.
func (a *aheadPlanner) candidates() []candidate {
	var list []candidate
	for i := range a.models {
		m := &a.models[i]
		if a.unplaced[m.Name] {
			continue
		}
		if c, ok := a.candidate(m); ok {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(x, y candidate) int {
		if c := cmp.Compare(y.urgency, x.urgency); c != 0 {
			return c
		}
		return cmp.Compare(y.pressure, x.pressure)
	})
	return list
}

// candidate reports whether another copy of a model is worth a load, and how urgent it is.
func (a *aheadPlanner) candidate(m *Model) (candidate, bool) {
	c := candidate{Model: m, pressure: a.pressure(m)}
	switch {
	case a.copies[m.Name] == 0 && m.Demand >= minAbsentDemand:
		c.urgency = UrgencyAbsent
		if a.expected(m) >= minOverloadAhead*a.maxSlots {
			c.urgency = UrgencyOverload
		}
		return c, true
	case a.copies[m.Name] == 0:
		return c, true
	case !a.ahead(m):
		return a.candidateByDemand(c)
	}
	switch {
	case c.pressure >= minSpareAhead*a.maxSlots && !m.Forecast.Falling:
		if c.pressure >= minOverloadAhead*a.maxSlots {
			c.urgency = UrgencyOverload
		}
		return c, true
	case a.usableCopies[m.Name] > 0 && m.Forecast.Soon/a.speeds[m.Name] >= minOverloadSoon*a.maxSlots:
		c.fastOnly = true
		return c, true
	}
	return c, false
}

// candidateByDemand applies the thresholds for models with a short load.
func (a *aheadPlanner) candidateByDemand(c candidate) (candidate, bool) {
	threshold := minOverloadPerSlot
	if a.usableCopies[c.Name] == 0 {
		threshold = minLoadingOverloadPerSlot
	}
	if c.pressure >= minOverloadAhead*a.maxSlots {
		c.urgency = UrgencyOverload
	}
	return c, c.pressure >= threshold*a.maxSlots
}

// place returns the move with the lowest cost that adds a copy.
func (a *aheadPlanner) place(c *candidate) (Move, bool) {
	var best Move
	bestCost := math.Inf(1)
	inDataCentre := a.copiesByDataCentre(c.Name)
	for i := range a.targets {
		t := &a.targets[i]
		if t.busy() || t.holds(c.Name) {
			continue
		}
		fromStore := a.fromStore(t, c.Name)
		if fromStore && (c.fastOnly || a.storeLoadsLeft <= 0) || a.blocksAdapterOrders(t) {
			continue
		}
		victim, loss, ok := a.victim(t, c)
		if !ok {
			continue
		}
		cost := loss + a.loadCost(t, c.Name, fromStore) + targetLoadCost*a.loadWithout(i, victim)/a.maxSlots +
			a.speedCost(t, c.Name, a.expected(c.Model))
		if n := a.copies[c.Name]; n > 0 && t.DataCentre != "" {
			cost += dataCentreCost * float64(inDataCentre[t.DataCentre]) / float64(n)
		}
		if cost < bestCost {
			best, bestCost = Move{Target: t.ID, Load: c.Name, Unload: victim, FromStore: fromStore, Urgency: c.urgency}, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

func (a *aheadPlanner) copiesByDataCentre(model string) map[string]int {
	n := make(map[string]int)
	for i := range a.targets {
		if t := &a.targets[i]; t.holds(model) {
			n[t.DataCentre]++
		}
	}
	return n
}

// loadWithout returns the load to be expected of a target after a model is unloaded, at least its running requests
// without those of that model.
func (a *aheadPlanner) loadWithout(target int, victim string) float64 {
	unloaded := 0.0
	if victim != "" {
		unloaded = a.demandPerCopy(victim)
	}
	return max(0, max(a.load[target], float64(a.targets[target].Running))-unloaded)
}

func (a *aheadPlanner) loadCost(t *Target, model string, fromStore bool) float64 {
	switch {
	case fromStore:
		return aheadStoreLoadCost
	case slices.Contains(t.InMemory, model):
		return 0
	}
	return diskLoadCost
}

// victim returns the model to unload for another one, empty if there is room, and the cost of unloading it.
func (a *aheadPlanner) victim(t *Target, c *candidate) (name string, loss float64, ok bool) {
	if t.UsedMB+c.WeightsMB <= t.CapacityMB {
		return "", 0, true
	}
	if c.freeMemoryOnly {
		return "", 0, false
	}
	loss = math.Inf(1)
	for _, held := range t.Models {
		other := a.byName[held]
		if other == nil {
			other = &Model{Name: held}
		}
		if !t.canReplace(other, c.Model) {
			continue
		}
		if cost, allowed := a.unloadCost(t, other, c); allowed && cost < loss {
			name, loss = held, cost
		}
	}
	return name, loss, name != ""
}

// unloadCost returns the cost of unloading the copy of a model on a target in favour of another one, and whether that is
// allowed. A copy is kept where the forecast of its model needs it.
func (a *aheadPlanner) unloadCost(t *Target, victim *Model, gaining *candidate) (cost float64, allowed bool) {
	if a.usableCopies[victim.Name] < 2 || a.byName[victim.Name] == nil {
		return a.planner.unloadCost(t, victim, gaining.Model)
	}
	copies, speedsLeft := float64(a.copies[victim.Name]), a.speeds[victim.Name]-t.Speed
	expected := max(a.expected(victim), a.expectedSoon(victim))
	demandAfter := expected / speedsLeft
	if a.copies[gaining.Name] > 0 && demandAfter > maxDonorDemandShare*gaining.pressure {
		return 0, false
	}
	running := victimLoadCost * victim.Demand / copies
	recent := recentDemandCost * victim.RecentDemand / speedsLeft
	return (demandAfter + running + recent) / a.maxSlots, true
}
