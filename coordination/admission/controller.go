// Package admission decides which requests start, wait or are refused. The cost of a request is its estimated work.
// Each caller has a weighted fair share of the work over all instances. Queued requests start by priority and, within a
// priority, in the order of their callers' usage per weight.
package admission

import (
	"fmt"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	defaultCallers = 8192
	// defaultModels exceeds the 500 models of the growth plan, since withdrawn models are kept for a while.
	defaultModels = 2048
	defaultPeers  = 512
	// defaultLongShare reserves three quarters of every replica for short work.
	defaultLongShare = 0.25
	defaultMaxQueued = 2048
	// aboveShareQueueDivisor limits a caller above its share to a quarter of Options.MaxQueued in one queue.
	aboveShareQueueDivisor = 4
	// minRetryAfter keeps refused callers from retrying at once.
	minRetryAfter = 50 * time.Millisecond
	// noCapacityRetryAfter equals the announcement interval of targets.
	noCapacityRetryAfter = time.Second
)

// Options configures a Controller. Zero values mean the defaults.
type Options struct {
	Instance    string
	Incarnation uint64
	// Callers, Models and Peers bound the entries that are kept of each.
	Callers, Models, Peers int
	// MaxQueued bounds the waiting requests of one model.
	MaxQueued int
	// LongShare is the part of a model's slots that long work may use.
	LongShare float64
	// LongFactor is the multiple of its model's median work above which a request counts as long.
	LongFactor float64
}

func (o *Options) setDefaults() {
	if o.Callers <= 0 {
		o.Callers = defaultCallers
	}
	if o.Models <= 0 {
		o.Models = defaultModels
	}
	if o.Peers <= 0 {
		o.Peers = defaultPeers
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.LongShare <= 0 {
		o.LongShare = defaultLongShare
	}
	if o.LongFactor <= 0 {
		o.LongFactor = defaultLongFactor
	}
}

// Request describes a request to admit. For a call of a plain service, Model is the name of the service.
type Request struct {
	ID       string
	Caller   string
	Weight   int
	Model    string
	Adapter  string
	Priority releasenote.Priority
	// PromptTokens and TokenLimit come from the body; TokenLimit is 0 when the caller set none.
	PromptTokens int
	TokenLimit   int
	// AdapterResident reports whether a replica has the adapter loaded.
	AdapterResident bool
	Deadline        time.Time
}

func (r *Request) weight() float64 { return float64(max(r.Weight, 1)) }

// Action is the decision on an offered request.
type Action uint8

// Actions.
const (
	Refuse Action = iota
	Admit
	Queue
)

// Ticket identifies an admitted or queued request. The caller must not change its fields.
type Ticket struct {
	Request  Request
	Estimate Estimate

	lane         lane
	bestEffort   bool // counts as ModelDemand.BestEffort
	state        ticketState
	chargedUnits float64
	waiter       *waiter
	// serviceTime is the duration that was expected when the request was offered.
	serviceTime time.Duration
	startedAt   time.Time
	ranBefore   time.Duration // run time before the last preemption
	preemptions int
}

type ticketState uint8

const (
	queued ticketState = iota
	running
	ended
)

// Decision is the answer to Submit.
type Decision struct {
	Action Action
	// Ticket is set unless the request is refused. It is passed to Done or Cancel later.
	Ticket *Ticket
	// Wait is the estimated time in the queue.
	Wait time.Duration
	// Refusal is the result for the caller when the request is refused. The request did not run.
	Refusal *api.Result
}

// QueueResult says that a queued request may start or, when Refusal is set, that it can no longer meet its deadline.
type QueueResult struct {
	Ticket  *Ticket
	Refusal *api.Result
}

// Completion ends an admitted request.
type Completion struct {
	Ticket *Ticket
	// Answered reports whether the request ran to its end. Only then does it update the estimates.
	Answered bool
	// OutputTokens is the length of the answer; for plain services, the duration of the call in units of 40 ms.
	OutputTokens int
	// ServiceTime is the time from the start of the attempt to its end, without the time in the queue of the
	// Controller.
	ServiceTime time.Duration
}

// Controller admits requests of all models of an instance. It is safe for concurrent use.
type Controller struct {
	opts      Options
	ledger    *ledger
	estimator *estimator
	pools     *shard.Map[string, pool]
	// sequences holds the sequence number of the last report of each peer.
	sequences *shard.Map[string, peerSequence]
	sequence  atomic.Uint64
}

type peerSequence struct{ incarnation, sequence uint64 }

// New makes a controller. The time in its order keys counts from now.
func New(now time.Time, opts Options) *Controller {
	opts.setDefaults()
	return &Controller{
		opts:      opts,
		ledger:    newLedger(opts.Callers, now),
		estimator: newEstimator(&opts),
		pools:     shard.New[string, pool](shard.DefaultShards, opts.Models, shard.StringHash, nil),
		sequences: shard.New[string, peerSequence](1, opts.Peers, shard.StringHash, nil),
	}
}

// SetCapacity sets the capacity of the replicas of a model. The driver calls it when targets change and with every usage
// report; Apportion computes the slots of models that share replicas.
func (c *Controller) SetCapacity(now time.Time, model string, capacity Capacity) {
	c.pools.Update(model, func(p *pool) {
		p.capacity, p.capacityKnown = capacity, true
		p.sumPeers(now)
	})
}

// Submit admits, queues or refuses a new request.
func (c *Controller) Submit(now time.Time, r Request) Decision {
	est, unitsPerSec := c.estimator.estimate(&r)
	t := &Ticket{Request: r, Estimate: est}
	if est.Long {
		t.lane = longLane
	}
	aboveShare := c.ledger.aboveShare(now, r.Caller, r.weight())
	t.bestEffort = aboveShare || isBatch(&r)
	t.serviceTime = serviceTime(est.Units, unitsPerSec)
	var d Decision
	c.pools.Update(r.Model, func(p *pool) { d = c.offer(now, p, t, aboveShare, unitsPerSec) })
	return d
}

// offer is called with the lock of the pool held.
func (c *Controller) offer(now time.Time, p *pool, t *Ticket, aboveShare bool, unitsPerSec float64) Decision {
	remaining := t.Request.Deadline.Sub(now)
	service := serviceTime(t.Estimate.OptimisticUnits, unitsPerSec)
	switch {
	case !p.capacityKnown || p.capacity.Slots <= 0 && p.capacity.ReadyIn <= 0:
		return refuse(api.ReasonNoCapacity, noCapacityRetryAfter, "no replica of %q is ready", t.Request.Model)
	case remaining <= 0 || service > remaining:
		return Decision{Refusal: api.Refuse(api.ReasonDeadlineUnreachable, fmt.Sprintf(
			"the deadline is in %v, but the request is expected to take at least %v", roundedToMs(remaining), roundedToMs(service)))}
	}
	if c.canStartNow(now, p, t) {
		c.start(now, p, t)
		return Decision{Action: Admit, Ticket: t}
	}
	rank := t.Request.Priority.Rank()
	wait := p.estimateWait(t, c.ledger.orderKey(t.Request.Caller, t.Request.weight()), c.ledger.usagePerWeight(now), unitsPerSec, c.opts.LongShare)
	// A request that has to wait competes for slots with others, so it is refused if it would probably miss its deadline.
	service = serviceTime(t.Estimate.LikelyUnits, unitsPerSec)
	if late := wait + service - remaining; late > 0 {
		// The time of one more request is added, because the running requests may all have just started.
		retryAfter := late + serviceTime(t.Estimate.Units, unitsPerSec)
		return refuse(overloadReason(aboveShare), retryAfter, "with an estimated wait of %v, the request would probably miss its deadline in %v", roundedToMs(wait), roundedToMs(remaining))
	}
	ownQueued := 0
	if q := p.classes[t.lane][rank].callers[t.Request.Caller]; q != nil {
		ownQueued = q.items.Len()
	}
	if p.own.queued >= c.opts.MaxQueued || aboveShare && ownQueued >= c.opts.MaxQueued/aboveShareQueueDivisor {
		return refuse(overloadReason(aboveShare), wait+service, "queue limit reached: %d requests of %q are waiting", p.own.queued, t.Request.Model)
	}
	t.waiter = &waiter{ticket: t, since: now, estimatedWait: wait}
	p.classes[t.lane][rank].push(t.waiter, c.ledger.orderKey)
	p.countWaiting(t, 1)
	return Decision{Action: Queue, Ticket: t, Wait: wait}
}

func overloadReason(aboveShare bool) api.Reason {
	if aboveShare {
		return api.ReasonOverShare
	}
	return api.ReasonDeadlineUnreachable
}

func isBatch(r *Request) bool { return r.Priority.Rank() == releasenote.Batch.Rank() }

// canStartNow reports whether a slot is free and no request of the same or a higher priority is queued. Long work also
// waits for queued short work, which takes the slots that have just become free.
func (c *Controller) canStartNow(now time.Time, p *pool, t *Ticket) bool {
	for l := range t.lane + 1 {
		for r := range t.Request.Priority.Rank() + 1 {
			if p.classes[l][r].byArrival.Len() > 0 {
				return false
			}
		}
	}
	return p.hasFreeSlot(now, t, c.opts.LongShare, 0)
}

func (c *Controller) start(now time.Time, p *pool, t *Ticket) {
	t.state = running
	t.startedAt = now
	t.waiter = nil
	p.countRunning(t, 1)
	p.starts++
	if isBatch(&t.Request) {
		p.batch = append(p.batch, t)
	}
	if t.chargedUnits == 0 { // a preempted request was charged when it first started
		t.chargedUnits = t.Estimate.Units
		c.ledger.charge(now, t.Request.Caller, t.Request.weight(), t.chargedUnits)
	}
}

// StartQueued starts queued requests of all models that have free slots, refuses those that can no longer meet their
// deadline, and returns both. The driver calls it periodically, because deadlines pass and peer reports arrive between
// calls of StartQueuedOf.
func (c *Controller) StartQueued(now time.Time) []QueueResult {
	var results []QueueResult
	var models []string
	c.pools.Range(func(model string, p *pool) bool {
		if p.own.queued > 0 {
			models = append(models, model)
		}
		return true
	})
	for _, model := range models {
		results = append(results, c.StartQueuedOf(now, model)...)
	}
	return results
}

// StartQueuedOf is StartQueued for one model. The driver calls it after Done and SetCapacity.
func (c *Controller) StartQueuedOf(now time.Time, model string) []QueueResult {
	var unitsPerSec float64 = defaultUnitsPerSec
	c.estimator.models.View(model, func(m *modelStats) { unitsPerSec = m.unitsPerSec })
	var results []QueueResult
	isBestEffort := func(t *Ticket) bool {
		return isBatch(&t.Request) || t.bestEffort && c.ledger.aboveShare(now, t.Request.Caller, t.Request.weight())
	}
	c.pools.View(model, func(p *pool) {
		results = c.expire(now, p, unitsPerSec)
		for p.own.queued > 0 {
			w := p.next(now, c.opts.LongShare, c.ledger.orderKey, isBestEffort)
			if w == nil {
				return
			}
			c.dequeue(p, w)
			p.classes[w.ticket.lane][w.ticket.Request.Priority.Rank()].learnWait(w.estimatedWait, now.Sub(w.since))
			c.start(now, p, w.ticket)
			results = append(results, QueueResult{Ticket: w.ticket})
		}
	})
	return results
}

// expire refuses queued requests that can no longer meet their deadline. It checks each class from the oldest request on
// and stops at the first one that can; younger ones are checked once they are the oldest.
func (c *Controller) expire(now time.Time, p *pool, unitsPerSec float64) []QueueResult {
	var results []QueueResult
	for l := range p.classes {
		for r := range p.classes[l] {
			cl := &p.classes[l][r]
			for front := cl.byArrival.Front(); front != nil; front = cl.byArrival.Front() {
				w := front.Value.(*waiter)
				late := serviceTime(w.ticket.Estimate.LikelyUnits, unitsPerSec) - w.ticket.Request.Deadline.Sub(now)
				if late <= 0 {
					break
				}
				c.dequeue(p, w)
				cl.learnWait(w.estimatedWait, now.Sub(w.since))
				w.ticket.state = ended
				wait := p.estimateWait(w.ticket, w.queue.orderKey, c.ledger.usagePerWeight(now), unitsPerSec, c.opts.LongShare)
				refusal := refuse(api.ReasonDeadlineUnreachable, wait, "the request waited %v in the queue and can no longer finish before its deadline", roundedToMs(now.Sub(w.since)))
				results = append(results, QueueResult{Ticket: w.ticket, Refusal: refusal.Refusal})
			}
		}
	}
	return results
}

func (c *Controller) dequeue(p *pool, w *waiter) {
	p.classes[w.ticket.lane][w.ticket.Request.Priority.Rank()].remove(w)
	p.countWaiting(w.ticket, -1)
}

// Preempt preempts running batch work of a model whose slots are needed by callers within their share, if the deadline
// of the batch work leaves enough time. The returned tickets are queued again. The driver cancels their attempts, keeps
// the offset that their streams reached, and resumes them from there once they start again.
func (c *Controller) Preempt(now time.Time, model string) (preempted []*Ticket) {
	c.pools.View(model, func(p *pool) {
		preempted = p.selectPreemptions(now)
		for _, t := range preempted {
			c.stop(p, t)
			t.ranBefore += now.Sub(t.startedAt)
			t.state = queued
			t.preemptions++
			t.waiter = &waiter{ticket: t, since: now}
			p.classes[t.lane][t.Request.Priority.Rank()].push(t.waiter, c.ledger.orderKey)
			p.countWaiting(t, 1)
		}
	})
	return preempted
}

func (c *Controller) stop(p *pool, t *Ticket) {
	p.countRunning(t, -1)
	if isBatch(&t.Request) {
		p.batch = slices.DeleteFunc(p.batch, func(other *Ticket) bool { return other == t })
	}
}

// Done ends an admitted request. If it was answered, Done corrects the charge to the actual work and updates the
// estimates. Repeated calls for the same ticket have no effect.
func (c *Controller) Done(now time.Time, done Completion) {
	t := done.Ticket
	wasRunning := false
	c.pools.View(t.Request.Model, func(p *pool) {
		switch {
		case t.state == running:
			c.stop(p, t)
			t.state, wasRunning = ended, true
		case t.state == queued && t.waiter != nil && t.preemptions > 0:
			// The request was preempted, but ended before the driver could cancel its attempt.
			c.dequeue(p, t.waiter)
			t.state, wasRunning = ended, true
		}
	})
	if !wasRunning || !done.Answered {
		return
	}
	units := c.estimator.learn(&t.Request, done.OutputTokens, done.ServiceTime)
	c.ledger.charge(now, t.Request.Caller, t.Request.weight(), units-t.chargedUnits)
}

// Cancel removes a queued request, for example because its caller disconnected, and reports whether it was still queued.
// If it has already started, the driver must call Done.
func (c *Controller) Cancel(t *Ticket) (wasQueued bool) {
	c.pools.View(t.Request.Model, func(p *pool) {
		if wasQueued = t.state == queued && t.waiter != nil; wasQueued {
			t.state = ended
			c.dequeue(p, t.waiter)
		}
	})
	return wasQueued
}

// Usage returns the next report to the peers, which must be sent to each of them: the amounts in it are not reported again.
func (c *Controller) Usage(now time.Time) Usage {
	u := Usage{Instance: c.opts.Instance, Incarnation: c.opts.Incarnation, Sequence: c.sequence.Add(1)}
	c.ledger.refreshMean(now)
	u.Callers = c.ledger.takeUnreported()
	c.pools.Range(func(model string, p *pool) bool {
		// A model that has become idle is reported once with zero counts, so that peers need not wait for peerTimeout.
		if active := p.own.inFlight+p.own.queued > 0; active || p.reported {
			u.Models = append(u.Models, ModelUsage{
				Model: model, InFlight: p.own.inFlight, LongInFlight: p.own.longInFlight, Queued: p.own.queued,
				BestEffortInFlight: p.own.bestEffortInFlight, BestEffortQueued: p.own.bestEffortQueued,
			})
			p.reported = active
		}
		return true
	})
	sort.Slice(u.Models, func(i, j int) bool {
		a, b := &u.Models[i], &u.Models[j]
		if a.InFlight+a.Queued != b.InFlight+b.Queued {
			return a.InFlight+a.Queued > b.InFlight+b.Queued
		}
		return a.Model < b.Model
	})
	u.Models = u.Models[:min(len(u.Models), maxReportedModels)]
	return u
}

// MergeUsage adds the report of a peer. Duplicate and out-of-order reports are dropped.
func (c *Controller) MergeUsage(now time.Time, u Usage) (fresh bool) {
	c.sequences.Update(u.Instance, func(s *peerSequence) {
		fresh = u.Incarnation > s.incarnation || u.Incarnation == s.incarnation && u.Sequence > s.sequence
		if fresh {
			*s = peerSequence{u.Incarnation, u.Sequence}
		}
	})
	if !fresh {
		return false
	}
	c.ledger.merge(now, u.Callers)
	for _, m := range u.Models {
		c.pools.Update(m.Model, func(p *pool) {
			p.setPeer(now, u.Instance, requestCounts{
				inFlight: m.InFlight, longInFlight: m.LongInFlight, queued: m.Queued,
				bestEffortInFlight: m.BestEffortInFlight, bestEffortQueued: m.BestEffortQueued,
			})
		})
	}
	return true
}

// Demand returns the demand per model over all instances, for Apportion and placement.
func (c *Controller) Demand() map[string]ModelDemand {
	demand := make(map[string]ModelDemand)
	c.pools.Range(func(model string, p *pool) bool {
		d := ModelDemand{WithinShares: float64(p.own.withinShares() + p.others.withinShares()), BestEffort: float64(p.own.bestEffort() + p.others.bestEffort())}
		if d != (ModelDemand{}) {
			demand[model] = d
		}
		return true
	})
	return demand
}

func serviceTime(units, unitsPerSec float64) time.Duration {
	return time.Duration(units / unitsPerSec * float64(time.Second))
}

func roundedToMs(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func refuse(reason api.Reason, retryAfter time.Duration, format string, args ...any) Decision {
	return Decision{Refusal: api.RefuseWithRetry(reason, max(retryAfter, minRetryAfter), fmt.Sprintf(format, args...))}
}
