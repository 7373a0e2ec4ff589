package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

var errNoLeader = errors.New("no leader is known")

// strikeWindow is the time between a broken answer and the sign of the target's death within which the request is
// suspected of having crashed it.
const strikeWindow = 2 * time.Second

// suspects finds requests that were running on targets that died.
type suspects struct {
	mu          sync.Mutex
	brokenAt    map[fleetapi.Strike]time.Time
	strikes     []fleetapi.Strike
	quarantined map[uint64]bool
}

func newSuspects() *suspects { return &suspects{brokenAt: make(map[fleetapi.Strike]time.Time)} }

// broken notes a request whose answer broke off at a target.
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

// died notes that a target accepts no connections any more.
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

// isQuarantined tells whether a request took several targets down.
func (s *suspects) isQuarantined(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantined[fingerprint]
}
