package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// These are the times of the processes around the ledger: of a lease, of an election after the leader was lost, and from
	// an election until the lease of the predecessor has ended.
	testLease       = 350 * time.Millisecond
	testElection    = 900 * time.Millisecond
	testTakeover    = 600 * time.Millisecond
	testReportLimit = 400 * time.Millisecond
	testAskLimit    = 200 * time.Millisecond
	// limitDelay is the longest time until all gateways know a changed limit.
	limitDelay = 300 * time.Millisecond
)

func testOptions() Options {
	return Options{Window: 8 * time.Second, Excess: 0.1, Slack: 7500, Interval: func(gateways int) time.Duration {
		return max(100*time.Millisecond, time.Duration(gateways)*1500*time.Microsecond)
	}}
}

type event struct {
	at time.Time
	id int
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].id < q[j].id
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// leader is a control instance that was elected.
type leader struct {
	ledger      *Ledger
	from        time.Time // of its lease
	frozenUntil time.Time
	gone        bool // ended, or replaced
}

// allowed reports whether it may give out grants. A leader that was frozen has to renew its lease.
func (l *leader) allowed(now time.Time) bool {
	return !l.gone && !now.Before(l.from) && !now.Before(l.frozenUntil)
}

type gateway struct {
	name        string
	limiter     *Limiter
	starts      int
	down        bool
	cutUntil    time.Time
	frozenUntil time.Time
	limit       Limit
}

type admission struct {
	at   time.Time
	cost float64
	back bool
}

// driver runs gateways and leaders in virtual time for one account.
type driver struct {
	opts     Options
	rng      *rand.Rand
	now      time.Time
	events   eventQueue
	ids      int
	gateways []*gateway
	named    int
	leader   *leader
	limit    Limit // at the leader
	limits   []limitChange
	maxDelay time.Duration
	// witness is kept from failures until witnessUntil.
	witness      *gateway
	witnessUntil time.Time

	admitted, offered []admission
	refused           []refusal
	asks, reports     int
	held              int     // number of waits
	givesBack         float64 // probability
	// admit limits the offered requests if it is set.
	admit func(cost float64) bool
}

type limitChange struct {
	at    time.Time
	limit Limit
}

type refusal struct {
	at       time.Time
	gateway  string
	cost     float64
	fallback bool
	after    time.Duration
}

func newDriver(seed uint64, gateways int, limit Limit) *driver {
	d := &driver{opts: testOptions(), rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), limit: limit,
		maxDelay: 5 * time.Millisecond}
	d.limits = []limitChange{{d.now, limit}}
	d.leader = &leader{ledger: NewLedger(d.now, d.opts, 1)}
	for range gateways {
		d.addGateway()
	}
	return d
}

func (d *driver) after(delay time.Duration, do func()) {
	d.ids++
	heap.Push(&d.events, event{d.now.Add(delay), d.ids, do})
}

func (d *driver) run(until time.Time) {
	for len(d.events) > 0 && !d.events[0].at.After(until) {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.do()
	}
	d.now = until
}

func (d *driver) runFor(t time.Duration) { d.run(d.now.Add(t)) }

func (d *driver) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(d.rng.Float64()*float64(d.maxDelay))
}

func (d *driver) addGateway() *gateway {
	d.named++
	g := &gateway{name: fmt.Sprint("g", d.named), limit: d.limit}
	// The configuration that it starts with may be replaced by now.
	d.after(limitDelay, func() { g.limit = d.newestLimit() })
	d.gateways = append(d.gateways, g)
	d.start(g)
	return g
}

// addGatewayForLater adds a gateway that takes requests once it has joined.
func (d *driver) addGatewayForLater() {
	taking := d.gateways
	g := d.addGateway()
	d.gateways = taking
	d.after(time.Second, func() { d.gateways = append(d.gateways, g) })
}

func (d *driver) start(g *gateway) {
	g.starts++
	g.down = false
	g.limiter = NewLimiter(d.now, d.opts, g.name, uint64(g.starts))
	starts := g.starts
	d.after(time.Duration(d.rng.Float64()*float64(100*time.Millisecond)), func() { d.report(g, starts) })
}

func (d *driver) restart(g *gateway, down time.Duration) {
	g.down = true
	g.starts++
	starts := g.starts
	d.after(down, func() {
		if g.starts == starts {
			d.start(g)
		}
	})
}

// runs reports whether the process of a gateway still runs.
func (g *gateway) runs(starts int) bool { return !g.down && g.starts == starts }

// whenAwake runs a step of a gateway once it is not frozen.
func (d *driver) whenAwake(g *gateway, do func()) {
	if d.now.Before(g.frozenUntil) {
		d.after(g.frozenUntil.Sub(d.now), do)
		return
	}
	do()
}

func (d *driver) report(g *gateway, starts int) {
	d.whenAwake(g, func() {
		if !g.runs(starts) {
			return
		}
		interval := d.opts.Interval(len(d.gateways))
		sent := d.now
		r := g.limiter.Report(d.now)
		d.reports++
		next := func() {
			d.after(max(time.Duration((1-0.2*d.rng.Float64())*float64(interval))-d.now.Sub(sent), 0), func() { d.report(g, starts) })
		}
		answered := false
		d.call(g, func(l *leader) func() {
			levels := l.ledger.Report(d.now, g.name, r, func(string) (Limit, bool) { return d.limit, true })
			return func() {
				if answered || !g.runs(starts) {
					return
				}
				answered = true
				g.limiter.Apply(levels)
				next()
			}
		})
		d.after(testReportLimit, func() {
			d.whenAwake(g, func() {
				if !answered && g.runs(starts) {
					answered = true
					next()
				}
			})
		})
	})
}

// call sends a call of a gateway to the leader. handle runs there and returns what is done with the answer.
func (d *driver) call(g *gateway, handle func(*leader) func()) {
	l := d.leader
	if d.now.Before(g.cutUntil) {
		return
	}
	arrive := func() {
		if !l.allowed(d.now) {
			return
		}
		answer := handle(l)
		d.after(d.delay(), func() {
			if !d.now.Before(g.cutUntil) {
				d.whenAwake(g, answer)
			}
		})
	}
	d.after(d.delay(), func() {
		if wait := l.frozenUntil.Sub(d.now); wait > 0 {
			d.after(wait+testLease/2, arrive)
			return
		}
		arrive()
	})
}

// offer sends a request to a gateway.
func (d *driver) offer(g *gateway, cost float64) {
	if g.down || d.now.Before(g.frozenUntil) || d.admit != nil && !d.admit(cost) {
		return
	}
	d.offered = append(d.offered, admission{at: d.now, cost: cost})
	d.decide(g, g.starts, cost, 3, d.now, g.limiter.Admit)
}

func (d *driver) decide(g *gateway, starts int, cost float64, tries int, offered time.Time, admit func(time.Time, string, Limit, float64, float64) Decision) {
	decision := admit(d.now, "a", g.limit, cost, d.rng.Float64())
	if !decision.Ask || tries == 0 {
		d.end(g, decision, cost)
		return
	}
	d.asks++
	answered := false
	d.call(g, func(l *leader) func() {
		grant := l.ledger.Grant(d.now, decision.Request, d.limit)
		return func() {
			if answered || !g.runs(starts) {
				return
			}
			answered = true
			if !grant.Ready {
				d.end(g, g.limiter.Fallback(d.now, decision.Request, g.limit, d.rng.Float64()), cost)
				return
			}
			if settled := g.limiter.Granted(d.now, decision.Request, grant); settled.Hold > 0 {
				d.hold(g, starts, cost, settled.Hold, offered)
			} else if settled.Ask {
				d.decide(g, starts, cost, tries-1, offered, admit)
			} else {
				d.end(g, settled, cost)
			}
		}
	})
	d.after(testAskLimit, func() {
		d.whenAwake(g, func() {
			if !answered && g.runs(starts) {
				answered = true
				d.end(g, g.limiter.Fallback(d.now, decision.Request, g.limit, d.rng.Float64()), cost)
			}
		})
	})
}

// hold has a request wait until the gateways know of earlier grants.
func (d *driver) hold(g *gateway, starts int, cost float64, wait time.Duration, offered time.Time) {
	if d.now.Add(wait).Sub(offered) > MaxHold {
		d.end(g, Decision{Refuse: true, RetryAfter: wait}, cost)
		return
	}
	d.held++
	d.after(wait, func() {
		d.whenAwake(g, func() {
			if g.runs(starts) {
				d.decide(g, starts, cost, 3, offered, g.limiter.AdmitHeld)
			}
		})
	})
}

func (d *driver) end(g *gateway, decision Decision, cost float64) {
	if !decision.Admit {
		d.refused = append(d.refused, refusal{d.now, g.name, cost, decision.Fallback, decision.RetryAfter})
		return
	}
	d.admitted = append(d.admitted, admission{at: d.now, cost: cost})
	index, charged, starts := len(d.admitted)-1, d.now, g.starts
	if d.rng.Float64() >= d.givesBack {
		return
	}
	d.after(time.Duration(d.rng.Float64()*float64(3*time.Second)), func() {
		d.admitted[index].back = true
		d.whenAwake(g, func() {
			if g.runs(starts) {
				g.limiter.GiveBack(d.now, charged, "a", cost)
			}
		})
	})
}

// replaceLeader elects another leader after a time.
func (d *driver) replaceLeader(after time.Duration) {
	old := d.leader
	old.gone = true
	d.after(after, func() {
		if d.leader == old {
			from := d.now.Add(testTakeover)
			d.leader = &leader{ledger: NewLedger(from, d.opts, old.ledger.Epoch()+1), from: from}
		}
	})
}

// freezeLeader stops the leader for a time. If that is longer than an election, another one is elected.
func (d *driver) freezeLeader(t time.Duration) {
	l := d.leader
	l.frozenUntil = d.now.Add(t)
	d.after(testElection, func() {
		if d.now.Before(l.frozenUntil) && d.leader == l {
			d.replaceLeader(0)
		}
	})
}

func (d *driver) setLimit(limit Limit) {
	d.limits = append(d.limits, limitChange{d.now, limit})
	d.after(time.Duration(d.rng.Float64()*float64(200*time.Millisecond)), func() { d.limit = d.newestLimit() })
	for _, g := range d.gateways {
		d.after(time.Duration(d.rng.Float64()*float64(limitDelay)), func() { g.limit = d.newestLimit() })
	}
}

func (d *driver) newestLimit() Limit { return d.limits[len(d.limits)-1].limit }

// hardBound is the bound on the window that ends at a time: that of the largest limit in force within it, which allows one window
// until a lowered limit binds.
func (d *driver) hardBound(at time.Time) float64 {
	bound := 0.0
	for i, c := range d.limits {
		if i+1 < len(d.limits) && d.limits[i+1].at.Before(at.Add(-d.opts.Window-limitDelay)) || c.at.After(at) {
			continue
		}
		bound = max(bound, d.opts.Hard(c.limit))
	}
	return bound
}

// excess returns the largest ratio of the use of a window to its hard bound, and when that window ends.
func (d *driver) excess() (ratio float64, at time.Time) {
	sum, first := 0.0, 0
	for _, a := range d.admitted {
		if a.back {
			continue
		}
		sum += a.cost
		for ; !d.admitted[first].at.After(a.at.Add(-d.opts.Window)); first++ {
			if !d.admitted[first].back {
				sum -= d.admitted[first].cost
			}
		}
		if r := sum / d.hardBound(a.at); r > ratio {
			ratio, at = r, a.at
		}
	}
	return ratio, at
}

func total(list []admission) float64 {
	sum := 0.0
	for _, a := range list {
		if !a.back {
			sum += a.cost
		}
	}
	return sum
}
