package speed

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"
)

// tolerance is the error that the design page allows for a single slow phase.
const tolerance = 0.1

// nearestClass is the error below which a speed is nearer to the true one than to that of targets that are 1.6 times as fast or slow.
const nearestClass = 0.2

// Guards against speeds that take longer than 3 s, that take models with short steps for fast targets, that follow slow phases, or that
// need a gateway to see much of each pair.
func TestSpeedsOfUnevenTargets(t *testing.T) {
	for _, c := range []struct {
		gateways int
		late     float64
		seed     uint64
	}{{1, 0.3, 2}, {77, 0, 0}, {77, 0.3, 1}, {77, 0.3, 2}, {300, 0.3, 2}} {
		t.Run(fmt.Sprintf("%d_gateways,_late_%v,_seed_%d", c.gateways, c.late, c.seed), func(t *testing.T) {
			r := newReplay(c.seed, c.gateways, threeSpeeds(90), 600)
			r.slowPhases, r.late = true, c.late
			// 3 s are required for 77 gateways. 300 report every 2 s, and a single one reports 32 of 270 pairs at a time.
			available := map[int]time.Duration{1: 10 * time.Second, 77: 3 * time.Second, 300: 5 * time.Second}[c.gateways]
			r.run(SampleTTL+5*time.Second, func(now time.Duration, speeds map[string]float64) {
				if now < available {
					return
				}
				errs := r.errorsOf(speeds)
				if len(errs) < 60 {
					t.Fatalf("%v: speeds of %d targets", now, len(errs))
				}
				if median := quantile(errs, 0.5); median > nearestClass {
					t.Errorf("%v: half of the speeds are wrong by %.2f or more", now, median)
				}
				if high := quantile(errs, 0.9); now >= SampleTTL && high > nearestClass {
					t.Errorf("%v: a tenth of the speeds is wrong by %.2f or more", now, high)
				}
			})
		})
	}
}

// Guards against speeds that take effect where targets are about equal, also when a tenth or more of them is in a slow phase.
func TestNearlyEqualTargetsKeepSpeedOne(t *testing.T) {
	for _, targets := range []int{3, 24, 90} {
		for _, gateways := range []int{1, 77} {
			seeds := uint64(6)
			if targets == 90 {
				seeds = 2
			}
			for seed := range seeds {
				speeds := make([]float64, targets)
				for i := range speeds {
					speeds[i] = []float64{1, 1, 1.3}[i%3]
				}
				r := newReplay(seed, gateways, speeds, 600*float64(targets)/90)
				r.slowPhases, r.late = true, 0.3
				r.run(20*time.Second, func(now time.Duration, speeds map[string]float64) {
					if speeds != nil {
						t.Errorf("%d targets, %d gateways, seed %d: speeds at %v: ratio %.2f", targets, gateways, seed, now, r.estimator.services["s"].ratio)
					}
				})
			}
		}
	}
}

// Guards against a slow phase of one target that changes its speed or that of others, compared with the same streams without it.
func TestSlowPhaseIsNotSpeed(t *testing.T) {
	for _, gateways := range []int{1, 77} {
		for _, model := range []int{0, 20} {
			var without []map[string]float64
			for _, slow := range []bool{false, true} {
				r := newReplay(2, gateways, threeSpeeds(90), 600)
				r.run(15*time.Second, nil)
				target := r.copies[model][0]
				r.slowPhases = slow
				for i := range r.slow {
					r.slow[i] = []time.Duration{r.now + time.Hour}
				}
				r.slow[target] = []time.Duration{r.now + 100*time.Millisecond, r.now + time.Hour}
				second := 0
				r.run(4*time.Second, func(now time.Duration, speeds map[string]float64) {
					if !slow {
						without = append(without, maps.Clone(speeds))
						return
					}
					for id, want := range without[second] {
						if got := speeds[id]; math.Abs(got/want-1) > tolerance {
							t.Errorf("%d gateways, %v: speed of %s is %.2f after a slow phase of %s, %.2f without", gateways, now, id, got, targetID(target), want)
						}
					}
					second++
				})
			}
		}
	}
}

// fleet reports gaps of pairs without noise.
type fleet struct {
	estimator *Estimator
	now       time.Time
	gaps      map[string]map[string]float64 // by target and model
	starts    map[string]int64
}

func newFleet(gaps map[string]map[string]float64) *fleet {
	f := &fleet{estimator: NewEstimator(), now: epoch, gaps: gaps, starts: make(map[string]int64)}
	for id := range gaps {
		f.starts[id] = 1
	}
	f.setTargets()
	return f
}

func (f *fleet) setTargets() {
	var list []Target
	for id := range f.gaps {
		list = append(list, Target{ID: id, StartedAtMs: f.starts[id], Service: "s"})
	}
	f.estimator.SetTargets(list)
}

// report lets gateways report a number of samples of each pair of some targets each half second.
func (f *fleet) report(duration time.Duration, count int, targets ...string) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		var samples []Sample
		for _, id := range targets {
			for model, gap := range f.gaps[id] {
				samples = append(samples, Sample{Target: id, StartedAtMs: f.starts[id], Model: model, GapMs: gap, Count: count})
			}
		}
		for chunk := range slices.Chunk(samples, MaxSamples) {
			f.estimator.Report(f.now, "g", chunk)
		}
		f.estimator.Update(f.now)
	}
}

func (f *fleet) want(t *testing.T, what string, want map[string]float64) {
	t.Helper()
	got := f.estimator.Speeds(f.now, "s")
	for id, speed := range want {
		if math.Abs(got[id]/speed-1) > tolerance {
			t.Errorf("%s: speed of %s is %.3f, want %.3f", what, id, got[id], speed)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%s: speeds %v, want %v", what, got, want)
	}
}

// pairs are targets of speeds 0.6, 1 and 1.6 that share models of times per step that differ by a factor of 7.7; "alone" shares none.
func pairs() map[string]map[string]float64 {
	return map[string]map[string]float64{
		"slow":   {"m": 45 / 0.6, "n": 45 / 7.7 / 0.6},
		"middle": {"n": 45 / 7.7},
		"fast":   {"m": 45 / 1.6},
		"alone":  {"o": 200},
	}
}

// learnTime is the time after which the speeds of a few targets take effect.
const learnTime = (estimatesToStart + 1) * time.Second

var pairSpeeds = map[string]float64{"slow": 0.6, "middle": 1, "fast": 1.6, "alone": 1}

// Guards against targets that share no model being compared with others, and against a service that keeps speeds after its targets have
// become equal.
func TestSpeedsThroughSharedModels(t *testing.T) {
	f := newFleet(pairs())
	f.report(learnTime, 50, "slow", "middle", "fast", "alone")
	f.want(t, "shared models", pairSpeeds)
	if changes := f.estimator.TakeChanges(); len(changes) != 1 || !changes[0].InEffect || changes[0].Targets != 4 {
		t.Errorf("changes %+v", changes)
	}
	f.gaps["slow"], f.gaps["fast"] = map[string]float64{"m": 45, "n": 45 / 7.7}, map[string]float64{"m": 45}
	f.report(estimatesToStop*time.Second+time.Second, 50, "slow", "middle", "fast", "alone")
	f.want(t, "equal targets", nil)
	if changes := f.estimator.TakeChanges(); len(changes) != 1 || changes[0].InEffect {
		t.Errorf("changes %+v", changes)
	}
}

// Guards against a speed from samples of an earlier start of a target, in whichever order the restart becomes known.
func TestRestartClearsSpeed(t *testing.T) {
	for name, restart := range map[string]func(*fleet){
		"list first":   func(f *fleet) { f.setTargets() },
		"report first": func(f *fleet) { f.report(500*time.Millisecond, 1, "fast") },
	} {
		f := newFleet(pairs())
		f.report(learnTime, 50, "slow", "middle", "fast", "alone")
		f.starts["fast"] = 2
		restart(f)
		if got, ok := f.estimator.Speeds(f.now, "s")["fast"]; ok {
			t.Errorf("%s: speed %.2f after the restart", name, got)
		}
		f.starts["fast"] = 1
		f.report(learnTime, 50, "slow", "middle", "fast", "alone")
		if got, ok := f.estimator.Speeds(f.now, "s")["fast"]; ok {
			t.Errorf("%s: speed %.2f from late reports of the earlier start", name, got)
		}
		f.starts["fast"] = 2
		f.report(learnTime, 50, "slow", "middle", "fast", "alone")
		if got := f.estimator.Of("s", "fast"); math.Abs(got/1.6-1) > tolerance {
			t.Errorf("%s: speed %.2f, want 1.6 after samples of the new start", name, got)
		}
	}
}

// Guards against samples that count for good: those of lost gateways, and those from before another instance led.
func TestSamplesExpire(t *testing.T) {
	f := newFleet(pairs())
	f.report(learnTime, 50, "slow", "middle", "fast", "alone")
	f.report(29*time.Second, 10, "slow", "middle", "alone")
	f.want(t, "before the samples expire", pairSpeeds)
	f.report(2*time.Second, 10, "slow", "middle", "alone")
	if got, ok := f.estimator.Speeds(f.now, "s")["fast"]; ok {
		t.Errorf("speed %.2f from expired samples", got)
	}
	f.now = f.now.Add(6 * time.Second)
	f.report(500*time.Millisecond, 1, "slow")
	if f.estimator.Ready() || f.estimator.InEffect() > 0 {
		t.Error("speeds from before another instance led")
	}
	f.report(learnTime, 50, "slow", "middle", "fast", "alone")
	if !f.estimator.Ready() {
		t.Error("not ready")
	}
	f.want(t, "learned anew", pairSpeeds)
}

// Guards against a speed from a few gaps.
func TestFewSamplesGiveNoSpeed(t *testing.T) {
	f := newFleet(pairs())
	f.report(500*time.Millisecond, 19, "fast")
	f.report(5*time.Second, 10, "slow", "middle", "alone")
	if got, ok := f.estimator.services["s"].speeds["fast"]; ok {
		t.Errorf("speed %.2f from 19 samples", got)
	}
}

// Guards against wrong samples that make a speed extreme or change those of other targets.
func TestWrongSamplesAreBounded(t *testing.T) {
	gaps := make(map[string]map[string]float64)
	want := make(map[string]float64)
	for i, speed := range threeSpeeds(30) {
		id := targetID(i)
		gaps[id], want[id] = make(map[string]float64), speed
		for _, m := range []int{i % 7, (i * 3) % 11, (i * 5) % 13} {
			gaps[id][fmt.Sprint("m", m)] = 45 / speed / (1 + float64(m)/2)
		}
	}
	bursts, stuck := make(map[string]float64), make(map[string]float64)
	for m := range 6 {
		bursts[fmt.Sprint("m", m)], stuck[fmt.Sprint("m", m)] = 0.5, 1e6
	}
	gaps["bursts"], gaps["stuck"] = bursts, stuck
	gaps["broken"] = map[string]float64{"m0": math.NaN(), "m1": math.Inf(1), "": 45, "m2": -1}
	f := newFleet(gaps)
	f.report(5*time.Second, 50, slices.Sorted(maps.Keys(gaps))...)
	speeds := f.estimator.Speeds(f.now, "s")
	for id, speed := range want {
		if got := speeds[id]; math.Abs(got/speed-1) > tolerance {
			t.Errorf("speed of %s is %.2f, want %.2f", id, got, speed)
		}
	}
	if speeds["bursts"] != maxSpeed || speeds["stuck"] != minSpeed {
		t.Errorf("speeds %v and %v, want %v and %v", speeds["bursts"], speeds["stuck"], maxSpeed, minSpeed)
	}
	if _, ok := speeds["broken"]; ok {
		t.Error("a speed from samples without a gap")
	}
}

// Guards against a usual gap that follows events read together, or a slow phase with many events.
func TestUsualGap(t *testing.T) {
	add := func(g *Gaps, at time.Duration, gaps ...time.Duration) time.Duration {
		for _, gap := range gaps {
			at += gap
			g.Add(epoch.Add(at), gap)
		}
		return at
	}
	repeat := func(n int, gaps ...time.Duration) (list []time.Duration) {
		for range n {
			list = append(list, gaps...)
		}
		return list
	}
	for name, gaps := range map[string][]time.Duration{
		"even":                  repeat(100, 45*time.Millisecond),
		"some read together":    repeat(20, 45*time.Millisecond, 85*time.Millisecond, 5*time.Millisecond, 45*time.Millisecond),
		"first read together":   append([]time.Duration{time.Millisecond, time.Millisecond}, repeat(20, 45*time.Millisecond)...),
		"slow phase at the end": append(repeat(20, 45*time.Millisecond), repeat(5, 112*time.Millisecond)...),
		"long history":          repeat(2000, 45*time.Millisecond),
	} {
		g := &Gaps{}
		add(g, 0, gaps...)
		if s := g.Take("t", 1, "m"); math.Abs(s.GapMs/45-1) > tolerance || s.Count == 0 {
			t.Errorf("%s: sample %+v, want 45 ms", name, s)
		}
		if s := g.Take("t", 1, "m"); s.Count > 0 {
			t.Errorf("%s: %d samples are reported twice", name, s.Count)
		}
	}
	// Twelve streams of a fast model at one gateway.
	g := &Gaps{}
	at := time.Duration(0)
	for range 10000 {
		at += 500 * time.Microsecond
		g.Add(epoch.Add(at), 6*time.Millisecond)
	}
	for end := at + slowPhase; at < end; at += 1250 * time.Microsecond {
		g.Add(epoch.Add(at), 15*time.Millisecond)
	}
	if s := g.Take("t", 1, "m"); math.Abs(s.GapMs/6-1) > tolerance {
		t.Errorf("slow phase of a fast model: %+v, want 6 ms", s)
	}
}

// Guards against a speed other than 1 for targets that cannot be compared with others, where most of the others are slow or fast: one that
// shares no model, and one of whose models each has too few samples.
func TestTargetsWithoutComparisonKeepSpeedOne(t *testing.T) {
	for _, most := range []float64{0.6, 1.6} {
		gaps := map[string]map[string]float64{"alone": {"o": 200}, "few": {"p": 30, "q": 30, "r": 30, "s": 30, "t": 30, "u": 30}}
		want := map[string]float64{"alone": 1, "few": 1}
		for i := range 9 {
			id, v := targetID(i), most
			if i%3 == 0 {
				v = 1
			}
			gaps[id], want[id] = map[string]float64{"m": 45 / v}, v/most
		}
		f := newFleet(gaps)
		var others []string
		for id := range gaps {
			if id != "few" {
				others = append(others, id)
			}
		}
		f.report(learnTime, 50, others...)
		f.report(500*time.Millisecond, 4, "few")
		f.report(time.Second, 50, others...)
		f.want(t, fmt.Sprint("most targets have ", most), want)
	}
}

// Guards against operators who are not told that speeds no longer have an effect because all targets of the service are gone.
func TestChangeWhenAllTargetsAreGone(t *testing.T) {
	f := newFleet(pairs())
	f.report(learnTime, 50, "slow", "middle", "fast", "alone")
	f.estimator.TakeChanges()
	f.estimator.SetTargets(nil)
	f.report(time.Second, 0, "slow")
	if changes := f.estimator.TakeChanges(); len(changes) != 1 || changes[0].InEffect || changes[0].Service != "s" || changes[0].Ratio != 1 {
		t.Errorf("changes %+v, want one that ends the effect", changes)
	}
}
