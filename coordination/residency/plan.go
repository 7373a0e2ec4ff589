// Package residency plans which models each target holds. It follows demand that shifts between models within seconds,
// and targets that join and leave, with as few loads as possible. Each model keeps a copy, unless there
// are more models than places. Models then share the places over time: a model that requests wait for replaces an idle
// one, even its last copy. See victim.go.
package residency

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minOverloadPerSlot is the demand per copy, in requests per slot, from which another copy is worth a load. It is
	// low because the prefill of new prompts delays the tokens of all other requests long before the slots are full.
	minOverloadPerSlot = 0.04
	// absentModelPressure is the pressure of a model without a copy and without requests, as a fraction of the slots,
	// and absentModelDemandWeight that of each request for it.
	absentModelPressure     = 0.25
	absentModelDemandWeight = 1.0
	// minAbsentDemand is the demand from which requests wait for a model without a copy.
	minAbsentDemand = 0.2
	// waitingDemandFactor is the factor by which requests that wait for the first copy of a model count more in its
	// demand than they will once they run.
	waitingDemandFactor = 2.0
	// minLoadingOverloadPerSlot replaces minOverloadPerSlot while the first copy of a model is being loaded. Its demand
	// consists of waiting requests then, most of which that copy will serve.
	minLoadingOverloadPerSlot = 0.5
	// maxMovesPerTarget is the maximum number of concurrent moves per target of the service.
	maxMovesPerTarget = 0.5
)

// Target is a target that holds models of a service.
type Target struct {
	ID         string
	CapacityMB float64
	Slots      int
	// AdapterSlots is the maximum number of adapters that the target holds.
	AdapterSlots int
	Models       []string // held, or being loaded
	// Loading is the model that is being loaded; empty if none is.
	Loading string
	// Settling are models that were loaded so recently that they are not unloaded yet. Otherwise models that requests
	// wait for could replace each other before they have served these requests.
	Settling []string
	// AwaitingReport means that the target has to report what it holds before it gets an order; Models is the last
	// known state.
	AwaitingReport bool
	UsedMB         float64 // by models and adapters, held or being loaded
	// HeldMB are the sizes with which models are held. Without an entry, it is that of the model.
	HeldMB map[string]float64
	// InMemory and OnDisk are models whose weights the target caches, so that they load faster than from the weight
	// store.
	InMemory, OnDisk []string
	// MoveInProgress means that the target carries out a move already.
	MoveInProgress bool
	// Running is the number of running requests.
	Running int
	// DataCentre is the data centre of the target.
	DataCentre string
	// Speed is relative to the nominal speed; 0 means 1. A copy serves in proportion to it. See speed.go.
	Speed float64
}

// busy reports whether the target currently accepts no orders.
func (t *Target) busy() bool { return t.MoveInProgress || t.AwaitingReport }

func (t *Target) holds(model string) bool { return slices.Contains(t.Models, model) }

// Model is a model of the service.
type Model struct {
	Name      string
	WeightsMB float64
	// Demand is the smoothed number of requests that are running, queued or were recently rejected.
	Demand float64
	// RecentDemand is the average of the demand over a longer period. It tells how soon requests for an idle model are
	// to be expected again.
	RecentDemand float64
	// HasAdapters means that the model has adapters, which are loaded by orders too.
	HasAdapters bool
	// Adapters is the number of adapters of the model that were requested recently.
	Adapters int
	// LoadTime is the duration of a load from the weight store, and Forecast the demand to be expected. They are used for
	// models with a long load, see ahead.go.
	LoadTime time.Duration
	Forecast Forecast
}

// Move loads a model on a target. It replaces the model Unload unless that is empty.
type Move struct {
	Target string
	Load   string
	Unload string
	// FromStore means that the weights come from the weight store, so the load counts against its rate limit.
	FromStore bool
	// ByForecast means that the plan of the service uses forecasts, and Urgency says what the load is for then.
	ByForecast bool
	Urgency    Urgency
}

// Input is the input of Plan. Targets are the ready targets.
type Input struct {
	Targets []Target
	Models  []Model
	// StoreLoads is the number of loads from the weight store that may start now.
	StoreLoads int
	// StoreRate is the number of loads per second that the weight store allows.
	StoreRate float64
}

// Plan returns the moves to start now, the most urgent first.
func Plan(in Input) []Move {
	p := newPlanner(in)
	if p.byForecast {
		return p.planAhead(in.StoreRate)
	}
	limit := max(1, int(maxMovesPerTarget*float64(len(p.targets))))
	var moves []Move
	for p.runningMoves < limit {
		move, ok := p.addCopy()
		if !ok {
			move, ok = p.fillFreeMemory()
		}
		if !ok {
			move, ok = p.spreadLastCopies()
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
	// bySpeed are the targets, the fastest first.
	bySpeed []*Target
	models  []Model
	byName  map[string]*Model
	copies  map[string]int
	// speeds are the sums of the speeds of the copies.
	speeds map[string]float64
	// usableCopies counts the copies that are known to serve requests. A copy that is still being loaded, or on a
	// target that has yet to report what it holds, doesn't allow another copy to be unloaded.
	usableCopies   map[string]int
	storeLoadsLeft int
	runningMoves   int
	oversubscribed bool
	// byForecast means that copies of models with a long load are planned by forecast.
	byForecast bool
	maxSlots   float64
	// maxAdapterSlots is the largest number of adapter slots of any target.
	maxAdapterSlots int
}

func newPlanner(in Input) *planner {
	p := &planner{targets: slices.Clone(in.Targets), models: slices.Clone(in.Models), byName: make(map[string]*Model),
		copies: make(map[string]int), speeds: make(map[string]float64), usableCopies: make(map[string]int), storeLoadsLeft: in.StoreLoads, maxSlots: 1,
		oversubscribed: oversubscribed(in.Targets, in.Models)}
	p.byForecast = !p.oversubscribed && slices.ContainsFunc(p.models, func(m Model) bool { return m.longLoad() })
	// Targets and models are sorted so that the plan doesn't depend on the iteration order of maps at the caller.
	slices.SortFunc(p.targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	setSpeeds(p.targets)
	p.bySpeed = p.fastestFirst()
	for i := range p.targets {
		t := &p.targets[i]
		t.Models = slices.Clone(t.Models)
		if t.MoveInProgress {
			p.runningMoves++
		}
		p.maxSlots = max(p.maxSlots, float64(t.Slots))
		p.maxAdapterSlots = max(p.maxAdapterSlots, t.AdapterSlots)
		for _, m := range t.Models {
			p.copies[m]++
			p.speeds[m] += t.Speed
			if m != t.Loading && !t.AwaitingReport {
				p.usableCopies[m]++
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

// pressure returns the demand per copy. It is scaled up while more adapters of the model are in demand than its targets
// have adapter slots, since requests for the others wait although there are free request slots. A model without a copy
// ranks above models whose copies are not overloaded, and above all others once requests for it wait.
func (p *planner) pressure(m *Model) float64 {
	if n := p.copies[m.Name]; n > 0 {
		pressure := p.expected(m) / p.speeds[m.Name]
		if p.usableCopies[m.Name] == 0 && !p.ahead(m) { // a forecast doesn't count waiting requests twice
			pressure /= waitingDemandFactor
		}
		if adapterCapacity := n * p.maxAdapterSlots; adapterCapacity > 0 && m.Adapters > adapterCapacity {
			pressure *= float64(m.Adapters) / float64(adapterCapacity)
		}
		return pressure
	}
	return p.maxSlots * (absentModelPressure + absentModelDemandWeight*m.Demand)
}

// addCopy returns the most urgent possible move that adds a copy of a model without copies or with overloaded ones.
func (p *planner) addCopy() (Move, bool) {
	order := slices.Clone(p.models)
	slices.SortStableFunc(order, func(a, b Model) int { return cmp.Compare(p.pressure(&b), p.pressure(&a)) })
	for i := range order {
		m := &order[i]
		if p.copies[m.Name] > 0 && p.pressure(m) < minOverloadPerSlot*p.maxSlots {
			break
		}
		if p.copies[m.Name] > 0 && p.usableCopies[m.Name] == 0 && p.pressure(m) < minLoadingOverloadPerSlot*p.maxSlots {
			continue
		}
		if move, ok := p.place(m); ok {
			return move, true
		}
	}
	return Move{}, false
}

// place returns the move with the lowest cost that adds a copy of a model.
func (p *planner) place(m *Model) (Move, bool) {
	var best Move
	bestCost := math.Inf(1)
	for i := range p.targets {
		t := &p.targets[i]
		if t.busy() || t.holds(m.Name) || p.blocksAdapterOrders(t) {
			continue
		}
		fromStore := p.fromStore(t, m.Name)
		if fromStore && p.storeLoadsLeft <= 0 {
			continue
		}
		victim, loss, ok := p.victim(t, m)
		if !ok {
			continue
		}
		cost := loss + targetLoadCost*float64(t.Running)/p.maxSlots + p.speedCost(t, m.Name, m.Demand)
		if fromStore {
			cost += storeLoadCost
		} else if !slices.Contains(t.InMemory, m.Name) {
			cost += diskLoadCost
		}
		if cost < bestCost {
			best, bestCost = Move{Target: t.ID, Load: m.Name, Unload: victim, FromStore: fromStore}, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// Costs of a move. They are added to the cost of unloading the victim, see victim.
const (
	storeLoadCost = 2.0
	diskLoadCost  = 0.3
	// targetLoadCost is the weight of the running requests of the target. It favours lightly loaded targets, whose free
	// slots the copy is meant to use.
	targetLoadCost = 6.0
)

// minAdapterDemand is the demand from which a model must keep at least one target that accepts orders for its adapters.
const minAdapterDemand = 1.0

// blocksAdapterOrders reports whether a move on the target would leave a model in demand without a target that accepts
// orders for its adapters. A target carries out one order at a time, and a load takes seconds.
func (p *planner) blocksAdapterOrders(t *Target) bool {
	for _, name := range t.Models {
		m := p.byName[name]
		if m == nil || !m.HasAdapters || m.Demand < minAdapterDemand {
			continue
		}
		otherTarget := slices.ContainsFunc(p.targets, func(o Target) bool { return o.ID != t.ID && !o.busy() && o.holds(name) })
		if !otherTarget {
			return true
		}
	}
	return false
}

// fillFreeMemory returns a move that loads the model with the highest pressure into free memory. Before any demand is
// known, that is the model with the most copies.
func (p *planner) fillFreeMemory() (Move, bool) {
	for _, t := range p.bySpeed {
		if t.busy() || p.blocksAdapterOrders(t) {
			continue
		}
		var best *Model
		for j := range p.models {
			m := &p.models[j]
			if t.holds(m.Name) || t.UsedMB+m.WeightsMB > t.CapacityMB || p.fromStore(t, m.Name) && p.storeLoadsLeft <= 0 {
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

// fromStore reports whether a model would be loaded from the weight store.
func (p *planner) fromStore(t *Target, model string) bool {
	return !slices.Contains(t.InMemory, model) && !slices.Contains(t.OnDisk, model)
}

// maxSpreadDonorDemand is the maximum demand per copy, as a fraction of the slots, of a model after it loses a copy to
// spread last copies.
const maxSpreadDonorDemand = 0.3

// spreadLastCopies returns a move that copies a model of a target with only last copies to a target with several spare
// copies. The first target can then replace the model by one in demand. Otherwise the few targets with spare copies
// would carry all the demand while the targets that hold rarely used models are idle.
func (p *planner) spreadLastCopies() (Move, bool) {
	var best Move
	bestCost := math.Inf(1)
	for i := range p.targets {
		from := &p.targets[i]
		if from.busy() || p.spareCopies(from) > 0 || len(from.Models) == 0 {
			continue
		}
		for j := range p.targets {
			to := &p.targets[j]
			if to.busy() || p.spareCopies(to) < 2 || p.blocksAdapterOrders(to) {
				continue
			}
			if move, cost, ok := p.spreadTo(from, to); ok && cost < bestCost {
				best, bestCost = move, cost
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// spareCopies counts the models of a target that have copies on other targets.
func (p *planner) spareCopies(t *Target) int {
	n := 0
	for _, m := range t.Models {
		if p.copies[m] > 1 {
			n++
		}
	}
	return n
}

// spreadTo returns the move with the lowest cost that copies a model of one target to another.
func (p *planner) spreadTo(from, to *Target) (best Move, cost float64, ok bool) {
	cost = math.Inf(1)
	for _, name := range from.Models {
		m := p.byName[name]
		if m == nil || to.holds(name) {
			continue
		}
		fromStore := p.fromStore(to, name)
		if fromStore && p.storeLoadsLeft <= 0 {
			continue
		}
		victim, loss, found := p.spareVictim(to, m)
		if !found {
			continue
		}
		c := loss + m.Demand/p.maxSlots + p.speedCost(to, name, m.Demand)
		if fromStore {
			c += storeLoadCost
		}
		if c < cost {
			best, cost, ok = Move{Target: to.ID, Load: name, Unload: victim, FromStore: fromStore}, c, true
		}
	}
	return best, cost, ok
}

// spareVictim returns the model to unload from a target to spread another one: that with a spare copy whose remaining
// copies have the lowest demand.
func (p *planner) spareVictim(t *Target, m *Model) (name string, loss float64, ok bool) {
	loss = math.Inf(1)
	for _, held := range t.Models {
		other := p.byName[held]
		if other == nil || p.usableCopies[held] < 2 || !t.canReplace(other, m) {
			continue
		}
		demandAfter := other.Demand / (p.speeds[held] - t.Speed) / p.maxSlots
		if demandAfter <= maxSpreadDonorDemand && demandAfter < loss {
			name, loss, ok = held, demandAfter, true
		}
	}
	return name, loss, ok
}

// apply updates the planner state as if the move had completed, and marks its target as moving.
func (p *planner) apply(move Move) {
	p.runningMoves++
	if move.FromStore {
		p.storeLoadsLeft--
	}
	p.copies[move.Load]++
	if move.Unload != "" {
		p.copies[move.Unload]--
		p.usableCopies[move.Unload]--
	}
	for i := range p.targets {
		if t := &p.targets[i]; t.ID == move.Target {
			t.MoveInProgress = true
			p.speeds[move.Load] += t.Speed
			if move.Unload != "" {
				p.speeds[move.Unload] -= t.Speed
			}
		}
	}
}
