package quota

import (
	"testing"
	"time"
)

// Guards against grants that gateways do not know of when the leader is lost: an account without use before sends 80 times its
// rate, all of its quota is granted between two reports, and gateways use their fallback shares in addition.
func TestBurstBeforeTheLeaderIsLost(t *testing.T) {
	for _, rate := range []float64{1900, 20_000, 100_000} {
		for _, after := range []time.Duration{60, 120, 200, 300, 500, 800, 1200} {
			limit := Limit{PerSecond: rate, Burst: rate}
			d := newDriver(uint64(after), 30, limit)
			d.runFor(2 * time.Second)
			until := d.now.Add(9 * time.Second)
			d.poisson(func() float64 { return 80 * rate }, func() float64 { return 300 + 900*d.rng.Float64() }, d.anyGateway, until)
			d.runFor(after * time.Millisecond)
			d.replaceLeader(time.Hour)
			d.run(until)
			if ratio, _ := d.excess(); ratio > 1 {
				t.Errorf("rate %v, leader lost after %d ms: %.3f of the hard bound used", rate, after, ratio)
			} else {
				t.Logf("rate %v, leader lost after %d ms: %.3f of the hard bound used", rate, after, ratio)
			}
		}
	}
}

// Guards against a refusal of requests within the quota because gateways do not know of earlier grants: an account sends 0.9 of its
// limit within 20 ms.
func TestBurstWithinTheQuotaIsNotRefused(t *testing.T) {
	for _, gateways := range []int{3, 77} {
		for _, rate := range []float64{1900, 20_000, 100_000} {
			limit := Limit{PerSecond: rate, Burst: rate}
			d := newDriver(uint64(gateways), gateways, limit)
			d.runFor(2 * time.Second)
			started, offered := d.now, 0.0
			d.poisson(func() float64 { return 50 * d.opts.units(limit) }, func() float64 { return 1000 }, d.anyGateway, d.now.Add(time.Second))
			d.admit = func(cost float64) bool {
				offered += cost
				return offered <= 0.9*d.opts.units(limit)
			}
			d.runFor(5 * time.Second)
			if len(d.refused) > 0 || len(d.admitted) != len(d.offered) || len(d.admitted) == 0 {
				t.Errorf("%d gateways, rate %v: %d of %d requests refused, first %+v", gateways, rate, len(d.refused), len(d.offered), d.refused)
				continue
			}
			took := d.admitted[len(d.admitted)-1].at.Sub(started)
			t.Logf("%d gateways, rate %v: %d requests, the last one admitted after %v, %d waits", gateways, rate, len(d.offered), took, d.held)
			if took > 2*time.Second {
				t.Errorf("%d gateways, rate %v: a request waited %v", gateways, rate, took)
			}
		}
	}
}

// Guards against held requests that are refused at gateways which were denied others meanwhile: an account sends 1.5 times its limit
// within 20 ms, and what is within the limit is admitted.
func TestHeldRequestsAreAdmittedWhileOthersAreDenied(t *testing.T) {
	for _, gateways := range []int{3, 30} {
		for _, rate := range []float64{20_000, 100_000} {
			limit := Limit{PerSecond: rate, Burst: rate}
			d := newDriver(uint64(gateways), gateways, limit)
			d.runFor(2 * time.Second)
			offered := 0.0
			d.poisson(func() float64 { return 75 * d.opts.units(limit) }, func() float64 { return 1000 }, d.anyGateway, d.now.Add(time.Second))
			d.admit = func(cost float64) bool {
				offered += cost
				return offered <= 1.5*d.opts.units(limit)
			}
			d.runFor(5 * time.Second)
			if used := total(d.admitted) / d.opts.units(limit); used < 0.9 {
				t.Errorf("%d gateways, rate %v: %.3f of the limit admitted, %d of %d requests refused", gateways, rate, used, len(d.refused), len(d.offered))
			} else {
				t.Logf("%d gateways, rate %v: %.3f of the limit admitted, %d of %d requests refused", gateways, rate, used, len(d.refused), len(d.offered))
			}
		}
	}
}

// Guards against waits and refusals in deployments whose reports are so far apart that the rate of an account exceeds the fixed part
// of the bound on unacknowledged grants: the account steadily uses 0.85 of its rate. Guards also against use beyond the hard bound
// there when the leader is lost during a burst.
func TestUnacknowledgedGrantsWithManyGateways(t *testing.T) {
	const rate = 100_000
	for _, gateways := range []int{300, 600, 1000} {
		for _, burst := range []float64{0, rate} {
			d := newDriver(uint64(gateways), gateways, Limit{PerSecond: rate, Burst: burst})
			d.runFor(8 * time.Second)
			size := func() float64 { return 300 + 900*d.rng.Float64() }
			d.poisson(func() float64 { return 0.85 * rate }, size, d.anyGateway, d.now.Add(15*time.Second))
			d.runFor(15 * time.Second)
			if len(d.refused) > 0 || d.held > len(d.offered)/100 {
				t.Errorf("%d gateways, burst %v: %d of %d requests refused, %d waits", gateways, burst, len(d.refused), len(d.offered), d.held)
			}
			d.poisson(func() float64 { return 80 * rate }, size, d.anyGateway, d.now.Add(9*time.Second))
			d.runFor(300 * time.Millisecond)
			d.replaceLeader(time.Hour)
			d.runFor(9 * time.Second)
			if ratio, _ := d.excess(); ratio > 1 {
				t.Errorf("%d gateways, burst %v: %.3f of the hard bound used after the leader was lost", gateways, burst, ratio)
			} else {
				t.Logf("%d gateways, burst %v: %d waits of %d requests, %.3f of the hard bound used after the leader was lost", gateways, burst, d.held, len(d.offered), ratio)
			}
		}
	}
}
