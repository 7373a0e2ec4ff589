package admission

import (
	"math"
	"time"
)

// Capacity is what the replicas of a model in this data centre can run at once.
type Capacity struct {
	// Slots is the number of requests that all instances together may have in flight.
	Slots float64
	// BestEffortSlots is the part of Slots that batch work and callers above their share may use. Requests that have waited
	// for their aging delay may exceed it. It equals Slots for a service or model that shares its replicas with no other.
	BestEffortSlots float64
	// LongSlots is the part of Slots that long work may use; 0 means the part set by Options.LongShare.
	LongSlots float64
	// Instances is the number of instances that share the slots, at least 1.
	Instances int
	// ReadyIn is the expected time until the first replica is ready when Slots is 0.
	ReadyIn time.Duration
}

// requestCounts counts requests of one model on one instance or, as a sum, on several.
type requestCounts struct {
	inFlight     int
	longInFlight int
	queued       int
	// bestEffortInFlight and bestEffortQueued are the parts that count as ModelDemand.BestEffort.
	bestEffortInFlight int
	bestEffortQueued   int
}

func (u *requestCounts) add(v requestCounts) {
	u.inFlight += v.inFlight
	u.longInFlight += v.longInFlight
	u.queued += v.queued
	u.bestEffortInFlight += v.bestEffortInFlight
	u.bestEffortQueued += v.bestEffortQueued
}

// withinShares is the number of requests, in flight and queued, that count as ModelDemand.WithinShares.
func (u *requestCounts) withinShares() int {
	return u.inFlight + u.queued - u.bestEffortInFlight - u.bestEffortQueued
}

func (u *requestCounts) bestEffort() int { return u.bestEffortInFlight + u.bestEffortQueued }

type peerCounts struct {
	requestCounts
	at time.Time
}

// pool is the admission state of one model or plain service. The lock of its shard protects it.
type pool struct {
	capacity      Capacity
	capacityKnown bool
	own           requestCounts
	others        requestCounts // sum over peers
	peers         map[string]peerCounts
	classes       [lanes][ranks]class
	reported      bool // the last usage report listed this model
	starts        int
	// batch holds the tickets of running batch work, which may be preempted.
	batch []*Ticket
	// excessSince is when the best-effort requests in flight began to exceed bestEffortSlots; zero if they do not.
	excessSince time.Time
}

// countWaiting adds a ticket to the counts (n = 1) or removes it (n = -1), as does countRunning.
func (p *pool) countWaiting(t *Ticket, n int) {
	p.own.queued += n
	if t.bestEffort {
		p.own.bestEffortQueued += n
	}
}

func (p *pool) countRunning(t *Ticket, n int) {
	p.own.inFlight += n
	if t.lane == longLane {
		p.own.longInFlight += n
	}
	if t.bestEffort {
		p.own.bestEffortInFlight += n
	}
}

// window is how many requests the instance may have in flight: an equal part of the slots or, if more, its requests in
// flight plus an equal part of the free slots. Reports of the other instances are delayed, so an instance that took all
// free slots would use the same ones as others.
func window(slots float64, own, others, instances int) float64 {
	n := float64(max(instances, 1))
	return max(slots/n, float64(own)+(slots-float64(own)-float64(others))/n)
}

// starvedAfter is the wait after which an instance with nothing in flight may start one request although its part of the
// slots is below one and other instances use all of them.
const starvedAfter = time.Second

// fits reports whether one more request may start. A window with a fraction of a slot left is rounded up while the last
// reports show a free slot; otherwise slots of models with few slots would stay idle.
func fits(slots float64, own, others, instances int, waited time.Duration) bool {
	if slots <= 0 {
		return false
	}
	w := window(slots, own, others, instances)
	if float64(own)+1 <= w || float64(own) < w && float64(own+others)+1 <= slots {
		return true
	}
	return own == 0 && (float64(others) < slots || waited > starvedAfter)
}

func (p *pool) longSlots(share float64) float64 {
	if p.capacity.LongSlots > 0 {
		return min(p.capacity.LongSlots, p.capacity.Slots)
	}
	return min(max(1, share*p.capacity.Slots), p.capacity.Slots)
}

// bestEffortSlots is the number of slots that the demand within shares leaves for best-effort requests.
func (p *pool) bestEffortSlots() float64 {
	return min(p.capacity.Slots-float64(p.own.withinShares()+p.others.withinShares()), p.capacity.BestEffortSlots)
}

// hasFreeSlot reports whether a request may start. On all instances, requests within shares take precedence over
// best-effort requests: they may start although best-effort requests occupy the slots, since these become free, while
// best-effort requests may use only the slots that the demand within shares leaves. If requests within shares counted
// the slots of best-effort requests, they would wait until a slot of their own instance became free.
func (p *pool) hasFreeSlot(now time.Time, t *Ticket, longShare float64, waited time.Duration) bool {
	c := &p.capacity
	if t.lane == longLane &&
		!fits(p.longSlots(longShare), p.own.longInFlight, p.others.longInFlight, c.Instances, waited) {
		return false
	}
	if !t.bestEffort {
		return fits(c.Slots, p.own.inFlight-p.own.bestEffortInFlight, p.others.inFlight-p.others.bestEffortInFlight, c.Instances, waited)
	}
	if fits(p.bestEffortSlots(), p.own.bestEffortInFlight, p.others.bestEffortInFlight, c.Instances, 0) {
		return true
	}
	// Best-effort requests do not starve: one at a time per model may start after its aging delay.
	return c.Slots > 0 && waited > t.agingDelay(now, waited) && p.own.bestEffortInFlight+p.others.bestEffortInFlight == 0
}

const (
	// aboveShareAgingDelay is how long a request of a caller above its share waits if the demand within shares leaves no slot.
	aboveShareAgingDelay = 10 * time.Second
	// batchAgingDelay is the longest such wait of batch work. It is longer than a peak of demand lasts.
	batchAgingDelay = time.Minute
	// batchSlackFactor times the remaining service time is kept free before the deadline of batch work.
	batchSlackFactor = 1.5
)

// agingDelay is how long a best-effort request waits before it may start ahead of the demand within shares.
func (t *Ticket) agingDelay(now time.Time, waited time.Duration) time.Duration {
	if !isBatch(&t.Request) {
		return aboveShareAgingDelay
	}
	slack := t.Request.Deadline.Sub(now) - time.Duration(batchSlackFactor*float64(t.remaining(now)))
	return min(batchAgingDelay, waited+slack)
}

// minRemainingFraction of the expected duration is the least remaining time that is assumed, since lengths are only
// estimates.
const minRemainingFraction = 0.2

// remaining is the expected time that a request still has to run.
func (t *Ticket) remaining(now time.Time) time.Duration {
	ran := t.ranBefore
	if t.state == running {
		ran += now.Sub(t.startedAt)
	}
	return max(t.serviceTime-ran, time.Duration(minRemainingFraction*float64(t.serviceTime)))
}

const (
	// preemptAfter gives running requests time to end before batch work is preempted.
	preemptAfter = time.Second
	// maxPreemptions bounds the preemptions of one request, since its prompt is processed again after each.
	maxPreemptions = 2
)

// selectPreemptions chooses the running batch work to preempt. The instance preempts its proportional part of the
// best-effort requests in flight that exceed bestEffortSlots.
func (p *pool) selectPreemptions(now time.Time) (chosen []*Ticket) {
	running := p.own.bestEffortInFlight + p.others.bestEffortInFlight
	excess := float64(running) - p.bestEffortSlots()
	if excess <= 0 || running == 0 || p.capacity.Slots <= 0 {
		p.excessSince = time.Time{}
		return nil
	}
	if p.excessSince.IsZero() {
		p.excessSince = now
	}
	if now.Sub(p.excessSince) < preemptAfter {
		return nil
	}
	n := int(math.Ceil(min(excess, float64(running)) * float64(p.own.bestEffortInFlight) / float64(running)))
	for _, t := range p.batch {
		if len(chosen) < n && t.preemptions < maxPreemptions && t.agingDelay(now, 0) > 0 {
			chosen = append(chosen, t)
		}
	}
	return chosen
}

// expectedSlots is how many requests like t the instance can expect to run at once. It is at least one, since the slots
// of a model follow its demand.
func (p *pool) expectedSlots(t *Ticket, longShare float64) float64 {
	c := &p.capacity
	switch {
	case t.lane == longLane:
		return math.Ceil(max(1, window(p.longSlots(longShare), p.own.longInFlight, p.others.longInFlight, c.Instances)))
	case t.bestEffort:
		return max(1, math.Ceil(window(p.bestEffortSlots(), p.own.bestEffortInFlight, p.others.bestEffortInFlight, c.Instances)))
	default:
		w := window(c.Slots, p.own.inFlight-p.own.bestEffortInFlight, p.others.inFlight-p.others.bestEffortInFlight, c.Instances)
		return max(1, math.Ceil(w))
	}
}

// maxWaitCallers bounds the callers that an estimate examines. Their work is extrapolated to the others.
const maxWaitCallers = 32

// estimateWait estimates how long a new request would wait: for all work of higher priority and, within its priority,
// for the caller's earlier work and for the work of other callers that starts before their usage per weight reaches the
// caller's, its queued work included. usagePerWeight converts an order key to the present usage per weight.
func (p *pool) estimateWait(t *Ticket, orderKey float64, usagePerWeight func(orderKey float64) float64, unitsPerSec, longShare float64) time.Duration {
	if p.capacity.Slots <= 0 {
		return p.capacity.ReadyIn
	}
	rank, weight := t.Request.Priority.Rank(), t.Request.weight()
	c := &p.classes[t.lane][rank]
	own := t.Estimate.Units
	if q := c.callers[t.Request.Caller]; q != nil {
		own += q.units
	}
	otherCallers := 0.0
	reached := usagePerWeight(orderKey) + own/weight
	sampled := min(len(c.byUsage), maxWaitCallers)
	for _, q := range c.byUsage[:sampled] {
		if q.caller != t.Request.Caller {
			otherCallers += min(q.units, max(0, reached-usagePerWeight(q.orderKey))*q.weight)
		}
	}
	// own includes the new request, in place of a request of about the same size that still occupies the next free slot.
	units := own + otherCallers*float64(len(c.byUsage))/float64(max(sampled, 1))
	for r := range rank {
		units += p.classes[t.lane][r].units
	}
	seconds := units / (p.expectedSlots(t, longShare) * unitsPerSec) * c.correction()
	return time.Duration(seconds * float64(time.Second))
}

// Every agedStartInterval-th start goes to the class whose oldest request has waited longest, if it has waited for more
// than agedStartDelay. So low-priority and long work is not starved by higher priorities.
const (
	agedStartInterval = 8
	agedStartDelay    = 2 * time.Second
)

// next chooses the request to start: by priority, short before long, except for aged work. orderKeyOf returns the order
// key of a caller, and isBestEffort reports whether a request still counts as best effort.
func (p *pool) next(now time.Time, longShare float64, orderKeyOf func(string, float64) float64, isBestEffort func(*Ticket) bool) *waiter {
	var best, aged *waiter
	agedWait := agedStartDelay
	for r := range ranks {
		for l := range lanes {
			c := &p.classes[l][r]
			if c.byArrival.Len() == 0 {
				continue
			}
			w, waited := c.first(orderKeyOf), c.oldestWait(now)
			if bestEffort := isBestEffort(w.ticket); bestEffort != w.ticket.bestEffort {
				p.countWaiting(w.ticket, -1)
				w.ticket.bestEffort = bestEffort
				p.countWaiting(w.ticket, 1)
			}
			if !p.hasFreeSlot(now, w.ticket, longShare, now.Sub(w.since)) {
				continue
			}
			if best == nil {
				best = w
			}
			if waited > agedWait {
				aged, agedWait = w, waited
			}
		}
	}
	if aged != nil && p.starts%agedStartInterval == agedStartInterval-1 {
		return aged
	}
	return best
}

// peerTimeout is how long the last report of an instance stays valid: four report intervals.
const peerTimeout = 2 * time.Second

func (p *pool) setPeer(now time.Time, peer string, u requestCounts) {
	if p.peers == nil {
		p.peers = make(map[string]peerCounts)
	}
	p.peers[peer] = peerCounts{requestCounts: u, at: now}
	p.sumPeers(now)
}

func (p *pool) sumPeers(now time.Time) {
	p.others = requestCounts{}
	for peer, u := range p.peers {
		if now.Sub(u.at) > peerTimeout || u.inFlight+u.queued == 0 {
			delete(p.peers, peer)
			continue
		}
		p.others.add(u.requestCounts)
	}
}
