package routes

import (
	"fmt"
	"slices"
	"strings"
)

// maxNamed is the number of models that one warning names.
const maxNamed = 5

// reachedServices returns the services to which a route sends requests.
func (d *Document) reachedServices() map[string]bool {
	reached := make(map[string]bool)
	for i := range d.Routes {
		for _, s := range d.Routes[i].Split {
			if s.Weight > 0 {
				reached[s.Service] = true
			}
		}
	}
	return reached
}

func (w *warner) checkReached(i int, reached map[string]bool) {
	s, location := &w.document.Services[i], w.document.serviceLocation(i)
	if reached[s.Name] {
		return
	}
	w.add("service-without-route", location, "no route leads to the service")
	if s.Engine != nil && len(s.Engine.Models) > 0 {
		w.add("model-without-route", location, "no route leads to its %s", namesOf(s.Engine.Models))
	}
}

// namesOf returns the number of models and the names of the first ones.
func namesOf(models []Model) string {
	names := make([]string, 0, maxNamed)
	for i := range models[:min(len(models), maxNamed)] {
		names = append(names, models[i].Name)
	}
	more := ""
	if len(models) > maxNamed {
		more = ", …"
	}
	return fmt.Sprintf("models (%d: %s%s)", len(models), strings.Join(names, ", "), more)
}

func (w *warner) checkEngine(i int) {
	engine, location := w.document.Services[i].Engine, w.document.serviceLocation(i)
	if engine == nil {
		return
	}
	if len(engine.Models) == 0 {
		w.add("engine-without-models", location, "the engine has no models")
	}
	seen := make(map[string]bool, len(engine.Models))
	for n := range engine.Models {
		m := &engine.Models[n]
		at := fmt.Sprintf("%s, model %d (%s)", location, n, m.Name)
		if seen[m.Name] {
			w.add("model-twice", at, "an earlier model of the service has the same name, so that this one is never used")
		}
		seen[m.Name] = true
		w.checkModel(engine, m, at)
	}
	if withAdapters := modelsBeyondSlots(engine); engine.AdapterSlots <= 0 && len(withAdapters) > 0 {
		w.add("adapters-without-slots", location, "%s have adapters, but a target holds none", namesOf(withAdapters))
	}
}

// modelsBeyondSlots returns the models of which one target can't hold all adapters at the same time.
func modelsBeyondSlots(e *Engine) []Model {
	var beyond []Model
	for _, m := range e.Models {
		if m.Adapters > e.AdapterSlots {
			beyond = append(beyond, m)
		}
	}
	return beyond
}

// uncheckedAdapters names the targets that an engine needs to hold all adapters of a model at the same time. Models usually have more
// adapters than one target holds, so that this is no warning.
func (d *Document) uncheckedAdapters(i int) (unchecked string, ok bool) {
	e := d.Services[i].Engine
	if e == nil || e.AdapterSlots <= 0 {
		return "", false
	}
	beyond := modelsBeyondSlots(e)
	if len(beyond) == 0 {
		return "", false
	}
	most := slices.MaxFunc(beyond, func(a, b Model) int { return a.Adapters - b.Adapters })
	targets := (most.Adapters-1)/e.AdapterSlots + 1
	return fmt.Sprintf("%s: adapters against slots: the %d adapters of model %s need %d targets with %d slots each to be held at the same time, and "+
		"the document does not hold the number of targets", d.serviceLocation(i), most.Adapters, most.Name, targets, e.AdapterSlots), true
}

func (w *warner) checkModel(e *Engine, m *Model, location string) {
	switch {
	case m.WeightsMB > e.CapacityMB:
		w.add("model-larger-than-memory", location, "its weights take %g MB, but a target has %g MB", m.WeightsMB, e.CapacityMB)
	case m.Adapters > 0 && m.WeightsMB+m.AdapterMB > e.CapacityMB:
		w.add("adapter-larger-than-memory", location, "its weights and one adapter take %g MB, but a target has %g MB", m.WeightsMB+m.AdapterMB, e.CapacityMB)
	}
}
