package placement

import (
	"cmp"
	"slices"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

// Step is one load or unload that may start now.
type Step struct {
	Target string
	Load   bool
	Item   memledger.Item
	Bytes  int64
	// Urgent marks the load of a model or adapter that has no ready replica.
	Urgent   bool
	Priority releasenote.Priority
	demand   float64
}

// readyCounts counts the ready replicas of each model and of each adapter, in any version, without those that a step of
// the same call unloads.
type readyCounts struct {
	models   map[string]int
	adapters map[[2]string]int
}

// serving reports whether a resident can serve requests.
func serving(r *memledger.Resident) bool { return r.State == targetapi.Ready }

func countReady(targets []Target) readyCounts {
	c := readyCounts{make(map[string]int), make(map[[2]string]int)}
	for i := range targets {
		c.add(&targets[i], 1)
	}
	return c
}

// add counts each model and adapter of a target once, however many versions of it are ready there.
func (c *readyCounts) add(t *Target, n int) {
	for j, r := range t.Residents {
		if !serving(&t.Residents[j]) || t.Draining || earlierVersionReady(t, j) {
			continue
		}
		if r.Item.Adapter == "" {
			c.models[r.Item.Model] += n
		} else if modelReady(t, r.Item.Model) {
			c.adapters[[2]string{r.Item.Model, r.Item.Adapter}] += n
		}
	}
}

// earlierVersionReady reports whether a resident before j in the list is a ready version of the same model or adapter.
func earlierVersionReady(t *Target, j int) bool {
	for k := range t.Residents[:j] {
		if o := &t.Residents[k]; serving(o) && o.Item.Model == t.Residents[j].Item.Model && o.Item.Adapter == t.Residents[j].Item.Adapter {
			return true
		}
	}
	return false
}

func modelReady(t *Target, model string) bool {
	for i := range t.Residents {
		if r := &t.Residents[i]; r.Item.Model == model && r.Item.Adapter == "" && serving(r) {
			return true
		}
	}
	return false
}

// NextSteps lists the steps towards a residency that may start now: unloads that leave every model and adapter in
// effect with a ready replica, and loads that fit beside all current residents, urgent ones first. Steps that must wait
// for others are returned by a later call.
func NextSteps(in *Input, wanted *Residency) []Step {
	s := stepper{in: in, wanted: wanted, ready: countReady(in.Targets), models: make(map[string]*Model, len(in.Models))}
	for i := range in.Models {
		s.models[in.Models[i].Name] = &in.Models[i]
	}
	for i := range in.Targets {
		if t := &in.Targets[i]; !t.Draining {
			s.addLoads(t)
			s.addUnloads(t)
		}
	}
	slices.SortStableFunc(s.steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(btoi(a.Load), btoi(b.Load)), cmp.Compare(btoi(b.Urgent), btoi(a.Urgent)),
			cmp.Compare(a.Priority.Rank(), b.Priority.Rank()), cmp.Compare(b.demand, a.demand),
			cmp.Compare(a.Target, b.Target), a.Item.Compare(b.Item))
	})
	return s.steps
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

type stepper struct {
	in     *Input
	wanted *Residency
	ready  readyCounts
	models map[string]*Model
	steps  []Step
}

func (s *stepper) addLoads(t *Target) {
	free := t.CapacityBytes
	for _, r := range t.Residents {
		free -= r.Bytes
	}
	items := s.wanted.Wanted[t.Name]
	missing := make([]Step, 0, 4)
	for item, bytes := range items {
		if holds(t, item) || item.Adapter != "" && !s.modelStays(t, item.Model) {
			continue
		}
		step := Step{Target: t.Name, Load: true, Item: item, Bytes: bytes}
		if m := s.models[item.Model]; m != nil {
			step.Priority, step.demand = m.Priority, m.Demand
		}
		if item.Adapter == "" {
			step.Urgent = s.ready.models[item.Model] == 0
		} else {
			step.Urgent = s.ready.adapters[[2]string{item.Model, item.Adapter}] == 0
		}
		missing = append(missing, step)
	}
	slices.SortFunc(missing, func(a, b Step) int {
		return cmp.Or(cmp.Compare(btoi(b.Urgent), btoi(a.Urgent)), cmp.Compare(a.Priority.Rank(), b.Priority.Rank()),
			cmp.Compare(b.demand, a.demand), a.Item.Compare(b.Item))
	})
	for _, step := range missing {
		if step.Bytes <= free {
			free -= step.Bytes
			s.steps = append(s.steps, step)
		}
	}
}

// modelStays reports whether a version of a model is ready on a target and wanted there. An adapter that is loaded
// beside a version which is about to be unloaded would count as ready and then lose its model.
func (s *stepper) modelStays(t *Target, model string) bool {
	return slices.ContainsFunc(t.Residents, func(r memledger.Resident) bool {
		return r.Item.Model == model && r.Item.Adapter == "" && serving(&r) && s.wanted.Has(t.Name, r.Item)
	})
}

func holds(t *Target, item memledger.Item) bool {
	for i := range t.Residents {
		if t.Residents[i].Item == item {
			return true
		}
	}
	return false
}

func (s *stepper) addUnloads(t *Target) {
	// Adapters are unloaded before their model.
	for _, adapters := range []bool{true, false} {
		for j := range t.Residents {
			r := &t.Residents[j]
			if (r.Item.Adapter != "") != adapters || r.State != targetapi.Ready || s.wanted.Has(t.Name, r.Item) || !s.mayUnload(t, r) {
				continue
			}
			s.steps = append(s.steps, Step{Target: t.Name, Item: r.Item, Bytes: r.Bytes})
			// The count stays the same if another ready version stays on the target.
			if !s.otherVersionStays(t, r) {
				if r.Item.Adapter == "" {
					s.ready.models[r.Item.Model]--
				} else {
					s.ready.adapters[[2]string{r.Item.Model, r.Item.Adapter}]--
				}
			}
		}
	}
}

// otherVersionStays reports whether another ready version of the same model or adapter is wanted on the target.
func (s *stepper) otherVersionStays(t *Target, r *memledger.Resident) bool {
	for i := range t.Residents {
		o := &t.Residents[i]
		if o.Item != r.Item && o.Item.Model == r.Item.Model && o.Item.Adapter == r.Item.Adapter && serving(o) && s.wanted.Has(t.Name, o.Item) {
			return true
		}
	}
	return false
}

// mayUnload reports whether every model and adapter in effect still has a ready replica after this unload.
func (s *stepper) mayUnload(t *Target, r *memledger.Resident) bool {
	m := s.models[r.Item.Model]
	if r.Item.Adapter != "" {
		if m == nil || !inEffect(m, r.Item.Adapter) || s.otherVersionStays(t, r) || !modelReady(t, r.Item.Model) {
			return true
		}
		return s.ready.adapters[[2]string{r.Item.Model, r.Item.Adapter}] > 1 || s.servedElsewhere(m)
	}
	stays := s.otherVersionStays(t, r)
	if !stays && holdsAdapters(t, r.Item.Model) {
		return false
	}
	return m == nil || stays || s.ready.models[r.Item.Model] > 1 || s.servedElsewhere(m)
}

// servedElsewhere reports whether the home of the model is another data centre and a replica is ready elsewhere. The
// home data centre never relies on others, so two data centres can't both unload their last replica.
func (s *stepper) servedElsewhere(m *Model) bool { return !m.IsHome && m.ReadyElsewhere > 0 }

func inEffect(m *Model, adapter string) bool {
	return slices.ContainsFunc(m.Adapters, func(a Adapter) bool { return a.Name == adapter })
}

// holdsAdapters reports whether a target still holds adapters of a model, in any state.
func holdsAdapters(t *Target, model string) bool {
	return slices.ContainsFunc(t.Residents, func(r memledger.Resident) bool {
		return r.Item.Model == model && r.Item.Adapter != ""
	})
}
