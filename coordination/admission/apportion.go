package admission

import "sort"

// ReplicaSlots is one replica and the models that are ready on it.
type ReplicaSlots struct {
	Slots  int
	Models []string
}

// ModelDemand is the number of requests in flight and waiting over all instances.
type ModelDemand struct {
	// First counts requests of callers within their share, without batch work. Apportion serves it before the rest, so
	// that a burst for some models takes no slots from the neighbours' requests for others.
	First float64
	// Rest counts requests of callers above their share and batch work.
	Rest float64
}

// minSlots keeps a ready model reachable when the demand for others takes all slots.
const minSlots = 1

// Apportion divides the slots of replicas that hold several models by the demand for each. A model gets its max-min
// fair part of every replica it is ready on; slots without demand are offered to each model of the replica, since
// they are free until one of them uses them. The result holds Slots and RestSlots of each model.
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
			shares = append(shares, modelShare{model: m, demand: demand[m].First / float64(replicaCount[m])})
		}
		free := maxMinFair(float64(replicas[i].Slots), shares)
		for j := range shares {
			c := slots[shares[j].model]
			c.Slots += shares[j].assigned
			slots[shares[j].model] = c
			shares[j].demand = demand[shares[j].model].Rest / float64(replicaCount[shares[j].model])
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

// maxMinFair gives every part what it wants up to an equal level and returns what nobody wants.
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
