package dispatch

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// LeaveAlone records that a target asked this gateway to send it nothing until a time.
func (tracker *LoadTracker) LeaveAlone(id string, until time.Time) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if s := tracker.state(id); until.After(s.leaveAloneUntil) {
		s.leaveAloneUntil = until
	}
}

// LeftAlone returns the targets that get nothing now because they asked for it.
func (tracker *LoadTracker) LeftAlone(now time.Time) []string {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var ids []string
	for id, s := range tracker.targets {
		if now.Before(s.leaveAloneUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// NextReturn returns the earliest time at which a target that asked to be left alone takes requests again, among those that are accepted.
func (tracker *LoadTracker) NextReturn(now time.Time, targets []*roster.Entry, accept func(*roster.Entry) bool) (at time.Time, ok bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, t := range targets {
		if !accept(t) {
			continue
		}
		if until := tracker.state(t.ID).leaveAloneUntil; now.Before(until) && (!ok || until.Before(at)) {
			at, ok = until, true
		}
	}
	return at, ok
}
