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
	// maxAheadMovesPerTarget is the maximum number of concurrent moves per target that replace a model. The rest stays free
	// for targets on which a copy would be ready within two seconds.
	maxAheadMovesPerTarget = 0.7
	// sparePlaceShare is the part of the places beyond one copy of each model that moves may take. A place serves nothing
	// during a move. In the replay of shifting demand, 0.75 of them left fewer requests a free slot than 0.45, and 0.25
	// did so too.
	sparePlaceShare = 0.45
	// minReplacing is the least limit of concurrent moves that replace a model.
	minReplacing = 2
	// maxFillsPerTarget is the maximum number of concurrent moves per target while there is free memory to fill, and
	// storeConcurrency the part of the concurrent loads at the full rate of the weight store that these may use. They
	// take no place from a model in service.
	maxFillsPerTarget = 0.9
	storeConcurrency  = 0.8
	// spareShare and absentShare are the parts of the limit up to which less urgent moves start. The rest is room for the
	// copies of a model that becomes overloaded: a move takes as long as demand stays, so what is taken comes back too late.
	spareShare  = 0.5
	absentShare = 0.7
)

// budget bounds the concurrent moves: replacing those that replace a model, by urgency, and filling those into free memory.
type budget struct{ replacing, filling float64 }

// newBudget derives the limits from the targets, the rate of the weight store and the spare places.
func newBudget(targets, sparePlaces int, storeRate float64, longestLoad time.Duration) budget {
	n := float64(targets)
	byStore := storeConcurrency * storeRate * longestLoad.Seconds()
	return budget{
		replacing: max(minReplacing, min(maxAheadMovesPerTarget*n, sparePlaceShare*float64(sparePlaces))),
		filling:   max(1, maxMovesPerTarget*n, min(maxFillsPerTarget*n, byStore)),
	}
}

// allows reports whether a move that replaces a model may start while others are running.
func (b budget) allows(u Urgency, running int) bool {
	limit := b.replacing
	switch u {
	case UrgencySpare:
		limit *= spareShare
	case UrgencyAbsent:
		limit *= absentShare
	}
	return running < max(1, int(limit))
}

// allowsFill reports whether a move into free memory may start.
func (b budget) allowsFill(running int) bool { return running < int(b.filling) }

// exhausted reports whether no move may start.
func (b budget) exhausted(running int) bool {
	return !b.allows(UrgencyOverload, running) && !b.allowsFill(running)
}
