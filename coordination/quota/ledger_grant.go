package quota

import (
	"math"
	"time"
)

const (
	// minDenial is the least time for which a gateway is told not to ask again. It grows with the denials of the last second
	// beyond freeDenials, up to maxDenial, so that hundreds of gateways do not keep the leader busy with requests that it denies.
	minDenial   = 100 * time.Millisecond
	maxDenial   = time.Second
	freeDenials = 20.0
	// denialHalfLife is the time in which the weight of a denial decays by half.
	denialHalfLife = time.Second
)

// Grant answers a request for a grant.
func (l *Ledger) Grant(now time.Time, r GrantRequest, limit Limit) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(now)
	m := l.gateways[r.Gateway]
	if m == nil || m.silent || m.sequence == 0 || r.Epoch != l.epoch || !l.ready(now) {
		return Grant{}
	}
	a, u := l.account(r.Account), m.use(r.Account)
	a.largest = max(a.largest, r.Cost)
	free := l.opts.bound(limit) - l.used(now, r.Account, a, limit) - a.outstanding
	held := a.held.sum(now)
	if excess := r.Cost + held - free; excess > 0 {
		return Grant{Ready: true, WaitMs: a.deny(now, excess).Milliseconds()}
	}
	unackedRoom := l.unackedRoom(a, limit, r.Cost)
	if r.Cost > unackedRoom && max(len(l.gateways), l.predecessors) > 1 { // a gateway knows of its own grants
		return Grant{Ready: true, Hold: true, WaitMs: l.hold(now, a, r.Cost, r.Cost-unackedRoom).Milliseconds()}
	}
	room := freeGrantShare*l.opts.units(limit) - (l.opts.bound(limit) - free) - r.Cost - held
	extra := math.Floor(min(r.Want-r.Cost, grantPart*room, l.advanceRoom(a, limit)-r.Cost))
	l.grant(now, a, u, r.Cost+max(extra, 0))
	return Grant{Ready: true, OK: true, Granted: u.granted}
}

// deny returns the time until units are forgotten, or longer if many requests for grants are denied.
func (a *account) deny(now time.Time, units float64) time.Duration {
	for ; a.denials > 0.1 && now.Sub(a.deniedAt) >= denialHalfLife; a.deniedAt = a.deniedAt.Add(denialHalfLife) {
		a.denials /= 2
	}
	if a.denials <= 0.1 {
		a.deniedAt = now
	}
	a.denials++
	base := max(a.window.FreeAfter(now, units), minDenial)
	return min(time.Duration(max(a.denials/freeDenials, 1)*float64(base)), max(maxDenial, base))
}
