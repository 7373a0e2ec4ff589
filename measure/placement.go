package measure

import (
	"slices"
	"sort"
)

// PlacedReplica describes a replica to a placement.
type PlacedReplica struct {
	Name       string
	DataCentre string
	// Memory is the capacity in models.
	Memory int
	// Models are the resident and loading models, without those that are leaving.
	Models []string
}

// PlacementInput is the input of a placement. Demand is a number per model: the requests in flight and waiting or, for
// the initial placement, the share of the requests.
type PlacementInput struct {
	Replicas []PlacedReplica
	Models   []string
	Demand   map[string]float64
}

// Placement decides which models are resident on which replica. Plan returns the models by name of the replica.
type Placement interface {
	Plan(in PlacementInput) map[string][]string
}

func (in *PlacementInput) counts() map[string]int {
	counts := make(map[string]int)
	for _, r := range in.Replicas {
		for _, m := range r.Models {
			counts[m]++
		}
	}
	return counts
}

func (in *PlacementInput) current() map[string][]string {
	wanted := make(map[string][]string, len(in.Replicas))
	for _, r := range in.Replicas {
		wanted[r.Name] = slices.Clone(r.Models)
	}
	return wanted
}

// initialPlacement returns two replicas of each model, in different data centres where possible, and then more replicas
// of the models with the highest demand per replica until all memory is used.
func initialPlacement(in PlacementInput) map[string][]string {
	placed := make(map[string][]string, len(in.Replicas))
	load := make(map[string]float64)
	counts := make(map[string]int)
	place := func(model string) bool {
		best, bestCost := -1, 0.0
		for i, r := range in.Replicas {
			if len(placed[r.Name]) >= r.Memory || slices.Contains(placed[r.Name], model) {
				continue
			}
			cost := load[r.Name]
			for _, other := range in.Replicas {
				if other.DataCentre == r.DataCentre && slices.Contains(placed[other.Name], model) {
					cost++ // more than the load of any replica, since demand is given as shares
				}
			}
			if best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if best < 0 {
			return false
		}
		name := in.Replicas[best].Name
		placed[name] = append(placed[name], model)
		load[name] += in.Demand[model] / float64(counts[model]+1)
		counts[model]++
		return true
	}
	for range 2 {
		for _, model := range in.Models {
			place(model)
		}
	}
	for {
		order := slices.Clone(in.Models)
		sort.SliceStable(order, func(i, j int) bool {
			return in.Demand[order[i]]/float64(counts[order[i]]) > in.Demand[order[j]]/float64(counts[order[j]])
		})
		if !slices.ContainsFunc(order, place) {
			return placed
		}
	}
}

// staticPlacement keeps the initial placement and only restores models that have lost all replicas.
type staticPlacement struct{}

// Plan implements Placement.
func (staticPlacement) Plan(in PlacementInput) map[string][]string { return restoreMissingModels(&in) }

// restoreMissingModels adds each model without a replica to the replica with the fewest models.
func restoreMissingModels(in *PlacementInput) map[string][]string {
	wanted, counts := in.current(), in.counts()
	for _, model := range in.Models {
		best := ""
		for _, r := range in.Replicas {
			if len(wanted[r.Name]) < r.Memory && (best == "" || len(wanted[r.Name]) < len(wanted[best])) {
				best = r.Name
			}
		}
		if counts[model] == 0 && best != "" {
			wanted[best] = append(wanted[best], model)
		}
	}
	return wanted
}

const (
	// reactiveUtilisation is the demand per replica, as a fraction of its slots, above which the reactive placement adds a
	// replica of a model.
	reactiveUtilisation = 0.5
	// reactiveMaxLoads bounds the loads per plan of the reactive placement.
	reactiveMaxLoads = 4
)

// reactivePlacement adds a replica for each overloaded model on the least loaded replica that has free memory or a model
// to evict: the one with the least demand there.
type reactivePlacement struct{ slots int }

// Plan implements Placement.
func (p *reactivePlacement) Plan(in PlacementInput) map[string][]string {
	wanted, counts := restoreMissingModels(&in), in.counts()
	perReplica := func(m string) float64 { return in.Demand[m] / float64(max(counts[m], 1)) }
	order := slices.Clone(in.Models)
	sort.SliceStable(order, func(i, j int) bool { return perReplica(order[i]) > perReplica(order[j]) })
	moves := 0
	for _, model := range order {
		if moves == reactiveMaxLoads || perReplica(model) < reactiveUtilisation*float64(p.slots) {
			break
		}
		best, bestLoad := "", 0.0
		for _, r := range in.Replicas {
			load := 0.0
			for _, m := range wanted[r.Name] {
				load += perReplica(m)
			}
			if !slices.Contains(wanted[r.Name], model) && (best == "" || load < bestLoad) && p.victim(&r, wanted[r.Name], counts, perReplica) != "" {
				best, bestLoad = r.Name, load
			}
		}
		if best == "" {
			continue
		}
		r := in.Replicas[slices.IndexFunc(in.Replicas, func(r PlacedReplica) bool { return r.Name == best })]
		if victim := p.victim(&r, wanted[best], counts, perReplica); victim != freeMemory {
			wanted[best] = slices.DeleteFunc(wanted[best], func(m string) bool { return m == victim })
			counts[victim]--
		}
		wanted[best] = append(wanted[best], model)
		counts[model]++
		moves++
	}
	return wanted
}

// freeMemory is the victim of a replica with free memory, where nothing is evicted.
const freeMemory = "-"

func (p *reactivePlacement) victim(r *PlacedReplica, models []string, counts map[string]int, perReplica func(string) float64) (victim string) {
	if len(models) < r.Memory {
		return freeMemory
	}
	for _, m := range models {
		if counts[m] > 1 && perReplica(m) < reactiveUtilisation*float64(p.slots)/2 && (victim == "" || perReplica(m) < perReplica(victim)) {
			victim = m
		}
	}
	return victim
}

func (f *fleet) placementInput(demand map[string]float64) PlacementInput {
	in := PlacementInput{Models: f.models, Demand: demand}
	for _, r := range f.replicas {
		if !r.alive {
			continue
		}
		placed := PlacedReplica{Name: r.name, DataCentre: r.dc, Memory: f.d.ModelsPerReplica}
		for _, model := range f.models {
			if res := r.residents[model]; res != nil && !res.leaving {
				placed.Models = append(placed.Models, model)
			}
		}
		in.Replicas = append(in.Replicas, placed)
	}
	return in
}

// applyPlacement executes the plan. A model is unloaded from a replica only while it is ready on another one, and after
// its attempts have ended; loads wait until memory is free.
func (f *fleet) applyPlacement() {
	demand := make(map[string]float64)
	for _, r := range f.replicas {
		for _, a := range r.running {
			demand[a.req.model]++
		}
		for _, a := range r.queue {
			demand[a.req.model]++
		}
	}
	for _, req := range f.pending {
		demand[req.model]++
	}
	wanted := f.placement.Plan(f.placementInput(demand))
	for _, r := range f.replicas {
		if !r.alive {
			continue
		}
		for _, model := range f.models {
			res := r.residents[model]
			if res == nil {
				continue
			}
			res.leaving = res.ready && !slices.Contains(wanted[r.name], model) && f.readyElsewhere(r, model)
			if res.leaving && !r.report.ready[model] && r.attemptsOf(model) == 0 {
				delete(r.residents, model)
			}
		}
		for _, model := range wanted[r.name] {
			if r.residents[model] == nil && len(r.residents) < f.d.ModelsPerReplica {
				f.store.load(r, model)
			}
		}
	}
}

func (f *fleet) readyElsewhere(r *replica, model string) bool {
	for _, other := range f.replicas {
		if res := other.residents[model]; other != r && other.alive && res != nil && res.ready && !res.leaving {
			return true
		}
	}
	return false
}
