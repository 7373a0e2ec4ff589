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
	// saturation is the exponent of the smooth minimum of rate and demand in served. It models bursts, which leave some
	// work unserved even where the mean rate suffices: at equal rate and demand 84 % is served.
	saturation = 4
	// relocationTargets is the number of targets that makeRoom searches for a model to relocate.
	relocationTargets = 16
)

// priorityWeight is the weight of one unit of served work.
func priorityWeight(p releasenote.Priority) float64 { return []float64{4, 2, 1}[p.Rank()] }

// served is the expected work per second that is done in time when replicas with this total rate meet the demand.
func served(demand, rate float64) float64 {
	if demand <= 0 || rate <= 0 {
		return 0
	}
	return rate * demand / math.Pow(math.Pow(rate, saturation)+math.Pow(demand, saturation), 1.0/saturation)
}

// gain returns what one more replica of a model adds: the weighted work per byte of memory, and the work itself.
func (p *planner) gain(m int) (perByte, work float64) {
	model := &p.models[m]
	k := float64(len(model.placed))
	work = served(model.Demand, (k+1)*p.in.ReplicaRate) - served(model.Demand, k*p.in.ReplicaRate)
	return priorityWeight(model.Priority) * work / float64(max(1, model.MemoryBytes)), work
}

// extra is the next replica of a model, as a candidate for memory that is left.
type extra struct {
	model   int
	present bool
	value   float64
}

type extraHeap struct {
	list []extra
	p    *planner
}

func (h *extraHeap) Len() int { return len(h.list) }
func (h *extraHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if c := cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.model, b.model)); c != 0 {
		return c < 0
	}
	return a.present
}
func (h *extraHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *extraHeap) Push(x any)    { h.list = append(h.list, x.(extra)) }
func (h *extraHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// next returns the next replica of a model. The result is false if the model can't get another one or the gain is too
// small.
func (p *planner) next(m int) (extra, bool) {
	model := &p.models[m]
	if len(model.placed) == 0 && !model.optional || model.MaxReplicas > 0 && len(model.placed) >= model.MaxReplicas {
		return extra{}, false
	}
	value, work := p.gain(m)
	if len(model.existing) > 0 {
		return extra{m, true, value * keepFactor}, true
	}
	return extra{m, false, value}, work >= minGainShare*p.in.ReplicaRate
}

// placeExtras assigns the remaining memory to the replicas with the largest gain per byte.
func (p *planner) placeExtras() {
	h := &extraHeap{p: p}
	for m := range p.models {
		if e, ok := p.next(m); ok {
			h.list = append(h.list, e)
		}
	}
	heap.Init(h)
	for h.Len() > 0 {
		e := heap.Pop(h).(extra)
		if !p.placeExtra(e) {
			continue
		}
		if following, ok := p.next(e.model); ok {
			heap.Push(h, following)
		}
	}
}

func (p *planner) placeExtra(e extra) bool {
	if e.present {
		if !p.takeExisting(e.model) {
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
		if p.targets[t].vacant >= a.MemoryBytes && p.targets[t].free >= a.MemoryBytes {
			p.want(t, p.models[e.model].adapterItem(a), a.MemoryBytes)
		}
	}
	return true
}

// makeRoom relocates one placed model so that the given bytes fit on the target that it leaves, and returns that target
// or -1.
func (p *planner) makeRoom(m int, bytes int64) int {
	candidates := make([]int, 0, len(p.targets))
	for i := range p.targets {
		if t := &p.targets[i]; !t.Leaving && t.CapacityBytes >= bytes && !p.occupied(m, i) {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(p.targets[b].free, p.targets[a].free) })
	for _, from := range candidates[:min(len(candidates), relocationTargets)] {
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
		if !inVersion(model.Model, item) {
			return false
		}
		moved = append(moved, item)
		size += b
	}
	if t.free+size < bytes {
		return false
	}
	to := p.bestTarget(m, size)
	if to < 0 {
		return false
	}
	for _, item := range moved {
		b := t.wanted[item]
		delete(t.wanted, item)
		t.free += b
		if _, held := t.held[item]; !held {
			t.vacant += b
		}
		p.want(to, item, b)
	}
	model.placed[slices.Index(model.placed, from)] = to
	return true
}

// inVersion reports whether an item of a model has the version in effect.
func inVersion(m *Model, item memledger.Item) bool {
	if item.Adapter == "" {
		return item.Version == m.Version
	}
	return slices.ContainsFunc(m.Adapters, func(a Adapter) bool { return a.Name == item.Adapter && a.Version == item.Version })
}
