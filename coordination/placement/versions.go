package placement

import "github.com/tarragonhoist/tarragonhoist/protocol/targetapi"

// keepRequiredOld keeps the replicas of old versions that must not be unloaded yet: one replica while none of the
// version in effect is ready, and those that hold the last ready replica of an adapter.
func (p *planner) keepRequiredOld() {
	for m := range p.models {
		model := &p.models[m]
		if len(model.oldReplicas) == 0 {
			continue
		}
		covered := make(map[string]bool, len(model.Adapters))
		for _, t := range model.existing {
			if p.targets[t].held[model.item()].State == targetapi.Ready {
				p.coverAdapters(m, t, covered)
			}
		}
		needed := model.ready == 0
		for _, r := range model.oldReplicas {
			if r.ready && (p.coverAdapters(m, r.target, covered) || needed) {
				p.keepResidents(m, r.target)
				needed = false
			}
		}
	}
}

// coverAdapters adds the adapters in effect that are ready on a target, in any version, to covered and reports whether
// it added one.
func (p *planner) coverAdapters(m, t int, covered map[string]bool) (added bool) {
	for item, held := range p.targets[t].held {
		if item.Model != p.models[m].Name || item.Adapter == "" || held.State != targetapi.Ready || covered[item.Adapter] || !inEffect(p.models[m].Model, item.Adapter) {
			continue
		}
		covered[item.Adapter], added = true, true
	}
	return added
}

// keepOldWhereRoom keeps further replicas of an old version where memory suffices, until the replicas that replace them
// are ready.
func (p *planner) keepOldWhereRoom() {
	for m := range p.models {
		model := &p.models[m]
		keep := len(model.placed) - model.ready
		for _, r := range model.oldReplicas {
			if t := &p.targets[r.target]; r.ready && keep > 0 && t.unassigned >= p.heldBytes(m, r.target) {
				p.keepResidents(m, r.target)
				keep--
			}
		}
	}
}

// keepResidents keeps all residents of a model and its adapters on a target, in any version.
func (p *planner) keepResidents(m, t int) {
	for item, held := range p.targets[t].held {
		if item.Model == p.models[m].Name {
			p.addWanted(t, item, held.Bytes)
		}
	}
}

// heldBytes is the memory that keepAll would add to the plan.
func (p *planner) heldBytes(m, t int) (sum int64) {
	for item, held := range p.targets[t].held {
		if _, wanted := p.targets[t].wanted[item]; item.Model == p.models[m].Name && !wanted {
			sum += held.Bytes
		}
	}
	return sum
}
