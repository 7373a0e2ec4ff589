package rotation

import "time"

// Cause is why a gateway returned to rotation.
type Cause string

// Causes of a return.
const (
	Recovered  Cause = "recovered"
	TimeIsUp   Cause = "time is up"
	LeaderLost Cause = "leader lost"
	CalledBack Cause = "called back"
)

// Return describes a return to rotation.
type Return struct {
	Cause Cause
	Out   time.Duration // time out of rotation
}

// Member is the part of one gateway. It is not safe for concurrent use. Its clock has to go on while the machine is suspended:
// the leader counts on the gateway to return by itself.
type Member struct {
	out   bool
	since time.Time
	// askedAt is the time of the latest report whose answer said that the gateway is out.
	askedAt time.Time
	// lowSince is the start of the time with a low lag, zero while it is not low.
	lowSince   time.Time
	returnedAt time.Time
}

// Out reports whether the gateway is out of rotation. The bounds on the time hold even if Step was not called in time.
func (m *Member) Out(now time.Time) bool {
	return m.out && now.Before(m.since.Add(MaxOut)) && now.Before(m.askedAt.Add(LeaderTimeout))
}

// State returns the state for a report.
func (m *Member) State(now time.Time) State {
	switch {
	case m.Out(now):
		return Out
	case m.out, !m.returnedAt.IsZero() && now.Before(m.returnedAt.Add(RestTime)):
		return Resting
	}
	return In
}

// Apply applies the answer to a report that was sent at askedAt. It reports whether the gateway leaves rotation. Step must have
// been called at the same time.
func (m *Member) Apply(now, askedAt time.Time, a Answer) (left bool, returned *Return) {
	switch {
	case !a.Decided:
	case a.Out && m.out:
		if askedAt.After(m.askedAt) {
			m.askedAt = askedAt
		}
	case a.Out && m.State(now) == In && now.Before(askedAt.Add(LeaderTimeout)):
		m.out, m.since, m.askedAt, m.lowSince = true, now, askedAt, time.Time{}
		return true, nil
	case !a.Out && m.out:
		return false, m.comeBack(now, CalledBack)
	}
	return false, nil
}

// Step returns the gateway to rotation if it has to, and describes that. lag is the lag now. It is called with each
// sample of the lag while the gateway is out.
func (m *Member) Step(now time.Time, lag time.Duration) *Return {
	if !m.out {
		return nil
	}
	limit, lost := m.since.Add(MaxOut), m.askedAt.Add(LeaderTimeout)
	switch {
	case !now.Before(limit) && !lost.Before(limit):
		return m.comeBack(limit, TimeIsUp)
	case !now.Before(lost):
		return m.comeBack(lost, LeaderLost)
	case lag >= recoveredLag:
		m.lowSince = time.Time{}
	case m.lowSince.IsZero():
		m.lowSince = now
	case now.Sub(m.lowSince) >= recoveredTime:
		return m.comeBack(now, Recovered)
	}
	return nil
}

func (m *Member) comeBack(at time.Time, cause Cause) *Return {
	m.out, m.returnedAt = false, at
	return &Return{Cause: cause, Out: at.Sub(m.since)}
}
