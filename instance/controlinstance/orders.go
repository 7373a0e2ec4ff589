package controlinstance

import (
	"context"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Order tells a target to load or unload a model or an adapter.
type Order struct {
	Unload  bool // load if false
	Model   string
	Adapter string // empty for the model itself
	Holder  string
	Fence   uint64
	// Sequence is the number of orders that the target must have accepted before this one. An order that arrives after a
	// newer one therefore has no effect.
	Sequence uint64
}

// Outcome is the result of sending an order.
type Outcome string

// Outcomes of orders.
const (
	Accepted  Outcome = "accepted" // the target executes the order
	Completed Outcome = "holds"    // the state was already as ordered, or the order was executed at once
	Conflict  Outcome = "conflict" // another order is in progress, or the sequence does not match
	Refused   Outcome = "refused"  // the order is invalid, or the fencing number is stale
	Replaced  Outcome = "replaced" // another target has taken over the address
	Unknown   Outcome = "unknown"  // no response: the order may be executed, now or later
)

// Report is the state of a target. It may lag by up to maxReportLag.
type Report struct {
	Models   []roster.Held
	Pending  []PendingAdapter
	Busy     bool
	Sequence uint64
	InMemory []string
	OnDisk   []string
}

// PendingAdapter is an adapter that a target is loading.
type PendingAdapter struct{ Model, Adapter string }

// OrderClient sends orders to targets and reads their reports.
type OrderClient interface {
	Order(ctx context.Context, target roster.Target, o Order) (Outcome, error)
	Report(ctx context.Context, target roster.Target) (Report, error)
}
