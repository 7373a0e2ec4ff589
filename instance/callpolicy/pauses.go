package callpolicy

import (
	"maps"
	"sync"
	"time"
)

// maxPause bounds the time for which a target is left alone after one answer, so that a malformed Retry-After doesn't take a
// target out of service.
const maxPause = 10 * time.Second

// pauses holds the targets that refused a request because they are overloaded, each with the end of the time that it named
// until the next request. It is safe for concurrent use.
type pauses struct {
	mu    sync.Mutex
	until map[string]time.Time // by modelcalls.TargetID
}

// add records the refusal of a target.
func (p *pauses) add(now time.Time, target string, pause time.Duration) {
	if pause <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	p.until[target] = now.Add(min(pause, maxPause))
}

// left returns the time until the next request to a target, 0 if it may be sent now.
func (p *pauses) left(now time.Time, target string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.until[target].Sub(now), 0)
}
