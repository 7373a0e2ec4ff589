package admission

import (
	"math"
	"time"
)

// Capacity is what the replicas of a model in this data centre can run at once.
type Capacity struct {
	// Slots is the number of requests that all instances together may have in flight.
	Slots float64
	// RestSlots is the part of Slots that batch work and callers above their share may use, apart from aged work. It
	// equals Slots for a service or model that shares its replicas with no other.
	RestSlots float64
	// LongSlots is the part of Slots that long work may use; 0 means a share set by Options.LongShare.
	LongSlots float64
	// Instances is the number of instances that share the slots, at least 1.
	Instances int
	// ReadyIn is the expected time until the first replica is ready when Slots is 0.
	ReadyIn time.Duration
}

// use counts requests of one model on one instance or, as a sum, on several.
type use struct {
	inFlight     int
	longInFlight int
	queued       int
	// restInFlight and restQueued are the parts that count as ModelDemand.Rest.
	restInFlight int
	restQueued   int
}

func (u *use) add(v use) {
	u.inFlight += v.inFlight
	u.longInFlight += v.longInFlight
	u.queued += v.queued
	u.restInFlight += v.restInFlight
	u.restQueued += v.restQueued
}

// first is the number of requests in flight and waiting that count as ModelDemand.First.
func (u *use) first() int { return u.inFlight + u.queued - u.restInFlight - u.restQueued }

func (u *use) rest() int { return u.restInFlight + u.restQueued }

type peerUse struct {
	use
	at time.Time
}

// pool is the admission state of one model or plain service. It is used under the lock of its shard.
type pool struct {
	capacity Capacity
	known    bool
	own      use
	others   use // sum over peers
	peers    map[string]peerUse
	classes  [lanes][ranks]class
	reported bool // the last usage report listed this model
	grants   int
	// batch holds the running batch tickets, which may be interrupted.
	batch []*Ticket
	// crowdedSince is when the demand within shares began to exceed what the rest left; zero when it does not.
	crowdedSince time.Time
}

// countWaiting and countRunning add a ticket to the counts, or take it away.
func (p *pool) countWaiting(t *Ticket, n int) {
	p.own.queued += n
	if t.rest {
		p.own.restQueued += n
	}
}

func (p *pool) countRunning(t *Ticket, n int) {
	p.own.inFlight += n
	if t.lane == longLane {
		p.own.longInFlight += n
	}
	if t.rest {
		p.own.restInFlight += n
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

// left is what the demand within shares leaves to the rest.
func (p *pool) left() float64 {
	return min(p.capacity.Slots-float64(p.own.first()+p.others.first()), p.capacity.RestSlots)
}

// hasRoom reports whether a request may start. Requests within shares go ahead of the rest over all instances: they may
// use the slots that the rest has in flight, since these become free, and the rest may only use what the demand within
// shares leaves. Without the former, a request within its share would wait until the instance's own slot became free.
func (p *pool) hasRoom(now time.Time, t *Ticket, longShare float64, waited time.Duration) bool {
	c := &p.capacity
	if t.lane == longLane &&
		!fits(p.longSlots(longShare), p.own.longInFlight, p.others.longInFlight, c.Instances, waited) {
		return false
	}
	if !t.rest {
		return fits(c.Slots, p.own.inFlight-p.own.restInFlight, p.others.inFlight-p.others.restInFlight, c.Instances, waited)
	}
	if fits(p.left(), p.own.restInFlight, p.others.restInFlight, c.Instances, 0) {
		return true
	}
	// The rest always finishes: one request per model may start once it has waited.
	return c.Slots > 0 && waited > t.patience(now, waited) && p.own.restInFlight+p.others.restInFlight == 0
}

const (
	// restAgedAfter is how long a caller above its share waits for slots that the demand within shares does not leave.
	restAgedAfter = 10 * time.Second
	// batchAgedAfter is the same for batch work, which may wait longer than a peak of demand lasts.
	batchAgedAfter = time.Minute
	// batchSlack is how much of the time until its deadline batch work keeps in reserve, as a multiple of its service.
	batchSlack = 1.5
)

// patience is how long a request of the rest waits before it may go ahead of the demand within shares.
func (t *Ticket) patience(now time.Time, waited time.Duration) time.Duration {
	if !isBatch(&t.Request) {
		return restAgedAfter
	}
	slack := t.Request.Deadline.Sub(now) - time.Duration(batchSlack*float64(t.remaining(now)))
	return min(batchAgedAfter, waited+slack)
}

// minRemainingPart of the expected duration is kept as the remaining one, since lengths are only estimated.
const minRemainingPart = 0.2

// remaining is the expected duration of what a request has not run yet.
func (t *Ticket) remaining(now time.Time) time.Duration {
	ran := t.ran
	if t.state == running {
		ran += now.Sub(t.startedAt)
	}
	return max(t.service-ran, time.Duration(minRemainingPart*float64(t.service)))
}

const (
	// reclaimAfter leaves time for slots to become free by themselves.
	reclaimAfter = time.Second
	// maxReclaims bounds the interruptions of one request, each of which repeats the processing of its prompt.
	maxReclaims = 2
)

// reclaim chooses the running batch work to interrupt: the part of the instance in what exceeds the slots.
func (p *pool) reclaim(now time.Time) (chosen []*Ticket) {
	running := p.own.restInFlight + p.others.restInFlight
	excess := float64(running) - p.left()
	if excess <= 0 || running == 0 || p.capacity.Slots <= 0 {
		p.crowdedSince = time.Time{}
		return nil
	}
	if p.crowdedSince.IsZero() {
		p.crowdedSince = now
	}
	if now.Sub(p.crowdedSince) < reclaimAfter {
		return nil
	}
	n := int(math.Ceil(min(excess, float64(running)) * float64(p.own.restInFlight) / float64(running)))
	for _, t := range p.batch {
		if len(chosen) < n && t.reclaims < maxReclaims && t.patience(now, 0) > 0 {
			chosen = append(chosen, t)
		}
	}
	return chosen
}

// slots is the number of requests of a kind that the instance can expect to run at once. It is at least one, since the
// slots of a model follow its demand.
func (p *pool) slots(t *Ticket, longShare float64) float64 {
	c := &p.capacity
	switch {
	case t.lane == longLane:
		return math.Ceil(max(1, window(p.longSlots(longShare), p.own.longInFlight, p.others.longInFlight, c.Instances)))
	case t.rest:
		return max(1, math.Ceil(window(p.left(), p.own.restInFlight, p.others.restInFlight, c.Instances)))
	default:
		w := window(c.Slots, p.own.inFlight-p.own.restInFlight, p.others.inFlight-p.others.restInFlight, c.Instances)
		return max(1, math.Ceil(w))
	}
}

// maxWaitCallers bounds the callers looked at for an estimate; more are extrapolated.
const maxWaitCallers = 32

// estimateWait is how long a new request would wait: for all work of higher priority and, within its priority, for the
// caller's earlier work and for the work of other callers that is served until the caller has had the same use per
// weight. usePerWeight gives the present use of an order.
func (p *pool) estimateWait(t *Ticket, order float64, usePerWeight func(order float64) float64, unitsPerSec, longShare float64) time.Duration {
	if p.capacity.Slots <= 0 {
		return p.capacity.ReadyIn
	}
	rank, weight := t.Request.Priority.Rank(), t.Request.weight()
	c := &p.classes[t.lane][rank]
	own := t.Estimate.Units
	if q := c.callers[t.Request.Caller]; q != nil {
		own += q.units
	}
	others := 0.0
	reached := usePerWeight(order) + own/weight
	looked := min(len(c.order), maxWaitCallers)
	for _, q := range c.order[:looked] {
		if q.caller != t.Request.Caller {
			others += min(q.units, max(0, reached-usePerWeight(q.order))*q.weight)
		}
	}
	// own includes the new request: the slot that becomes free is still busy with one of about the same size.
	units := own + others*float64(len(c.order))/float64(max(looked, 1))
	for r := range rank {
		units += p.classes[t.lane][r].units
	}
	seconds := units / (p.slots(t, longShare) * unitsPerSec) * c.correction()
	return time.Duration(seconds * float64(time.Second))
}

// agedGrantEvery gives every eighth start to the class that waited longest, once it waited for agedAfter, so that low
// priority and long work finish while higher priorities are busy.
const (
	agedGrantEvery = 8
	agedAfter      = 2 * time.Second
)

// next chooses the request to start: by priority, short before long, except for aged work. orderOf gives the order of
// a caller, and above tells whether a caller is still above its share.
func (p *pool) next(now time.Time, longShare float64, orderOf func(string, float64) float64, above func(*Ticket) bool) *waiter {
	var best, aged *waiter
	agedWait := agedAfter
	for r := range ranks {
		for l := range lanes {
			c := &p.classes[l][r]
			if c.oldest.Len() == 0 {
				continue
			}
			w, waited := c.first(orderOf), c.oldestWait(now)
			if rest := above(w.ticket); rest != w.ticket.rest {
				p.countWaiting(w.ticket, -1)
				w.ticket.rest = rest
				p.countWaiting(w.ticket, 1)
			}
			if !p.hasRoom(now, w.ticket, longShare, now.Sub(w.since)) {
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
	if aged != nil && p.grants%agedGrantEvery == agedGrantEvery-1 {
		return aged
	}
	return best
}

// peerTimeout is how long the last report of an instance counts: four reports.
const peerTimeout = 2 * time.Second

func (p *pool) setPeer(now time.Time, peer string, u use) {
	if p.peers == nil {
		p.peers = make(map[string]peerUse)
	}
	p.peers[peer] = peerUse{use: u, at: now}
	p.sumPeers(now)
}

func (p *pool) sumPeers(now time.Time) {
	p.others = use{}
	for peer, u := range p.peers {
		if now.Sub(u.at) > peerTimeout || u.inFlight+u.queued == 0 {
			delete(p.peers, peer)
			continue
		}
		p.others.add(u.use)
	}
}
