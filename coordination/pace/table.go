package pace

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

const (
	// ownPhaseTTL is how long a phase that a gateway began itself goes on without a leader that names it. The leader learns of
	// a start by the same heartbeat and names it within two report intervals.
	ownPhaseTTL = time.Second
	// leaderlessTTL is the time without a summary after which a gateway forgets a phase. A leader is replaced within two
	// seconds; later the known window says nothing about the target any more.
	leaderlessTTL = 5 * time.Second
	// turn is the time for which the same gateways may send while no leader names their parts.
	turn = 250 * time.Millisecond
)

// tablePhase is the start phase of a target as one gateway knows it.
type tablePhase struct {
	part Part
	// toldAt is when a leader named the part, zero for a phase that this gateway began.
	toldAt  time.Time
	beganAt time.Time
	// inTime, near, bad and wanted are those since the last report; inTime includes near.
	inTime, near, bad, wanted int
}

// Table holds the parts of one gateway. It is safe for concurrent use.
type Table struct {
	gateway string

	mu     sync.Mutex
	phases map[string]*tablePhase // by target id
	// known are the latest start times of the targets, nil until the first list.
	known       map[string]int64
	firstListAt time.Time
	// ttl is the time for which parts count.
	ttl time.Duration
}

// NewTable returns the table of a gateway.
func NewTable(gateway string) *Table {
	return &Table{gateway: gateway, phases: make(map[string]*tablePhase), ttl: minAllowanceTTL}
}

// SetTargets replaces the list of targets. Those that start later than the first ones begin a start phase: all gateways
// learn of them at the same time, before the leader names parts.
func (t *Table) SetTargets(now time.Time, targets []roster.Entry) {
	if len(targets) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known == nil {
		t.firstListAt = now
	}
	known := make(map[string]int64, len(targets))
	for i := range targets {
		key := targets[i].Key
		if t.startsLocked(now, key) {
			t.beginLocked(now, key)
		}
		known[key.ID] = key.StartedAtMs
	}
	t.known = known
	for id := range t.phases {
		if _, ok := known[id]; !ok {
			delete(t.phases, id)
		}
	}
}

// startsLocked reports whether a target has started since the last list.
func (t *Table) startsLocked(now time.Time, key roster.Key) bool {
	startedAtMs, ok := t.known[key.ID]
	return ok && startedAtMs < key.StartedAtMs || !ok && t.known != nil && now.Sub(t.firstListAt) > firstListPeriod
}

func (t *Table) beginLocked(now time.Time, key roster.Key) {
	if p := t.phases[key.ID]; p != nil && p.part.Target.StartedAtMs >= key.StartedAtMs {
		return
	}
	t.phases[key.ID] = &tablePhase{part: Part{Target: key, Window: initialWindow}, beganAt: now}
}

// phaseLocked returns the phase of a target, or nil if it has none.
func (t *Table) phaseLocked(now time.Time, key roster.Key) *tablePhase {
	if t.startsLocked(now, key) {
		t.known[key.ID] = key.StartedAtMs
		t.beginLocked(now, key)
	}
	p := t.phases[key.ID]
	if p == nil || p.part.Target != key {
		return nil
	}
	if p.toldAt.IsZero() && now.Sub(p.beganAt) > ownPhaseTTL || !p.toldAt.IsZero() && now.Sub(p.toldAt) > leaderlessTTL {
		delete(t.phases, key.ID)
		return nil
	}
	return p
}

// Admit reports whether a target may get another request of this gateway, which has running ones there. gateways is the number
// of gateways that share the target.
func (t *Table) Admit(now time.Time, key roster.Key, running, gateways int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.phaseLocked(now, key)
	if p == nil {
		return true
	}
	p.wanted++
	if !p.toldAt.IsZero() && now.Sub(p.toldAt) <= t.ttl {
		return running < p.part.Allowed
	}
	return running < t.equalPart(now, p, gateways)
}

// equalPart is the part of this gateway while no leader names it. Where there are more gateways than the window has requests, a
// different group of them has its turn each time.
func (t *Table) equalPart(now time.Time, p *tablePhase, gateways int) int {
	share := float64(p.part.Window) / float64(max(gateways, 1))
	whole := math.Floor(share)
	slot := strconv.FormatInt(now.UnixNano()/int64(turn), 10)
	if float64(xxhash.Sum64String(t.gateway+"\x00"+p.part.Target.ID+"\x00"+slot)) < (share-whole)*math.MaxUint64 {
		whole++
	}
	return int(whole)
}

// Round returns the round under which a request is about to be sent to a target, and whether the target is in its start phase.
func (t *Table) Round(now time.Time, key roster.Key) (round int64, starting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.phaseLocked(now, key); p != nil {
		return p.part.Round, true
	}
	return 0, false
}

// Observe records how a request went that was sent to a target under a round. It reports whether the result counts: those of
// earlier rounds say nothing about the window.
func (t *Table) Observe(now time.Time, key roster.Key, round int64, r Result) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.phaseLocked(now, key)
	if p == nil || p.part.Round != round {
		return false
	}
	switch r {
	case InTime:
		p.inTime++
	case Near:
		p.inTime++
		p.near++
	default:
		p.bad++
	}
	return true
}

// Report returns what this gateway saw of targets in their start phase since the last report.
func (t *Table) Report() []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Observation
	for _, p := range t.phases {
		o := Observation{Target: p.part.Target, Round: p.part.Round, InTime: p.inTime, Near: p.near, Bad: p.bad, Wanted: p.wanted}
		if p.part.Round != 0 {
			o.Window = p.part.Window
		}
		p.inTime, p.near, p.bad, p.wanted = 0, 0, 0, 0
		list = append(list, o)
	}
	return list
}

// Apply replaces the parts by those that the leader named in response to a report.
func (t *Table) Apply(now time.Time, parts []Part, reportInterval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ttl = allowanceTTL(reportInterval)
	named := make(map[string]bool, len(parts))
	for _, part := range parts {
		p := t.phases[part.Target.ID]
		if p != nil && p.part.Target.StartedAtMs > part.Target.StartedAtMs {
			continue // the leader does not know the latest start yet
		}
		named[part.Target.ID] = true
		if p == nil || p.part.Target != part.Target {
			p = &tablePhase{beganAt: now}
			t.phases[part.Target.ID] = p
		}
		if p.part.Round != part.Round {
			p.inTime, p.near, p.bad = 0, 0, 0
		}
		p.part, p.toldAt = part, now
	}
	for id, p := range t.phases {
		if !named[id] && (!p.toldAt.IsZero() || now.Sub(p.beganAt) > ownPhaseTTL) {
			delete(t.phases, id)
		}
	}
}

// Starting returns the number of targets in their start phase.
func (t *Table) Starting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.phases)
}
