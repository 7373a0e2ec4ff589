package rotation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// Times of control instances and gateways, see instance/controlinstance and protocol/fleetapi.
	testTimeout  = time.Second
	testInterval = 100 * time.Millisecond
	testCall     = 400 * time.Millisecond
	testLease    = 350 * time.Millisecond
	testElection = 700 * time.Millisecond
	testTakeover = 600 * time.Millisecond
	tick         = 10 * time.Millisecond
)

// driver plays gateways and control instances in virtual time.
type driver struct {
	rng      *rand.Rand
	now      time.Time
	gateways []*testGateway
	leaders  []*testLeader // in the order of their terms
	maxDelay time.Duration
	loss     float64 // share of messages that are lost
	taken    []takenAt
	returns  map[Cause]int
	changes  []change // that are due later
}

type change struct {
	at time.Time
	do func()
}

type takenAt struct {
	at      time.Time
	gateway *testGateway
	leader  *testLeader
	Taken
}

// testLeader is a control instance in one term.
type testLeader struct {
	planner               *Planner
	leaseFrom, leaseUntil time.Time
	frozenUntil           time.Time
	heardAt               map[*testGateway]time.Time
}

type testGateway struct {
	name, dataCentre string
	member           *Member
	lag              time.Duration
	connections      int
	leader           *testLeader
	reportAt         time.Time
	// call is the report in progress.
	call                             *call
	downUntil, frozenUntil, cutUntil time.Time
	outSince, returnedAt             time.Time // as observed from outside
}

// call is a report on its way. Its answer is computed at servedAt, and arrives at answerAt unless it is lost.
type call struct {
	askedAt, servedAt, answerAt time.Time
	report                      Report
	leader                      *testLeader
	served, lost                bool
	answer                      Answer
}

func newDriver(seed uint64) *driver {
	d := &driver{rng: rand.New(rand.NewPCG(seed, 1)), now: begin, maxDelay: 5 * time.Millisecond, returns: make(map[Cause]int)}
	d.lead(begin)
	return d
}

func (d *driver) add(dataCentre string, n int) {
	for i := range n {
		d.gateways = append(d.gateways, &testGateway{name: fmt.Sprint(dataCentre, i), dataCentre: dataCentre, member: &Member{},
			leader: d.leaders[0], reportAt: d.now.Add(d.random(testInterval)), lag: time.Millisecond, connections: 5})
	}
}

func (d *driver) random(most time.Duration) time.Duration {
	return time.Duration(d.rng.Float64() * float64(most))
}

// lead lets a new control instance lead, whose lease begins at a time.
func (d *driver) lead(leaseFrom time.Time) {
	d.leaders = append(d.leaders, &testLeader{leaseFrom: leaseFrom, leaseUntil: leaseFrom.Add(24 * time.Hour), heardAt: make(map[*testGateway]time.Time)})
}

func (d *driver) leader() *testLeader { return d.leaders[len(d.leaders)-1] }

// replaceLeader ends the lease of the leader, at most testLease later, and lets another one lead after an election. Gateways hear of it
// within a second, those that stay with the old one after stay.
func (d *driver) replaceLeader(election, stay time.Duration) {
	old := d.leader()
	if d.now.Before(old.leaseFrom) {
		return // an election is in progress
	}
	old.leaseUntil = d.now.Add(d.random(testLease))
	d.lead(d.now.Add(election + testTakeover))
	for _, g := range d.gateways {
		g.leader = nil
		if d.rng.IntN(2) == 0 && stay > 0 {
			g.leader = old
		}
	}
	next := d.leader()
	d.changes = append(d.changes, change{d.now.Add(election + d.random(time.Second)), func() {
		for _, g := range d.gateways {
			if g.leader == nil {
				g.leader = next
			}
		}
	}}, change{d.now.Add(max(stay, election+time.Second)), func() {
		for _, g := range d.gateways {
			g.leader = next
		}
	}})
}

func (d *driver) step() {
	d.now = d.now.Add(tick)
	for i := 0; i < len(d.changes); i++ {
		if c := d.changes[i]; !d.now.Before(c.at) {
			d.changes = append(d.changes[:i], d.changes[i+1:]...)
			i--
			c.do()
		}
	}
	for _, g := range d.gateways {
		d.stepGateway(g)
	}
}

func (d *driver) stepGateway(g *testGateway) {
	d.serve(g)
	if d.now.Before(g.frozenUntil) || d.now.Before(g.downUntil) {
		return
	}
	if back := g.member.Step(d.now, g.lag); back != nil {
		d.returns[back.Cause]++
	}
	if c := g.call; c != nil {
		arrived, late := c.served && !c.lost && !d.now.Before(c.answerAt), !d.now.Before(c.askedAt.Add(testCall))
		if arrived && (!late || d.rng.IntN(2) == 0) { // the timer and the answer race when both are due
			_, back := g.member.Apply(d.now, c.askedAt, c.answer)
			if back != nil {
				d.returns[back.Cause]++
			}
		}
		if arrived || late {
			g.call = nil
		}
	}
	if g.call == nil && !d.now.Before(g.reportAt) {
		g.reportAt = d.now.Add(testInterval - d.random(testInterval/5))
		if g.leader == nil || d.now.Before(g.cutUntil) || d.rng.Float64() < d.loss {
			return
		}
		g.call = &call{askedAt: d.now, servedAt: d.now.Add(d.random(d.maxDelay)), leader: g.leader, lost: d.rng.Float64() < d.loss,
			report: Report{Gateway: g.name, DataCentre: g.dataCentre, Lag: g.lag, Connections: g.connections, State: g.member.State(d.now)}}
	}
}

// serve answers the report of a gateway when it reaches the leader, which may be frozen.
func (d *driver) serve(g *testGateway) {
	c := g.call
	if c == nil || c.served || d.now.Before(c.servedAt) || d.now.Before(c.leader.frozenUntil) {
		return
	}
	c.served, c.answerAt = true, d.now.Add(d.random(d.maxDelay))
	c.lost = c.lost || d.now.Before(g.cutUntil)
	l := c.leader
	if d.now.Before(l.leaseFrom) || !d.now.Before(l.leaseUntil) {
		return
	}
	if l.planner == nil {
		l.planner = NewPlanner(d.now)
	}
	l.heardAt[g] = d.now
	var taken *Taken
	if c.answer, taken = l.planner.Report(d.now, testTimeout, c.report); taken != nil {
		d.taken = append(d.taken, takenAt{d.now, g, l, *taken})
	}
}

// run plays for a time, and calls each after each step.
func (d *driver) run(length time.Duration, each func()) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.step()
		if each != nil {
			each()
		}
	}
}

// out returns the gateways of a data centre that answer readiness checks with 503.
func (d *driver) out(dataCentre string) (out []*testGateway) {
	for _, g := range d.gateways {
		if g.dataCentre == dataCentre && !d.now.Before(g.downUntil) && g.member.Out(d.now) {
			out = append(out, g)
		}
	}
	return out
}
