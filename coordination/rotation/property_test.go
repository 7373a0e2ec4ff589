package rotation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawSchedule draws gateways, their lags over time and failures. Lags are kept for a few seconds and are often those of one
// overloaded gateway, of some, or of all gateways of a data centre.
func drawSchedule(rt *rapid.T, until time.Duration) *driver {
	d := newDriver(rapid.Uint64().Draw(rt, "seed"))
	d.maxDelay = time.Duration(rapid.IntRange(1, 450).Draw(rt, "delay ms")) * time.Millisecond
	d.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
	for _, name := range []string{"a", "b"} {
		d.add(name, rapid.IntRange(1, 24).Draw(rt, "gateways"))
	}
	hot := rapid.Float64Range(0, 0.6).Draw(rt, "overloaded")
	for _, g := range d.gateways {
		var change func()
		change = func() {
			if g.lag = time.Duration(d.rng.IntN(40)) * time.Millisecond; d.rng.Float64() < hot {
				g.lag = time.Duration(60+d.rng.IntN(400)) * time.Millisecond
			}
			d.after(300*time.Millisecond+d.random(9*time.Second), change)
		}
		change()
	}
	for range rapid.IntRange(0, 8).Draw(rt, "failures") {
		at := time.Duration(rapid.IntRange(0, int(until.Milliseconds())).Draw(rt, "at ms")) * time.Millisecond
		kind := rapid.SampledFrom([]string{"replace", "cut leader off", "freeze leader", "renew late", "cut", "freeze", "restart", "cut those out",
			"freeze those out"}).Draw(rt, "kind")
		length := time.Duration(rapid.IntRange(50, 8000).Draw(rt, "length ms")) * time.Millisecond
		part := rapid.Float64Range(0.03, 1).Draw(rt, "part")
		d.after(at, func() { d.fail(kind, length, part) })
	}
	return d
}

func (d *driver) after(wait time.Duration, do func()) {
	d.changes = append(d.changes, change{d.now.Add(wait), do})
}

func (d *driver) fail(kind string, length time.Duration, part float64) {
	switch kind {
	case "replace":
		d.replaceLeader(d.random(testElection), 0)
		return
	case "cut leader off":
		d.replaceLeader(testElection, length)
		return
	case "freeze leader":
		l := d.leader()
		if l.frozenUntil = d.now.Add(length); length > testElection {
			d.replaceLeader(testElection, length)
		}
		return
	case "renew late":
		// The leader has no lease for a while, and is not replaced.
		l := d.leader()
		from := d.now.Add(length)
		if !d.now.Before(l.leaseFrom) {
			l.leaseFrom = from
		}
		return
	case "cut those out", "freeze those out":
		d.failOut(kind, length)
		return
	}
	first := d.rng.IntN(len(d.gateways))
	for _, g := range d.gateways[first:min(first+1+int(part*float64(len(d.gateways))), len(d.gateways))] {
		switch kind {
		case "cut":
			g.cutUntil = d.now.Add(length)
		case "freeze":
			g.frozenUntil = d.now.Add(length)
		case "restart":
			g.downUntil, g.call, g.member = d.now.Add(length/5), nil, &Member{}
			g.outSince, g.returnedAt = time.Time{}, time.Time{}
		}
	}
}

// failOut cuts off or freezes the gateways that are out of rotation, as soon as there are any.
func (d *driver) failOut(kind string, length time.Duration) {
	out := append(d.out("a"), d.out("b")...)
	for _, g := range out {
		if kind == "cut those out" {
			g.cutUntil = d.now.Add(length)
		} else {
			g.frozenUntil = d.now.Add(length)
		}
	}
	if len(out) == 0 {
		d.after(testInterval, func() { d.failOut(kind, length) })
	}
}

// Guards against more gateways out of rotation than a tenth of their data centre, or one of four and more, against any that is out for
// longer than 5 s or again within 20 s, and against more than one that is taken out in a second, whatever fails. A gateway that restarts
// knows nothing of its time out of rotation, and counts as another one.
func TestBoundsHoldWhateverFails(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const length = 45 * time.Second
		d := drawSchedule(rt, length)
		gateways := map[string]int{}
		for _, g := range d.gateways {
			gateways[g.dataCentre]++
		}
		checked := 0
		d.run(length, func() {
			for name, n := range gateways {
				if out := len(d.out(name)); out > MaxOutOf(n) {
					rt.Fatalf("%v: %d of %d gateways of a data centre are out, %d allowed", d.now.Sub(begin), out, n, MaxOutOf(n))
				}
			}
			for _, g := range d.gateways {
				d.checkTimes(rt, g)
			}
			for ; checked < len(d.taken); checked++ {
				d.checkTaken(rt, checked)
			}
		})
	})
}

// checkTimes checks how long a gateway is out, and how long it was in rotation before.
func (d *driver) checkTimes(rt *rapid.T, g *testGateway) {
	if d.now.Before(g.downUntil) {
		return
	}
	switch out := g.member.Out(d.now); {
	case out && g.outSince.IsZero():
		if !g.returnedAt.IsZero() && d.now.Sub(g.returnedAt) < RestTime {
			rt.Fatalf("%v: %s is out %v after its return", d.now.Sub(begin), g.name, d.now.Sub(g.returnedAt))
		}
		g.outSince = d.now
	case out && d.now.Sub(g.outSince) > MaxOut:
		rt.Fatalf("%v: %s is out for %v", d.now.Sub(begin), g.name, d.now.Sub(g.outSince))
	case !out && !g.outSince.IsZero():
		g.outSince, g.returnedAt = time.Time{}, d.now
	}
}

// checkTaken checks a decision of a leader.
func (d *driver) checkTaken(rt *rapid.T, i int) {
	taken := d.taken[i]
	for _, before := range d.taken[:i] {
		if before.gateway.dataCentre == taken.gateway.dataCentre && taken.at.Sub(before.at) < takeInterval {
			rt.Fatalf("%v: %s is taken out %v after %s", taken.at.Sub(begin), taken.gateway.name, taken.at.Sub(before.at), before.gateway.name)
		}
	}
	known, reporting := 0, 0
	for g, at := range taken.leader.heardAt {
		if g.dataCentre == taken.gateway.dataCentre && taken.at.Sub(at) <= knownTime {
			known++
			if taken.at.Sub(at) <= testTimeout {
				reporting++
			}
		}
	}
	if 4*reporting < 3*known {
		rt.Fatalf("%v: %s is taken out while %d of %d gateways report", taken.at.Sub(begin), taken.gateway.name, reporting, known)
	}
	if taken.Lag <= overloadLag || 2*taken.Median >= taken.Lag {
		rt.Fatalf("%v: %s is taken out with a lag of %v, the median is %v", taken.at.Sub(begin), taken.gateway.name, taken.Lag, taken.Median)
	}
}
