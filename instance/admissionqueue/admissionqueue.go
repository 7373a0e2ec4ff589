// Package admissionqueue queues requests until the admission controller grants them a slot.
package admissionqueue

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
	// grantInterval is the maximum delay until a queued request is granted a slot that another instance freed.
	grantInterval    = 20 * time.Millisecond
	capacityInterval = 500 * time.Millisecond
)

// Targets lists the targets of the data centre.
type Targets interface {
	All() []*membership.Entry
}

// Waiter blocks requests until the admission controller grants or refuses them.
type Waiter struct {
	controller *admission.Controller
	targets    Targets
	instances  int
	now        func() time.Time

	queues         *shard.Map[string, queue]
	targetsChanged chan struct{}
	// waiting counts the requests that wait for a grant; requestQueued signals Run that another one started to wait.
	waiting       atomic.Int64
	requestQueued chan struct{}

	mu sync.Mutex
	// interruptibleByName holds each model and service with a ready replica, and whether its requests can be interrupted.
	interruptibleByName map[string]bool
}

// maxQueues is above the number of models and services that a deployment declares.
const maxQueues = 8192

// queue holds the waiting and running requests of one model.
type queue map[*admission.Ticket]*Permit

func newQueue(string) *queue {
	q := make(queue)
	return &q
}

// New returns a waiter. instances is the number of instances of the data centre.
func New(controller *admission.Controller, targets Targets, instances int, now func() time.Time) *Waiter {
	return &Waiter{
		controller: controller, targets: targets, instances: instances, now: now, interruptibleByName: make(map[string]bool), targetsChanged: make(chan struct{}, 1), requestQueued: make(chan struct{}, 1),
		queues: shard.New(shard.DefaultShards, maxQueues, shard.StringHash, newQueue),
	}
}

// Run grants queued requests and refreshes capacities until ctx is cancelled.
func (w *Waiter) Run(ctx context.Context) {
	// The timer runs only while requests wait. On an idle instance it would take a tenth of the time spent on control.
	grants := time.NewTimer(grantInterval)
	defer grants.Stop()
	capacities := time.NewTicker(capacityInterval)
	defer capacities.Stop()
	armed := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.requestQueued:
			// An armed timer is not reset. Requests that arrive more often than grantInterval would keep it from firing.
			if !armed {
				armed = true
				grants.Reset(grantInterval)
			}
		case <-grants.C:
			w.preempt()
			w.grantAll()
			if armed = w.waiting.Load() > 0; armed {
				grants.Reset(grantInterval)
			}
		case <-capacities.C:
			w.Refresh()
		case <-w.targetsChanged:
			w.Refresh()
		}
	}
}

// TargetChanged refreshes the capacities at once when a target appears, disappears or changes its resident models.
func (w *Waiter) TargetChanged(c membership.Change) {
	if c.Kind == membership.Renewed {
		return
	}
	select {
	case w.targetsChanged <- struct{}{}:
	default:
	}
}

// Acquire waits until a request may start. The caller must release the returned permit.
func (w *Waiter) Acquire(ctx context.Context, r admission.Request) (*Permit, *api.Result) {
	var decision admission.Decision
	var permit *Permit
	// The lock covers both steps, so that no grant can arrive before the request is registered.
	w.queues.Update(r.Model, func(q *queue) {
		decision = w.controller.Submit(w.now(), r)
		if decision.Ticket != nil {
			permit = w.newPermit(decision.Ticket)
			(*q)[decision.Ticket] = permit
		}
	})
	switch decision.Action {
	case admission.Refuse:
		return nil, decision.Refusal
	case admission.Admit:
		return permit, nil
	}
	if refusal := permit.wait(ctx); refusal != nil {
		permit.Release(admission.Completion{})
		return nil, refusal
	}
	return permit, nil
}

// grant starts the queued requests of a model for which there is a slot. The lock covers the controller's decision and
// its delivery, so that a request sees grants and interruptions in the order in which they were decided.
func (w *Waiter) grant(model string) {
	w.queues.Update(model, func(q *queue) {
		for _, g := range w.controller.StartQueuedOf(w.now(), model) {
			switch permit := (*q)[g.Ticket]; {
			case permit != nil:
				permit.grant(g)
			case g.Refusal == nil:
				// The request is giving up and has left the queue already.
				w.controller.Done(w.now(), admission.Completion{Ticket: g.Ticket})
			}
		}
	})
}

// grantAll calls grant for all models. Run calls it periodically, since deadlines pass and capacities change also when
// no request ends.
func (w *Waiter) grantAll() {
	var models []string
	w.queues.Range(func(model string, q *queue) bool {
		if len(*q) > 0 {
			models = append(models, model)
		}
		return true
	})
	for _, model := range models {
		w.grant(model)
	}
}

// preempt interrupts batch requests whose slots are needed for other requests. Service calls can't be interrupted and
// keep their slots.
func (w *Waiter) preempt() {
	for _, model := range w.interruptible() {
		w.queues.Update(model, func(q *queue) {
			for _, t := range w.controller.Preempt(w.now(), model) {
				if permit := (*q)[t]; permit != nil {
					permit.interrupt()
				}
			}
		})
	}
}

func (w *Waiter) interruptible() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var models []string
	for name, canInterrupt := range w.interruptibleByName {
		if canInterrupt {
			models = append(models, name)
		}
	}
	return models
}

// Refresh sets the controller's capacity of each model and service from the usable targets.
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
	w.clearLostCapacity(now, ready)
}

// clearLostCapacity sets the capacity of models and services that have lost their last ready replica to zero.
func (w *Waiter) clearLostCapacity(now time.Time, ready map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.interruptibleByName {
		if _, ok := ready[name]; !ok {
			w.controller.SetCapacity(now, name, admission.Capacity{Instances: w.instances})
			delete(w.interruptibleByName, name)
		}
	}
	maps.Copy(w.interruptibleByName, ready)
}

// readyNames lists the models that are ready on a target, or the service that it runs.
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
