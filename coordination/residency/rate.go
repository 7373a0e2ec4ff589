package residency

import "time"

// loadBurst is the number of loads from the weight store that may begin at once. Three above the rate are allowed in a
// window.
const loadBurst = 3.0

// roundingSlack keeps the sum of many small steps from staying just below a whole load.
const roundingSlack = 1e-6

// Rate bounds the loads from the weight store.
type Rate struct {
	tokens float64
	at     time.Time
}

// NewRate returns a rate that allows no burst at first, since another holder may have used it just before.
func NewRate(now time.Time) Rate { return Rate{at: now} }

// Available returns the number of loads that may begin.
func (r *Rate) Available(now time.Time, perSecond float64) int {
	if passed := now.Sub(r.at).Seconds(); passed > 0 {
		r.tokens = min(r.tokens+passed*perSecond, loadBurst)
	}
	r.at = now
	return int(r.tokens + roundingSlack)
}

// Take counts a load that begins.
func (r *Rate) Take() { r.tokens-- }

// Smoothed is a demand that rises at once and falls slowly, so that a pause of a moment moves no models.
type Smoothed struct {
	value float64
	at    time.Time
}

// Time constants of a smoothed demand.
const (
	riseTime = 300 * time.Millisecond
	fallTime = 2500 * time.Millisecond
)

// Add takes a new sample and returns the smoothed value.
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
