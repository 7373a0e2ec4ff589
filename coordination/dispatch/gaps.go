package dispatch

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/speed"
)

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
	// usual holds the gaps from which the speed of the target is estimated, by model. The baseline is no base for that: with few
	// streams it depends on the first gap, and events that are read together lower it by up to three quarters.
	usual map[string]*speed.Gaps
	// startedAtMs is the start time of the target whose gaps usual holds, 0 if unknown, or notListed.
	startedAtMs int64
}

func newGapTracker() gapTracker {
	return gapTracker{baselineMs: make(map[string]float64), usual: make(map[string]*speed.Gaps)}
}

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
	if model != "" {
		g.observeUsual(now, model, gap)
	}
	ratio := min(ms/baselineMs, maxSlowness)
	if g.average == 0 || now.Sub(g.observedAt) > gapMaxAge {
		g.average = 1
	}
	g.average += gapSampleWeight * (ratio - g.average)
	g.observedAt = now
}

func (g *gapTracker) observeUsual(now time.Time, model string, gap time.Duration) {
	usual := g.usual[model]
	if usual == nil {
		if len(g.usual) >= maxModels {
			clear(g.usual)
		}
		usual = &speed.Gaps{}
		g.usual[model] = usual
	}
	usual.Add(now, gap)
}

// slowness returns the moving average of gap over baseline, 0 without recent observations.
func (g *gapTracker) slowness(now time.Time) float64 {
	if g.observedAt.IsZero() || now.Sub(g.observedAt) > gapMaxAge {
		return 0
	}
	return g.average
}
