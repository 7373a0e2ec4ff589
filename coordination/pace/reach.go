package pace

import (
	"slices"
	"time"
)

// minLost is the least number of gateways that have to lose a target: one may be cut off itself.
const minLost = 2

// unservedPeriod is the time without a gateway with a response in progress after which a target that others lost counts as lost. A
// stream lasts about as long, so that a target in use is named in one report or another within it.
const unservedPeriod = time.Second

// reach is what a gateway last reported about the targets that it reaches.
type reach struct {
	at   time.Time
	lost []string
}

// lostBy returns, by target, the number of gateways that lost it. It drops reports that no longer count.
func (s *Sums) lostBy(now time.Time) map[string]int {
	lost := make(map[string]int)
	for gateway, r := range s.reach {
		if now.Sub(r.at) > s.ttl {
			delete(s.reach, gateway)
			continue
		}
		for _, id := range r.lost {
			lost[id]++
		}
	}
	return lost
}

// setReach replaces what a gateway reports about the targets that it reaches.
func (s *Sums) setReach(now time.Time, r *Report) {
	s.reach[r.Gateway] = reach{at: now, lost: r.Lost}
	for _, id := range r.Serving {
		if k := s.targets[id]; k != nil && !slices.Contains(r.Lost, id) {
			k.servedAt = now
		}
	}
}

// isLost reports whether a target is lost, given the number of gateways that say so. While it serves others it is not: these are cut
// off from it.
func (k *known) isLost(now time.Time, gateways int) bool {
	return gateways >= minLost && (k.down || now.Sub(k.servedAt) > unservedPeriod)
}

// setDown begins a phase when a target is lost, so that its window is known when it returns, and when it is there again, unless the
// phase goes on and the target has answered in it.
func (s *Sums) setDown(now time.Time, t *Target, k *known, down bool) {
	if down == k.down {
		return
	}
	k.down = down
	p := s.phases[t.Key.ID]
	switch {
	case down && p == nil:
		s.begin(now, t.Key, Lost)
	case !down && (p == nil || !p.answered()):
		s.recover(now, t)
	}
}

// recover begins the phase of a target that is there again. It goes on with the requests that it had taken before, so its window
// is twice that, as after a round in time: most of a smaller one would be idle while these end.
func (s *Sums) recover(now time.Time, t *Target) {
	p := s.begin(now, t.Key, Recovered)
	p.window.size = min(max(p.window.size, 2*t.Running), p.window.full)
	if p.window.isFull() {
		s.end(now, p)
	}
}
