package measure

import (
	"github.com/tarragonhoist/tarragonhoist/coordination/placement"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

// modelBytes is the size of every model; only its ratio to the memory of a replica matters.
const modelBytes = 1 << 30

// productPlacement plans each data centre with coordination/placement, as its controller does. Adapters are not planned;
// the engines load them on demand.
type productPlacement struct {
	f          *fleet
	forecaster *placement.Forecaster
}

// Plan implements Placement.
func (p *productPlacement) Plan(in PlacementInput) map[string][]string {
	models := make([]placement.Model, 0, len(in.Models))
	for _, name := range in.Models {
		p.forecaster.Observe(p.f.clock.time(), name, in.Demand[name])
		models = append(models, placement.Model{
			Name: name, Version: "1", MemoryBytes: modelBytes, Priority: releasenote.Interactive, MinReplicas: 1,
			Demand: p.forecaster.Demand(name),
		})
	}
	capacity := make(map[string]int64)
	targets := make(map[string][]placement.Target)
	ready := make(map[string]map[string]int)
	for _, r := range in.Replicas {
		t := placement.Target{Name: r.Name, CapacityBytes: int64(r.Memory) * modelBytes}
		for _, name := range r.Models {
			state := targetapi.Loading
			if p.f.byName[r.Name].residents[name].ready {
				state = targetapi.Ready
				if ready[name] == nil {
					ready[name] = make(map[string]int)
				}
				ready[name][r.DataCentre]++
			}
			t.Residents = append(t.Residents, memledger.Resident{Item: memledger.Item{Model: name, Version: "1"}, State: state, Bytes: modelBytes})
		}
		capacity[r.DataCentre] += t.CapacityBytes
		targets[r.DataCentre] = append(targets[r.DataCentre], t)
	}
	homes := placement.AssignHomes(models, capacity)
	wanted := make(map[string][]string)
	for _, dc := range p.f.d.DataCentres {
		own := make([]placement.Model, len(models))
		for i, m := range models {
			m.IsHome = homes[m.Name] == dc
			for other, n := range ready[m.Name] {
				if other != dc {
					m.ReadyElsewhere += n
				}
			}
			own[i] = m
		}
		plan := placement.Plan(placement.Input{
			DataCentre: dc, Targets: targets[dc], Models: own, ReplicaRate: float64(p.f.s.Engine.Slots),
		})
		for _, t := range targets[dc] {
			for _, name := range in.Models {
				if plan.Has(t.Name, memledger.Item{Model: name, Version: "1"}) {
					wanted[t.Name] = append(wanted[t.Name], name)
				}
			}
		}
	}
	return wanted
}
