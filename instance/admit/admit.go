// Package admit lets requests wait for the admission controller.
package admit

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
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

	places  *shard.Map[string, queue]
	changed chan struct{}
	// waiting counts the requests that wait for a grant; queued wakes Run when there is one.
	waiting atomic.Int64
	queued  chan struct{}

	mu sync.Mutex
	// served says of each model and service that is ready whether its requests can be interrupted.
	served map[string]bool
}

// maxQueues is more than the models that a deployment declares.
const maxQueues = 8192

// queue holds the requests of one model that wait or run.
type queue map[*admission.Ticket]*Place

func newQueue(string) *queue {
	q := make(queue)
	return &q
}

// New makes a waiter. instances is the number of instances of the data centre.
func New(controller *admission.Controller, targets Targets, instances int, now func() time.Time) *Waiter {
	return &Waiter{
		controller: controller, targets: targets, instances: instances, now: now, served: make(map[string]bool), changed: make(chan struct{}, 1), queued: make(chan struct{}, 1),
		places: shard.New(shard.DefaultShards, maxQueues, shard.StringHash, newQueue),
	}
}

// Run grants queued requests and refreshes capacities until ctx ends.
func (w *Waiter) Run(ctx context.Context) {
	// The timer runs only while requests wait: an idle instance would spend a tenth of its control time on it.
	grants := time.NewTimer(grantInterval)
	defer grants.Stop()
	capacities := time.NewTicker(capacityInterval)
	defer capacities.Stop()
	armed := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.queued:
			// An armed timer is left alone: requests that arrive more often than grantInterval would postpone it forever.
			if !armed {
				armed = true
				grants.Reset(grantInterval)
			}
		case <-grants.C:
			w.reclaim()
			w.grantAll()
			if armed = w.waiting.Load() > 0; armed {
				grants.Reset(grantInterval)
			}
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

// Acquire waits until a request may start. The place must be released.
func (w *Waiter) Acquire(ctx context.Context, r admission.Request) (*Place, *api.Result) {
	var decision admission.Decision
	var place *Place
	// The lock covers both steps, so that no grant can arrive before the request is registered.
	w.places.Update(r.Model, func(q *queue) {
		decision = w.controller.Offer(w.now(), r)
		if decision.Ticket != nil {
			place = w.newPlace(decision.Ticket)
			(*q)[decision.Ticket] = place
		}
	})
	switch decision.Action {
	case admission.Refuse:
		return nil, decision.Refusal
	case admission.Admit:
		return place, nil
	}
	if refusal := place.wait(ctx); refusal != nil {
		place.Release(admission.Completion{})
		return nil, refusal
	}
	return place, nil
}

// grant starts the queued requests of a model that have a slot. Decisions of the controller and their delivery share
// the lock, so that a request never sees a grant and a later interruption in the wrong order.
func (w *Waiter) grant(model string) {
	w.places.Update(model, func(q *queue) {
		for _, g := range w.controller.NextOf(w.now(), model) {
			switch place := (*q)[g.Ticket]; {
			case place != nil:
				place.grant(g)
			case g.Refusal == nil:
				// The request is giving up and has left the queue already.
				w.controller.Done(w.now(), admission.Completion{Ticket: g.Ticket})
			}
		}
	})
}

// grantAll does the same for all models. Deadlines pass and reports arrive without a request ending.
func (w *Waiter) grantAll() {
	var models []string
	w.places.Range(func(model string, q *queue) bool {
		if len(*q) > 0 {
			models = append(models, model)
		}
		return true
	})
	for _, model := range models {
		w.grant(model)
	}
}

// reclaim interrupts batch work whose slots are needed. Calls of plain services run to their end, so they keep their
// slots.
func (w *Waiter) reclaim() {
	for _, model := range w.interruptible() {
		w.places.Update(model, func(q *queue) {
			for _, t := range w.controller.Reclaim(w.now(), model) {
				if place := (*q)[t]; place != nil {
					place.interrupt()
				}
			}
		})
	}
}

func (w *Waiter) interruptible() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var models []string
	for name, can := range w.served {
		if can {
			models = append(models, name)
		}
	}
	return models
}

// Refresh tells the controller what the targets can run.
func (w *Waiter) Refresh() {
	now := w.now()
	var replicas []admission.ReplicaSlots
	ready := make(map[string]bool)
	for _, e := range w.targets.All() {
		if !e.Usable(now) {
			continue
		}
		names := readyNames(e)
		replicas = append(replicas, admission.ReplicaSlots{Slots: max(e.Announcement.Slots, 1), Models: names})
		for _, name := range names {
			ready[name] = e.Announcement.Kind == targetapi.Engine
		}
	}
	slots := admission.Apportion(replicas, w.controller.Demand())
	for name := range ready {
		capacity := slots[name]
		capacity.Instances = w.instances
		w.controller.SetCapacity(now, name, capacity)
	}
	w.clearMissing(now, ready)
}

// clearMissing takes the capacity from models that have lost their last replica.
func (w *Waiter) clearMissing(now time.Time, ready map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.served {
		if _, ok := ready[name]; !ok {
			w.controller.SetCapacity(now, name, admission.Capacity{Instances: w.instances})
			delete(w.served, name)
		}
	}
	maps.Copy(w.served, ready)
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
