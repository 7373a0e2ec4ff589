package gatewaycount

import (
	"testing"
	"time"
)

// Guards against a share of an allowance that is too large: before the number is known, while a new leader counts from
// none, and while no leader answers.
func TestNumberIsNeverTooLowForLong(t *testing.T) {
	start := time.Unix(1000, 0)
	var c Counter
	expect := func(after time.Duration, want int) {
		t.Helper()
		if got := c.Gateways(start.Add(after), Planned); got != want {
			t.Errorf("%v after the start: %d gateways, want %d", after, got, want)
		}
	}
	expect(0, Planned)
	c.Observe(start, 1)
	c.Observe(start.Add(time.Second), 80)
	expect(2*time.Second, Planned)
	expect(4*time.Second, 80)
	c.Observe(start.Add(5*time.Second), 2) // from a new leader
	c.Observe(start.Add(6*time.Second), 0) // no number
	expect(6*time.Second, 80)
	c.Observe(start.Add(14*time.Second), 79)
	expect(14*time.Second, 79)
	expect(time.Hour, 79)
}
