package admission

import "sort"

// ReplicaSlots is one replica and the models that are ready on it.
type ReplicaSlots struct {
	Slots  int
	Models []string
}

// Apportion divides the slots of replicas that hold several models by the demand for each. A model gets its max-min
// fair part of every replica it is ready on; slots without demand are offered to each model of the replica, since
// they are free until one of them uses them.
func Apportion(replicas []ReplicaSlots, demand map[string]float64) map[string]float64 {
	count := make(map[string]int)
	for i := range replicas {
		for _, m := range replicas[i].Models {
			count[m]++
		}
	}
	slots := make(map[string]float64, len(count))
	var parts []part
	for i := range replicas {
		parts = parts[:0]
		for _, m := range replicas[i].Models {
			parts = append(parts, part{model: m, wanted: demand[m] / float64(count[m])})
		}
		free := fairParts(float64(replicas[i].Slots), parts)
		for _, p := range parts {
			slots[p.model] += p.given + free
		}
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
