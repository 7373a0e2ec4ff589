package residency

import (
	"testing"
	"time"
)

// feed adds one sample per tick and returns the time of the last one.
func feed(trend *Trend, now time.Time, length time.Duration, running func(elapsed time.Duration) float64) time.Time {
	for elapsed := time.Duration(0); elapsed < length; elapsed += replayStep {
		now = now.Add(replayStep)
		trend.Add(now, running(elapsed), 0, true)
	}
	return now
}

// Guards against loads for single requests: the forecast for a model with one or two requests must stay below the demand
// that is worth a load.
func TestSingleRequestsHaveNoSlope(t *testing.T) {
	var trend Trend
	now := feed(&trend, time.Unix(100, 0), 5*time.Second, func(time.Duration) float64 { return 0 })
	for range 50 {
		now = feed(&trend, now, replayStep, func(time.Duration) float64 { return 2 })
		if f := trend.Forecast(); f.Loaded >= minSpareAhead*replaySlots {
			t.Fatalf("forecast %+v for two requests", f)
		}
	}
}

// Guards against a plan that follows a rise only when it is over, and against a forecast without bound after a step.
func TestForecastLeadsARise(t *testing.T) {
	var trend Trend
	now := feed(&trend, time.Unix(100, 0), 5*time.Second, func(time.Duration) float64 { return 4 })
	now = feed(&trend, now, 3*time.Second, func(elapsed time.Duration) float64 { return 4 + 10*elapsed.Seconds() })
	if f := trend.Forecast(); f.Loaded < 45 || f.Soon < 38 || f.Soon > f.Loaded || f.Falling {
		t.Errorf("forecast %+v at a demand of 34 that rises by 10 per second", f)
	}
	feed(&trend, now, 500*time.Millisecond, func(time.Duration) float64 { return 300 })
	if f := trend.Forecast(); f.Loaded > 300*maxGrowth {
		t.Errorf("forecast %+v after a step to 300", f)
	}
}

// Guards against copies for a model whose demand moves on.
func TestForecastFalls(t *testing.T) {
	var trend Trend
	now := feed(&trend, time.Unix(100, 0), 5*time.Second, func(time.Duration) float64 { return 60 })
	if trend.Forecast().Falling {
		t.Error("steady demand counts as falling")
	}
	falling := func(from float64) func(time.Duration) float64 {
		return func(elapsed time.Duration) float64 { return from - 10*elapsed.Seconds() }
	}
	now = feed(&trend, now, 2*time.Second, falling(60))
	if f := trend.Forecast(); !f.Falling || f.Loaded > 36 || f.Soon < f.Loaded {
		t.Errorf("forecast %+v at a demand of 40 that falls by 10 per second", f)
	}
	feed(&trend, now, 2*time.Second, falling(40))
	if f := trend.Forecast(); !f.Falling || f.Loaded > 5 {
		t.Errorf("forecast %+v at a demand of 20 that falls by 10 per second", f)
	}
}

// Guards against a new leader that takes the load reports of its first second, which add up, for a rise.
func TestNewLeaderHasNoSlopeAtFirst(t *testing.T) {
	var trend Trend
	now := time.Unix(100, 0)
	for i := range 10 {
		now = now.Add(replayStep)
		trend.Add(now, float64(5*i), 0, false)
		if f := trend.Forecast(); f.Loaded != float64(5*i) {
			t.Fatalf("forecast %+v at a level of %d", f, 5*i)
		}
	}
	feed(&trend, now, time.Second, func(time.Duration) float64 { return 45 })
	if f := trend.Forecast(); f.Loaded != 45 {
		t.Errorf("forecast %+v of steady demand after the first second", f)
	}
}
