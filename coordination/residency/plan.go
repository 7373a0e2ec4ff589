// Package residency decides which models targets hold. It answers demand that moves from one model to others within
// seconds, and targets that come and go, with as few loads as possible. It never gives up the last copy of a model.
package residency

import (
	"cmp"
	"math"
	"slices"
)

const (
	// busyPerSlot is the demand for each copy, in requests for each slot of a target, from which another copy is worth a
	// load: prompts that are read delay the tokens of all other requests long before the slots are full.
	busyPerSlot = 0.04
	// missingPressure is the pressure of a model without a copy, in slots, and missingWeight that of each request for it.
	missingPressure = 0.25
	missingWeight   = 1.0
	// donorShare bounds the demand per copy that the model which gives up a copy may have afterwards, in proportion to
	// that of the model which gains one. It keeps two models from taking places from each other in turn.
	donorShare = 0.7
	// maxMoves bounds the moves that run at the same time, in proportion to the targets.
	maxMoves = 0.5
)

// Target is one target that holds models of a service.
type Target struct {
	ID         string
	CapacityMB float64
	Slots      int
	// AdapterSlots is the number of adapters that it can hold.
	AdapterSlots int
	Models       []string // held, or being loaded
	// Arriving is the model that is being loaded, if any.
	Arriving string
	// Unsure targets have to tell what they hold before they get an order; Models is what was known last.
	Unsure bool
	UsedMB float64 // by models and adapters, held or being loaded
	// InMemory and OnDisk are models that load faster here than from the weight store.
	InMemory, OnDisk []string
	// Moving targets carry out a move already.
	Moving bool
	// Running is the number of requests that run here.
	Running int
}

// busy targets take no order at the moment.
func (t *Target) busy() bool { return t.Moving || t.Unsure }

func (t *Target) holds(model string) bool { return slices.Contains(t.Models, model) }

// Model is one model of the service.
type Model struct {
	Name      string
	WeightsMB float64
	// Demand is the smoothed number of requests that run, wait or were turned away lately.
	Demand float64
	// HasAdapters is set for models whose adapters are loaded by orders as well.
	HasAdapters bool
	// Adapters is the number of its adapters that requests asked for lately.
	Adapters int
}

// Move is a model to load on a target, in place of another one unless Unload is empty.
type Move struct {
	Target string
	Load   string
	Unload string
	// FromStore tells that the load counts against the rate of the weight store.
	FromStore bool
}

// Input is what a plan is made from. Targets are those that are ready and known well.
type Input struct {
	Targets []Target
	Models  []Model
	// StoreLoads is the number of loads from the weight store that may begin now.
	StoreLoads int
}

// Plan returns the moves to begin now, the most urgent first.
func Plan(in Input) []Move {
	p := newPlanner(in)
	limit := max(1, int(maxMoves*float64(len(p.targets))))
	var moves []Move
	for p.moving < limit {
		move, ok := p.next()
		if !ok {
			move, ok = p.fill()
		}
		if !ok {
			move, ok = p.spread()
		}
		if !ok {
			break
		}
		p.apply(move)
		moves = append(moves, move)
	}
	return moves
}

type planner struct {
	targets []Target
	models  []Model
	byName  map[string]*Model
	copies  map[string]int
	// present counts the copies that requests can use for certain. A copy that is still being loaded, or one on a target
	// that has to tell first what it holds, does not make a last copy a spare one.
	present    map[string]int
	storeLoads int
	moving     int
	slots      float64
	// adapterSlots is the number of adapters that one target holds at most.
	adapterSlots int
}

func newPlanner(in Input) *planner {
	p := &planner{targets: slices.Clone(in.Targets), models: slices.Clone(in.Models), byName: make(map[string]*Model),
		copies: make(map[string]int), present: make(map[string]int), storeLoads: in.StoreLoads, slots: 1}
	// The order must not depend on that of maps, so that equal inputs give equal plans.
	slices.SortFunc(p.targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	for i := range p.targets {
		t := &p.targets[i]
		t.Models = slices.Clone(t.Models)
		if t.Moving {
			p.moving++
		}
		p.slots = max(p.slots, float64(t.Slots))
		p.adapterSlots = max(p.adapterSlots, t.AdapterSlots)
		for _, m := range t.Models {
			p.copies[m]++
			if m != t.Arriving && !t.Unsure {
				p.present[m]++
			}
		}
	}
	slices.SortStableFunc(p.models, func(a, b Model) int {
		if c := cmp.Compare(p.pressure(&b), p.pressure(&a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	for i := range p.models {
		p.byName[p.models[i].Name] = &p.models[i]
	}
	return p
}

// pressure is the demand for each copy, and more while requests ask for more adapters of the model than its targets have
// places for: those that find no place wait although their targets have slots left. A model without a copy comes before those whose copies are not overloaded, and
// before all others once requests for it wait.
func (p *planner) pressure(m *Model) float64 {
	if n := p.copies[m.Name]; n > 0 {
		pressure := m.Demand / float64(n)
		if places := n * p.adapterSlots; places > 0 && m.Adapters > places {
			pressure *= float64(m.Adapters) / float64(places)
		}
		return pressure
	}
	return p.slots * (missingPressure + missingWeight*m.Demand)
}

// next returns the most urgent move that is possible.
func (p *planner) next() (Move, bool) {
	order := slices.Clone(p.models)
	slices.SortStableFunc(order, func(a, b Model) int { return cmp.Compare(p.pressure(&b), p.pressure(&a)) })
	for i := range order {
		m := &order[i]
		if p.copies[m.Name] > 0 && p.pressure(m) < busyPerSlot*p.slots {
			break
		}
		if move, ok := p.place(m); ok {
			return move, true
		}
	}
	return Move{}, false
}

// place finds the best target for another copy of a model.
func (p *planner) place(m *Model) (Move, bool) {
	var best Move
	bestCost := math.Inf(1)
	for i := range p.targets {
		t := &p.targets[i]
		if t.busy() || t.holds(m.Name) || p.blocksAdapters(t) {
			continue
		}
		fromStore := p.fromStore(t, m.Name)
		if fromStore && p.storeLoads <= 0 {
			continue
		}
		victim, loss, ok := p.victim(t, m)
		if !ok {
			continue
		}
		cost := loss + runningCost*float64(t.Running)/p.slots
		if fromStore {
			cost += storeCost
		} else if !slices.Contains(t.InMemory, m.Name) {
			cost += diskCost
		}
		if cost < bestCost {
			best, bestCost = Move{Target: t.ID, Load: m.Name, Unload: victim, FromStore: fromStore}, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// Costs that order the places for a copy, against the demand of the model that makes room, in slots.
const (
	storeCost = 2.0
	diskCost  = 0.3
	// runningCost prefers targets with little work, which the copy is meant to use.
	runningCost = 6.0
	// runsCost is that of the runs of a model which have to end before it is unloaded.
	runsCost = 4.0
)

// adapterDemand is the demand from which a model must keep a target that can load its adapters.
const adapterDemand = 1.0

// blocksAdapters tells whether a move would leave a wanted model without a target that accepts orders for its adapters:
// a target carries out one order at a time, and a load takes seconds.
func (p *planner) blocksAdapters(t *Target) bool {
	for _, name := range t.Models {
		m := p.byName[name]
		if m == nil || !m.HasAdapters || m.Demand < adapterDemand {
			continue
		}
		others := slices.ContainsFunc(p.targets, func(o Target) bool { return o.ID != t.ID && !o.busy() && o.holds(name) })
		if !others {
			return true
		}
	}
	return false
}

// victim returns the model that makes room for another one, empty if there is room, and the demand that it has per copy.
func (p *planner) victim(t *Target, m *Model) (name string, loss float64, ok bool) {
	if t.UsedMB+m.WeightsMB <= t.CapacityMB {
		return "", 0, true
	}
	loss = math.Inf(1)
	for _, held := range t.Models {
		other := p.byName[held]
		weights := 0.0
		demand := 0.0
		if other != nil {
			weights, demand = other.WeightsMB, other.Demand
		}
		if p.present[held] < 2 || t.UsedMB-weights+m.WeightsMB > t.CapacityMB {
			continue
		}
		after := demand / float64(p.copies[held]-1)
		if p.copies[m.Name] > 0 && after > donorShare*p.pressure(m) {
			continue
		}
		// The runs of the victim have to end before its place is free.
		l := after/p.slots + runsCost*demand/float64(p.copies[held])/p.slots
		if l < loss {
			name, loss = held, l
		}
	}
	return name, loss, name != ""
}

// fill uses room that is left with another copy of the model that is wanted most. Before any demand is known, that is
// the model with the most copies.
func (p *planner) fill() (Move, bool) {
	for i := range p.targets {
		t := &p.targets[i]
		if t.busy() || p.blocksAdapters(t) {
			continue
		}
		var best *Model
		for j := range p.models {
			m := &p.models[j]
			if t.holds(m.Name) || t.UsedMB+m.WeightsMB > t.CapacityMB || p.fromStore(t, m.Name) && p.storeLoads <= 0 {
				continue
			}
			if best == nil || p.pressure(m) > p.pressure(best) ||
				p.pressure(m) == p.pressure(best) && p.copies[m.Name] > p.copies[best.Name] {
				best = m
			}
		}
		if best != nil {
			return Move{Target: t.ID, Load: best.Name, FromStore: p.fromStore(t, best.Name)}, true
		}
	}
	return Move{}, false
}

// fromStore tells whether a model would be loaded from the weight store.
func (p *planner) fromStore(t *Target, model string) bool {
	return !slices.Contains(t.InMemory, model) && !slices.Contains(t.OnDisk, model)
}

// spreadPressure bounds the demand per copy, in slots, of a model that gives up a copy to spread the last copies.
const spreadPressure = 0.3

// spread copies a model from a target that holds only last copies to one that holds several spare ones. The first target
// can then take a busy model in its place. Without this, a few targets with spare copies carry all the demand, and
// those that hold the rarely used models stand idle.
func (p *planner) spread() (Move, bool) {
	var best Move
	bestCost := math.Inf(1)
	for i := range p.targets {
		from := &p.targets[i]
		if from.busy() || p.spare(from) > 0 || len(from.Models) == 0 {
			continue
		}
		for j := range p.targets {
			to := &p.targets[j]
			if to.busy() || p.spare(to) < 2 || p.blocksAdapters(to) {
				continue
			}
			if move, cost, ok := p.spreadTo(from, to); ok && cost < bestCost {
				best, bestCost = move, cost
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// spare counts the models of a target that other targets hold as well.
func (p *planner) spare(t *Target) int {
	n := 0
	for _, m := range t.Models {
		if p.copies[m] > 1 {
			n++
		}
	}
	return n
}

// spreadTo returns the cheapest move that copies a model of one target to another.
func (p *planner) spreadTo(from, to *Target) (best Move, cost float64, ok bool) {
	cost = math.Inf(1)
	for _, name := range from.Models {
		m := p.byName[name]
		if m == nil || to.holds(name) {
			continue
		}
		fromStore := p.fromStore(to, name)
		if fromStore && p.storeLoads <= 0 {
			continue
		}
		victim, loss, found := p.spareVictim(to, m)
		if !found {
			continue
		}
		c := loss + m.Demand/p.slots
		if fromStore {
			c += storeCost
		}
		if c < cost {
			best, cost, ok = Move{Target: to.ID, Load: name, Unload: victim, FromStore: fromStore}, c, true
		}
	}
	return best, cost, ok
}

// spareVictim returns the spare copy on a target that is missed least.
func (p *planner) spareVictim(t *Target, m *Model) (name string, loss float64, ok bool) {
	loss = math.Inf(1)
	for _, held := range t.Models {
		other := p.byName[held]
		if other == nil || p.present[held] < 2 || t.UsedMB-other.WeightsMB+m.WeightsMB > t.CapacityMB {
			continue
		}
		after := other.Demand / float64(p.copies[held]-1) / p.slots
		if after <= spreadPressure && after < loss {
			name, loss, ok = held, after, true
		}
	}
	return name, loss, ok
}

// apply changes the state as if the move were done.
func (p *planner) apply(move Move) {
	p.moving++
	if move.FromStore {
		p.storeLoads--
	}
	p.copies[move.Load]++
	if move.Unload != "" {
		p.copies[move.Unload]--
		p.present[move.Unload]--
	}
	for i := range p.targets {
		if t := &p.targets[i]; t.ID == move.Target {
			t.Moving = true
		}
	}
}
