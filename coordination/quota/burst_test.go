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
