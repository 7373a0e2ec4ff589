package admission

import (
	"math"
	"time"
)

// Capacity is what the replicas of a model in this data centre can run at once.
type Capacity struct {
	// Slots is the number of requests that all instances together may have in flight.
	Slots float64
	// LongSlots is the part of Slots that long work may use; 0 means a share set by Options.LongShare.
	LongSlots float64
	// Instances is the number of instances that share the slots, at least 1.
	Instances int
	// ReadyIn is the expected time until the first replica is ready when Slots is 0.
	ReadyIn time.Duration
}

// peerUse is what another instance has in flight.
type peerUse struct {
	at           time.Time
	inFlight     int
	longInFlight int
	queued       int
	rest         int
}

// pool is the admission state of one model or plain service. It is used under the lock of its shard.
type pool struct {
	capacity Capacity
	known    bool
	inFlight [lanes]int
	classes  [lanes][ranks]class
	waiting  int
	rest     int // requests in flight or waiting that count as ModelDemand.Rest
	peers    map[string]peerUse
	others   peerUse // sum over peers
	reported bool    // the last usage report listed this model
	grants   int
}

// count adds a ticket that starts or waits to the demand, or takes it away.
func (p *pool) count(t *Ticket, n int) {
	if t.rest {
		p.rest += n
	}
}

func (p *pool) total() int { return p.inFlight[shortLane] + p.inFlight[longLane] }

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

// hasRoom reports whether one more request of a lane may start.
func (p *pool) hasRoom(l lane, longShare float64, waited time.Duration) bool {
	c := &p.capacity
	if !fits(c.Slots, p.total(), p.others.inFlight, c.Instances, waited) {
		return false
	}
	return l == shortLane ||
		fits(p.longSlots(longShare), p.inFlight[longLane], p.others.longInFlight, c.Instances, waited)
}

// slots is the number of requests of a lane that the instance can expect to run at once. It is at least one, since the
// slots of a model follow its demand.
func (p *pool) slots(l lane, longShare float64) float64 {
	c := &p.capacity
	if l == longLane {
		return math.Ceil(max(1, window(p.longSlots(longShare), p.inFlight[longLane], p.others.longInFlight, c.Instances)))
	}
	return max(1, math.Ceil(window(c.Slots, p.total(), p.others.inFlight, c.Instances))-float64(p.inFlight[longLane]))
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
	seconds := units / (p.slots(t.lane, longShare) * unitsPerSec) * c.correction()
	return time.Duration(seconds * float64(time.Second))
}

// agedGrantEvery gives every eighth start to the class that waited longest, once it waited for agedAfter, so that low
// priority and long work finish while higher priorities are busy.
const (
	agedGrantEvery = 8
	agedAfter      = 2 * time.Second
)

// next chooses the class to serve: by priority, short before long, except for aged work.
func (p *pool) next(now time.Time, longShare float64) (*class, lane) {
	var best, aged *class
	var bestLane, agedLane lane
	agedWait := agedAfter
	for r := range ranks {
		for l := range lanes {
			c := &p.classes[l][r]
			if c.oldest.Len() == 0 {
				continue
			}
			waited := c.oldestWait(now)
			if !p.hasRoom(l, longShare, waited) {
				continue
			}
			if best == nil {
				best, bestLane = c, l
			}
			if waited > agedWait {
				aged, agedLane, agedWait = c, l, waited
			}
		}
	}
	if aged != nil && p.grants%agedGrantEvery == agedGrantEvery-1 {
		return aged, agedLane
	}
	return best, bestLane
}

// peerTimeout is how long the last report of an instance counts: four reports.
const peerTimeout = 2 * time.Second

func (p *pool) setPeer(now time.Time, peer string, use peerUse) {
	if p.peers == nil {
		p.peers = make(map[string]peerUse)
	}
	use.at = now
	p.peers[peer] = use
	p.sumPeers(now)
}

func (p *pool) sumPeers(now time.Time) {
	p.others = peerUse{}
	for peer, use := range p.peers {
		if now.Sub(use.at) > peerTimeout || use.inFlight+use.queued == 0 {
			delete(p.peers, peer)
			continue
		}
		p.others.inFlight += use.inFlight
		p.others.longInFlight += use.longInFlight
		p.others.queued += use.queued
		p.others.rest += use.rest
	}
}
