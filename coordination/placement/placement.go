// Package placement decides which models and adapters shall be resident on which targets of one data centre. It is
// pure: the same input gives the same residency.
package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

// Target is one model engine.
type Target struct {
	Name          string
	FailureDomain string
	// CapacityBytes is without the KV cache reserve.
	CapacityBytes int64
	Residents     []memledger.Resident
	// Leaving targets keep what they have and get nothing new.
	Leaving bool
}

// Adapter is an adapter in effect.
type Adapter struct {
	Name, Version string
	MemoryBytes   int64
}

// Model is a model in effect, with its adapters.
type Model struct {
	Name, Version string
	MemoryBytes   int64
	Priority      releasenote.Priority
	// MinReplicas and MaxReplicas hold per data centre. MaxReplicas 0 means no maximum.
	MinReplicas, MaxReplicas int
	Adapters                 []Adapter
	// Demand is the forecast in work units per second.
	Demand float64
	// Home says that this data centre keeps a replica even if memory is too short for all models (see Homes).
	Home bool
	// Elsewhere is the number of ready replicas in other data centres.
	Elsewhere int
}

func (m *Model) item() memledger.Item { return memledger.Item{Model: m.Name, Version: m.Version} }

func (m *Model) adapterItem(a *Adapter) memledger.Item {
	return memledger.Item{Model: m.Name, Version: a.Version, Adapter: a.Name}
}

// Input is what a plan depends on.
type Input struct {
	DataCentre string
	Targets    []Target
	Models     []Model
	// ReplicaRate is the work of one replica in work units per second.
	ReplicaRate float64
}

// Models lists the models of a catalogue by name, all with this data centre as home. The caller fills in the demand,
// the home and the replicas elsewhere.
func Models(contents *catalog.Contents) []Model {
	adapters := make(map[string][]Adapter)
	for _, a := range contents.Adapters {
		adapters[a.Model] = append(adapters[a.Model], Adapter{Name: a.Name, Version: a.Version, MemoryBytes: a.MemoryBytes})
	}
	list := make([]Model, 0, len(contents.Models))
	for _, m := range contents.Models {
		own := adapters[m.Name]
		slices.SortFunc(own, func(a, b Adapter) int { return cmp.Compare(a.Name, b.Name) })
		list = append(list, Model{
			Name: m.Name, Version: m.Version, MemoryBytes: m.MemoryBytes, Priority: m.Priority, Home: true,
			MinReplicas: m.MinReplicas, MaxReplicas: m.MaxReplicas, Adapters: own,
		})
	}
	slices.SortFunc(list, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Missing is a model or adapter that a plan has no memory for.
type Missing struct {
	Model, Adapter string
	// Bytes is what the best target lacks.
	Bytes int64
}

// Residency is what shall be resident.
type Residency struct {
	// Wanted holds the items and their bytes for each target. Everything else is to be unloaded.
	Wanted  map[string]map[memledger.Item]int64
	Missing []Missing
}

// Has says whether an item is wanted on a target.
func (r *Residency) Has(target string, item memledger.Item) bool {
	_, ok := r.Wanted[target][item]
	return ok
}

// Homes gives each model a home data centre, so that data centres which can't hold all models agree on who keeps which.
// It fills the data centres by size, largest models first, and depends on nothing but its arguments.
func Homes(models []Model, capacityBytes map[string]int64) map[string]string {
	left := maps.Clone(capacityBytes)
	names := slices.Sorted(maps.Keys(left))
	order := slices.Clone(models)
	slices.SortFunc(order, func(a, b Model) int {
		return cmp.Or(cmp.Compare(bundleBytes(&b), bundleBytes(&a)), cmp.Compare(a.Name, b.Name))
	})
	homes := make(map[string]string, len(models))
	for i := range order {
		best := ""
		for _, name := range names {
			if best == "" || left[name] > left[best] {
				best = name
			}
		}
		homes[order[i].Name] = best
		left[best] -= bundleBytes(&order[i])
	}
	return homes
}

func bundleBytes(m *Model) int64 {
	sum := m.MemoryBytes
	for i := range m.Adapters {
		sum += m.Adapters[i].MemoryBytes
	}
	return sum
}

// Plan returns the wanted residency of one data centre. It first keeps or places the replicas that must be there, most
// urgent models first, then gives the memory that is left to the replicas with the largest gain.
func Plan(in Input) Residency {
	p := newPlanner(&in)
	p.pinOld()
	required, optional := p.split(p.urgency())
	p.placeMinimum(required)
	p.placeExtras()
	p.placeMinimum(optional)
	p.keepOld()
	return p.result()
}

// placeMinimum keeps or places the replicas that models must have.
func (p *planner) placeMinimum(order []int) {
	for _, m := range order {
		p.keepFirst(m)
	}
	for _, m := range order {
		p.placeFirst(m)
		p.placeAdapters(m)
	}
	for _, m := range order {
		for len(p.models[m].placed) < p.minReplicas(m) && p.placeMore(m) {
		}
	}
}

// split separates the models that another data centre keeps when memory is too short for all models here. They compete
// for memory by their demand. When every data centre first placed as many models as fit, the most popular ones lacked
// replicas at a peak.
func (p *planner) split(order []int) (required, optional []int) {
	var need, capacity int64
	for i := range p.models {
		need += bundleBytes(p.models[i].Model)
	}
	for i := range p.targets {
		if !p.targets[i].Leaving {
			capacity += p.targets[i].CapacityBytes
		}
	}
	if need <= capacity {
		return order, nil
	}
	for _, m := range order {
		if p.models[m].spared() == 1 {
			p.models[m].optional = true
			optional = append(optional, m)
			continue
		}
		required = append(required, m)
	}
	return required, optional
}

// modelPlan is the state of one model while planning.
type modelPlan struct {
	*Model
	// existing are the targets that hold the model in the version in effect and have not been chosen yet, best first.
	existing []int
	placed   []int
	// optional models compete for memory from their first replica on.
	optional bool
	ready    int
	old      []oldReplica
}

type oldReplica struct {
	target int
	ready  bool
}

// targetPlan is the state of one target while planning.
type targetPlan struct {
	*Target
	domain int
	// free is the capacity that the plan has not given out.
	free int64
	// vacant is free memory that no present resident takes.
	vacant int64
	demand float64
	held   map[memledger.Item]memledger.Resident
	wanted map[memledger.Item]int64
}

type planner struct {
	in      *Input
	models  []modelPlan
	targets []targetPlan
	domains int
	byName  map[string]int
	missing []Missing
	count   []int
}

func newPlanner(in *Input) *planner {
	p := &planner{in: in, models: make([]modelPlan, len(in.Models)), targets: make([]targetPlan, len(in.Targets)), byName: make(map[string]int, len(in.Models))}
	for i := range in.Models {
		p.models[i].Model = &in.Models[i]
		p.byName[in.Models[i].Name] = i
	}
	domains := make(map[string]int)
	for i := range in.Targets {
		t := &p.targets[i]
		t.Target = &in.Targets[i]
		name := t.FailureDomain
		if name == "" {
			name = "target " + t.Name
		}
		if _, ok := domains[name]; !ok {
			domains[name] = len(domains)
		}
		t.domain = domains[name]
		t.free, t.vacant = t.CapacityBytes, t.CapacityBytes
		t.held = make(map[memledger.Item]memledger.Resident, len(t.Residents))
		t.wanted = make(map[memledger.Item]int64, len(t.Residents)+2)
		p.addResidents(i)
	}
	p.domains = len(domains)
	p.count = make([]int, p.domains)
	return p
}

func (p *planner) addResidents(i int) {
	t := &p.targets[i]
	for _, r := range t.Residents {
		t.held[r.Item] = r
		t.vacant -= r.Bytes
		m, ok := p.byName[r.Item.Model]
		if !ok || r.Item.Adapter != "" {
			continue
		}
		model := &p.models[m]
		switch {
		case r.Item.Version != model.Version:
			model.old = append(model.old, oldReplica{i, r.State == targetapi.Ready})
		case r.State != targetapi.Unloading && !t.Leaving:
			model.existing = append(model.existing, i)
			model.ready += btoi(r.State == targetapi.Ready)
		}
	}
}

// urgency orders the models by what is lost without them.
func (p *planner) urgency() []int {
	order := make([]int, len(p.models))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &p.models[a], &p.models[b]
		return cmp.Or(cmp.Compare(x.spared(), y.spared()), cmp.Compare(x.Priority.Rank(), y.Priority.Rank()),
			cmp.Compare(y.Demand, x.Demand), cmp.Compare(y.MemoryBytes, x.MemoryBytes), cmp.Compare(x.Name, y.Name))
	})
	return order
}

// spared is 1 for a model that another data centre keeps and has ready.
func (m *modelPlan) spared() int {
	if !m.Home && m.Elsewhere > 0 {
		return 1
	}
	return 0
}

func (p *planner) minReplicas(m int) int { return max(1, p.models[m].MinReplicas) }

func (p *planner) want(t int, item memledger.Item, bytes int64) {
	target := &p.targets[t]
	if _, ok := target.wanted[item]; ok {
		return
	}
	target.wanted[item] = bytes
	target.free -= bytes
	if _, ok := target.held[item]; !ok {
		target.vacant -= bytes
	}
}

// place puts a model on a target together with those of its adapters that are there already.
func (p *planner) place(m, t int) {
	model := &p.models[m]
	p.want(t, model.item(), model.MemoryBytes)
	model.placed = append(model.placed, t)
	p.targets[t].demand += model.Demand / float64(len(model.placed))
	for i := range model.Adapters {
		a := &model.Adapters[i]
		item := model.adapterItem(a)
		if _, ok := p.targets[t].held[item]; ok && p.targets[t].free >= a.MemoryBytes {
			p.want(t, item, a.MemoryBytes)
		}
	}
}

// takeExisting chooses one of the present replicas: a ready one first, in the domain with the fewest replicas.
func (p *planner) takeExisting(m int) bool {
	model := &p.models[m]
	best, bestKey := -1, [3]int{}
	p.countDomains(m)
	for i, t := range model.existing {
		target := &p.targets[t]
		if target.free < model.MemoryBytes {
			continue
		}
		key := [3]int{1, p.count[target.domain], -p.adaptersHeld(m, t)}
		if target.held[model.item()].State == targetapi.Ready {
			key[0] = 0
		}
		if best < 0 || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = i, key
		}
	}
	if best < 0 {
		return false
	}
	t := model.existing[best]
	model.existing = slices.Delete(model.existing, best, best+1)
	p.place(m, t)
	return true
}

func (p *planner) adaptersHeld(m, t int) int {
	model, n := &p.models[m], 0
	for i := range model.Adapters {
		if _, ok := p.targets[t].held[model.adapterItem(&model.Adapters[i])]; ok {
			n++
		}
	}
	return n
}

func (p *planner) countDomains(m int) {
	clear(p.count)
	for _, t := range p.models[m].placed {
		p.count[p.targets[t].domain]++
	}
}

func (p *planner) keepFirst(m int) {
	if len(p.models[m].placed) == 0 {
		p.takeExisting(m)
	}
}

// placeFirst gives a model its first replica, with room for all its adapters if a target has it, and moves another
// model aside if no target has room.
func (p *planner) placeFirst(m int) {
	model := &p.models[m]
	if len(model.placed) > 0 {
		return
	}
	for _, bytes := range []int64{bundleBytes(model.Model), model.MemoryBytes} {
		if t := p.bestTarget(m, bytes); t >= 0 {
			p.place(m, t)
			return
		}
	}
	if t := p.makeRoom(m, model.MemoryBytes); t >= 0 {
		p.place(m, t)
		return
	}
	p.missing = append(p.missing, Missing{Model: model.Name, Bytes: model.MemoryBytes - p.largestFree(m)})
}

// placeMore adds a replica, a present one first.
func (p *planner) placeMore(m int) bool {
	if p.takeExisting(m) {
		return true
	}
	t := p.bestTarget(m, p.models[m].MemoryBytes)
	if t >= 0 {
		p.place(m, t)
	}
	return t >= 0
}

// bestTarget finds the target for a new replica: one that needs no unload first, then the domain with the fewest
// replicas of the model, then the least demand.
func (p *planner) bestTarget(m int, bytes int64) int {
	p.countDomains(m)
	best, bestEvicts, bestCount := -1, false, 0
	for i := range p.targets {
		t := &p.targets[i]
		if t.Leaving || t.free < bytes {
			continue
		}
		evicts := t.vacant < bytes
		if p.occupied(m, i) || evicts && p.holdsOld(m, i) {
			continue
		}
		count := p.count[t.domain]
		if best >= 0 {
			b := &p.targets[best]
			if evicts != bestEvicts {
				if evicts {
					continue
				}
			} else if c := cmp.Or(cmp.Compare(count, bestCount), cmp.Compare(t.demand, b.demand), cmp.Compare(b.free, t.free)); c >= 0 {
				continue
			}
		}
		best, bestEvicts, bestCount = i, evicts, count
	}
	return best
}

// occupied says whether a target has a replica of the model in the plan or is still unloading one.
func (p *planner) occupied(m, t int) bool {
	item := p.models[m].item()
	if _, wanted := p.targets[t].wanted[item]; wanted {
		return true
	}
	held, ok := p.targets[t].held[item]
	return ok && held.State == targetapi.Unloading
}

// holdsOld says whether a target holds an old version of the model. The new version is not planned in its place: the old
// one may be the last that is ready, or carry the last replica of an adapter.
func (p *planner) holdsOld(m, t int) bool {
	return slices.ContainsFunc(p.models[m].old, func(r oldReplica) bool { return r.target == t })
}

func (p *planner) largestFree(m int) int64 {
	var largest int64
	for i := range p.targets {
		if t := &p.targets[i]; !t.Leaving && !p.occupied(m, i) {
			largest = max(largest, t.free)
		}
	}
	return largest
}

// placeAdapters puts each adapter that no replica has on a replica of its model, or on a new replica.
func (p *planner) placeAdapters(m int) {
	model := &p.models[m]
	if len(model.placed) == 0 {
		return
	}
	for i := range model.Adapters {
		a := &model.Adapters[i]
		if p.adapterPlaced(m, a) || p.placeAdapter(m, a) || p.takeExistingWith(m, a) {
			continue
		}
		t := p.bestTarget(m, model.MemoryBytes+a.MemoryBytes)
		if t < 0 {
			t = p.makeRoom(m, model.MemoryBytes+a.MemoryBytes)
		}
		if t < 0 {
			lacks := a.MemoryBytes
			for _, t := range model.placed {
				lacks = min(lacks, a.MemoryBytes-p.targets[t].free)
			}
			p.missing = append(p.missing, Missing{Model: model.Name, Adapter: a.Name, Bytes: lacks})
			continue
		}
		p.place(m, t)
		p.want(t, model.adapterItem(a), a.MemoryBytes)
	}
}

// takeExistingWith chooses a present replica that has an adapter or room for it. A new replica in its place would be
// planned again and again: the present one is dropped, which gives the new one room, and so on.
func (p *planner) takeExistingWith(m int, a *Adapter) bool {
	model, item := &p.models[m], p.models[m].adapterItem(a)
	best := -1
	for i, t := range model.existing {
		target := &p.targets[t]
		if _, has := target.held[item]; target.free < model.MemoryBytes+a.MemoryBytes || best >= 0 && !has {
			continue
		}
		best = i
	}
	if best < 0 {
		return false
	}
	t := model.existing[best]
	model.existing = slices.Delete(model.existing, best, best+1)
	p.want(t, item, a.MemoryBytes)
	p.place(m, t)
	return true
}

func (p *planner) adapterPlaced(m int, a *Adapter) bool {
	item := p.models[m].adapterItem(a)
	for _, t := range p.models[m].placed {
		if _, ok := p.targets[t].wanted[item]; ok {
			return true
		}
	}
	return false
}

func (p *planner) placeAdapter(m int, a *Adapter) bool {
	best := -1
	for _, t := range p.models[m].placed {
		free := p.targets[t].free
		if free >= a.MemoryBytes && (best < 0 || free > p.targets[best].free) {
			best = t
		}
	}
	if best >= 0 {
		p.want(best, p.models[m].adapterItem(a), a.MemoryBytes)
	}
	return best >= 0
}

func (p *planner) result() Residency {
	r := Residency{Wanted: make(map[string]map[memledger.Item]int64, len(p.targets)), Missing: p.missing}
	for i := range p.targets {
		r.Wanted[p.targets[i].Name] = p.targets[i].wanted
	}
	return r
}
