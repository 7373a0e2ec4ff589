package defaults

import (
	"testing"
	"time"
)

// Guards against a positive option that is replaced, and a zero or negative one that is kept.
func TestPositive(t *testing.T) {
	for _, c := range []struct{ option, want time.Duration }{
		{option: -time.Nanosecond, want: time.Second},
		{option: 0, want: time.Second},
		{option: time.Nanosecond, want: time.Nanosecond},
		{option: time.Hour, want: time.Hour},
	} {
		got := c.option
		Positive(&got, time.Second)
		if got != c.want {
			t.Errorf("option %v became %v, want %v", c.option, got, c.want)
		}
	}
}
