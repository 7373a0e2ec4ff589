package admission

import "sort"

// ReplicaSlots is one replica and the models that are ready on it.
type ReplicaSlots struct {
	Slots  int
	Models []string
}

// ModelDemand is the number of requests in flight and waiting over all instances.
type ModelDemand struct {
	// WithinShares counts requests of callers within their share, without batch work. Apportion assigns slots to them
	// first, so that a burst for one model takes no slots from such requests for other models on the same replicas.
	WithinShares float64
	// BestEffort counts best-effort requests: those of callers above their share and batch work.
	BestEffort float64
}

// minSlots lets a ready model serve requests when the demand for other models takes all slots.
const minSlots = 1

// Apportion divides the slots of replicas that hold several models by the demand for each. A model gets its max-min
// fair share of every replica that it is ready on. Unused slots of a replica count for each of its models, since any of
// them may use the slots. The result holds Slots and BestEffortSlots of each model.
func Apportion(replicas []ReplicaSlots, demand map[string]ModelDemand) map[string]Capacity {
	replicaCount := make(map[string]int)
	for i := range replicas {
		for _, m := range replicas[i].Models {
			replicaCount[m]++
		}
	}
	slots := make(map[string]Capacity, len(replicaCount))
	var shares []modelShare
	for i := range replicas {
		shares = shares[:0]
		for _, m := range replicas[i].Models {
			shares = append(shares, modelShare{model: m, demand: demand[m].WithinShares / float64(replicaCount[m])})
		}
		free := maxMinFair(float64(replicas[i].Slots), shares)
		for j := range shares {
			c := slots[shares[j].model]
			c.Slots += shares[j].assigned
			slots[shares[j].model] = c
			shares[j].demand = demand[shares[j].model].BestEffort / float64(replicaCount[shares[j].model])
		}
		free = maxMinFair(free, shares)
		for _, p := range shares {
			c := slots[p.model]
			c.Slots += p.assigned + free
			c.BestEffortSlots += p.assigned + free
			slots[p.model] = c
		}
	}
	for m, c := range slots {
		c.Slots = max(c.Slots, minSlots)
		slots[m] = c
	}
	return slots
}

type modelShare struct {
	model    string
	demand   float64
	assigned float64
}

// maxMinFair divides total by max-min fairness: each model gets its demand, up to a limit that is equal for all. It
// returns what is left over.
func maxMinFair(total float64, shares []modelShare) (free float64) {
	sort.Slice(shares, func(i, j int) bool {
		if shares[i].demand != shares[j].demand {
			return shares[i].demand < shares[j].demand
		}
		return shares[i].model < shares[j].model
	})
	for i := range shares {
		shares[i].assigned = min(shares[i].demand, total/float64(len(shares)-i))
		total -= shares[i].assigned
	}
	return max(total, 0)
}
