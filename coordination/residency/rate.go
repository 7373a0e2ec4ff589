package residency

import "time"

// loadBurst is the number of loads from the weight store that may start at once. The weight store allows three loads
// above its rate in a window.
const loadBurst = 3.0

// roundingSlack compensates the rounding error of many small refills, which could add up to just less than one token.
const roundingSlack = 1e-6

// Rate is a token bucket that limits the loads from the weight store.
type Rate struct {
	tokens float64
	at     time.Time
}

// NewRate returns an empty token bucket, since the previous leader may have used the burst just before.
func NewRate(now time.Time) Rate { return Rate{at: now} }

// Available refills the bucket and returns the number of loads that may start.
func (r *Rate) Available(now time.Time, perSecond float64) int {
	if passed := now.Sub(r.at).Seconds(); passed > 0 {
		r.tokens = min(r.tokens+passed*perSecond, loadBurst)
	}
	r.at = now
	return int(r.tokens + roundingSlack)
}

// Take takes the token of a load that starts.
func (r *Rate) Take() { r.tokens-- }

// Smoothed is a moving average of the demand that follows increases quickly and decreases slowly, so that a brief drop
// moves no models.
type Smoothed struct {
	value float64
	at    time.Time
}

// Time constants of the moving average.
const (
	riseTime = 300 * time.Millisecond
	fallTime = 2500 * time.Millisecond
)

// Add adds a sample and returns the smoothed value.
func (s *Smoothed) Add(now time.Time, sample float64) float64 {
	if s.at.IsZero() {
		s.at, s.value = now, sample
		return s.value
	}
	constant := fallTime
	if sample > s.value {
		constant = riseTime
	}
	passed := now.Sub(s.at)
	s.at = now
	if share := float64(passed) / float64(constant); share < 1 {
		s.value += share * (sample - s.value)
	} else {
		s.value = sample
	}
	return s.value
}
