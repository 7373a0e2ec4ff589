package pace

import (
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

const (
	// heartbeatOverdue is the age of the latest heartbeat from which a target counts as silent: three intervals of 1.2 s plus
	// an allowance for one late heartbeat.
	heartbeatOverdue = 4500 * time.Millisecond
	// unreportedTTL is the time after which a phase is dropped at an instance that gets no load reports. Another one leads, and
	// its phases are continued from what gateways report.
	unreportedTTL = 2 * time.Second
)

// Target is a target as the leader knows it.
type Target struct {
	Key     roster.Key
	HeardAt time.Time // of the latest heartbeat
	Slots   int
	// Running is the number of requests of all gateways at the target.
	Running int
	// Full is the number of requests that the target takes after its start phase: its slots and its queue.
	Full int
}

// Cause is why a start phase began.
type Cause string

const (
	Started   Cause = "start"     // a new target or a new start of a known one
	Lost      Cause = "lost"      // gateways lost it, or its heartbeats stopped
	Recovered Cause = "recovered" // it is there again
	Continued Cause = "continued" // an earlier leader began it
)

// Change is the begin or the end of a start phase.
type Change struct {
	Target roster.Key
	Cause  Cause // empty for an end
	// Window is that at the change, Took the time since the begin, and InTime and Bad are the responses in the phase.
	Window, InTime, Bad int
	Took                time.Duration
}

// Report is what a gateway reports to the leader.
type Report struct {
	Gateway string
	// Lost are the targets that the gateway does not reach, or that are silent although they owe a response.
	Lost []string
	// Serving are the targets at which a response to the gateway has begun and goes on.
	Serving      []string
	Observations []Observation
}

// known is what the leader remembers of a target.
type known struct {
	startedAtMs int64
	slots, full int
	down        bool
	// servedAt is when a gateway last reported a response in progress.
	servedAt time.Time
}

// Sums keeps the windows at the leader. It is not safe for concurrent use.
type Sums struct {
	targets     map[string]*known // by target id, nil until the first list
	firstListAt time.Time
	phases      map[string]*phase
	// reach is what the last report of each gateway says about the targets that it reaches.
	reach map[string]reach
	// reportedSince is the time of the first report without a gap since, and reportedAt that of the latest one.
	reportedSince, reportedAt time.Time
	// gateways is the number of gateways that report.
	gateways int
	// ttl is the time for which a report counts.
	ttl     time.Duration
	changes []Change
}

// NewSums returns sums without targets.
func NewSums() *Sums {
	return &Sums{phases: make(map[string]*phase), reach: make(map[string]reach), ttl: minAllowanceTTL}
}

// SetTargets replaces the list of targets that take new work. Those that start later than the first ones begin a start phase.
func (s *Sums) SetTargets(now time.Time, list []Target) {
	if len(list) == 0 {
		return
	}
	if s.targets == nil {
		s.targets, s.firstListAt = make(map[string]*known, len(list)), now
	}
	present := make(map[string]bool, len(list))
	// An instance that hears from no target is cut off or stood still itself.
	trustsHeartbeats := !allSilent(now, list)
	lostBy := s.lostBy(now)
	for _, t := range list {
		present[t.Key.ID] = true
		k := s.targets[t.Key.ID]
		begins := k == nil && now.Sub(s.firstListAt) > firstListPeriod || k != nil && k.startedAtMs < t.Key.StartedAtMs
		if k == nil || begins {
			k = &known{startedAtMs: t.Key.StartedAtMs}
			s.targets[t.Key.ID] = k
		}
		k.slots, k.full = t.Slots, t.Full
		if begins {
			s.begin(now, t.Key, Started)
		}
		overdue := trustsHeartbeats && now.Sub(t.HeardAt) > heartbeatOverdue
		s.setDown(now, &t, k, overdue || k.isLost(now, lostBy[t.Key.ID]))
	}
	for id := range s.targets {
		if !present[id] {
			delete(s.targets, id)
			delete(s.phases, id)
		}
	}
	s.expire(now)
}

func allSilent(now time.Time, list []Target) bool {
	for _, t := range list {
		if now.Sub(t.HeardAt) <= heartbeatOverdue {
			return false
		}
	}
	return true
}

func (s *Sums) begin(now time.Time, key roster.Key, cause Cause) *phase {
	p := newPhase(now, key, s.targets[key.ID].full)
	s.phases[key.ID] = p
	s.change(Change{Target: key, Cause: cause, Window: p.window.size})
	return p
}

func (s *Sums) end(now time.Time, p *phase) {
	delete(s.phases, p.key.ID)
	s.change(Change{Target: p.key, Window: p.window.size, InTime: p.inTime, Bad: p.bad, Took: now.Sub(p.beganAt)})
}

// change notes a change for operators, unless the phase has no effect.
func (s *Sums) change(c Change) {
	if Applies(s.gateways, s.targets[c.Target.ID].slots) {
		s.changes = append(s.changes, c)
	}
}

// expire ends the phases that last too long, and drops those of an instance that does not lead.
func (s *Sums) expire(now time.Time) {
	for id, p := range s.phases {
		switch {
		case now.Sub(s.reportedAt) > unreportedTTL && now.Sub(p.beganAt) > unreportedTTL:
			delete(s.phases, id)
		case p.answered() && now.Sub(p.answeredAt) > maxPhase, now.Sub(p.beganAt) > maxIdlePhase:
			s.end(now, p)
		default:
			p.uses.expire(now, s.ttl)
		}
	}
}

// Report applies the report of a gateway. gateways is the number of those that report.
func (s *Sums) Report(now time.Time, r *Report, gateways int, reportInterval time.Duration) {
	s.gateways = gateways
	s.ttl = allowanceTTL(reportInterval)
	if now.Sub(s.reportedAt) > s.ttl {
		s.reportedSince = now
	}
	s.reportedAt = now
	s.setReach(now, r)
	for i := range r.Observations {
		s.observe(now, r.Gateway, &r.Observations[i])
	}
}

func (s *Sums) observe(now time.Time, gateway string, o *Observation) {
	k := s.targets[o.Target.ID]
	if k == nil || k.startedAtMs != o.Target.StartedAtMs {
		return
	}
	p := s.phases[o.Target.ID]
	if p == nil && o.Round > 0 && now.Sub(s.reportedSince) < settleTime {
		p = s.begin(now, o.Target, Continued)
	}
	if p == nil {
		return
	}
	if now.Sub(s.reportedSince) < settleTime {
		p.continueFrom(o)
	}
	p.uses.report(now, gateway, o.Wanted, o.InTime+o.Bad)
	if o.Round != p.round {
		return
	}
	bad := o.Bad
	if slices.Contains(s.reach[gateway].lost, o.Target.ID) {
		bad = 0 // the gateway does not reach the target, which says nothing about its pace
	}
	p.observe(now, o.InTime, o.Near, bad)
	if p.window.isFull() {
		s.end(now, p)
	}
}

// Parts returns the parts of a gateway that has just reported. ownRunning and running are the requests of that gateway and of
// all gateways at a target.
func (s *Sums) Parts(now time.Time, gateway string, ownRunning, running func(id string) int, reportInterval time.Duration) []Part {
	var parts []Part
	// A new leader does not know yet what the parts that its predecessor named are used for.
	settled := now.Sub(s.reportedSince) >= max(settleTime, 2*reportInterval)
	for id, p := range s.phases {
		if !Applies(s.gateways, s.targets[id].slots) {
			continue
		}
		allowed := p.allow(gateway, ownRunning(id), running(id), settled)
		parts = append(parts, Part{Target: p.key, Round: p.round, Window: p.window.size, Allowed: allowed})
	}
	return parts
}

// TakeChanges returns the begins and ends of phases since the last call.
func (s *Sums) TakeChanges() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// Leads reports whether gateways report to this instance.
func (s *Sums) Leads(now time.Time) bool { return now.Sub(s.reportedAt) <= unreportedTTL }

// Starting returns the number of targets in their start phase.
func (s *Sums) Starting() int { return len(s.phases) }
