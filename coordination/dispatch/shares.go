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
	// ServiceTime is how long a request holds a slot. While the load of the others is not known, what this gateway may take is drawn
	// again after that time, when the slots that others took on their parts are free again.
	ServiceTime time.Duration
	// Waiting is the number of requests, at all gateways, that wait for the same slots. While there are as many free slots, no part is
	// needed.
	Waiting int
}

// sharingFor returns how the free slots for a query are shared.
func (tracker *LoadTracker) sharingFor(q *Query, targets []roster.Entry) *Sharing {
	if q.Sharing == nil || q.Sharing.Part >= 1 || q.MaxPerSlot <= 0 || tracker.brittle[q.Service] > 0 {
		return q.Sharing
	}
	free := 0.0
	for i := range targets {
		t := &targets[i]
		if t.Service != q.Service || t.State != roster.Ready || q.Model != "" && t.HeldModel(q.Model) == nil {
			continue
		}
		if s := tracker.state(t.ID); s.connectBackoff == 0 && s.othersKnown {
			free += max(q.MaxPerSlot*float64(slotsOf(t, q.Slots))-float64(s.own.Running+s.others.Running), 0)
		}
	}
	if free < float64(q.Sharing.Waiting) {
		return q.Sharing
	}
	return &Sharing{Part: 1, PartUnknown: q.Sharing.PartUnknown}
}

// claim is what a gateway may have on a target until the next report.
type claim struct {
	known bool
	// at is the time of the draw.
	at time.Time
	// own is the number of own requests at the report, and draw a random number in [0, 1) by which parts of a slot are rounded: small
	// parts of many gateways add up.
	own  int
	draw float64
}

// withinShare reports whether a target may get another request of this gateway. limit is the number of requests that the target may
// have.
func (tracker *LoadTracker) withinShare(now time.Time, rng *rand.Rand, s *targetState, sharing *Sharing, limit float64) bool {
	part, others, known := sharing.Part, s.others, s.othersKnown || tracker.othersKnown
	if !known {
		part, others = sharing.PartUnknown, s.lastOthers
	}
	if float64(s.own.Running+others.Running) >= limit {
		return false
	}
	if part >= 1 {
		return true
	}
	switch {
	case !s.claim.known:
		s.claim = claim{known: true, at: now, own: s.own.Running, draw: rng.Float64()}
	case !known && now.Sub(s.claim.at) >= sharing.ServiceTime:
		s.claim.at, s.claim.draw = now, rng.Float64()
	}
	free := max(limit-float64(s.claim.own+others.Running), 0)
	return s.own.Running < s.claim.own+int(math.Floor(free*part+s.claim.draw))
}

// renewClaim lets the gateway take its part of what a new report shows as free.
func (s *targetState) renewClaim(othersKnown bool) {
	if othersKnown || s.othersKnown {
		s.claim = claim{}
	}
}
