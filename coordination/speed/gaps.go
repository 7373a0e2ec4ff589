package speed

import (
	"math"
	"time"
)

const (
	// usualQuantile is the quantile of the recent gaps that is the usual gap. It is below the median, since a slow phase and a busy
	// gateway lengthen gaps, and high enough that gaps of events that were read together do not count.
	usualQuantile = 0.35
	// minGapInterval is the least time between two gaps that count. Without it, a slow phase of 600 ms with many events would fill
	// the history.
	minGapInterval = 25 * time.Millisecond
	// maxHistory is the number of gaps at which the weight of all earlier ones is halved. It is reached after 6 s at the earliest.
	maxHistory = 240

	gapBucketsPerOctave = 16 // 4 % each
	gapOctaves          = 11
	shortestGapMs       = 0.5
)

// Gaps collects the gaps between the events of the streams of one model at one target. The zero value is empty.
type Gaps struct {
	counts  [gapOctaves * gapBucketsPerOctave]uint8
	total   int
	fresh   int // since the last report
	addedAt time.Time
}

// Add records a gap.
func (g *Gaps) Add(now time.Time, gap time.Duration) {
	if now.Sub(g.addedAt) < minGapInterval {
		return
	}
	g.addedAt = now
	octaves := math.Log2(max(float64(gap)/float64(time.Millisecond), shortestGapMs) / shortestGapMs)
	g.counts[min(int(octaves*gapBucketsPerOctave), len(g.counts)-1)]++
	g.fresh++
	if g.total++; g.total >= maxHistory {
		g.total = 0
		for i := range g.counts {
			g.counts[i] /= 2
			g.total += int(g.counts[i])
		}
	}
}

// Fresh returns the number of gaps since the last report.
func (g *Gaps) Fresh() int { return g.fresh }

// Take returns a sample of the gaps for a report.
func (g *Gaps) Take(target string, startedAtMs int64, model string) Sample {
	s := Sample{Target: target, StartedAtMs: startedAtMs, Model: model, GapMs: math.Round(g.usualMs()*100) / 100, Count: g.fresh}
	g.fresh = 0
	return s
}

// usualMs returns the usual gap, 0 if there is none.
func (g *Gaps) usualMs() float64 {
	position := usualQuantile * float64(g.total)
	for i, n := range g.counts {
		if count := float64(n); count > 0 && position <= count {
			return shortestGapMs * math.Exp2((float64(i)+position/count)/gapBucketsPerOctave)
		}
		position -= float64(n)
	}
	return 0
}
