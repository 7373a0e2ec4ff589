package quota

import "time"

const (
	// unackedRequests is the size, in requests like the one to be granted, that unacknowledged grants may have in any case. Where a
	// request is larger than a tenth of the limit, it would otherwise wait for as long as smaller ones keep arriving.
	unackedRequests = 2
	// advanceShare is the part of the unacknowledged grants that may be granted in advance, so that calls for requests find room.
	advanceShare = 0.5
	// unackedWidth is the resolution of the times of grants.
	unackedWidth = 10 * time.Millisecond
	// ackValidities is the number of validity periods without an acknowledgement after which a gateway is not waited for. Its
	// answers are lost, or it is of a build that acknowledges none. It uses no grants meanwhile.
	ackValidities = 2
	// MaxHold bounds the time for which a request waits because earlier grants are not acknowledged. When an account sends 0.9 of
	// its limit at once, the last request waits for 1.3 to 1.7 s.
	MaxHold = 3 * time.Second
)

// timedUnits are units with a time.
type timedUnits struct {
	at    time.Time
	units float64
}

// unackedGrants are the grants of an account since the oldest level that a gateway in contact knows. If the leader is lost,
// gateways do not know of them, so their sum bounds by how much the use of gateways without a leader exceeds the planned one.
type unackedGrants struct {
	grants []timedUnits // by time
	sum    float64
}

func (g *unackedGrants) add(now time.Time, units float64) {
	g.sum += units
	if last := len(g.grants) - 1; last >= 0 && now.Sub(g.grants[last].at) < unackedWidth {
		g.grants[last].at, g.grants[last].units = now, g.grants[last].units+units
		return
	}
	g.grants = append(g.grants, timedUnits{now, units})
}

// acknowledge removes the grants that all gateways know of which have a level of a time.
func (g *unackedGrants) acknowledge(at time.Time) {
	n := 0
	for n < len(g.grants) && g.grants[n].at.Before(at) {
		g.sum -= g.grants[n].units
		n++
	}
	if g.grants = g.grants[n:]; len(g.grants) == 0 {
		g.grants, g.sum = nil, 0
	}
}

// grantedAt returns the time of the grant after whose acknowledgement a number of units fewer are unacknowledged.
func (g *unackedGrants) grantedAt(units float64) time.Time {
	for i := range g.grants {
		if units -= g.grants[i].units; units <= 0 || i == len(g.grants)-1 {
			return g.grants[i].at
		}
	}
	return time.Time{}
}

// heldRequests are requests that wait at gateways, with the times at which they ask again.
type heldRequests []timedUnits

// add adds a request. Those that ask again at about the same time are one entry with the earliest time: a request that still counts
// as held when it asks again would be denied because of itself.
func (h *heldRequests) add(at time.Time, units float64) {
	if last := len(*h) - 1; last >= 0 && (*h)[last].at.Sub(at).Abs() < unackedWidth {
		if (*h)[last].units += units; at.Before((*h)[last].at) {
			(*h)[last].at = at
		}
		return
	}
	*h = append(*h, timedUnits{at, units})
}

// sum forgets the requests that have asked again, and returns the units of the others.
func (h *heldRequests) sum(now time.Time) float64 {
	kept, sum := (*h)[:0], 0.0
	for _, r := range *h {
		if r.at.After(now) {
			kept = append(kept, r)
			sum += r.units
		}
	}
	*h = kept
	return sum
}

// unackedRoom returns how much may be granted in addition, for a request of a size, before the gateways acknowledge it.
func (l *Ledger) unackedRoom(a *account, limit Limit, cost float64) float64 {
	a.unacked.acknowledge(l.ackedAt)
	return max(l.opts.unseenPart(limit, l.active())*l.opts.units(limit), unackedRequests*cost) - a.unacked.sum
}

// advanceRoom returns how much may be granted in addition in advance.
func (l *Ledger) advanceRoom(a *account, limit Limit) float64 {
	a.unacked.acknowledge(l.ackedAt)
	return advanceShare*l.opts.unseenPart(limit, l.active())*l.opts.units(limit) - a.unacked.sum
}

// hold returns the time after which a request that exceeds the room by a number of units may be granted: a gateway acknowledges a
// level with its second report after the grant.
func (l *Ledger) hold(now time.Time, a *account, cost, excess float64) time.Duration {
	acked := a.unacked.grantedAt(excess).Add(2*l.opts.Interval(len(l.gateways)) + checkInterval)
	wait := max(acked.Sub(now), checkInterval).Truncate(time.Millisecond) // as it is sent
	a.held.add(now.Add(wait), cost)
	return wait
}

// updateAcked finds the time of the oldest level that is the newest one at a gateway in contact.
func (l *Ledger) updateAcked(now time.Time) {
	acked := now
	longest := ackValidities * l.opts.validity(len(l.gateways))
	for _, m := range l.gateways {
		if !m.silent && m.ackedAt.Before(acked) && now.Sub(m.ackedAt) <= longest {
			acked = m.ackedAt
		}
	}
	l.ackedAt = acked
}
