package quota

import (
	"math"
	"testing"
	"time"
)

// Guards against a share of refused requests that counts a request twice, or that misses those of gateways which are denied locally.
func TestStatusCountsEachRequestOnce(t *testing.T) {
	limit := Limit{PerSecond: 20_000, Burst: 20_000}
	d := newDriver(5, 10, limit)
	d.runFor(time.Second)
	until := d.now.Add(6 * time.Second)
	d.poisson(func() float64 { return 4 * limit.PerSecond }, func() float64 { return 1000 }, d.anyGateway, until)
	d.run(until)
	d.runFor(1100 * time.Millisecond) // each gateway has stated all accounts
	s := d.leader.ledger.Status(d.now, "a", limit)
	if admitted := float64(len(d.admitted)); math.Abs(s.Admitted-admitted) > 0.1 {
		t.Errorf("%v requests admitted, want %v", s.Admitted, admitted)
	}
	if refused := float64(len(d.refused)); refused == 0 || math.Abs(s.Refused-refused) > 0.1 {
		t.Errorf("%v requests refused, want %v", s.Refused, refused)
	}
	if want := float64(len(d.refused)) / float64(len(d.offered)); math.Abs(s.RefusedShare()-want) > 0.001 {
		t.Errorf("a share of %v refused, want %v", s.RefusedShare(), want)
	}
	if s.Limit != 180_000 || s.Used < 0.9*s.Limit || s.Used > d.opts.Hard(limit) {
		t.Errorf("use of %v, limit of %v", s.Used, s.Limit)
	}
}
