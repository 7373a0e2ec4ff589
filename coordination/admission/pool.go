package admission

import (
	"math"
	"time"
)

// Capacity is what the replicas of a model in this data centre can run at once.
type Capacity struct {
	// Slots is the number of requests that all instances together may have in flight.
	Slots float64
	// BestEffortSlots is the part of Slots that batch work and callers above their share may use, apart from aged work. It
	// equals Slots for a service or model that shares its replicas with no other.
	BestEffortSlots float64
	// LongSlots is the part of Slots that long work may use; 0 means a share set by Options.LongShare.
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
	// bestEffortInFlight and bestEffortQueued are the parts that count as ModelDemand.Rest.
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

// withinShares is the number of requests in flight and waiting that count as ModelDemand.First.
func (u *requestCounts) withinShares() int {
	return u.inFlight + u.queued - u.bestEffortInFlight - u.bestEffortQueued
}

func (u *requestCounts) bestEffort() int { return u.bestEffortInFlight + u.bestEffortQueued }

type peerCounts struct {
	requestCounts
	at time.Time
}

// pool is the admission state of one model or plain service. It is used under the lock of its shard.
type pool struct {
	capacity      Capacity
	capacityKnown bool
	own           requestCounts
	others        requestCounts // sum over peers
	peers         map[string]peerCounts
	classes       [lanes][ranks]class
	reported      bool // the last usage report listed this model
	starts        int
	// batch holds the running batch tickets, which may be interrupted.
	batch []*Ticket
	// excessSince is when the demand within shares began to exceed what the rest left; zero when it does not.
	excessSince time.Time
}

// countWaiting and countRunning add a ticket to the counts, or take it away.
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

// window is how many requests the instance may have in flight: its equal part, or what it has plus its part of the
// free slots. Reports of the other instances are late; taking only a part of the free slots keeps the instances from
// filling the same slots.
func window(slots float64, own, others, instances int) float64 {
	n := float64(max(instances, 1))
	return max(slots/n, float64(own)+(slots-float64(own)-float64(others))/n)
}

// starvedAfter lets an instance without any request in flight start one although its part of the slots is below one
// and the others use all of them.
const starvedAfter = time.Second

// fits reports whether one more request may start. A part of a slot counts as a whole one while the last reports show
// a free slot; otherwise the parts of small models would stay idle.
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

// bestEffortSlots is what the demand within shares leaves to the rest.
func (p *pool) bestEffortSlots() float64 {
	return min(p.capacity.Slots-float64(p.own.withinShares()+p.others.withinShares()), p.capacity.BestEffortSlots)
}

// hasFreeSlot reports whether a request may start. Requests within shares go ahead of the rest over all instances: they may
// use the slots that the rest has in flight, since these become free, and the rest may only use what the demand within
// shares leaves. Without the former, a request within its share would wait until the instance's own slot became free.
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
	// The rest always finishes: one request per model may start once it has waited.
	return c.Slots > 0 && waited > t.agingDelay(now, waited) && p.own.bestEffortInFlight+p.others.bestEffortInFlight == 0
}

const (
	// aboveShareAgingDelay is how long a caller above its share waits for slots that the demand within shares does not leave.
	aboveShareAgingDelay = 10 * time.Second
	// batchAgingDelay is the same for batch work, which may wait longer than a peak of demand lasts.
	batchAgingDelay = time.Minute
	// batchSlackFactor is how much of the time until its deadline batch work keeps in reserve, as a multiple of its service.
	batchSlackFactor = 1.5
)

// agingDelay is how long a request of the rest waits before it may go ahead of the demand within shares.
func (t *Ticket) agingDelay(now time.Time, waited time.Duration) time.Duration {
	if !isBatch(&t.Request) {
		return aboveShareAgingDelay
	}
	slack := t.Request.Deadline.Sub(now) - time.Duration(batchSlackFactor*float64(t.remaining(now)))
	return min(batchAgingDelay, waited+slack)
}

// minRemainingFraction of the expected duration is kept as the remaining one, since lengths are only estimated.
const minRemainingFraction = 0.2

// remaining is the expected duration of what a request has not run yet.
func (t *Ticket) remaining(now time.Time) time.Duration {
	ran := t.ranBefore
	if t.state == running {
		ran += now.Sub(t.startedAt)
	}
	return max(t.serviceTime-ran, time.Duration(minRemainingFraction*float64(t.serviceTime)))
}

const (
	// preemptAfter leaves time for slots to become free by themselves.
	preemptAfter = time.Second
	// maxPreemptions bounds the interruptions of one request, each of which repeats the processing of its prompt.
	maxPreemptions = 2
)

// selectPreemptions chooses the running batch work to interrupt: the part of the instance in what exceeds the slots.
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

// expectedSlots is the number of requests of a kind that the instance can expect to run at once. It is at least one, since the
// slots of a model follow its demand.
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

// maxWaitCallers bounds the callers looked at for an estimate; more are extrapolated.
const maxWaitCallers = 32

// estimateWait is how long a new request would wait: for all work of higher priority and, within its priority, for the
// caller's earlier work and for the work of other callers that is served until the caller has had the same use per
// weight. usagePerWeight gives the present use of an order.
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
	// own includes the new request: the slot that becomes free is still busy with one of about the same size.
	units := own + otherCallers*float64(len(c.byUsage))/float64(max(sampled, 1))
	for r := range rank {
		units += p.classes[t.lane][r].units
	}
	seconds := units / (p.expectedSlots(t, longShare) * unitsPerSec) * c.correction()
	return time.Duration(seconds * float64(time.Second))
}

// agedStartInterval gives every eighth start to the class that waited longest, once it waited for agedStartDelay, so that low
// priority and long work finish while higher priorities are busy.
const (
	agedStartInterval = 8
	agedStartDelay    = 2 * time.Second
)

// next chooses the request to start: by priority, short before long, except for aged work. orderKeyOf gives the order of
// a caller, and above tells whether a caller is still above its share.
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

// peerTimeout is how long the last report of an instance counts: four reports.
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
