package admissionqueue

import (
	"context"
	"sync"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
)

// Permit is the permission of one request to run. A batch request can be interrupted and has to wait for a new grant.
type Permit struct {
	waiter *Waiter
	ticket *admission.Ticket

	// mu protects stopped, interrupted and the content of granted, which holds only the latest grant.
	mu          sync.Mutex
	stopped     bool
	interrupted chan struct{}
	granted     chan admission.QueueResult
}

func (w *Waiter) newPermit(t *admission.Ticket) *Permit {
	return &Permit{waiter: w, ticket: t, interrupted: make(chan struct{}), granted: make(chan admission.QueueResult, 1)}
}

// Estimate returns the expected work of the request.
func (p *Permit) Estimate() admission.Estimate { return p.ticket.Estimate }

// Interrupted returns a channel that is closed when the request has to stop. The request then calls Resume to wait for
// the next grant.
func (p *Permit) Interrupted() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interrupted
}

// interrupt stops the request until the next grant. It discards a grant that the request has not received yet.
func (p *Permit) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropGrant()
	if !p.stopped {
		p.stopped = true
		close(p.interrupted)
	}
}

// grant lets the request run, or refuses it. It replaces an earlier grant instead of blocking on it: a request that does
// not listen for interruptions, such as a service call, never receives the grants that follow them.
func (p *Permit) grant(g admission.QueueResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropGrant()
	if p.stopped && g.Refusal == nil {
		p.stopped, p.interrupted = false, make(chan struct{})
	}
	p.granted <- g
}

func (p *Permit) dropGrant() {
	select {
	case <-p.granted:
	default:
	}
}

// Resume waits until an interrupted request may continue.
func (p *Permit) Resume(ctx context.Context) *api.Result { return p.wait(ctx) }

// wait waits for a grant. It returns a refusal if the request was refused or ctx is done.
func (p *Permit) wait(ctx context.Context) *api.Result {
	p.waiter.waiting.Add(1)
	defer p.waiter.waiting.Add(-1)
	select {
	case p.waiter.requestQueued <- struct{}{}:
	default:
	}
	select {
	case g := <-p.granted:
		return g.Refusal
	case <-ctx.Done():
		return &api.Result{Outcome: api.Refused, Reason: api.ReasonDeadlineUnreachable, Retry: api.RetryNow,
			Message: "the deadline passed or the client disconnected while the request was queued"}
	}
}

// Release ends the request and grants its slot to the next one. It must be called exactly once per permit.
func (p *Permit) Release(c admission.Completion) {
	w, t := p.waiter, p.ticket
	w.queues.Update(t.Request.Model, func(q *queue) { delete(*q, t) })
	now := w.now()
	// An answered request has run, so it counts as done even if it was interrupted, and thereby queued again, just before
	// its end.
	if c.Answered || !w.controller.Cancel(t) {
		c.Ticket = t
		w.controller.Done(now, c)
	}
	w.grant(t.Request.Model)
}
