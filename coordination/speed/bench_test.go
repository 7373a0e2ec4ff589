package speed

import (
	"fmt"
	"testing"
	"time"
)

// The leader has 0.48 of a core. Each gateway reports at most twice per second, and speeds are estimated once per second.
func BenchmarkEstimate(b *testing.B) {
	for _, gateways := range []int{77, 300} {
		r := newReplay(1, gateways, threeSpeeds(90), 600)
		r.run(30*time.Second, nil)
		b.Run(fmt.Sprintf("%d_gateways", gateways), func(b *testing.B) {
			now := epoch.Add(r.now)
			for range b.N {
				r.estimator.estimatedAt = time.Time{}
				r.estimator.Update(now)
			}
		})
		b.Run(fmt.Sprintf("%d_gateways_all_pairs", gateways), func(b *testing.B) {
			// Each gateway has samples of each pair.
			now := epoch.Add(r.now)
			for g := range gateways {
				for t, models := range r.placement {
					for _, m := range models {
						r.estimator.Report(now, fmt.Sprint("g", g), []Sample{{Target: targetID(t), StartedAtMs: 1, Model: fmt.Sprint("m", m), GapMs: 40 + float64(g%7), Count: 50}})
					}
				}
			}
			b.ResetTimer()
			for range b.N {
				r.estimator.estimatedAt = time.Time{}
				r.estimator.Update(now)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	for _, gateways := range []int{77, 300} {
		r := newReplay(1, gateways, threeSpeeds(90), 600)
		r.run(30*time.Second, nil)
		var samples []Sample
		for t, models := range r.placement {
			for _, m := range models {
				if len(samples) < MaxSamples {
					samples = append(samples, Sample{Target: targetID(t), StartedAtMs: 1, Model: fmt.Sprint("m", m), GapMs: 40, Count: 50})
				}
			}
		}
		names := make([]string, gateways)
		for i := range names {
			names[i] = fmt.Sprint("g", i)
		}
		b.Run(fmt.Sprintf("%d_gateways", gateways), func(b *testing.B) {
			for i := range b.N {
				r.estimator.Report(epoch.Add(r.now), names[i%gateways], samples)
			}
		})
	}
}

func BenchmarkGapsAdd(b *testing.B) {
	var g Gaps
	for i := range b.N {
		g.Add(epoch.Add(time.Duration(i)*minGapInterval), 45*time.Millisecond)
	}
}
