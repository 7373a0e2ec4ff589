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

	// mu orders grants and interruptions. At most one grant is held; a later decision replaces it.
	mu          sync.Mutex
	stopped     bool
	interrupted chan struct{}
	granted     chan admission.Grant
}

func (w *Waiter) newPlace(t *admission.Ticket) *Place {
	return &Place{waiter: w, ticket: t, interrupted: make(chan struct{}), granted: make(chan admission.Grant, 1)}
}

// Estimate is the expected work of the request.
func (p *Place) Estimate() admission.Estimate { return p.ticket.Estimate }

// Interrupted is closed when the request has to stop for a time. The request then calls Resume.
func (p *Place) Interrupted() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interrupted
}

// interrupt withdraws the place until the next grant. A grant that the request has not taken yet no longer holds.
func (p *Place) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropGrant()
	if !p.stopped {
		p.stopped = true
		close(p.interrupted)
	}
}

// grant hands the place to the request. It never blocks, because a request that does not listen for interruptions, such
// as a service call, is granted again without having taken the grant before.
func (p *Place) grant(g admission.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropGrant()
	if p.stopped && g.Refusal == nil {
		p.stopped, p.interrupted = false, make(chan struct{})
	}
	p.granted <- g
}

func (p *Place) dropGrant() {
	select {
	case <-p.granted:
	default:
	}
}

// Resume waits until an interrupted request may go on.
func (p *Place) Resume(ctx context.Context) *api.Result { return p.wait(ctx) }

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
	// An answered request ran, so it is Done even when it was interrupted, and thereby queued, just before its end.
	if c.Answered || !w.controller.Cancel(t) {
		c.Ticket = t
		w.controller.Done(now, c)
	}
	w.grant(t.Request.Model)
}
