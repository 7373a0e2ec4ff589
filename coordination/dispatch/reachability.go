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
