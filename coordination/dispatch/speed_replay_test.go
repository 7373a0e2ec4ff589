package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Guards against a use of speeds with which requests start later than without speeds. Nine engines at 0.6, 1.0 and 1.6
// times the nominal speed hold the model; streams of 715 prompt tokens hold a slot for 1.5 s at the nominal speed.
func TestRequestsStartEarlierWithSpeeds(t *testing.T) {
	const (
		slots        = 12
		promptPerMs  = 40.8
		holdMs       = 1500.0
		objective    = 400 * time.Millisecond
		step         = 4 * time.Millisecond
		playTime     = 60 * time.Second
		promptTokens = 715
	)
	speeds := map[string]float64{}
	targets := engines(9)
	for i := range targets {
		targets[i].Slots = slots
		speeds[targets[i].ID] = []float64{0.6, 1, 1.6}[i%3]
	}
	type running struct {
		r       *InFlightRequest
		firstAt time.Time
		endAt   time.Time
		started bool
	}
	play := func(seed uint64, known map[string]float64, perSecond float64) (late, meanMs float64) {
		tracker, rng := NewLoadTracker("g"), newRand()
		arrivals := rand.New(rand.NewPCG(seed, 3)) // the same with and without speeds
		tracker.SetSpeeds(known)
		var waiting []time.Time
		var active []*running
		prefillDone := map[string]time.Time{}
		arrived, lateCount, sum := 0, 0, time.Duration(0)
		next := start
		for now := start; now.Before(start.Add(playTime)); now = now.Add(step) {
			for i := range targets {
				targets[i].HeardAt = now
			}
			active = slices.DeleteFunc(active, func(a *running) bool {
				if !a.started && !now.Before(a.firstAt) {
					a.started = true
					tracker.FirstByte(now, a.r, 0)
				}
				if now.Before(a.endAt) {
					return false
				}
				tracker.Finish(now, a.r, Complete)
				return true
			})
			for ; !next.After(now); next = next.Add(time.Duration(arrivals.ExpFloat64() / perSecond * float64(time.Second))) {
				arrived++
				waiting = append(waiting, now)
			}
			for len(waiting) > 0 {
				got, _ := tracker.Pick(now, rng, Query{Service: "s", Model: "m", Tokens: promptTokens, DataCentre: "a", MaxPerSlot: 1}, roster.NewIndex(targets))
				if got == nil {
					break
				}
				tracker.Reserve(now, got.ID, promptTokens, 1)
				v := speeds[got.ID]
				begin := now
				if prefillDone[got.ID].After(begin) {
					begin = prefillDone[got.ID]
				}
				first := begin.Add(time.Duration(promptTokens / promptPerMs / v * float64(time.Millisecond)))
				prefillDone[got.ID] = first
				sum += first.Sub(waiting[0])
				if first.Sub(waiting[0]) > objective {
					lateCount++
				}
				active = append(active, &running{r: tracker.Start(now, got.ID, "m", promptTokens), firstAt: first,
					endAt: first.Add(time.Duration(holdMs / v * float64(time.Millisecond)))})
				waiting = waiting[1:]
			}
		}
		return float64(lateCount+len(waiting)) / float64(arrived), float64(sum.Milliseconds()) / float64(arrived)
	}
	for _, perSecond := range []float64{65, 73} {
		var lateWithout, meanWithout, lateWith, meanWith float64
		const plays = 5 // at 0.95 of the capacity, the late requests of a single play differ by a few either way
		for seed := range uint64(plays) {
			late, mean := play(seed, nil, perSecond)
			lateWithout, meanWithout = lateWithout+late/plays, meanWithout+mean/plays
			late, mean = play(seed, speeds, perSecond)
			lateWith, meanWith = lateWith+late/plays, meanWith+mean/plays
		}
		t.Logf("%v requests per second: late %.4f, mean %.1f ms without speeds; %.4f, %.1f ms with", perSecond, lateWithout, meanWithout, lateWith, meanWith)
		if lateWith > lateWithout || meanWith >= meanWithout {
			t.Errorf("%v requests per second: late %.4f, mean %.1f ms with speeds; %.4f, %.1f ms without", perSecond, lateWith, meanWith, lateWithout, meanWithout)
		}
	}
}
