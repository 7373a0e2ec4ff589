package dispatch

import "time"

const (
	// gapSampleWeight is the weight of a new sample in the moving average. With one event per stream every 30 ms, a
	// slowdown is detected within two or three events of one stream.
	gapSampleWeight = 0.4
	// gapMaxAge is the age from which an observation is stale. A slowdown usually lasts about 600 ms.
	gapMaxAge = 400 * time.Millisecond
	// baselineFallWeight and baselineRiseWeight are the weights with which the baseline follows shorter and longer
	// gaps. The baseline falls faster than it rises, so it stays near the gap of an undisturbed target.
	baselineFallWeight = 0.1
	baselineRiseWeight = 0.003
	// maxSlowness caps the ratio of a single gap to the baseline.
	maxSlowness = 8.0
	// maxModels is the maximum number of models with a baseline per target.
	maxModels = 64
)

// gapTracker compares the gaps between stream events of one target with the baseline of the same model.
type gapTracker struct {
	baselineMs map[string]float64 // by model
	average    float64            // of gap over baseline
	observedAt time.Time
}

func newGapTracker() gapTracker { return gapTracker{baselineMs: make(map[string]float64)} }

// observe records the gap before a stream event.
func (g *gapTracker) observe(now time.Time, model string, gap time.Duration) {
	ms := max(float64(gap)/float64(time.Millisecond), 1)
	baselineMs, ok := g.baselineMs[model]
	switch {
	case !ok && len(g.baselineMs) >= maxModels:
		clear(g.baselineMs)
		baselineMs = ms
	case !ok:
		baselineMs = ms
	case ms < baselineMs:
		baselineMs += baselineFallWeight * (ms - baselineMs)
	default:
		baselineMs += baselineRiseWeight * (ms - baselineMs)
	}
	g.baselineMs[model] = baselineMs
	ratio := min(ms/baselineMs, maxSlowness)
	if g.average == 0 || now.Sub(g.observedAt) > gapMaxAge {
		g.average = 1
	}
	g.average += gapSampleWeight * (ratio - g.average)
	g.observedAt = now
}

// slowness returns the moving average of gap over baseline, 0 without recent observations.
func (g *gapTracker) slowness(now time.Time) float64 {
	if g.observedAt.IsZero() || now.Sub(g.observedAt) > gapMaxAge {
		return 0
	}
	return g.average
}
