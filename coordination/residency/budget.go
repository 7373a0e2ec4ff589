package residency

import "time"

// Urgency says what a load is for.
type Urgency uint8

// The urgencies, the least urgent first.
const (
	// UrgencySpare is a load for demand that the copies of a model can serve.
	UrgencySpare Urgency = iota
	// UrgencyAbsent is a load of a model without a copy that requests wait for.
	UrgencyAbsent
	// UrgencyOverload is a load for a model whose forecast demand exceeds a good part of the slots of its copies.
	UrgencyOverload
)

func (u Urgency) String() string { return [...]string{"spare", "absent", "overload"}[u] }

const (
	// maxAheadMovesPerTarget is the maximum number of concurrent moves per target. The rest stays free for targets on
	// which a copy would be ready within two seconds.
	maxAheadMovesPerTarget = 0.9
	// storeConcurrency is the part of the concurrent loads at the full rate of the weight store that moves may use. A move
	// also takes the time until requests of the unloaded model have ended, about a fifth of the load.
	storeConcurrency = 0.8
	// spareShare and absentShare are the parts of the limit up to which less urgent moves start. The rest is room for the
	// copies of a model that becomes overloaded: a move takes as long as demand stays, so what is taken comes back too late.
	spareShare  = 0.35
	absentShare = 0.7
)

// budget bounds the concurrent moves by urgency.
type budget struct{ limit float64 }

func newBudget(targets int, storeRate float64, longestLoad time.Duration) budget {
	n := float64(targets)
	byStore := storeConcurrency * storeRate * longestLoad.Seconds()
	return budget{limit: max(1, maxMovesPerTarget*n, min(maxAheadMovesPerTarget*n, byStore))}
}

// allows reports whether a move may start while others are running.
func (b budget) allows(u Urgency, running int) bool {
	limit := b.limit
	switch u {
	case UrgencySpare:
		limit *= spareShare
	case UrgencyAbsent:
		limit *= absentShare
	}
	return running < max(1, int(limit))
}
