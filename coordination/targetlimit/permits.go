package targetlimit

import (
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

const (
	// maxPermitDelay bounds the time until a permit may be used. A request that has to wait longer is not bound to the target:
	// it asks again, unless another target can take it first.
	maxPermitDelay = 300 * time.Millisecond
	// minDenial is the least time for which a gateway does not ask again. It grows with the recent denials beyond
	// freeDenials, up to maxDenial, so that hundreds of gateways do not keep the leader busy with requests that it denies.
	minDenial   = 100 * time.Millisecond
	maxDenial   = time.Second
	freeDenials = 20.0
	// denialHalfLife is the time in which the weight of a denial decays by half.
	denialHalfLife = time.Second
	// permitRetention is how long the permits of a target are remembered after the last request for one.
	permitRetention = time.Minute
)

// Permits gives out the requests that targets in need take from all gateways together. The leader of the deployment holds
// them; a new leader begins with none, so that the permits of two leaders in a row do not add up. It is safe for concurrent
// use.
type Permits struct {
	mu      sync.Mutex
	targets map[roster.Key]*permits
}

type permits struct {
	nextAt  time.Time // the earliest time of the next request
	askedAt time.Time
	denials float64 // decays, as of askedAt
}

// NewPermits returns permits that have given out nothing.
func NewPermits() *Permits { return &Permits{targets: make(map[roster.Key]*permits)} }

// Take gives out a permit for one request to a target with a limit, to be used after a delay, or denies it for a time. noWait
// denies a permit that can't be used at once.
func (p *Permits) Take(now time.Time, target roster.Key, perSecond float64, noWait bool) (granted bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := time.Duration(float64(time.Second) / max(perSecond, minPerSecond))
	s := p.targets[target]
	if s == nil {
		p.expire(now)
		s = &permits{nextAt: now.Add(interval)}
		p.targets[target] = s
	}
	for ; s.denials > 0.1 && now.Sub(s.askedAt) >= denialHalfLife; s.askedAt = s.askedAt.Add(denialHalfLife) {
		s.denials /= 2
	}
	s.askedAt = now
	delay := max(s.nextAt.Sub(now), 0)
	maxDelay := maxPermitDelay
	if noWait {
		maxDelay = 0
	}
	if delay > maxDelay {
		s.denials++
		base := max(delay-maxPermitDelay, minDenial)
		return false, min(time.Duration(max(s.denials/freeDenials, 1)*float64(base)), max(maxDenial, base))
	}
	s.nextAt = now.Add(delay + interval)
	return true, delay
}

func (p *Permits) expire(now time.Time) {
	for target, s := range p.targets {
		if now.Sub(s.askedAt) > permitRetention {
			delete(p.targets, target)
		}
	}
}
