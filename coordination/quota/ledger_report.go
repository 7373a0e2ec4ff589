package quota

import (
	"math"
	"time"
)

const (
	// closeShare is the part of a limit from which use and grants together are close to it: unused grants are given back, and
	// gateways ask for each request.
	closeShare = 0.75
	// freeGrantShare is the part of a limit up to which gateways get grants for more than requests that they have. Demand of seven times
	// the rate grows by 0.2 of the limit within 0.25 s, until gateways have given back what they hold.
	freeGrantShare = 0.65
	// grantPart is the part of what may be granted that one gateway gets beyond one request.
	grantPart = 0.25
)

// Report records the report of a gateway and returns the levels of the accounts in use there, and of all that are busy. limits returns the quota of an account, ok
// is false if it has none.
func (l *Ledger) Report(now time.Time, gateway string, r *Report, limits func(account string) (limit Limit, ok bool)) *Levels {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(now)
	m := l.member(now, gateway, r)
	if m == nil {
		return &Levels{Epoch: l.epoch, Rejoin: true}
	}
	if r.Sequence > m.sequence {
		if r.Answered > 0 && r.Answered >= m.sequence {
			m.ackedAt = m.reportedAt // the answer to the report before
		}
		m.sequence, m.reportedAt = r.Sequence, now
		m.silent = false
		for i := range r.Uses {
			l.record(now, m, &r.Uses[i])
		}
	}
	levels := &Levels{Epoch: l.epoch, Ready: l.ready(now), Gateways: l.active()}
	if !levels.Ready {
		return levels
	}
	for name, u := range m.uses {
		if u.want == 0 {
			continue
		}
		if limit, ok := limits(name); ok {
			levels.Levels = append(levels.Levels, l.level(now, name, u, limit))
		}
	}
	l.updateBusy(now, limits)
	for i := range l.busy {
		if u := m.uses[l.busy[i].Account]; u == nil || u.want == 0 {
			levels.Levels = append(levels.Levels, l.busy[i])
		}
	}
	return levels
}

// busyShare is the part of a limit from which all gateways are told the level of an account. Without a leader, gateways that know no
// level use up to half of the limit together, and demand of seven times the rate adds 0.2 until a level arrives.
const busyShare = 0.4

// updateBusy finds the accounts whose level all gateways are told: a gateway that serves no request of an account may do so next,
// without this leader.
func (l *Ledger) updateBusy(now time.Time, limits func(account string) (limit Limit, ok bool)) {
	if now.Sub(l.busyAt) < checkInterval {
		return
	}
	l.busyAt, l.busy = now, nil
	for name, a := range l.accounts {
		limit, ok := limits(name)
		if ok && l.used(now, name, a, limit) > busyShare*l.opts.units(limit) {
			l.busy = append(l.busy, Level{Account: name, ByAge: l.byAge(now, a), Share: l.equalPart()})
		}
	}
}

// member returns the member that a report is from, or nil if it has to join first.
func (l *Ledger) member(now time.Time, gateway string, r *Report) *member {
	m := l.gateways[gateway]
	if m != nil && m.incarnation != r.Incarnation {
		// What the earlier process held may have been used.
		l.assumeUsed(now, m)
		l.forget(m)
		m.incarnation, m.sequence, m.uses, m.ackedAt = r.Incarnation, 0, make(map[string]*memberUse), now
		return nil
	}
	switch {
	case r.Epoch != l.epoch:
		return nil
	case m != nil && (r.Joins || m.sequence > 0):
		return m
	case !r.Joins:
		return nil
	}
	m = &member{incarnation: r.Incarnation, uses: make(map[string]*memberUse), ackedAt: now}
	l.gateways[gateway] = m
	l.predecessors = max(l.predecessors, r.Gateways)
	if r.Gateways > 0 {
		l.carried++
	}
	for i := range r.Uses {
		l.join(now, m, &r.Uses[i])
	}
	return m
}

// join records what a gateway used before it joined.
func (l *Ledger) join(now time.Time, m *member, use *Use) {
	a := l.account(use.Account)
	u := m.use(use.Account)
	u.spent = use.Spent
	if use.Decided != nil {
		u.decided = *use.Decided
	}
	for age, units := range use.Past {
		a.window.AddAt(now, now.Add(-time.Duration(age)*time.Second), units)
	}
	if use.Share > 0 {
		a.joinedShare += use.Share
		a.joined++
	}
	level := stated{byAge: use.Stated, at: now.Add(-time.Duration(use.AgeMs) * time.Millisecond)}
	if level.remaining(now, l.opts.Window) > a.inherited.remaining(now, l.opts.Window) {
		a.inherited = level
	}
}

// record updates the sums by what a gateway states of one account.
func (l *Ledger) record(now time.Time, m *member, use *Use) {
	a, u := l.account(use.Account), m.use(use.Account)
	a.largest = max(a.largest, use.Cost)
	delta := use.Spent - u.spent
	if u.assumed > 0 {
		a.window.RemoveAt(now, u.assumedAt, u.assumed)
		u.assumed = 0
	}
	a.window.Add(now, max(delta, 0))
	a.recordDecided(now, u, use.Decided)
	u.spent = use.Spent
	for _, b := range use.Back {
		a.window.RemoveAt(now, now.Add(-time.Duration(b.AgeMs)*time.Millisecond), b.Units)
	}
	outstanding := max(u.granted-use.Taken, 0)
	a.outstanding += outstanding - u.outstanding
	a.own += use.Own - u.own
	u.outstanding, u.own, u.want, u.cost = outstanding, use.Own, use.Want, use.Cost
}

// level returns the level of an account and grants what the gateway wants while the account is far from its limit.
func (l *Ledger) level(now time.Time, name string, u *memberUse, limit Limit) Level {
	a := l.account(name)
	used, units := l.used(now, name, a, limit), l.opts.units(limit)
	// Held requests count: grants in advance would take the room that they wait for.
	committed := used + a.held.sum(now)
	isClose := committed > freeGrantShare*units || committed+a.outstanding > closeShare*units
	if !isClose {
		give := math.Floor(min(u.want-u.outstanding, grantPart*(freeGrantShare*units-committed-a.outstanding), l.advanceRoom(a, limit)))
		if give > 0 && u.outstanding+give >= u.cost {
			l.grant(now, a, u, give)
		}
	}
	l.updateShare(a, u)
	return Level{Account: name, ByAge: l.byAge(now, a), Granted: u.granted, Share: u.share, Close: isClose}
}

// byAge returns the use of the last window by age, in whole units. What is granted or inherited counts as used now.
func (l *Ledger) byAge(now time.Time, a *account) []float64 {
	ages := a.window.ByAge(now)
	if len(ages) == 0 {
		ages = []float64{0}
	}
	ages[0] += a.outstanding + a.inheritedUnits(now, l.opts.Window)
	for i := range ages {
		ages[i] = math.Ceil(ages[i])
	}
	return ages
}

// updateShare divides the limit by use. The parts of all gateways together stay at most 1 - equalShare: while the use of an account
// begins, the first gateway that reports has all of it, and others are told their parts before the first one is told a smaller part.
func (l *Ledger) updateShare(a *account, u *memberUse) {
	byUse := 0.0
	if a.own > 0 {
		byUse = roundShare(max(min(u.own/a.own*(1-equalShare), 1-equalShare-(a.byUse-u.byUse)), 0))
	}
	a.byUse += byUse - u.byUse
	u.byUse, u.share = byUse, l.equalPart()+byUse
}

func (l *Ledger) grant(now time.Time, a *account, u *memberUse, units float64) {
	a.unacked.add(now, units)
	u.granted += units
	u.outstanding += units
	a.outstanding += units
}
