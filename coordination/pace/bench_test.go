package pace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/pace"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

const (
	benchTargets  = 98
	benchStarting = 10
)

func benchEntries(now time.Time, restarted int) []roster.Entry {
	entries := make([]roster.Entry, benchTargets)
	for i := range entries {
		startedAtMs := int64(1)
		if i < restarted {
			startedAtMs = 2
		}
		entries[i] = roster.Entry{Target: roster.Target{Key: roster.Key{ID: fmt.Sprint("t", i), StartedAtMs: startedAtMs}, Service: "s", Slots: 12}, HeardAt: now}
	}
	return entries
}

// BenchmarkPick measures a pick among 98 targets without the part, with it and no start phase, and with ten start phases.
func BenchmarkPick(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		paced    bool
		starting int
	}{{"without", false, 0}, {"no start", true, 0}, {"ten starts", true, benchStarting}} {
		b.Run(test.name, func(b *testing.B) {
			tracker, table, rng := dispatch.NewLoadTracker("g"), pace.NewTable("g"), rand.New(rand.NewPCG(1, 2))
			table.SetTargets(now, benchEntries(now, 0))
			entries := benchEntries(now, test.starting)
			query := dispatch.Query{Service: "s", Tokens: 700, MaxPerSlot: 1.25}
			if test.paced {
				query.Admit = func(t *roster.Entry, running int) bool { return table.Admit(now, t.Key, running, 77) }
			}
			b.ReportAllocs()
			for b.Loop() {
				tracker.Pick(now, rng, query, roster.NewIndex(entries))
			}
		})
	}
}

// BenchmarkReport measures what a report costs the leader: ten start phases among 98 targets.
func BenchmarkReport(b *testing.B) {
	for _, gateways := range []int{77, 300, 1000} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			now := time.Unix(1000, 0)
			sums := pace.NewSums()
			list := func(restarted int) (targets []pace.Target) {
				for _, e := range benchEntries(now, restarted) {
					targets = append(targets, pace.Target{Key: e.Key, HeardAt: now, Slots: 12, Full: 15})
				}
				return targets
			}
			sums.SetTargets(now, list(0))
			sums.SetTargets(now, list(benchStarting))
			var observations []pace.Observation
			for i := range benchStarting {
				observations = append(observations, pace.Observation{Target: roster.Key{ID: fmt.Sprint("t", i), StartedAtMs: 2}, Wanted: 1})
			}
			interval := max(100*time.Millisecond, time.Duration(gateways)*1500*time.Microsecond)
			none := func(string) int { return 0 }
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(interval / time.Duration(gateways))
				name := fmt.Sprint("g", i%gateways)
				i++
				sums.Report(now, &pace.Report{Gateway: name, Observations: observations}, gateways, interval)
				sums.Parts(now, name, none, none, interval)
			}
		})
	}
}
