package rotation

import (
	"slices"
	"time"
)

const (
	// pictureTime is the time for which the picture of a data centre is used for the comparison with its median.
	pictureTime = 100 * time.Millisecond
	// pruneInterval is the time between two searches for gateways that are no longer known.
	pruneInterval = time.Second
)

// Planner decides, at the leader, which gateways are out of rotation. A leader starts with a new one. It is not safe for
// concurrent use.
type Planner struct {
	startedAt   time.Time
	prunedAt    time.Time
	gateways    map[string]*gateway
	dataCentres map[string]*dataCentre
}

type gateway struct {
	dataCentre  *dataCentre
	reportedAt  time.Time
	lag         time.Duration
	connections int
	// overloadedSince is the time of the first of the latest reports all of which said that the gateway is overloaded.
	overloadedSince time.Time
	// orderedAt is when the gateway was taken out, and countedUntil the time until which it counts as out.
	orderedAt, countedUntil time.Time
	// wasOut is set once the gateway has reported that it is out.
	wasOut    bool
	restUntil time.Time
	// rests is set if the latest report says so. After a change of the leader, restUntil is not known.
	rests bool
}

func (g *gateway) isOut(now time.Time) bool { return now.Before(g.countedUntil) }

// isDue reports whether the gateway has been overloaded for long enough to be taken out.
func (g *gateway) isDue(now time.Time) bool {
	return !g.rests && !g.overloadedSince.IsZero() && now.Sub(g.overloadedSince) >= overloadTime && !now.Before(g.restUntil)
}

type dataCentre struct {
	takenAt time.Time // when a gateway was taken out last
	picture picture
}

// picture is the state of a data centre.
type picture struct {
	at                    time.Time
	known, reporting, out int
	median                time.Duration
	connections           int // mean, rounded up
}

// enoughReport reports whether three quarters of the known gateways report.
func (p *picture) enoughReport() bool { return 4*p.reporting >= 3*p.known }

// NewPlanner returns the planner of an instance that leads from now on.
func NewPlanner(now time.Time) *Planner {
	return &Planner{startedAt: now, gateways: make(map[string]*gateway), dataCentres: make(map[string]*dataCentre)}
}

// Taken describes a gateway that is taken out.
type Taken struct {
	Lag, Median    time.Duration
	Out, Reporting int // gateways of its data centre
}

// Report records the report of a gateway and returns the answer. A gateway whose last report is older than timeout does not
// report. taken is set if the gateway is taken out now.
func (p *Planner) Report(now time.Time, timeout time.Duration, r Report) (a Answer, taken *Taken) {
	p.prune(now)
	g := p.record(now, timeout, r)
	switch r.State {
	case Resting:
		if g.wasOut || g.isOut(now) {
			g.restUntil = now.Add(RestTime)
		}
		g.wasOut, g.countedUntil = false, time.Time{}
		return Answer{}, nil
	case Out:
		return p.continueOut(now, timeout, g), nil
	}
	if g.isOut(now) {
		return p.repeatOrder(now, timeout, g), nil
	}
	if g.wasOut {
		g.wasOut, g.restUntil = false, now.Add(RestTime) // it restarted while it was out
	}
	if !g.isDue(now) || now.Sub(p.startedAt) < settleTime || now.Sub(g.dataCentre.takenAt) < takeInterval {
		return Answer{}, nil
	}
	pic := p.look(now, timeout, g.dataCentre)
	if !pic.enoughReport() || pic.out >= MaxOutOf(pic.reporting) || !isOverloaded(g.lag, pic.median) || p.worseIsDue(now, timeout, g) {
		return Answer{}, nil
	}
	g.dataCentre.takenAt, g.orderedAt = now, now
	return p.order(now, g, &pic), &Taken{Lag: g.lag, Median: pic.median, Out: pic.out + 1, Reporting: pic.reporting}
}

// record stores a report and whether the gateway has been overloaded since an earlier one.
func (p *Planner) record(now time.Time, timeout time.Duration, r Report) *gateway {
	g := p.gateways[r.Gateway]
	if g == nil {
		g = &gateway{}
		p.gateways[r.Gateway] = g
	}
	dc := p.dataCentres[r.DataCentre]
	if dc == nil {
		dc = &dataCentre{}
		p.dataCentres[r.DataCentre] = dc
	}
	if g.dataCentre != dc || now.Sub(g.reportedAt) > timeout {
		g.overloadedSince = time.Time{}
	}
	g.dataCentre, g.reportedAt, g.lag, g.connections, g.rests = dc, now, r.Lag, r.Connections, r.State == Resting
	if r.Lag <= overloadLag || !isOverloaded(r.Lag, p.medianOf(now, timeout, dc)) {
		g.overloadedSince = time.Time{}
	} else if g.overloadedSince.IsZero() {
		g.overloadedSince = now
	}
	return g
}

// isOverloaded compares the lag of a gateway with the median of its data centre.
func isOverloaded(lag, median time.Duration) bool { return lag > overloadLag && median < lag/2 }

// continueOut answers a gateway that reports that it is out, perhaps by the order of an earlier leader.
func (p *Planner) continueOut(now time.Time, timeout time.Duration, g *gateway) Answer {
	g.wasOut = true
	if !g.isOut(now) {
		g.countedUntil = now.Add(holdTime)
		g.orderedAt = now
	}
	pic := p.look(now, timeout, g.dataCentre)
	if !p.mayStayOut(now, &pic) {
		return Answer{Decided: true} // it counts until it has reported its return
	}
	return p.order(now, g, &pic)
}

// repeatOrder answers a gateway that was told to be out and has not received that, or has restarted since.
func (p *Planner) repeatOrder(now time.Time, timeout time.Duration, g *gateway) Answer {
	pic := p.look(now, timeout, g.dataCentre)
	if g.wasOut || g.overloadedSince.IsZero() || now.Sub(g.orderedAt) >= MaxOut || !p.mayStayOut(now, &pic) {
		return Answer{}
	}
	return p.order(now, g, &pic)
}

func (p *Planner) order(now time.Time, g *gateway, pic *picture) Answer {
	g.countedUntil = now.Add(holdTime)
	return Answer{Decided: true, Out: true, MeanConnections: pic.connections}
}

// mayStayOut reports whether gateways that are out may stay so. They are called back when gateways were lost meanwhile, or
// when the others became overloaded as well. A new leader knows too few gateways to tell.
func (p *Planner) mayStayOut(now time.Time, pic *picture) bool {
	return now.Sub(p.startedAt) < settleTime || pic.enoughReport() && pic.out <= MaxOutOf(pic.reporting) && pic.median <= overloadLag
}

// worseIsDue reports whether another gateway of the data centre is due whose lag is longer.
func (p *Planner) worseIsDue(now time.Time, timeout time.Duration, than *gateway) bool {
	for _, g := range p.gateways {
		if g.dataCentre == than.dataCentre && g.lag > than.lag && now.Sub(g.reportedAt) <= timeout && !g.isOut(now) && g.isDue(now) {
			return true
		}
	}
	return false
}

func (p *Planner) medianOf(now time.Time, timeout time.Duration, dc *dataCentre) time.Duration {
	if dc.picture.at.IsZero() || now.Sub(dc.picture.at) >= pictureTime {
		dc.picture = p.look(now, timeout, dc)
	}
	return dc.picture.median
}

// look takes a picture of a data centre. The median of an even number is the higher one.
func (p *Planner) look(now time.Time, timeout time.Duration, dc *dataCentre) picture {
	pic := picture{at: now}
	lags := make([]time.Duration, 0, len(p.gateways))
	for _, g := range p.gateways {
		if g.dataCentre != dc || now.Sub(g.reportedAt) > knownTime {
			continue
		}
		pic.known++
		if g.isOut(now) {
			pic.out++
		}
		if now.Sub(g.reportedAt) <= timeout {
			lags = append(lags, g.lag)
			pic.connections += g.connections
		}
	}
	pic.reporting = len(lags)
	if pic.reporting > 0 {
		slices.Sort(lags)
		pic.median = lags[len(lags)/2]
		pic.connections = (pic.connections + len(lags) - 1) / len(lags)
	}
	return pic
}

// Out returns the names of the gateways that count as out of rotation, in order.
func (p *Planner) Out(now time.Time) []string {
	var names []string
	for name, g := range p.gateways {
		if g.isOut(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// prune forgets gateways that are no longer known.
func (p *Planner) prune(now time.Time) {
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	for name, g := range p.gateways {
		if now.Sub(g.reportedAt) > knownTime {
			delete(p.gateways, name)
		}
	}
}
