package gateway

import (
	"sync"
	"time"
)

const (
	// minAdapterBackoff is the time for which a gateway does not ask the leader for an adapter again that no target can load now. It
	// doubles with each denial up to maxAdapterBackoff: the slots of adapters become free with the requests that use them, and
	// hundreds of waiting requests would otherwise keep the leader busy with the same question.
	minAdapterBackoff = adapterPollInterval
	maxAdapterBackoff = 400 * time.Millisecond
)

type adapterKey struct{ service, model, adapter string }

// adapterBackoff keeps when the leader may be asked again for adapters that it could not name a target for. It is safe for concurrent
// use.
type adapterBackoff struct {
	mu    sync.Mutex
	until map[adapterKey]backoff
}

type backoff struct {
	pause time.Duration // after the last denial
	// until is the end of the pause, or the latest end of the call in progress.
	until time.Time
}

func newAdapterBackoff() *adapterBackoff {
	return &adapterBackoff{until: make(map[adapterKey]backoff)}
}

// mayAsk reports whether the leader may be asked for an adapter. One request asks at a time; it calls denied or answered then.
func (a *adapterBackoff) mayAsk(now time.Time, key adapterKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.until[key]
	if now.Before(b.until) {
		return false
	}
	a.until[key] = backoff{b.pause, now.Add(adapterTimeout)}
	return true
}

// denied records that no target can load an adapter now.
func (a *adapterBackoff) denied(now time.Time, key adapterKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pause := min(max(2*a.until[key].pause, minAdapterBackoff), maxAdapterBackoff)
	a.until[key] = backoff{pause, now.Add(pause)}
}

// answered records that an adapter can be had, or that the request that asked has ended before the answer.
func (a *adapterBackoff) answered(key adapterKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.until, key)
}

// expire drops what is over.
func (a *adapterBackoff) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, b := range a.until {
		if now.Sub(b.until) > maxAdapterBackoff {
			delete(a.until, key)
		}
	}
}

func (q *request) adapterKey() adapterKey {
	return adapterKey{q.service.Name, q.prompt.Model, q.prompt.Adapter}
}
