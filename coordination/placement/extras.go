package placement

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

const (
	// keepFactor weights the gain of an existing replica over that of a new one, so that small changes of demand cause
	// no loads and unloads.
	keepFactor = 4
	// minGainShare is the smallest additional work that justifies loading a replica, as a share of ReplicaRate.
	minGainShare = 0.05
	// saturationExponent is the exponent of the smooth minimum of rate and demand in served. It models bursts, which
	// leave some work unserved even where the mean rate suffices: at equal rate and demand 84 % is served.
	saturationExponent = 4
	// maxRelocationTargets is the number of targets that makeRoom searches for a model to relocate.
	maxRelocationTargets = 16
)

// priorityWeight is the weight of one unit of served work.
func priorityWeight(p releasenote.Priority) float64 { return []float64{4, 2, 1}[p.Rank()] }

// served is the expected work per second that is done in time when replicas with this total rate meet the demand.
func served(demand, rate float64) float64 {
	if demand <= 0 || rate <= 0 {
		return 0
	}
	return rate * demand / math.Pow(math.Pow(rate, saturationExponent)+math.Pow(demand, saturationExponent), 1.0/saturationExponent)
}

// gain returns what one more replica of a model adds: the weighted work per byte of memory, and the work itself.
func (p *planner) gain(m int) (perByte, work float64) {
	model := &p.models[m]
	k := float64(len(model.placed))
	work = served(model.Demand, (k+1)*p.in.ReplicaRate) - served(model.Demand, k*p.in.ReplicaRate)
	return priorityWeight(model.Priority) * work / float64(max(1, model.MemoryBytes)), work
}

// extraReplica is the next replica of a model, as a candidate for the remaining memory.
type extraReplica struct {
	model   int
	present bool
	value   float64
}

type extraReplicaHeap struct {
	list []extraReplica
	p    *planner
}

func (h *extraReplicaHeap) Len() int { return len(h.list) }
func (h *extraReplicaHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if c := cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.model, b.model)); c != 0 {
		return c < 0
	}
	return a.present
}
func (h *extraReplicaHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *extraReplicaHeap) Push(x any)    { h.list = append(h.list, x.(extraReplica)) }
func (h *extraReplicaHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// nextExtra returns the next replica of a model. The result is false if the model can't get another one or the gain is
// too small.
func (p *planner) nextExtra(m int) (extraReplica, bool) {
	model := &p.models[m]
	if len(model.placed) == 0 && !model.optional || model.MaxReplicas > 0 && len(model.placed) >= model.MaxReplicas {
		return extraReplica{}, false
	}
	value, work := p.gain(m)
	if len(model.existing) > 0 {
		return extraReplica{m, true, value * keepFactor}, true
	}
	return extraReplica{m, false, value}, work >= minGainShare*p.in.ReplicaRate
}

// placeExtras assigns the remaining memory to the replicas with the largest gain per byte.
func (p *planner) placeExtras() {
	h := &extraReplicaHeap{p: p}
	for m := range p.models {
		if e, ok := p.nextExtra(m); ok {
			h.list = append(h.list, e)
		}
	}
	heap.Init(h)
	for h.Len() > 0 {
		e := heap.Pop(h).(extraReplica)
		if !p.placeExtra(e) {
			continue
		}
		if following, ok := p.nextExtra(e.model); ok {
			heap.Push(h, following)
		}
	}
}

func (p *planner) placeExtra(e extraReplica) bool {
	if e.present {
		if !p.keepExisting(e.model) {
			// None of the existing replicas fits beside what has been placed; a new one may fit on another target.
			p.models[e.model].existing = nil
		} else {
			return true
		}
		if _, work := p.gain(e.model); work < minGainShare*p.in.ReplicaRate {
			return false
		}
	}
	t := p.bestTarget(e.model, p.models[e.model].MemoryBytes)
	if t < 0 {
		return false
	}
	p.place(e.model, t)
	for i := range p.models[e.model].Adapters {
		a := &p.models[e.model].Adapters[i]
		if p.targets[t].unoccupied >= a.MemoryBytes && p.targets[t].unassigned >= a.MemoryBytes {
			p.addWanted(t, p.models[e.model].adapterItem(a), a.MemoryBytes)
		}
	}
	return true
}

// makeRoom relocates one placed model so that the given bytes fit on the target that it leaves, and returns that target
// or -1.
func (p *planner) makeRoom(m int, bytes int64) int {
	candidates := make([]int, 0, len(p.targets))
	for i := range p.targets {
		if t := &p.targets[i]; !t.Draining && t.CapacityBytes >= bytes && !p.occupied(m, i) {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(p.targets[b].unassigned, p.targets[a].unassigned) })
	for _, from := range candidates[:min(len(candidates), maxRelocationTargets)] {
		for other := range p.models {
			if other != m && p.relocate(other, from, bytes) {
				return from
			}
		}
	}
	return -1
}

// relocate moves a model with its adapters from a target to another one if that frees enough memory and the other
// target has room.
func (p *planner) relocate(m, from int, bytes int64) bool {
	model, t := &p.models[m], &p.targets[from]
	if _, ok := t.wanted[model.item()]; !ok {
		return false
	}
	var moved []memledger.Item
	var size int64
	for item, b := range t.wanted {
		if item.Model != model.Name {
			continue
		}
		if !versionInEffect(model.Model, item) {
			return false
		}
		moved = append(moved, item)
		size += b
	}
	if t.unassigned+size < bytes {
		return false
	}
	to := p.bestTarget(m, size)
	if to < 0 {
		return false
	}
	for _, item := range moved {
		b := t.wanted[item]
		delete(t.wanted, item)
		t.unassigned += b
		if _, held := t.held[item]; !held {
			t.unoccupied += b
		}
		p.addWanted(to, item, b)
	}
	model.placed[slices.Index(model.placed, from)] = to
	return true
}

// versionInEffect reports whether an item of a model has the version in effect.
func versionInEffect(m *Model, item memledger.Item) bool {
	if item.Adapter == "" {
		return item.Version == m.Version
	}
	return slices.ContainsFunc(m.Adapters, func(a Adapter) bool { return a.Name == item.Adapter && a.Version == item.Version })
}
