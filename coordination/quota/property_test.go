package quota

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawnRates are small accounts, below one request per gateway and window, and larger ones. More than that only takes longer.
var drawnRates = []float64{1900, 5000, 20_000, 100_000}

func drawDriver(rt *rapid.T) *driver {
	rate := rapid.SampledFrom(drawnRates).Draw(rt, "rate")
	limit := Limit{PerSecond: rate, Burst: rate * rapid.Float64Range(0, 1.5).Draw(rt, "burst")}
	d := newDriver(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(3, 77).Draw(rt, "gateways"), limit)
	d.maxDelay = time.Duration(rapid.IntRange(1, 40).Draw(rt, "delay ms")) * time.Millisecond
	d.givesBack = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "gives back")
	return d
}

// drawDemand offers requests of 300 to 4,000 tokens at 0.5 to 7 times the rate of the account at the start. It does not follow a limit
// that is lowered, to a twentieth or less, so it is 80 times the rate in force and more. Demand and the gateways that get it change
// every few seconds.
func drawDemand(rt *rapid.T, d *driver, until time.Time) {
	largest := rapid.IntRange(300, 4000).Draw(rt, "largest")
	var factor float64
	var some []*gateway
	var change func()
	change = func() {
		factor = 0.5 + 6.5*d.rng.Float64()*d.rng.Float64()
		some = d.gateways
		if d.rng.IntN(2) == 0 {
			first := d.rng.IntN(len(d.gateways))
			some = d.gateways[first : first+1+d.rng.IntN(len(d.gateways)-first)]
		}
		d.after(time.Duration((0.3+4*d.rng.Float64())*float64(time.Second)), change)
	}
	change()
	d.poisson(func() float64 { return factor * d.limits[0].limit.PerSecond }, func() float64 {
		return float64(300 + d.rng.IntN(largest-299))
	}, func() *gateway { return some[d.rng.IntN(len(some))] }, until)
}

// inject draws failures until a time.
func inject(rt *rapid.T, d *driver, until time.Time) {
	for n := rapid.IntRange(0, 5).Draw(rt, "failures"); n > 0; n-- {
		at := time.Duration(rapid.IntRange(0, int(until.Sub(d.now).Milliseconds())).Draw(rt, "at ms")) * time.Millisecond
		kind := rapid.SampledFrom([]string{"kill leader", "kill leader and gateways", "freeze leader", "replace leader", "cut", "freeze gateways", "restart",
			"add", "lower"}).Draw(rt, "kind")
		length := time.Duration(rapid.IntRange(100, 12_000).Draw(rt, "length ms")) * time.Millisecond
		part := rapid.Float64Range(0.05, 1).Draw(rt, "part")
		d.after(at, func() { d.fail(kind, length, part) })
	}
}

func (d *driver) fail(kind string, length time.Duration, part float64) {
	first := d.rng.IntN(len(d.gateways))
	group := d.gateways[first:min(first+int(part*float64(len(d.gateways)))+1, len(d.gateways))]
	if strings.Contains(kind, "leader") && !d.keepWitness() {
		return
	}
	switch kind {
	case "kill leader":
		d.replaceLeader(testElection + length/10)
	case "kill leader and gateways":
		d.replaceLeader(testElection)
		kind = "restart"
	case "freeze leader":
		d.freezeLeader(length / 3)
	case "replace leader":
		d.replaceLeader(0)
	case "add":
		for range group {
			d.addGateway()
		}
	case "lower":
		limit := d.newestLimit()
		d.setLimit(Limit{PerSecond: limit.PerSecond * part, Burst: limit.Burst * part})
	}
	for _, g := range group {
		if g == d.witness && d.now.Before(d.witnessUntil) {
			continue
		}
		switch kind {
		case "cut":
			g.cutUntil = d.now.Add(length)
		case "freeze gateways":
			g.frozenUntil = d.now.Add(length)
		case "restart":
			d.restart(g, length/5)
		}
	}
}

// keepWitness keeps failures from a gateway until the next leader has taken over, and reports whether there is one that knows what
// the last leader stated. State is in memory: if all gateways and the leader are lost at the same time, nobody knows it.
func (d *driver) keepWitness() bool {
	const takeover = testElection + 1200*time.Millisecond + testTakeover + 1500*time.Millisecond
	if d.now.Before(d.witnessUntil) {
		d.witnessUntil = d.now.Add(takeover)
		return true
	}
	for _, g := range d.gateways {
		if !g.down && !d.now.Before(g.cutUntil) && !d.now.Before(g.frozenUntil) && g.limiter.Connected(d.now) {
			d.witness, d.witnessUntil = g, d.now.Add(takeover)
			return true
		}
	}
	return false
}

// Guards against use beyond the hard bound in any window, whatever fails.
func TestHardBoundIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDriver(rt)
		start := d.now
		until := d.now.Add(30 * time.Second)
		drawDemand(rt, d, until)
		inject(rt, d, until)
		d.run(until)
		if ratio, at := d.excess(); ratio > 1 {
			rt.Fatalf("%.4f of the hard bound used in the window that ends at %v", ratio, at.Sub(start))
		}
	})
}

// Guards against a refusal although the demand of each window stays below 90 % of the limit and the leader is reachable. Gateways are
// added meanwhile and take requests once they have joined.
func TestNothingIsRefusedWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDriver(rt)
		d.runFor(1500 * time.Millisecond)
		until := d.now.Add(25 * time.Second)
		window := NewWindow(d.opts.Window)
		most := 0.9 * d.opts.units(d.limit)
		drawDemand(rt, d, until)
		for n := rapid.IntRange(0, 3).Draw(rt, "added"); n > 0; n-- {
			d.after(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "at ms"))*time.Millisecond, func() { d.addGatewayForLater() })
		}
		d.admit = func(cost float64) bool {
			if window.Sum(d.now)+cost > most {
				return false
			}
			window.Add(d.now, cost)
			return true
		}
		d.run(until)
		if len(d.refused) > 0 {
			rt.Fatalf("%d of %d requests refused; first %+v at %v", len(d.refused), len(d.offered), d.refused[0], d.refused[0].at)
		}
	})
}
