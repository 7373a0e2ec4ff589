// Package admit lets requests wait for the admission controller.
package admit

import (
	"context"
	"maps"
	"slices"
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

	mu     sync.Mutex
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.queued:
			grants.Reset(grantInterval)
		case <-grants.C:
			w.reclaim()
			w.deliver(w.controller.Next(w.now()))
			if w.waiting.Load() > 0 {
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

func (w *Waiter) deliver(grants []admission.Grant) {
	for _, g := range grants {
		var place *Place
		w.places.Update(g.Ticket.Request.Model, func(q *queue) { place = (*q)[g.Ticket] })
		switch {
		case place != nil:
			place.granted <- g
		case g.Refusal == nil:
			// The request gave up between the grant and its delivery.
			w.controller.Done(w.now(), admission.Completion{Ticket: g.Ticket})
		}
	}
}

// reclaim interrupts batch work whose slots are needed.
func (w *Waiter) reclaim() {
	for _, model := range w.servedModels() {
		var interrupted []*Place
		w.places.Update(model, func(q *queue) {
			for _, t := range w.controller.Reclaim(w.now(), model) {
				if place := (*q)[t]; place != nil {
					interrupted = append(interrupted, place)
				}
			}
		})
		for _, place := range interrupted {
			place.interrupt()
		}
	}
}

func (w *Waiter) servedModels() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.served))
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
		capacity := slots[name]
		capacity.Instances = w.instances
		w.controller.SetCapacity(now, name, capacity)
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
