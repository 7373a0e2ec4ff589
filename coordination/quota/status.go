package quota

import "time"

// Status is what a ledger knows of one account.
type Status struct {
	// Limit and Used are the units of one window; Used includes Withheld, which gateways without this leader may use.
	Limit, Used, Withheld float64
	// Outstanding are units that are granted and not reported as used or given back.
	Outstanding float64
	// Admitted and Refused are requests of the last window.
	Admitted, Refused float64
}

// RefusedShare is the share of the requests of the last window that were refused.
func (s *Status) RefusedShare() float64 {
	if s.Refused <= 0 {
		return 0
	}
	return s.Refused / (s.Admitted + s.Refused)
}

// Status returns what the ledger knows of an account.
func (l *Ledger) Status(now time.Time, name string, limit Limit) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(now)
	s := Status{Limit: l.opts.units(limit)}
	a := l.accounts[name]
	if a == nil {
		return s
	}
	s.Used, s.Withheld, s.Outstanding = l.used(now, name, a, limit), l.withheld(now, name, a, limit), a.outstanding
	s.Admitted, s.Refused = a.admitted.Sum(now), a.refused.Sum(now)
	return s
}

// recordDecided counts the requests that a gateway decided since its last report.
func (a *account) recordDecided(now time.Time, u *memberUse, decided *Decided) {
	if decided == nil {
		return
	}
	if decided.Admitted >= u.decided.Admitted && decided.Refused >= u.decided.Refused {
		a.admitted.Add(now, float64(decided.Admitted-u.decided.Admitted))
		a.refused.Add(now, float64(decided.Refused-u.decided.Refused))
	}
	u.decided = *decided
}
