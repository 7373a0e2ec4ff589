package roster

import "sync"

// Index finds the ready targets of a service among hundreds, and those that hold a model. It is built at the first look-up: a list of
// targets is replaced several times a second, and not each one is searched. It is safe for concurrent use.
type Index struct {
	entries []Entry
	build   sync.Once
	ready   map[string][]*Entry
	holding map[heldKey][]*Entry
}

type heldKey struct{ service, model string }

// NewIndex returns an index of targets, which must not be changed any more.
func NewIndex(entries []Entry) *Index { return &Index{entries: entries} }

// Entries returns all targets. The list must not be changed.
func (x *Index) Entries() []Entry { return x.entries }

// Ready returns the ready targets of a service in the order of Entries. The list must not be changed.
func (x *Index) Ready(service string) []*Entry {
	x.build.Do(x.fill)
	return x.ready[service]
}

// Holding returns the ready targets of a service that hold a model, or all of its ready targets if the model is empty.
func (x *Index) Holding(service, model string) []*Entry {
	if model == "" {
		return x.Ready(service)
	}
	x.build.Do(x.fill)
	return x.holding[heldKey{service, model}]
}

func (x *Index) fill() {
	x.ready, x.holding = make(map[string][]*Entry), make(map[heldKey][]*Entry, len(x.entries))
	for i := range x.entries {
		t := &x.entries[i]
		if t.State != Ready {
			continue
		}
		x.ready[t.Service] = append(x.ready[t.Service], t)
		for j := range t.Models {
			key := heldKey{t.Service, t.Models[j].Model}
			if held := x.holding[key]; len(held) == 0 || held[len(held)-1] != t { // a heartbeat may name a model twice
				x.holding[key] = append(held, t)
			}
		}
	}
}
