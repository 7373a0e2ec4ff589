package quota

import (
	"math"
	"testing"
	"time"
)

// poisson offers requests of an account at a rate in units per second to gateways drawn by pick, until a time.
func (d *driver) poisson(rate func() float64, cost func() float64, pick func() *gateway, until time.Time) {
	var next func()
	next = func() {
		if !d.now.Before(until) {
			return
		}
		c := cost()
		d.offer(pick(), c)
		d.after(time.Duration(d.rng.ExpFloat64()*c/max(rate(), 1)*float64(time.Second)), next)
	}
	d.after(0, next)
}

func (d *driver) anyGateway() *gateway { return d.gateways[d.rng.IntN(len(d.gateways))] }

// Guards against refusals of an account that uses half of its quota, and against calls for it; and against an account at six times
// its usual load that gets more than its quota, or much less. 77 gateways.
func TestAccountAtSixTimesItsUsualLoad(t *testing.T) {
	limit := Limit{PerSecond: 112_000, Burst: 112_000}
	d := newDriver(1, 77, limit)
	load := 0.5
	cost := func() float64 { return 400 + 1200*d.rng.Float64() }
	d.runFor(time.Second)
	d.poisson(func() float64 { return load * limit.PerSecond }, cost, d.anyGateway, d.now.Add(60*time.Second))
	d.runFor(20 * time.Second)
	if len(d.refused) > 0 {
		t.Errorf("%d of %d requests refused at half of the quota; first %+v", len(d.refused), len(d.offered), d.refused[0])
	}
	t.Logf("half load: %d requests, %d calls, %d reports", len(d.offered), d.asks, d.reports)
	if share := float64(d.asks) / float64(len(d.offered)); share > 0.1 {
		t.Errorf("%d calls for %d requests at half of the quota", d.asks, len(d.offered))
	}
	load = 3
	offered, admitted, asks := len(d.offered), len(d.admitted), d.asks
	d.runFor(40 * time.Second)
	used, quota := total(d.admitted[admitted:]), 40*d.opts.units(limit)/d.opts.Window.Seconds()
	t.Logf("six times the load: %d requests, %.3f of the quota used, %d calls", len(d.offered)-offered, used/quota, d.asks-asks)
	if used < 0.95*quota || used > 1.15*quota {
		t.Errorf("%.3f of the quota used", used/quota)
	}
	if calls := float64(d.asks-asks) / 40; calls > 300 {
		t.Errorf("%.0f calls a second for one account", calls)
	}
	if ratio, _ := d.excess(); ratio > 1 {
		t.Errorf("%.3f of the hard bound used", ratio)
	}
}

// Guards against a quota that is divided until no gateway can serve a request: 1,900 tokens a second over 77 gateways.
func TestQuotaBelowOneRequestPerGateway(t *testing.T) {
	limit := Limit{PerSecond: 1900, Burst: 1900}
	for _, test := range []struct{ load, least, most float64 }{{0.5, 1, 1}, {3, 0.95, 1.35}} {
		d := newDriver(2, 77, limit)
		d.runFor(time.Second)
		d.poisson(func() float64 { return test.load * limit.PerSecond }, func() float64 { return 1000 }, d.anyGateway, d.now.Add(60*time.Second))
		d.runFor(60 * time.Second)
		used := total(d.admitted) / min(total(d.offered), 60*d.opts.units(limit)/d.opts.Window.Seconds())
		t.Logf("load %v: %d requests, %d calls, %.3f of offer or quota used", test.load, len(d.offered), d.asks, used)
		if used < test.least || used > test.most {
			t.Errorf("load %v: %.3f used, refused %+v", test.load, used, d.refused)
		}
		if ratio, _ := d.excess(); ratio > 1 {
			t.Errorf("load %v: %.3f of the hard bound used", test.load, ratio)
		}
	}
}

// Guards against a new leader that does not know what gateways used that died together with its predecessor.
func TestUseOfGatewaysThatDiedWithTheLeaderCounts(t *testing.T) {
	limit := Limit{PerSecond: 100_000, Burst: 100_000}
	d := newDriver(3, 20, limit)
	d.runFor(time.Second)
	all := d.gateways
	taking := all[:10]
	until := d.now.Add(12 * time.Second)
	pick := func() *gateway { return taking[d.rng.IntN(len(taking))] }
	d.poisson(func() float64 { return 5 * limit.PerSecond }, func() float64 { return 1000 }, pick, until)
	d.runFor(2500 * time.Millisecond)
	d.replaceLeader(testElection)
	for _, g := range taking {
		d.restart(g, 300*time.Millisecond)
	}
	taking = all[10:]
	d.run(until)
	if ratio, at := d.excess(); ratio > 1 {
		t.Errorf("%.3f of the hard bound used in the window that ends %v before the end", ratio, until.Sub(at))
	}
}

// Guards against a refusal of small requests for as long as a large one has to wait, and against a denied gateway that asks the
// leader with each request.
func TestDenialBindsRequestsOfTheSameSize(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	opts, limit := testOptions(), Limit{PerSecond: 1000, Burst: 1000}
	l := NewLimiter(now, opts, "g", 1)
	for _, levels := range []*Levels{{Epoch: 1}, {Epoch: 1, Ready: true, Gateways: 1}} {
		l.Report(now)
		l.Apply(levels)
	}
	d := l.Admit(now, "a", limit, 1000, 0)
	if !d.Ask {
		t.Fatalf("decision %+v without grants", d)
	}
	if d = l.Granted(now, d.Request, Grant{Ready: true, WaitMs: 3000}); !d.Refuse || d.RetryAfter != 3*time.Second {
		t.Errorf("decision %+v after a denial", d)
	}
	now = now.Add(100 * time.Millisecond)
	if d = l.Admit(now, "a", limit, 900, 0); !d.Refuse || d.RetryAfter != 2900*time.Millisecond {
		t.Errorf("decision %+v for another large request", d)
	}
	if d = l.Admit(now, "a", limit, 400, 0); !d.Ask {
		t.Errorf("decision %+v for a small request", d)
	}
}

// Guards against a slack of 7,500 requests for an account whose quota counts requests.
func TestSlackOfQuotasOfRequests(t *testing.T) {
	opts := testOptions()
	limit := Limit{PerSecond: 10, Burst: 20, Requests: true}
	if got := opts.Hard(limit); math.Abs(got-117.5) > 1e-9 {
		t.Errorf("hard bound of %v requests", got)
	}
	limit.Requests = false
	if got := opts.Hard(limit); math.Abs(got-7610) > 1e-9 {
		t.Errorf("hard bound of %v tokens", got)
	}
}
