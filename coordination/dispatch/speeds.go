package dispatch

import (
	"cmp"
	"slices"

	"github.com/tarragonhoist/tarragonhoist/coordination/speed"
)

// notListed is the start time of a target that was listed before. Streams of its earlier start may still end.
const notListed = -1

// SetSpeeds replaces the speeds of targets relative to the median target of their service. Targets without one count as 1.
func (tracker *LoadTracker) SetSpeeds(speeds map[string]float64) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.speeds = speeds
	for id, s := range tracker.targets {
		s.speed = tracker.speedOf(id)
	}
}

// SpeedOf returns the speed of a target relative to the median target of its service, 1 if it is unknown.
func (tracker *LoadTracker) SpeedOf(id string) float64 {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.speedOf(id)
}

func (tracker *LoadTracker) speedOf(id string) float64 {
	if v := tracker.speeds[id]; v > 0 {
		return v
	}
	return 1
}

// TakeSpeedSamples returns samples of the pairs of target and model with the most new gaps. startedAtMs holds the start times of targets.
// The gaps of targets that have started again are dropped, and so are those of targets that it does not contain.
func (tracker *LoadTracker) TakeSpeedSamples(startedAtMs map[string]int64) []speed.Sample {
	type pair struct {
		id, model string
		gaps      *speed.Gaps
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var pairs []pair
	for id, s := range tracker.targets {
		started, listed := startedAtMs[id]
		if !listed && s.gaps.startedAtMs != 0 {
			started = notListed
		}
		if started != s.gaps.startedAtMs {
			if s.gaps.startedAtMs != 0 {
				clear(s.gaps.usual)
			}
			s.gaps.startedAtMs = started
		}
		if started <= 0 {
			continue
		}
		for model, g := range s.gaps.usual {
			if g.Fresh() > 0 {
				pairs = append(pairs, pair{id, model, g})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.gaps.Fresh(), a.gaps.Fresh()), cmp.Compare(a.id, b.id), cmp.Compare(a.model, b.model))
	})
	pairs = pairs[:min(len(pairs), speed.MaxSamples)]
	samples := make([]speed.Sample, len(pairs))
	for i, p := range pairs {
		samples[i] = p.gaps.Take(p.id, startedAtMs[p.id], p.model)
	}
	return samples
}
