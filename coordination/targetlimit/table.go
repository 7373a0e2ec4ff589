// Package targetlimit keeps the limits that targets in need name in their answers: the requests a second that a target takes
// from all gateways together, for as long as it says so.
//
// Load pattern: some targets of a service name a limit far below the requests that they get, while hundreds of gateways send
// to them, each of which sees only its own requests.
package targetlimit

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

const (
	// minPerSecond replaces lower limits, down to 0: without any request nobody would learn that a target is well again.
	minPerSecond = 0.25
	// maxPerSecond replaces higher limits, which are none.
	maxPerSecond = 1e6
	// mergeMargin is the least time by which an observation of another process is newer than the known one to replace it. It
	// is above the transit times that the ages in messages lack.
	mergeMargin = 100 * time.Millisecond
	// liftedRetention is how long it is reported that a target names no limit any more.
	liftedRetention = 10 * time.Second
	// staleAfter is the age of the latest answer from which a gateway sends a target in need a request that another one could
	// take, within the limit, to learn whether it still holds.
	staleAfter = 2 * time.Second
)

// Observation is what a target said about its limit.
type Observation struct {
	Target roster.Key `json:"t"`
	// PerSecond is 0 if the target does not name a limit any more.
	PerSecond float64 `json:"l"`
	MsAgo     int64   `json:"a"`
}

// limit is what is known about the limit of one target.
type limit struct {
	startedAtMs int64
	perSecond   float64   // 0 once the target has answered without a limit
	at          time.Time // of the answer that named it, or that named none
	// own is set if this process got that answer.
	own bool
	// deniedUntil is the time until which this process does not ask for a permit again.
	deniedUntil time.Time
	// fallbackAt is the earliest time of a request without a permit while no permits can be had, and fallbackAskedAt the time
	// at which one was last wanted.
	fallbackAt, fallbackAskedAt time.Time
}

// Table holds the limits of targets as known by one process. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	limits map[string]*limit // by target id
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{limits: make(map[string]*limit)} }

// Parse decodes a limit. ok is false if the text is no limit, which says nothing about the target.
func Parse(text string) (perSecond float64, ok bool) {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(value) || value < 0 {
		return 0, false
	}
	return min(max(value, minPerSecond), maxPerSecond), true
}

// Observe records an answer of a target to a request sent at a time. perSecond is the limit that it names, 0 if it names none.
// It reports whether that changes what is known.
//
// An answer without a limit only lifts one that was named before the request was sent: answers on different connections
// overtake each other.
func (t *Table) Observe(now, sentAt time.Time, target roster.Key, perSecond float64) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[target.ID]
	switch {
	case known != nil && target.StartedAtMs < known.startedAtMs:
		return false // an earlier start of the target
	case known == nil || target.StartedAtMs > known.startedAtMs:
		if perSecond == 0 {
			delete(t.limits, target.ID)
			return known != nil && known.perSecond > 0
		}
		t.limits[target.ID] = &limit{startedAtMs: target.StartedAtMs, perSecond: perSecond, at: now, own: true}
		return true
	case perSecond == 0 && !sentAt.After(known.at):
		return false
	}
	changed = known.perSecond != perSecond
	known.perSecond, known.at, known.own = perSecond, now, true
	return changed
}

// Own returns what this process was told by targets lately.
func (t *Table) Own(now time.Time) []Observation {
	return t.observations(now, func(l *limit) bool { return l.own })
}

// All returns what is known of all targets.
func (t *Table) All(now time.Time) []Observation {
	return t.observations(now, func(*limit) bool { return true })
}

func (t *Table) observations(now time.Time, wanted func(*limit) bool) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Observation
	for id, l := range t.limits {
		if wanted(l) && (l.perSecond > 0 || now.Sub(l.at) < liftedRetention) {
			list = append(list, Observation{Target: roster.Key{ID: id, StartedAtMs: l.startedAtMs}, PerSecond: l.perSecond,
				MsAgo: now.Sub(l.at).Milliseconds()})
		}
	}
	return list
}

// Merge applies the observations of other processes and returns those that changed a limit.
func (t *Table) Merge(now time.Time, list []Observation) (changed []Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range list {
		at := now.Add(-time.Duration(max(o.MsAgo, 0)) * time.Millisecond)
		perSecond := 0.0
		if o.PerSecond > 0 {
			perSecond = min(max(o.PerSecond, minPerSecond), maxPerSecond)
		}
		known := t.limits[o.Target.ID]
		switch {
		case known != nil && o.Target.StartedAtMs < known.startedAtMs:
			continue
		case known == nil || o.Target.StartedAtMs > known.startedAtMs:
			t.limits[o.Target.ID] = &limit{startedAtMs: o.Target.StartedAtMs, perSecond: perSecond, at: at}
			if perSecond > 0 || known != nil && known.perSecond > 0 {
				changed = append(changed, o)
			}
		case at.Sub(known.at) > mergeMargin:
			if known.perSecond != perSecond {
				changed = append(changed, o)
			}
			known.perSecond, known.at, known.own = perSecond, at, false
		}
	}
	return changed
}

// Limit returns the limit of a target, 0 if it has none.
func (t *Table) Limit(target roster.Key) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.limits[target.ID]; known != nil && known.startedAtMs == target.StartedAtMs {
		return known.perSecond
	}
	return 0
}

// Any reports whether any target has a limit.
func (t *Table) Any() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.limits {
		if l.perSecond > 0 {
			return true
		}
	}
	return false
}

// MayAsk reports whether a target has a limit and this process may ask for a permit now.
func (t *Table) MayAsk(now time.Time, target roster.Key) bool {
	l := t.active(target)
	return l != nil && !now.Before(l.deniedUntil)
}

// MayRecheck reports whether MayAsk and no process got an answer of the target lately.
func (t *Table) MayRecheck(now time.Time, target roster.Key) bool {
	l := t.active(target)
	return l != nil && !now.Before(l.deniedUntil) && now.Sub(l.at) > staleAfter
}

// active returns a copy of the limit of a target, or nil if it has none.
func (t *Table) active(target roster.Key) *limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[target.ID]; l != nil && l.startedAtMs == target.StartedAtMs && l.perSecond > 0 {
		known := *l
		return &known
	}
	return nil
}

// Denied records that a permit for a target was denied.
func (t *Table) Denied(until time.Time, target roster.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[target.ID]; l != nil {
		l.deniedUntil = until
	}
}

// TakeFallback reports whether a request may be sent to a target without a permit, because none can be had, and counts it.
// gateways is the number of gateways that share the limit, and phase a random number in [0, 1) that spreads their requests.
//
// It uses half of the limit: other gateways may still get permits for all of it.
func (t *Table) TakeFallback(now time.Time, target roster.Key, gateways int, phase float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[target.ID]
	if l == nil || l.perSecond == 0 {
		return true
	}
	interval := time.Duration(float64(max(gateways, 1)) / (fallbackShare * l.perSecond) * float64(time.Second))
	if now.Sub(l.fallbackAskedAt) > fallbackIdle && !now.Before(l.fallbackAt) {
		// Gateways that were idle must not all send at once.
		l.fallbackAt = now.Add(time.Duration(phase * float64(interval)))
	}
	l.fallbackAskedAt = now
	if now.Before(l.fallbackAt) {
		return false
	}
	l.fallbackAt = now.Add(interval)
	return true
}

const (
	// fallbackShare is the share of a limit that gateways use without permits.
	fallbackShare = 0.5
	// fallbackIdle is the time without a request after which a gateway counts as idle.
	fallbackIdle = time.Second
)

// Forget drops the targets that are not wanted.
func (t *Table) Forget(wanted map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.limits {
		if !wanted[id] {
			delete(t.limits, id)
		}
	}
}
