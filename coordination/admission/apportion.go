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
	count := make(map[string]int)
	for i := range replicas {
		for _, m := range replicas[i].Models {
			count[m]++
		}
	}
	slots := make(map[string]Capacity, len(count))
	var parts []part
	for i := range replicas {
		parts = parts[:0]
		for _, m := range replicas[i].Models {
			parts = append(parts, part{model: m, wanted: demand[m].First / float64(count[m])})
		}
		free := fairParts(float64(replicas[i].Slots), parts)
		for j := range parts {
			c := slots[parts[j].model]
			c.Slots += parts[j].given
			slots[parts[j].model] = c
			parts[j].wanted = demand[parts[j].model].Rest / float64(count[parts[j].model])
		}
		free = fairParts(free, parts)
		for _, p := range parts {
			c := slots[p.model]
			c.Slots += p.given + free
			c.RestSlots += p.given + free
			slots[p.model] = c
		}
	}
	for m, c := range slots {
		c.Slots = max(c.Slots, minSlots)
		slots[m] = c
	}
	return slots
}

type part struct {
	model  string
	wanted float64
	given  float64
}

// fairParts gives every part what it wants up to an equal level and returns what nobody wants.
func fairParts(total float64, parts []part) (free float64) {
	sort.Slice(parts, func(i, j int) bool {
		if parts[i].wanted != parts[j].wanted {
			return parts[i].wanted < parts[j].wanted
		}
		return parts[i].model < parts[j].model
	})
	for i := range parts {
		parts[i].given = min(parts[i].wanted, total/float64(len(parts)-i))
		total -= parts[i].given
	}
	return max(total, 0)
}
