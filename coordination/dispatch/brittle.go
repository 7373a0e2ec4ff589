package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Brittle targets have room for hardly more requests than slots, and fall over when they have to reject too many in a second.
// Gateways know the load that the others send only as of their last reports, so all of them would send to each slot that becomes
// free. Each one therefore takes its share of what is free with each report, and sends nothing for a while after a rejection.
//
// Load pattern: more requests than all targets of a service bear, through many gateways, while the targets are brittle.

const (
	// brittlePerSlot is the maximum number of requests per slot of a brittle target.
	brittlePerSlot = 0.9
	// freeShare is the share of the free slots that all gateways together take between two reports. What the others took since
	// their own last reports is not known.
	freeShare = 0.5
	// minRejectionPause is the shortest time for which a gateway sends nothing to a brittle target that rejected a request.
	minRejectionPause = time.Second
	// rejectionShare is the share of the rejections that a target bears in a second that all gateways together may cause.
	rejectionShare = 0.5
	// brittleTTL is the time after which a target that said that it is brittle counts as one no more, unless it says so again.
	brittleTTL = 30 * time.Second
	// unknownGateways stands for the number of gateways before it is known.
	unknownGateways = 20
)

// SetGateways sets the number of gateways that share the targets.
func (tracker *LoadTracker) SetGateways(n int) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.gateways = n
}

// brittleObservation is what a target said about itself.
type brittleObservation struct {
	service    string
	rejections int // that it bears in a second
	sentAt     time.Time
	heardAt    time.Time
}

// ObserveBrittle records how many rejections in a second a target of a service bears, as it says in the answer to a request sent at a
// time; 0 is no bound. It reports whether that is new.
func (tracker *LoadTracker) ObserveBrittle(now, sentAt time.Time, service, id string, rejections int) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	known, ok := tracker.ownBrittle[id]
	if ok && sentAt.Before(known.sentAt) || !ok && rejections <= 0 {
		return false
	}
	if rejections <= 0 {
		delete(tracker.ownBrittle, id)
	} else {
		tracker.ownBrittle[id] = brittleObservation{service, rejections, sentAt, now}
	}
	tracker.updateBrittleLocked(now)
	return known.rejections != rejections
}

// SetPeerBrittle replaces, by service, what targets said to the other gateways.
func (tracker *LoadTracker) SetPeerBrittle(now time.Time, rejections map[string]int) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.peerBrittle = rejections
	tracker.updateBrittleLocked(now)
}

// OwnBrittle returns, by service, the fewest rejections in a second that any target said to this gateway that it bears.
func (tracker *LoadTracker) OwnBrittle(now time.Time) map[string]int {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.updateBrittleLocked(now)
	var own map[string]int
	for _, o := range tracker.ownBrittle {
		if own == nil {
			own = make(map[string]int)
		}
		setFewest(own, o.service, o.rejections)
	}
	return own
}

// updateBrittleLocked works out which services are brittle. If one target of a service says so, the others are taken to be brittle
// too: a gateway may not have heard from them yet.
func (tracker *LoadTracker) updateBrittleLocked(now time.Time) {
	clear(tracker.brittle)
	for id, o := range tracker.ownBrittle {
		if now.Sub(o.heardAt) > brittleTTL {
			delete(tracker.ownBrittle, id)
			continue
		}
		setFewest(tracker.brittle, o.service, o.rejections)
	}
	for service, n := range tracker.peerBrittle {
		setFewest(tracker.brittle, service, n)
	}
}

func setFewest(m map[string]int, service string, n int) {
	if known, ok := m[service]; !ok || n < known {
		m[service] = n
	}
}

// RecordRejection records that a target of a service rejected a request for want of room.
func (tracker *LoadTracker) RecordRejection(now time.Time, service, id string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	allowed := tracker.brittle[service]
	if allowed == 0 {
		return
	}
	pause := time.Duration(tracker.gatewayCount() / (rejectionShare * float64(allowed)) * float64(time.Second))
	tracker.state(id).pausedUntil = now.Add(max(pause, minRejectionPause))
}

func (tracker *LoadTracker) gatewayCount() float64 {
	if tracker.gateways <= 0 {
		return unknownGateways
	}
	return float64(tracker.gateways)
}

// hasRoom reports whether a target may get another request. slots is the number of its slots.
func (tracker *LoadTracker) hasRoom(now time.Time, rng *rand.Rand, s *targetState, id string, q *Query, slots int) bool {
	running := s.own.Running + s.others.Running
	if tracker.brittle[q.Service] == 0 && q.Sharing != nil && q.MaxPerSlot > 0 {
		return tracker.withinShare(now, rng, s, q.Sharing, q.MaxPerSlot*float64(slots))
	}
	if tracker.brittle[q.Service] == 0 {
		return q.MaxPerSlot <= 0 || float64(running) < q.MaxPerSlot*float64(slots)
	}
	limit := max(brittlePerSlot*float64(slots), 1)
	switch {
	case now.Before(s.pausedUntil) || float64(running) >= limit:
		return false
	case !s.othersKnown:
		return s.own.Running < tracker.fixedShare(id, limit)
	case !s.allowanceKnown:
		// What is free at the first look after a report is shared.
		free := (limit - float64(running)) * freeShare / tracker.gatewayCount()
		s.allowance, s.allowanceKnown = s.own.Running+roundAtRandom(rng, free), true
	}
	return s.own.Running < s.allowance
}

// roundAtRandom rounds up with the probability of the fraction, so that small shares of many gateways add up.
func roundAtRandom(rng *rand.Rand, v float64) int {
	whole := math.Floor(v)
	if rng.Float64() < v-whole {
		whole++
	}
	return int(whole)
}

// fixedShare is the number of requests of this gateway that a target may hold while the loads of the others are not known. Where
// there are more gateways than slots, some of them get none.
func (tracker *LoadTracker) fixedShare(id string, limit float64) int {
	share := limit / tracker.gatewayCount()
	whole := math.Floor(share)
	if float64(xxhash.Sum64String(tracker.gateway+"\x00share\x00"+id)) < (share-whole)*math.MaxUint64 {
		whole++
	}
	return int(whole)
}

// MayAdd reports whether a target that was selected elsewhere may get another request: it did not ask to be left alone, and if it is
// brittle or its slots are shared it has room.
func (tracker *LoadTracker) MayAdd(now time.Time, rng *rand.Rand, t *roster.Entry, q *Query) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	s := tracker.state(t.ID)
	if now.Before(s.leaveAloneUntil) {
		return false
	}
	return tracker.brittle[t.Service] == 0 && q.Sharing == nil || tracker.hasRoom(now, rng, s, t.ID, q, SlotsOf(t, q.Slots))
}
