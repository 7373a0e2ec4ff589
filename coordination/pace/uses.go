package pace

import "time"

// use is what a gateway wants and was allowed, as of its last report.
type use struct {
	at time.Time
	// wanted is the number of requests that it could have sent since the report before, and responses that of those that it got.
	wanted, responses int
	running, allowed  int
	// turn is the number of the last turn of the gateway, see uses.takeTurn.
	turn int
}

func (u *use) unused() int { return max(u.allowed-u.running, 0) }

// uses are those of all gateways at one target, with their sums: the leader applies hundreds of reports a second.
type uses struct {
	byGateway map[string]*use
	// unused and wanted are the sums, waiting is the number of gateways with requests and without an unused part.
	unused, wanted, waiting int
	turns                   int
}

func newUses() uses { return uses{byGateway: make(map[string]*use)} }

func (s *uses) add(u *use)    { s.count(u, 1) }
func (s *uses) remove(u *use) { s.count(u, -1) }

func (s *uses) count(u *use, sign int) {
	s.unused += sign * u.unused()
	s.wanted += sign * u.wanted
	if u.wanted > 0 && u.unused() == 0 {
		s.waiting += sign
	}
}

// report records what a gateway reports.
func (s *uses) report(now time.Time, gateway string, wanted, responses int) {
	u := s.byGateway[gateway]
	if u == nil {
		u = &use{}
		s.byGateway[gateway] = u
	} else {
		s.remove(u)
	}
	u.at, u.wanted, u.responses = now, wanted, responses
	s.add(u)
}

// takeTurn reports whether a gateway, which is not counted, may have a single request while there are more gateways with requests than
// the window has: as many others as wait had their turn since its last one.
func (s *uses) takeTurn(u *use) bool {
	if u.turn > 0 && s.turns-u.turn < s.waiting {
		return false
	}
	s.turns++
	u.turn = s.turns
	return true
}

// expire drops the gateways that stopped reporting.
func (s *uses) expire(now time.Time, ttl time.Duration) {
	for gateway, u := range s.byGateway {
		if now.Sub(u.at) > ttl {
			s.remove(u)
			delete(s.byGateway, gateway)
		}
	}
}
