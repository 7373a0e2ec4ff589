package admit

import (
	"context"
	"sync"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
)

// Place is the permission of one request to run. Batch work can lose it for a time.
type Place struct {
	waiter *Waiter
	ticket *admission.Ticket

	mu          sync.Mutex
	interrupted chan struct{}
	granted     chan admission.Grant
}

func (w *Waiter) newPlace(t *admission.Ticket) *Place {
	return &Place{waiter: w, ticket: t, interrupted: make(chan struct{}), granted: make(chan admission.Grant, 1)}
}

// Interrupted is closed when the request has to stop for a time. The request then calls Resume.
func (p *Place) Interrupted() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interrupted
}

func (p *Place) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.interrupted)
}

// Resume waits until an interrupted request may go on.
func (p *Place) Resume(ctx context.Context) *api.Result {
	if refusal := p.wait(ctx); refusal != nil {
		return refusal
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interrupted = make(chan struct{})
	return nil
}

// wait returns when the request is granted.
func (p *Place) wait(ctx context.Context) *api.Result {
	p.waiter.waiting.Add(1)
	defer p.waiter.waiting.Add(-1)
	select {
	case p.waiter.queued <- struct{}{}:
	default:
	}
	select {
	case g := <-p.granted:
		return g.Refusal
	case <-ctx.Done():
		return &api.Result{Outcome: api.Refused, Reason: api.ReasonDeadlineUnreachable, Repeat: api.RepeatNow,
			Message: "the deadline passed or the caller left while the request was queued"}
	}
}

// Release ends the request. It must be called once for every place.
func (p *Place) Release(c admission.Completion) {
	w, t := p.waiter, p.ticket
	w.places.Update(t.Request.Model, func(q *queue) { delete(*q, t) })
	now := w.now()
	if !w.controller.Cancel(t) {
		c.Ticket = t
		w.controller.Done(now, c)
	}
	w.deliver(w.controller.NextOf(now, t.Request.Model))
}
