package residency

import (
	"cmp"
	"slices"
)

// AdapterModel is a model and the adapters to prefetch for it, in order of preference.
type AdapterModel struct {
	Name     string
	Adapters []string
}

// AdapterTarget is a target that can hold adapters.
type AdapterTarget struct {
	ID     string
	Models []string
	// Held are the adapters that the target holds, by model.
	Held map[string][]string
	Free int // adapter slots
}

// AdapterLoad is an adapter to load on a target ahead of demand.
type AdapterLoad struct{ Target, Model, Adapter string }

// Prefetch fills free adapter slots with adapters that no target holds, at most one per target. A request for a
// prefetched adapter needs no load order, which can't be issued during a leader change.
func Prefetch(models []AdapterModel, targets []AdapterTarget) []AdapterLoad {
	type key struct{ model, adapter string }
	copies := make(map[key]int)
	for _, t := range targets {
		for model, adapters := range t.Held {
			for _, a := range adapters {
				copies[key{model, a}]++
			}
		}
	}
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b AdapterTarget) int { return cmp.Compare(a.ID, b.ID) })
	var loads []AdapterLoad
	for _, t := range sorted {
		if t.Free <= 0 {
			continue
		}
		for i := range models {
			m := &models[i]
			if !slices.Contains(t.Models, m.Name) {
				continue
			}
			index := slices.IndexFunc(m.Adapters, func(a string) bool { return copies[key{m.Name, a}] == 0 })
			if index < 0 {
				continue
			}
			copies[key{m.Name, m.Adapters[index]}]++
			loads = append(loads, AdapterLoad{Target: t.ID, Model: m.Name, Adapter: m.Adapters[index]})
			break
		}
	}
	return loads
}
