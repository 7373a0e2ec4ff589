package residency

import (
	"math"
	"time"
)

const (
	// minAheadLoadTime is the duration of a load from the weight store from which copies of a model are planned by
	// forecast. Demand stays with a model for about 8 s; a shorter load is done while more than half of that is left.
	minAheadLoadTime = 5 * time.Second
	// fastTimeConstant and slowTimeConstant are those of the two averages whose difference gives the slope. The slow one
	// spans more than the 1.5 s of a stream, within which samples of the number of running requests are correlated.
	fastTimeConstant = 400 * time.Millisecond
	slowTimeConstant = 2 * time.Second
	// slopeNoise is the difference of the two averages that is attributed to chance, in standard deviations of a Poisson
	// distribution. Half of one shows a rise 0.5 s earlier than a whole one; maxGrowth keeps the forecast for a model with
	// one or two requests below minSpareAhead all the same.
	slopeNoise = 0.5
	// waitingShare is the part of a waiting request that counts. Requests wait for up to 2 s where running ones take
	// about 1 s, so that waiting ones add up to twice the slots that serve them.
	waitingShare = 0.5
	// trendDuration is the time for which a slope is extrapolated. It is half of the time between two shifts of demand:
	// at a random moment of a rise, half of it is over.
	trendDuration = 4 * time.Second
	// soonDuration is the time until a copy from the disk or the memory of a target serves requests.
	soonDuration = 1500 * time.Millisecond
	// maxGrowth bounds the forecast by a multiple of the current level. The slope just after a step is far above what
	// demand then grows by.
	maxGrowth = 2.0
	// fallingShare is the forecast, as a part of the level, below which demand counts as falling.
	fallingShare = 0.9
)

// Forecast is the predicted demand of a model.
type Forecast struct {
	// Soon is the demand when a copy from the disk or the memory of a target could serve requests, and Loaded when one
	// from the weight store could.
	Soon, Loaded float64
	// Falling means that the demand decreases by more than chance explains.
	Falling bool
}

// Trend follows the level and the slope of the demand of a model. Both are derived from the number of running and waiting
// requests: it counts the arrivals of the last stream duration, so it has the noise of an arrival rate over that period,
// and it also shows the requests that find no slot.
type Trend struct {
	fast, slow float64
	updatedAt  time.Time
}

// Add adds a sample of the numbers of running and waiting requests. While settled is false, samples only set the level: the load of the gateways adds up during the
// first second of a leader, which is no slope.
func (t *Trend) Add(now time.Time, running, waiting float64, settled bool) {
	sample := running + waitingShare*waiting
	elapsed := now.Sub(t.updatedAt)
	if t.updatedAt.IsZero() {
		elapsed = 0
	}
	t.updatedAt = now
	t.fast = approach(t.fast, sample, elapsed, fastTimeConstant)
	t.slow = approach(t.slow, sample, elapsed, slowTimeConstant)
	if !settled {
		t.fast, t.slow = sample, sample
	}
}

// slopePerSecond returns the slope beyond what chance explains. On a linear rise, each average lags by its time constant
// times the slope.
func (t *Trend) slopePerSecond() float64 {
	difference := t.fast - t.slow
	excess := math.Abs(difference) - slopeNoise*math.Sqrt(max(t.fast, t.slow))
	if excess <= 0 {
		return 0
	}
	return math.Copysign(excess, difference) / (slowTimeConstant - fastTimeConstant).Seconds()
}

// Forecast returns the demand to be expected when a copy of a model would be loaded.
func (t *Trend) Forecast() Forecast {
	slope := t.slopePerSecond()
	if slope == 0 {
		level := (t.fast + t.slow) / 2 // the mean has less noise than the fast average
		return Forecast{Soon: level, Loaded: level}
	}
	at := func(d time.Duration) float64 {
		return max(0, min(t.fast+slope*(d+fastTimeConstant).Seconds(), maxGrowth*t.fast))
	}
	f := Forecast{Soon: at(soonDuration), Loaded: at(trendDuration)}
	f.Falling = f.Loaded < fallingShare*t.fast
	return f
}

// longLoad reports whether a load of the model takes too long for a plan by current demand.
func (m *Model) longLoad() bool { return m.LoadTime >= minAheadLoadTime }
