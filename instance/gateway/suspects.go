package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

var errNoLeader = errors.New("no leader is known")

// strikeWindow is the longest time between a broken answer and a refused connection to the target for which the request is
// suspected of having crashed the target.
const strikeWindow = 2 * time.Second

// suspects finds requests that were running on targets when these crashed.
type suspects struct {
	mu          sync.Mutex
	brokenAt    map[fleetapi.Strike]time.Time
	strikes     []fleetapi.Strike
	quarantined map[uint64]bool
}

func newSuspects() *suspects { return &suspects{brokenAt: make(map[fleetapi.Strike]time.Time)} }

// broken records a request whose answer from a target broke off.
func (s *suspects) broken(fingerprint uint64, target roster.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for strike, at := range s.brokenAt {
		if now.Sub(at) > strikeWindow {
			delete(s.brokenAt, strike)
		}
	}
	s.brokenAt[fleetapi.Strike{Fingerprint: fingerprint, Target: target}] = now
}

// died records that a target accepts no connections any more: the requests that it broke off lately become strikes.
func (s *suspects) died(target roster.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for strike := range s.brokenAt {
		if strike.Target == target {
			s.strikes = append(s.strikes, strike)
			delete(s.brokenAt, strike)
		}
	}
}

// take returns the strikes since the last call.
func (s *suspects) take() []fleetapi.Strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.strikes
	s.strikes = nil
	return list
}

func (s *suspects) setQuarantined(list []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantined = make(map[uint64]bool, len(list))
	for _, f := range list {
		s.quarantined[f] = true
	}
}

// isQuarantined reports whether a request is refused because several targets crashed while they ran it.
func (s *suspects) isQuarantined(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantined[fingerprint]
}
