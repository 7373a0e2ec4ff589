package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Query describes a request that needs a target.
type Query struct {
	Service    string
	Model      string // empty for plain services
	Adapter    string
	Tokens     int // of the prompt
	DataCentre string
	Exclude    []string // target ids that failed this request
	Slots      int      // per target, for targets that do not announce their slots
	// MaxPerSlot excludes targets that run at least this many requests per slot; 0 means no limit.
	MaxPerSlot float64
	// Choices limits the comparison to that many eligible targets, others for each gateway; 0 compares all. Hundreds of
	// gateways that see the same reports, half a second old, would otherwise all send to the target that was least loaded
	// then. A gateway keeps to its choice, so that connections are used again.
	Choices int
	// SoftwareVersion leaves out targets of other versions; nil leaves out none.
	SoftwareVersion *string
	// MayHaveRestarted leaves out targets whose version may be another one by now; nil leaves out none.
	MayHaveRestarted func(*roster.Entry) bool
	// Skip leaves out targets that are in need; nil leaves out none.
	Skip func(*roster.Entry) bool
	// Sharing limits what this gateway takes of the free slots; nil does not.
	Sharing *Sharing
	// Admit reports whether a target with a number of running requests of this gateway may get another one; nil admits all. A
	// target that is not admitted is used all the same unless more others could run the request soon: once they have room, or,
	// if they are excluded, in another try. Where most targets are not admitted, the others have no room for what is held back.
	Admit func(t *roster.Entry, running int) bool
	// Connected reports whether an idle connection to an address is open; nil if that is unknown.
	Connected func(address string) bool
}

// Reason says why Pick found no target.
type Reason string

const (
	Found    Reason = ""
	NoTarget Reason = "no ready target of the service is known"
	// OtherVersion applies to streams, which go on at the software version that began them.
	OtherVersion Reason = "no ready target runs the software version that began the stream"
	// Unconfirmed applies to the same streams.
	Unconfirmed   Reason = "targets of the software version that began the stream may have started again"
	NotLoaded     Reason = "no target holds the model"
	NoneReachable Reason = "no eligible target is reachable"
	NoAdapter     Reason = "no target holds the adapter"
	LeftAlone     Reason = "every eligible target asked to be left alone for a time"
	AllFull       Reason = "all eligible targets are at the request limit"
	Limited       Reason = "every eligible target takes only a few requests a second"
	AllExcluded   Reason = "every eligible target has failed the request"
	// Starting applies while the others are full or excluded.
	Starting Reason = "the eligible targets with room have just started and take only a few requests"
)

// Pick returns the target with the lowest expected delay for a request, or nil and the reason why there is none.
func (tracker *LoadTracker) Pick(now time.Time, rng *rand.Rand, q Query, targets *roster.Index) (*roster.Entry, Reason) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	holders := targets.Holding(q.Service, q.Model)
	reason := withoutHolder(&q, targets.Ready(q.Service), len(holders))
	recordReason := func(r Reason) {
		if reasonRank[r] > reasonRank[reason] {
			reason = r
		}
	}
	var candidates, starting []*roster.Entry
	othersLater := 0
	for _, t := range holders {
		if r := tracker.unsuitable(now, t, &q); r != Found {
			recordReason(r)
			if r == AllExcluded {
				othersLater++
			}
			continue
		}
		candidates = append(candidates, t)
	}
	if q.Sharing != nil && !tracker.partsNeeded(&q, candidates) {
		q.Sharing = &Sharing{Part: 1, PartUnknown: q.Sharing.PartUnknown, ServiceTime: q.Sharing.ServiceTime}
	}
	eligible := candidates[:0]
	for _, t := range candidates {
		s := tracker.state(t.ID)
		if !tracker.hasRoom(now, rng, s, t.ID, &q, SlotsOf(t, q.Slots)) {
			recordReason(AllFull)
			othersLater++
			continue
		}
		if q.Admit != nil && !q.Admit(t, s.own.Running) {
			recordReason(Starting)
			starting = append(starting, t)
			continue
		}
		eligible = append(eligible, t)
	}
	if len(eligible) == 0 && othersLater <= len(starting) {
		eligible = starting
	}
	if len(eligible) == 0 {
		return nil, reason
	}
	return tracker.leastDelay(now, rng, &q, eligible), Found
}

// withoutHolder returns why the ready targets of the service that do not hold the model can't run a request.
func withoutHolder(q *Query, ready []*roster.Entry, holders int) Reason {
	if len(ready) == holders {
		return NoTarget
	}
	for _, t := range ready {
		if (q.SoftwareVersion == nil || t.SoftwareVersion == *q.SoftwareVersion) && t.HeldModel(q.Model) == nil {
			return NotLoaded
		}
	}
	return OtherVersion
}

// unsuitable returns why a ready target that holds the model can't run a request now, Found if it can once it has room.
func (tracker *LoadTracker) unsuitable(now time.Time, t *roster.Entry, q *Query) Reason {
	if q.SoftwareVersion != nil && t.SoftwareVersion != *q.SoftwareVersion {
		return OtherVersion
	}
	if q.Model != "" && (tracker.unloading[modelKey{t.ID, q.Model}] || now.Before(tracker.notHeld[residentKey{t.ID, q.Model, ""}])) {
		return NotLoaded
	}
	s := tracker.state(t.ID)
	switch {
	case s.connectBackoff > 0:
		return NoneReachable
	case q.MayHaveRestarted != nil && q.MayHaveRestarted(t):
		return Unconfirmed
	case q.Adapter != "" && !tracker.holdsAdapter(now, t, q):
		return NoAdapter
	case slices.Contains(q.Exclude, t.ID):
		return AllExcluded
	case q.Skip != nil && q.Skip(t):
		return Limited
	case now.Before(s.leaveAloneUntil):
		return LeftAlone
	}
	return Found
}

// leastDelay returns the target with the lowest expected delay of all, or of the q.Choices that rank first for this
// gateway.
func (tracker *LoadTracker) leastDelay(now time.Time, rng *rand.Rand, q *Query, eligible []*roster.Entry) *roster.Entry {
	if q.Choices > 0 && len(eligible) > q.Choices {
		slices.SortFunc(eligible, func(a, b *roster.Entry) int { return cmp.Compare(tracker.state(a.ID).rank, tracker.state(b.ID).rank) })
		eligible = eligible[:q.Choices]
	}
	var best *roster.Entry
	bestScore := 0.0
	for _, t := range eligible {
		score := tracker.state(t.ID).score(now, t, q, SlotsOf(t, q.Slots)) + rng.Float64()*maxJitterMs
		if q.Connected != nil && !q.Connected(t.Address) {
			score += connectMs
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// rank orders targets differently at each gateway (rendezvous hashing).
func (tracker *LoadTracker) rank(id string) uint64 {
	return xxhash.Sum64String(tracker.gateway + "\x00" + id)
}

func (tracker *LoadTracker) holdsAdapter(now time.Time, t *roster.Entry, q *Query) bool {
	key := residentKey{t.ID, q.Model, q.Adapter}
	if now.Before(tracker.notHeld[key]) {
		return false
	}
	return now.Before(tracker.orderedAdapters[key]) || t.HoldsAdapter(q.Model, q.Adapter)
}

// reasonRank orders reasons by filter stage. Pick returns the reason of the last stage that any target reached.
var reasonRank = map[Reason]int{NoTarget: 0, OtherVersion: 1, NotLoaded: 2, NoneReachable: 3, Unconfirmed: 4, NoAdapter: 5, AllExcluded: 6, Limited: 7, LeftAlone: 8, AllFull: 9, Starting: 10}

// SlotsOf returns the slots of a target, or the fallback if it does not announce them.
func SlotsOf(t *roster.Entry, fallback int) int {
	if t.Slots > 0 {
		return t.Slots
	}
	return max(fallback, 1)
}
