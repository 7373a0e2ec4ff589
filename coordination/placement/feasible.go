package placement

import (
	"fmt"
	"slices"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

// maxRounds bounds the simulation. A change of the versions of all models takes a few rounds.
const maxRounds = 64

// Feasible checks whether the models of the inputs, one input for each data centre, can be made ready by steps that
// stay within memory and keep a ready replica of everything in effect. It simulates the planner and the steps of the
// controllers on a copy of the inputs. No findings means that the simulation has reached the goal; findings can also
// mean that a sequence of steps exists, but only a longer search would find it. IsHome and ReadyElsewhere of the models
// are set here.
func Feasible(dataCentres []Input) []tomlfile.Finding {
	s := newSimulation(dataCentres)
	for range maxRounds {
		if !s.round() {
			break
		}
	}
	return s.findings()
}

type simulation struct {
	inputs []Input
	homes  map[string]string
}

func newSimulation(dataCentres []Input) *simulation {
	s := &simulation{inputs: make([]Input, len(dataCentres))}
	capacity := make(map[string]int64, len(dataCentres))
	for i, in := range dataCentres {
		in.Models, in.Targets = slices.Clone(in.Models), slices.Clone(in.Targets)
		for j := range in.Targets {
			t := &in.Targets[j]
			t.Residents = slices.Clone(t.Residents)
			if !t.Draining {
				capacity[in.DataCentre] += t.CapacityBytes
			}
		}
		s.inputs[i] = in
	}
	if len(s.inputs) > 0 {
		s.homes = AssignHomes(s.inputs[0].Models, capacity)
	}
	return s
}

// round plans every data centre once, carries out the steps that may start now and reports whether there were any.
func (s *simulation) round() bool {
	ready := make([]readyCounts, len(s.inputs))
	for i := range s.inputs {
		ready[i] = countReady(s.inputs[i].Targets)
	}
	progress := false
	for i := range s.inputs {
		in := &s.inputs[i]
		s.setRemoteState(i, ready)
		wanted := Plan(*in)
		for _, step := range NextSteps(in, &wanted) {
			in.apply(&step)
			progress = true
		}
	}
	return progress
}

// setRemoteState sets IsHome and ReadyElsewhere of the models of one data centre.
func (s *simulation) setRemoteState(i int, ready []readyCounts) {
	in := &s.inputs[i]
	for m := range in.Models {
		model := &in.Models[m]
		model.IsHome, model.ReadyElsewhere = s.homes[model.Name] == in.DataCentre, 0
		for j := range ready {
			if j != i {
				model.ReadyElsewhere += ready[j].models[model.Name]
			}
		}
	}
}

// apply carries out a step without a load or unload time.
func (in *Input) apply(step *Step) {
	i := slices.IndexFunc(in.Targets, func(t Target) bool { return t.Name == step.Target })
	t := &in.Targets[i]
	if step.Load {
		t.Residents = append(t.Residents, memledger.Resident{Item: step.Item, State: targetapi.Ready, Bytes: step.Bytes})
		return
	}
	t.Residents = slices.DeleteFunc(t.Residents, func(r memledger.Resident) bool { return r.Item == step.Item })
}

// findings lists the models and adapters whose version in effect is not ready in any data centre.
func (s *simulation) findings() []tomlfile.Finding {
	ready := make(map[memledger.Item]bool)
	for i := range s.inputs {
		for j := range s.inputs[i].Targets {
			t := &s.inputs[i].Targets[j]
			for _, r := range t.Residents {
				if !t.Draining && r.State == targetapi.Ready && (r.Item.Adapter == "" || modelReady(t, r.Item.Model)) {
					ready[r.Item] = true
				}
			}
		}
	}
	if len(s.inputs) == 0 {
		return []tomlfile.Finding{{Message: "no data centre is known"}}
	}
	var findings []tomlfile.Finding
	for m := range s.inputs[0].Models {
		model := &s.inputs[0].Models[m]
		if !ready[model.item()] {
			findings = append(findings, s.finding(model, nil))
			continue
		}
		for a := range model.Adapters {
			if !ready[model.adapterItem(&model.Adapters[a])] {
				findings = append(findings, s.finding(model, &model.Adapters[a]))
			}
		}
	}
	return findings
}

// finding describes a model or adapter that can't be made ready, for the data centre that lacks the fewest bytes.
func (s *simulation) finding(m *Model, a *Adapter) tomlfile.Finding {
	needs, what := m.MemoryBytes, fmt.Sprintf("model %q", m.Name)
	if a != nil {
		needs, what = a.MemoryBytes, fmt.Sprintf("adapter %q of model %q", a.Name, m.Name)
	}
	best, lacks := "", int64(0)
	for i := range s.inputs {
		if l := needs - s.inputs[i].largestAvailable(m, a != nil); best == "" || l < lacks {
			best, lacks = s.inputs[i].DataCentre, l
		}
	}
	if lacks <= 0 {
		return tomlfile.Finding{Key: "model." + m.Name, Message: fmt.Sprintf(
			"data centre %q: no sequence of steps found within %d rounds that makes %s ready", best, maxRounds, what)}
	}
	return tomlfile.Finding{Key: "model." + m.Name, Message: fmt.Sprintf("data centre %q: %s lacks %d bytes", best, what, lacks)}
}

// largestAvailable is the largest free memory on one target for a model, or for an adapter on a target that holds its
// model. The current residents count as used.
func (in *Input) largestAvailable(m *Model, adapter bool) int64 {
	var largest int64
	for i := range in.Targets {
		t := &in.Targets[i]
		if t.Draining || adapter && !holds(t, m.item()) {
			continue
		}
		free := t.CapacityBytes
		for _, r := range t.Residents {
			free -= r.Bytes
		}
		largest = max(largest, free)
	}
	return largest
}
