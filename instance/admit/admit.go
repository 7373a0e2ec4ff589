// Package admit lets requests wait for the admission controller.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	// grantInterval bounds how late a queued request hears of a slot that another instance freed.
	grantInterval    = 20 * time.Millisecond
	capacityInterval = 500 * time.Millisecond
)

// Targets lists the targets of the data centre.
type Targets interface {
	All() []*membership.Entry
}

// Waiter holds requests back until they are granted.
type Waiter struct {
	controller *admission.Controller
	targets    Targets
	instances  int
	now        func() time.Time

	waiting *shard.Map[string, queue]
	changed chan struct{}

	mu     sync.Mutex
	served map[string]bool
}

// maxQueues is more than the models that a deployment declares.
const maxQueues = 8192

// queue holds the requests of one model that wait for a grant.
type queue map[*admission.Ticket]chan admission.Grant

func newQueue(string) *queue {
	q := make(queue)
	return &q
}

// New makes a waiter. instances is the number of instances of the data centre.
func New(controller *admission.Controller, targets Targets, instances int, now func() time.Time) *Waiter {
	return &Waiter{
		controller: controller, targets: targets, instances: instances, now: now, served: make(map[string]bool), changed: make(chan struct{}, 1),
		waiting: shard.New(shard.DefaultShards, maxQueues, shard.StringHash, newQueue),
	}
}

// Run grants queued requests and refreshes capacities until ctx ends.
func (w *Waiter) Run(ctx context.Context) {
	grants := time.NewTicker(grantInterval)
	defer grants.Stop()
	capacities := time.NewTicker(capacityInterval)
	defer capacities.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-grants.C:
			w.deliver(w.controller.Next(w.now()))
		case <-capacities.C:
			w.Refresh()
		case <-w.changed:
			w.Refresh()
		}
	}
}

// TargetChanged refreshes the capacities at once when a target comes, goes or holds other models.
func (w *Waiter) TargetChanged(c membership.Change) {
	if c.Kind == membership.Renewed {
		return
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Acquire waits until a request may start. The returned function ends the request.
func (w *Waiter) Acquire(ctx context.Context, r admission.Request) (func(admission.Completion), *api.Result) {
	granted := make(chan admission.Grant, 1)
	var decision admission.Decision
	// The lock covers both steps, so that no grant can arrive before the request is registered.
	w.waiting.Update(r.Model, func(q *queue) {
		decision = w.controller.Offer(w.now(), r)
		if decision.Action == admission.Queue {
			(*q)[decision.Ticket] = granted
		}
	})
	switch decision.Action {
	case admission.Refuse:
		return nil, decision.Refusal
	case admission.Admit:
		return w.release(decision.Ticket), nil
	}
	select {
	case g := <-granted:
		if g.Refusal != nil {
			return nil, g.Refusal
		}
		return w.release(decision.Ticket), nil
	case <-ctx.Done():
		return nil, w.abandon(decision.Ticket)
	}
}

// abandon takes a request out of the queue whose caller left or whose deadline passed.
func (w *Waiter) abandon(t *admission.Ticket) *api.Result {
	w.waiting.Update(t.Request.Model, func(q *queue) { delete(*q, t) })
	if !w.controller.Cancel(t) {
		w.release(t)(admission.Completion{})
	}
	return &api.Result{Outcome: api.Refused, Reason: api.ReasonDeadlineUnreachable, Repeat: api.RepeatNow,
		Message: "the deadline passed or the caller left while the request was queued"}
}

func (w *Waiter) release(t *admission.Ticket) func(admission.Completion) {
	return func(c admission.Completion) {
		c.Ticket = t
		now := w.now()
		w.controller.Done(now, c)
		w.deliver(w.controller.NextOf(now, t.Request.Model))
	}
}

func (w *Waiter) deliver(grants []admission.Grant) {
	for _, g := range grants {
		var granted chan admission.Grant
		w.waiting.Update(g.Ticket.Request.Model, func(q *queue) {
			granted = (*q)[g.Ticket]
			delete(*q, g.Ticket)
		})
		switch {
		case granted != nil:
			granted <- g
		case g.Refusal == nil:
			// The request gave up between the grant and its delivery.
			w.controller.Done(w.now(), admission.Completion{Ticket: g.Ticket})
		}
	}
}

// Refresh tells the controller what the targets can run.
func (w *Waiter) Refresh() {
	now := w.now()
	var replicas []admission.ReplicaSlots
	ready := make(map[string]float64)
	for _, e := range w.targets.All() {
		if !e.Usable(now) {
			continue
		}
		names := readyNames(e)
		replicas = append(replicas, admission.ReplicaSlots{Slots: max(e.Announcement.Slots, 1), Models: names})
		for _, name := range names {
			ready[name] = 0
		}
	}
	slots := admission.Apportion(replicas, w.controller.Demand())
	for name := range ready {
		w.controller.SetCapacity(now, name, admission.Capacity{Slots: slots[name], Instances: w.instances})
	}
	w.clearMissing(now, ready)
}

// clearMissing takes the capacity from models that have lost their last replica.
func (w *Waiter) clearMissing(now time.Time, ready map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.served {
		if _, ok := ready[name]; !ok {
			w.controller.SetCapacity(now, name, admission.Capacity{Instances: w.instances})
			delete(w.served, name)
		}
	}
	for name := range ready {
		w.served[name] = true
	}
}

// readyNames lists the models that are ready on a target, or its plain service.
func readyNames(e *membership.Entry) []string {
	if e.Announcement.Kind == targetapi.Service {
		return []string{e.Announcement.Service}
	}
	var names []string
	for _, r := range e.Announcement.Residents {
		if r.Adapter == "" && r.State == targetapi.Ready {
			names = append(names, r.Model)
		}
	}
	return names
}
