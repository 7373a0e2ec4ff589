package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/speed"
)

// Guards against targets of different speed that get equal parts of the requests, against a fast target that gets all of them, and
// against speeds that have an effect after they have been withdrawn.
func TestPickPrefersFastTargets(t *testing.T) {
	counts := func(speeds map[string]float64) map[string]int {
		tracker, targets, rng := NewLoadTracker("g"), engines(3), newRand()
		tracker.SetSpeeds(speeds)
		counts := map[string]int{}
		for i := range 18 {
			now := start.Add(time.Duration(i) * 200 * time.Millisecond) // no backlog of prompts
			for j := range targets {
				targets[j].HeardAt = now
			}
			got, _ := tracker.Pick(now, rng, Query{Service: "s", Model: "m", Tokens: 100, DataCentre: "a", MaxPerSlot: 1}, roster.NewIndex(targets))
			tracker.FirstByte(now, tracker.Start(now, got.ID, "m", 100), 0)
			counts[got.ID]++
		}
		return counts
	}
	uneven := counts(map[string]float64{"t0": 0.6, "t2": 1.6})
	if uneven["t0"] >= uneven["t1"] || uneven["t1"] >= uneven["t2"] || uneven["t0"] == 0 {
		t.Errorf("requests by target %v, want more for faster ones (speeds 0.6, 1, 1.6)", uneven)
	}
	for id, n := range counts(nil) {
		if n < 5 || n > 7 {
			t.Errorf("%s got %d of 18 requests without speeds, want 5 to 7", id, n)
		}
	}
	tracker := NewLoadTracker("g")
	tracker.Start(start, "t0", "m", 1)
	tracker.SetSpeeds(map[string]float64{"t0": 0.6})
	if got := tracker.SpeedOf("t0"); got != 0.6 || tracker.state("t0").speed != 0.6 {
		t.Errorf("speed %v", got)
	}
	tracker.SetSpeeds(nil)
	if got := tracker.SpeedOf("t0"); got != 1 || tracker.state("t0").speed != 1 {
		t.Errorf("speed %v after it was withdrawn", got)
	}
}

// Guards against samples of an earlier start of a target, samples that are reported twice, and reports that grow with the number of pairs.
func TestSpeedSamples(t *testing.T) {
	tracker := NewLoadTracker("g")
	starts := map[string]int64{}
	now := start
	events := func(id, model string, n int) {
		r := tracker.Start(start, id, model, 1)
		for range n {
			now = now.Add(45 * time.Millisecond)
			tracker.Event(now, r, 45*time.Millisecond)
		}
		starts[id] = 1
	}
	for i := range 40 {
		events(fmt.Sprint("t", i), "m", 10+i)
	}
	events("plain", "", 100)
	samples := tracker.TakeSpeedSamples(starts)
	if len(samples) != speed.MaxSamples || samples[0].Target != "t39" || samples[0].Count != 49 || samples[0].StartedAtMs != 1 {
		t.Fatalf("%d samples, first %+v", len(samples), samples[0])
	}
	if rest := tracker.TakeSpeedSamples(starts); len(rest) != 40-speed.MaxSamples {
		t.Errorf("%d samples in the next report, want those that were left out", len(rest))
	}
	events("t0", "m", 5)
	starts["t0"] = 2
	if stale := tracker.TakeSpeedSamples(starts); len(stale) > 0 {
		t.Errorf("samples of an earlier start: %+v", stale)
	}
	events("t0", "m", 5)
	starts["t0"] = 2
	if fresh := tracker.TakeSpeedSamples(starts); len(fresh) != 1 || fresh[0].StartedAtMs != 2 || fresh[0].Count != 5 {
		t.Errorf("samples of the new start: %+v", fresh)
	}
	if unknown := tracker.TakeSpeedSamples(nil); len(unknown) > 0 {
		t.Errorf("samples of unknown targets: %+v", unknown)
	}
}

// Guards against gaps of an earlier start of a target that was not listed in between, while its last streams ended: they would count for
// the speed of the new start.
func TestSpeedSamplesOfATargetThatWasNotListed(t *testing.T) {
	tracker := NewLoadTracker("g")
	now := start
	r := tracker.Start(now, "t", "m", 1)
	events := func(n int, gap time.Duration) {
		for range n {
			now = now.Add(gap)
			tracker.Event(now, r, gap)
		}
	}
	events(5, 45*time.Millisecond)
	if samples := tracker.TakeSpeedSamples(map[string]int64{"t": 1}); len(samples) != 1 {
		t.Fatalf("samples of the first start: %+v", samples)
	}
	tracker.TakeSpeedSamples(nil)
	events(60, 150*time.Millisecond)
	tracker.TakeSpeedSamples(nil)
	events(30, 150*time.Millisecond)
	if samples := tracker.TakeSpeedSamples(map[string]int64{"t": 2}); len(samples) > 0 {
		t.Errorf("samples of the earlier start for the new one: %+v", samples)
	}
	events(5, 45*time.Millisecond)
	if samples := tracker.TakeSpeedSamples(map[string]int64{"t": 2}); len(samples) != 1 || samples[0].Count != 5 || samples[0].GapMs > 60 {
		t.Errorf("samples of the new start: %+v", samples)
	}
}

// Guards against gateways without a leader that take the slots of a slow target before the requests of others there have ended: service
// times are those at nominal speed.
func TestSlotsOfSlowTargetsAreFreeLater(t *testing.T) {
	const gateways = 200
	taken := func(speed float64, after time.Duration) (n int) {
		for seed := range uint64(gateways) {
			tracker, targets, rng := NewLoadTracker("g"), engines(1), rand.New(rand.NewPCG(seed, 1))
			tracker.SetSpeeds(map[string]float64{"t0": speed})
			tracker.SetPeerObservations(map[string]Observation{"t0": {Load: Load{Running: 8}}}, nil)
			tracker.SetPeerObservations(nil, nil)
			pick := func(now time.Time) *roster.Entry {
				got, _ := tracker.Pick(now, rng, Query{Service: "s", Model: "m", MaxPerSlot: 1,
					Sharing: &Sharing{Part: 0.5, PartUnknown: 1.0 / gateways, ServiceTime: time.Second, Waiting: 10}}, roster.NewIndex(targets))
				return got
			}
			pick(start)
			for pick(start.Add(after)) != nil {
				tracker.Start(start.Add(after), "t0", "m", 1)
				n++
			}
		}
		return n
	}
	nominal := taken(1, time.Second)
	for _, speed := range []float64{0.5, 2} {
		if got := taken(speed, time.Duration(float64(time.Second)/speed)); got != nominal {
			t.Errorf("gateways take %d of 8 slots after one service time of a target of speed %v, and %d at nominal speed", got, speed, nominal)
		}
	}
}
