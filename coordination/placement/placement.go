// Package placement decides which models and adapters are to be resident on which targets of one data centre. It does
// no I/O and is deterministic: the same input gives the same residency.
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

// Target is one model engine with its memory and residents.
type Target struct {
	Name          string
	FailureDomain string
	// CapacityBytes excludes the KV cache reserve.
	CapacityBytes int64
	Residents     []memledger.Resident
	// Draining targets keep their residents and get no new ones.
	Draining bool
}

// Adapter is an adapter that is in effect according to the catalogue.
type Adapter struct {
	Name, Version string
	MemoryBytes   int64
}

// Model is a model that is in effect according to the catalogue, with its adapters.
type Model struct {
	Name, Version string
	MemoryBytes   int64
	Priority      releasenote.Priority
	// MinReplicas and MaxReplicas hold per data centre. MaxReplicas 0 means no maximum.
	MinReplicas, MaxReplicas int
	Adapters                 []Adapter
	// Demand is the forecast demand in work units per second.
	Demand float64
	// IsHome means that this data centre must keep a replica even if its memory doesn't suffice for all models (see
	// AssignHomes).
	IsHome bool
	// ReadyElsewhere is the number of ready replicas in other data centres.
	ReadyElsewhere int
}

func (m *Model) item() memledger.Item { return memledger.Item{Model: m.Name, Version: m.Version} }

func (m *Model) adapterItem(a *Adapter) memledger.Item {
	return memledger.Item{Model: m.Name, Version: a.Version, Adapter: a.Name}
}

// Input is the state of one data centre from which a plan is made.
type Input struct {
	DataCentre string
	Targets    []Target
	Models     []Model
	// ReplicaRate is the throughput of one replica in work units per second.
	ReplicaRate float64
}

// ModelsOf lists the models of a catalogue, sorted by name. IsHome is true for all of them; the calling code sets
// Demand, IsHome and ReadyElsewhere.
func ModelsOf(contents *catalog.ActiveConfig) []Model {
	adapters := make(map[string][]Adapter)
	for _, a := range contents.Adapters {
		adapters[a.Model] = append(adapters[a.Model], Adapter{Name: a.Name, Version: a.Version, MemoryBytes: a.MemoryBytes})
	}
	list := make([]Model, 0, len(contents.Models))
	for _, m := range contents.Models {
		own := adapters[m.Name]
		slices.SortFunc(own, func(a, b Adapter) int { return cmp.Compare(a.Name, b.Name) })
		list = append(list, Model{
			Name: m.Name, Version: m.Version, MemoryBytes: m.MemoryBytes, Priority: m.Priority, IsHome: true,
			MinReplicas: m.MinReplicas, MaxReplicas: m.MaxReplicas, Adapters: own,
		})
	}
	slices.SortFunc(list, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Unplaced is a model or adapter for which a plan found no memory.
type Unplaced struct {
	Model, Adapter string
	// Bytes is how much memory the target with the most free memory lacks.
	Bytes int64
}

// Residency is the planned set of residents of every target.
type Residency struct {
	// Wanted maps each target to its planned items and their bytes. All other residents are to be unloaded.
	Wanted  map[string]map[memledger.Item]int64
	Missing []Unplaced
}

// Has reports whether an item is wanted on a target.
func (r *Residency) Has(target string, item memledger.Item) bool {
	_, ok := r.Wanted[target][item]
	return ok
}

// AssignHomes assigns each model a home data centre, so that data centres which can't hold all models agree on which of
// them keeps which model. The largest model comes first and goes to the data centre with the most memory left. The
// result depends only on the arguments, so that all data centres compute the same one.
func AssignHomes(models []Model, capacityBytes map[string]int64) map[string]string {
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

// Plan returns the wanted residency of one data centre. It first keeps or places the required replicas, most urgent
// models first, then assigns the remaining memory to the replicas with the largest gain.
func Plan(in Input) Residency {
	p := newPlanner(&in)
	p.keepRequiredOld()
	required, optional := p.splitRequired(p.byUrgency())
	p.placeMinimum(required)
	p.placeExtras()
	p.placeMinimum(optional)
	p.keepOldWhereRoom()
	return p.result()
}

// placeMinimum keeps or places the minimum number of replicas of each model, and one replica of each adapter.
func (p *planner) placeMinimum(order []int) {
	for _, m := range order {
		p.keepFirstReplica(m)
	}
	for _, m := range order {
		p.placeFirstReplica(m)
		p.placeAdapters(m)
	}
	for _, m := range order {
		for len(p.models[m].placed) < p.minReplicas(m) && p.addReplica(m) {
		}
	}
}

// splitRequired returns the models that another data centre keeps as optional if the memory doesn't suffice for all
// models here. Optional models compete for memory by their demand. If every data centre placed as many models as fit
// first, the most popular models would lack replicas at peak load.
func (p *planner) splitRequired(order []int) (required, optional []int) {
	var need, capacity int64
	for i := range p.models {
		need += bundleBytes(p.models[i].Model)
	}
	for i := range p.targets {
		if !p.targets[i].Draining {
			capacity += p.targets[i].CapacityBytes
		}
	}
	if need <= capacity {
		return order, nil
	}
	for _, m := range order {
		if p.models[m].servedElsewhere() == 1 {
			p.models[m].optional = true
			optional = append(optional, m)
			continue
		}
		required = append(required, m)
	}
	return required, optional
}

// modelPlan is the planning state of one model.
type modelPlan struct {
	*Model
	// existing lists the targets that hold the version in effect and have not been chosen yet.
	existing []int
	// placed lists the targets that the plan has chosen.
	placed []int
	// optional models have no guaranteed replica: even the first one competes for memory by its gain.
	optional bool
	// ready is the number of existing replicas that are ready.
	ready       int
	oldReplicas []oldReplica
}

// oldReplica is a replica of a version that is no longer in effect.
type oldReplica struct {
	target int
	ready  bool
}

// targetPlan is the planning state of one target.
type targetPlan struct {
	*Target
	domain int
	// unassigned is the capacity that the plan has not assigned yet.
	unassigned int64
	// unoccupied is the part of the capacity that neither the plan nor a current resident takes. A replica that needs
	// more than this waits for an unload.
	unoccupied int64
	demand     float64
	held       map[memledger.Item]memledger.Resident
	wanted     map[memledger.Item]int64
}

// planner holds the state of one run of Plan. In its methods, m is an index into models and t one into targets.
type planner struct {
	in      *Input
	models  []modelPlan
	targets []targetPlan
	domains int
	byName  map[string]int
	missing []Unplaced
	// domainCounts is the number of replicas by failure domain for the model of the last countDomains.
	domainCounts []int
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
		t.unassigned, t.unoccupied = t.CapacityBytes, t.CapacityBytes
		t.held = make(map[memledger.Item]memledger.Resident, len(t.Residents))
		t.wanted = make(map[memledger.Item]int64, len(t.Residents)+2)
		p.addResidents(i)
	}
	p.domains = len(domains)
	p.domainCounts = make([]int, p.domains)
	return p
}

func (p *planner) addResidents(i int) {
	t := &p.targets[i]
	for _, r := range t.Residents {
		t.held[r.Item] = r
		t.unoccupied -= r.Bytes
		m, ok := p.byName[r.Item.Model]
		if !ok || r.Item.Adapter != "" {
			continue
		}
		model := &p.models[m]
		switch {
		case r.Item.Version != model.Version:
			model.oldReplicas = append(model.oldReplicas, oldReplica{i, r.State == targetapi.Ready})
		case r.State != targetapi.Unloading && !t.Draining:
			model.existing = append(model.existing, i)
			model.ready += btoi(r.State == targetapi.Ready)
		}
	}
}

// byUrgency returns the models in the order in which they get memory: first those that no other data centre keeps, then
// by priority, demand and size.
func (p *planner) byUrgency() []int {
	order := make([]int, len(p.models))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &p.models[a], &p.models[b]
		return cmp.Or(cmp.Compare(x.servedElsewhere(), y.servedElsewhere()), cmp.Compare(x.Priority.Rank(), y.Priority.Rank()),
			cmp.Compare(y.Demand, x.Demand), cmp.Compare(y.MemoryBytes, x.MemoryBytes), cmp.Compare(x.Name, y.Name))
	})
	return order
}

// servedElsewhere is 1 for a model whose home is another data centre and that is ready elsewhere, otherwise 0.
func (m *modelPlan) servedElsewhere() int {
	if !m.IsHome && m.ReadyElsewhere > 0 {
		return 1
	}
	return 0
}

func (p *planner) minReplicas(m int) int { return max(1, p.models[m].MinReplicas) }

// addWanted adds an item to the planned items of a target and takes its memory.
func (p *planner) addWanted(t int, item memledger.Item, bytes int64) {
	target := &p.targets[t]
	if _, ok := target.wanted[item]; ok {
		return
	}
	target.wanted[item] = bytes
	target.unassigned -= bytes
	if _, ok := target.held[item]; !ok {
		target.unoccupied -= bytes
	}
}

// place assigns a model to a target, together with those of its adapters that the target holds already.
func (p *planner) place(m, t int) {
	model := &p.models[m]
	p.addWanted(t, model.item(), model.MemoryBytes)
	model.placed = append(model.placed, t)
	p.targets[t].demand += model.Demand / float64(len(model.placed))
	for i := range model.Adapters {
		a := &model.Adapters[i]
		item := model.adapterItem(a)
		if _, ok := p.targets[t].held[item]; ok && p.targets[t].unassigned >= a.MemoryBytes {
			p.addWanted(t, item, a.MemoryBytes)
		}
	}
}

// keepExisting keeps one of the existing replicas: ready ones first, then by the fewest replicas in the failure domain,
// then by the most adapters held.
func (p *planner) keepExisting(m int) bool {
	model := &p.models[m]
	best, bestKey := -1, [3]int{}
	p.countDomains(m)
	for i, t := range model.existing {
		target := &p.targets[t]
		if target.unassigned < model.MemoryBytes {
			continue
		}
		key := [3]int{1, p.domainCounts[target.domain], -p.adaptersHeld(m, t)}
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
	clear(p.domainCounts)
	for _, t := range p.models[m].placed {
		p.domainCounts[p.targets[t].domain]++
	}
}

func (p *planner) keepFirstReplica(m int) {
	if len(p.models[m].placed) == 0 {
		p.keepExisting(m)
	}
}

// placeFirstReplica assigns the first replica of a model, if possible to a target with room for all its adapters too.
// If no target has room for the model alone, another model is relocated.
func (p *planner) placeFirstReplica(m int) {
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
	p.missing = append(p.missing, Unplaced{Model: model.Name, Bytes: model.MemoryBytes - p.largestFree(m)})
}

// addReplica adds one replica and prefers an existing one to a new one.
func (p *planner) addReplica(m int) bool {
	if p.keepExisting(m) {
		return true
	}
	t := p.bestTarget(m, p.models[m].MemoryBytes)
	if t >= 0 {
		p.place(m, t)
	}
	return t >= 0
}

// bestTarget returns the target for a new replica or -1. It prefers targets that need no unload, then the failure
// domain with the fewest replicas of the model, then the least demand, then the most free memory.
func (p *planner) bestTarget(m int, bytes int64) int {
	p.countDomains(m)
	best, bestEvicts, bestCount := -1, false, 0
	for i := range p.targets {
		t := &p.targets[i]
		if t.Draining || t.unassigned < bytes {
			continue
		}
		evicts := t.unoccupied < bytes
		if p.occupied(m, i) || evicts && p.holdsOld(m, i) {
			continue
		}
		count := p.domainCounts[t.domain]
		if best >= 0 {
			b := &p.targets[best]
			if evicts != bestEvicts {
				if evicts {
					continue
				}
			} else if c := cmp.Or(cmp.Compare(count, bestCount), cmp.Compare(t.demand, b.demand), cmp.Compare(b.unassigned, t.unassigned)); c >= 0 {
				continue
			}
		}
		best, bestEvicts, bestCount = i, evicts, count
	}
	return best
}

// occupied reports whether a replica of the model is planned on a target or still being unloaded there.
func (p *planner) occupied(m, t int) bool {
	item := p.models[m].item()
	if _, wanted := p.targets[t].wanted[item]; wanted {
		return true
	}
	held, ok := p.targets[t].held[item]
	return ok && held.State == targetapi.Unloading
}

// holdsOld reports whether a target holds an old version of the model. The new version must not replace it there: the
// old one may be the last ready replica, or hold the last replica of an adapter.
func (p *planner) holdsOld(m, t int) bool {
	return slices.ContainsFunc(p.models[m].oldReplicas, func(r oldReplica) bool { return r.target == t })
}

func (p *planner) largestFree(m int) int64 {
	var largest int64
	for i := range p.targets {
		if t := &p.targets[i]; !t.Draining && !p.occupied(m, i) {
			largest = max(largest, t.unassigned)
		}
	}
	return largest
}

// placeAdapters assigns each adapter that is not planned on any replica to a placed replica, an existing one or a new
// one.
func (p *planner) placeAdapters(m int) {
	model := &p.models[m]
	if len(model.placed) == 0 {
		return
	}
	for i := range model.Adapters {
		a := &model.Adapters[i]
		if p.adapterPlaced(m, a) || p.placeAdapter(m, a) || p.keepExistingWithAdapter(m, a) {
			continue
		}
		t := p.bestTarget(m, model.MemoryBytes+a.MemoryBytes)
		if t < 0 {
			t = p.makeRoom(m, model.MemoryBytes+a.MemoryBytes)
		}
		if t < 0 {
			lacks := a.MemoryBytes
			for _, t := range model.placed {
				lacks = min(lacks, a.MemoryBytes-p.targets[t].unassigned)
			}
			p.missing = append(p.missing, Unplaced{Model: model.Name, Adapter: a.Name, Bytes: lacks})
			continue
		}
		p.place(m, t)
		p.addWanted(t, model.adapterItem(a), a.MemoryBytes)
	}
}

// keepExistingWithAdapter keeps an existing replica that holds an adapter or has room for it. Without this, plans would
// alternate: the existing replica is unloaded, a new one is planned in the memory that this frees, and so on.
func (p *planner) keepExistingWithAdapter(m int, a *Adapter) bool {
	model, item := &p.models[m], p.models[m].adapterItem(a)
	best := -1
	for i, t := range model.existing {
		target := &p.targets[t]
		if _, has := target.held[item]; target.unassigned < model.MemoryBytes+a.MemoryBytes || best >= 0 && !has {
			continue
		}
		best = i
	}
	if best < 0 {
		return false
	}
	t := model.existing[best]
	model.existing = slices.Delete(model.existing, best, best+1)
	p.addWanted(t, item, a.MemoryBytes)
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

// placeAdapter assigns an adapter to the placed replica whose target has the most free memory.
func (p *planner) placeAdapter(m int, a *Adapter) bool {
	best := -1
	for _, t := range p.models[m].placed {
		free := p.targets[t].unassigned
		if free >= a.MemoryBytes && (best < 0 || free > p.targets[best].unassigned) {
			best = t
		}
	}
	if best >= 0 {
		p.addWanted(best, p.models[m].adapterItem(a), a.MemoryBytes)
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
