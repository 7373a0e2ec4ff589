package pace

import (
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// minLost is the least number of gateways that have to lose a target: one may be cut off itself.
const minLost = 2

// reach is what a gateway last reported about the targets that it reaches.
type reach struct {
	at            time.Time
	lost, serving []string
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

// isLost reports whether a target is lost, given the number of gateways that say so and whether it was before. While it serves
// others it is not: these are cut off from it.
func (s *Sums) isLost(now time.Time, id string, gateways int, wasLost bool) bool {
	if gateways < minLost {
		return false
	}
	if wasLost {
		return true
	}
	for _, r := range s.reach {
		if now.Sub(r.at) <= s.ttl && slices.Contains(r.serving, id) && !slices.Contains(r.lost, id) {
			return false
		}
	}
	return true
}

// setDown begins a phase when a target is lost, so that its window is known when it returns, and when it is there again, unless the
// phase goes on and the target has answered in it.
func (s *Sums) setDown(now time.Time, key roster.Key, k *known, down bool) {
	if down == k.down {
		return
	}
	k.down = down
	p := s.phases[key.ID]
	switch {
	case down && p == nil:
		s.begin(now, key, Lost)
	case !down && (p == nil || !p.answered()):
		s.begin(now, key, Recovered)
	}
}
