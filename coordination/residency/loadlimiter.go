package residency

import "time"

// loadBurst is the number of loads from the weight store that may start at once. The weight store allows three loads
// above its rate in a window.
const loadBurst = 3.0

// roundingTolerance compensates the rounding error of many small refills, which could add up to just less than one
// token.
const roundingTolerance = 1e-6

// LoadLimiter is a token bucket that limits the loads from the weight store.
type LoadLimiter struct {
	tokens    float64
	updatedAt time.Time
}

// NewLoadLimiter returns an empty token bucket, since the previous leader may have used the burst just before.
func NewLoadLimiter(now time.Time) LoadLimiter { return LoadLimiter{updatedAt: now} }

// Available refills the bucket and returns the number of loads that may start.
func (l *LoadLimiter) Available(now time.Time, perSecond float64) int {
	if elapsed := now.Sub(l.updatedAt).Seconds(); elapsed > 0 {
		l.tokens = min(l.tokens+elapsed*perSecond, loadBurst)
	}
	l.updatedAt = now
	return int(l.tokens + roundingTolerance)
}

// Take takes the token of a load that starts.
func (l *LoadLimiter) Take() { l.tokens-- }

// SmoothedDemand is a moving average of the demand that follows increases quickly and decreases slowly, so that a brief
// drop moves no models.
type SmoothedDemand struct {
	value     float64
	recent    float64
	updatedAt time.Time
}

// Time constants of the moving averages.
const (
	riseTimeConstant   = 300 * time.Millisecond
	fallTimeConstant   = 2500 * time.Millisecond
	recentTimeConstant = 20 * time.Second
)

// Add adds a sample and returns the smoothed value.
func (s *SmoothedDemand) Add(now time.Time, sample float64) float64 {
	if s.updatedAt.IsZero() {
		s.updatedAt, s.value = now, sample
		return s.value
	}
	timeConstant := fallTimeConstant
	if sample > s.value {
		timeConstant = riseTimeConstant
	}
	elapsed := now.Sub(s.updatedAt)
	s.updatedAt = now
	s.value = approach(s.value, sample, elapsed, timeConstant)
	s.recent = approach(s.recent, sample, elapsed, recentTimeConstant)
	return s.value
}

// Recent returns the average over a longer period than that of Add.
func (s *SmoothedDemand) Recent() float64 { return s.recent }

// approach moves a value towards a sample by the share of the time constant that has elapsed.
func approach(value, sample float64, elapsed, timeConstant time.Duration) float64 {
	return value + min(float64(elapsed)/float64(timeConstant), 1)*(sample-value)
}
