package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Load pattern: requests wait at many gateways for targets that are full. Each load report shows the same free slots to all of
// them, and without shares the requests of all gateways are sent there together. It is the same when the leader that sums the loads is
// lost, and every gateway sees its own load only.

// Sharing limits how much of the free slots of a target a gateway takes between two reports.
type Sharing struct {
	// Part is the part of the free slots that this gateway may take while the load of the others is known; 1 or more is all.
	Part float64
	// PartUnknown is the same while it is not known. Then the load of the others as last known counts.
	PartUnknown float64
	// ServiceTime is how long a request holds a slot of a target of nominal speed. While the load of the others is not known, what this
	// gateway may take of a target is drawn again after that time over its speed, when the slots that others took on their parts are free
	// again.
	ServiceTime time.Duration
	// Waiting is the number of requests, at all gateways, that wait for the same slots. While there are as many free slots, no part is
	// needed.
	Waiting int
}

// partsNeeded reports whether gateways have to take parts: more requests wait for the free slots of the candidates than there are.
func (tracker *LoadTracker) partsNeeded(q *Query, candidates []*roster.Entry) bool {
	if q.Sharing.Part >= 1 {
		return false
	}
	free := 0.0
	for _, t := range candidates {
		if s := tracker.state(t.ID); s.othersKnown || tracker.othersKnown {
			free += max(q.MaxPerSlot*float64(SlotsOf(t, q.Slots))-float64(s.own.Running+s.others.Running), 0)
		}
	}
	return free < float64(q.Sharing.Waiting)
}

// claim is what a gateway may have on a target until the next report.
type claim struct {
	known bool
	// lostAt is when the loads of the others were first not known, and drawnAt the time of the draw after that.
	lostAt, drawnAt time.Time
	// own is the number of own requests at the report, and draw a random number in [0, 1) by which parts of a slot are rounded: small
	// parts of many gateways add up.
	own  int
	draw float64
}

// withinShare reports whether a target may get another request of this gateway. limit is the number of requests that the target may
// have.
func (tracker *LoadTracker) withinShare(now time.Time, rng *rand.Rand, s *targetState, sharing *Sharing, limit float64) bool {
	if !s.othersKnown && !tracker.othersKnown {
		return s.withinUnknownShare(now, rng, sharing, limit)
	}
	if float64(s.own.Running+s.others.Running) >= limit {
		return false
	}
	if sharing.Part >= 1 {
		return true
	}
	if !s.claim.known {
		s.claim = claim{known: true, own: s.own.Running, draw: rng.Float64()}
	}
	free := max(limit-float64(s.claim.own+s.others.Running), 0)
	return s.own.Running < s.claim.own+int(math.Floor(free*sharing.Part+s.claim.draw))
}

// withinUnknownShare is the same while the loads of the others are not known. What all gateways had when they were last known ends
// within a few service times. Until then a gateway may replace its own requests, and it takes its part of what has become free.
func (s *targetState) withinUnknownShare(now time.Time, rng *rand.Rand, sharing *Sharing, limit float64) bool {
	if sharing.PartUnknown >= 1 {
		return float64(s.own.Running) < limit
	}
	serviceTime := time.Duration(float64(sharing.ServiceTime) / s.speed)
	switch {
	case !s.claim.known:
		s.claim = claim{known: true, lostAt: now, drawnAt: now, own: s.own.Running, draw: rng.Float64()}
	case now.Sub(s.claim.drawnAt) >= serviceTime:
		s.claim.drawnAt, s.claim.draw = now, rng.Float64()
	}
	left := math.Exp(-float64(now.Sub(s.claim.lostAt)) / float64(max(serviceTime, time.Millisecond)))
	own, others := left*float64(s.claim.own), left*float64(s.lastOthers.Running)
	return s.own.Running < int(math.Floor(own+max(limit-own-others, 0)*sharing.PartUnknown+s.claim.draw))
}

// renewClaim lets the gateway take its part of what a new report shows as free.
func (s *targetState) renewClaim(othersKnown bool) {
	if othersKnown || s.othersKnown {
		s.claim = claim{}
	}
}
