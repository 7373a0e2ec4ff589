package dispatch

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// HeardElsewhere reports whether any target but one has sent something after a time. If none has, the process itself may be
// cut off.
func (tracker *LoadTracker) HeardElsewhere(except string, after time.Time) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for id, s := range tracker.targets {
		if id != except && s.heardAt.After(after) {
			return true
		}
	}
	return false
}

// Reachable returns the targets that take new work and are not known to be unreachable, without one.
func (tracker *LoadTracker) Reachable(targets []roster.Entry, except string) []*roster.Entry {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var reachable []*roster.Entry
	for i := range targets {
		t := &targets[i]
		if t.State == roster.Ready && t.ID != except && tracker.state(t.ID).connectBackoff == 0 {
			reachable = append(reachable, t)
		}
	}
	return reachable
}

const (
	// silentAfter is the time without an answer after which a target that has sent nothing else either is probed, and
	// silentInAnswerAfter the time since it last sent something of any answer.
	silentAfter         = 300 * time.Millisecond
	silentInAnswerAfter = 700 * time.Millisecond
	// silentProbeInterval is the least time between two such probes of a target, which cost it a connection each.
	silentProbeInterval = time.Second
)

// TakeSilent returns the reachable targets that owe an answer, or the rest of one, and are silent. A target is returned again
// after silentProbeInterval.
func (tracker *LoadTracker) TakeSilent(now time.Time) []string {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var ids []string
	for id, s := range tracker.targets {
		if s.connectBackoff == 0 && now.Sub(s.silentProbeAt) >= silentProbeInterval && s.isSilent(now) {
			s.silentProbeAt = now
			ids = append(ids, id)
		}
	}
	return ids
}

// Silent returns the targets that owe an answer and have sent nothing for a period, although a request in flight makes that unusual.
func (tracker *LoadTracker) Silent(now time.Time, period time.Duration) []string {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var ids []string
	for id, s := range tracker.targets {
		if s.silentSince(now, period) {
			ids = append(ids, id)
		}
	}
	return ids
}

// silentSince reports whether the oldest request without an answer is older than the period and nothing was heard since it was sent.
func (s *targetState) silentSince(now time.Time, period time.Duration) bool {
	for r := range s.pending {
		if now.Sub(r.sentAt) > period && !s.heardAt.After(r.sentAt) {
			return true
		}
	}
	return s.own.Running > len(s.pending) && now.Sub(s.heardAt) > period
}

// isSilent reports whether the target has sent nothing although a request in flight makes that unusual.
func (s *targetState) isSilent(now time.Time) bool {
	for r := range s.pending {
		if now.Sub(r.sentAt) > silentAfter && !s.heardAt.After(r.sentAt) {
			return true
		}
	}
	return s.own.Running > len(s.pending) && now.Sub(s.heardAt) > silentInAnswerAfter
}
