package hub

import (
	"context"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Order changes what a target holds.
type Order struct {
	Unload  bool // instead of load
	Model   string
	Adapter string // empty for the model itself
	Holder  string
	Fence   uint64
	// Sequence is the number of orders that the target must have accepted, so that an order which is carried out late
	// has no effect after a newer one.
	Sequence uint64
}

// Outcome is what a target answered to an order.
type Outcome string

// Outcomes.
const (
	Accepted Outcome = "accepted" // it is being carried out
	Holds    Outcome = "holds"    // nothing was left to do, or it was done at once
	Conflict Outcome = "conflict" // another order is in progress, or the sequence differs
	Refused  Outcome = "refused"  // the order is wrong, or the fencing number is too low
	Replaced Outcome = "replaced" // another target lives at the address
	Unknown  Outcome = "unknown"  // no answer: it may be carried out, even later
)

// Report is what a target holds, as of a moment ago.
type Report struct {
	Models   []roster.Held
	Pending  []PendingAdapter
	Busy     bool
	Sequence uint64
	InMemory []string
	OnDisk   []string
}

// PendingAdapter is an adapter on its way to a target.
type PendingAdapter struct{ Model, Adapter string }

// Orders talks to targets.
type Orders interface {
	Order(ctx context.Context, target roster.Target, o Order) (Outcome, error)
	Report(ctx context.Context, target roster.Target) (Report, error)
}
