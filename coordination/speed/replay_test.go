package speed

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// replay is a deployment in virtual time: streams of models at targets through gateways, with the gaps that gateways see.
type replay struct {
	rng              *rand.Rand
	gateways         int
	speeds           []float64 // true speed by target
	streamsPerSecond float64
	// slowPhases lets each target be 2.5 times slower for 600 ms, 15 % of the time.
	slowPhases bool
	// late is the probability with which a gateway reads an event up to 40 ms late, so that the next gap is shorter.
	late float64

	estimator *Estimator
	models    int
	placement [][]int // models by target
	copies    [][]int // targets by model
	factor    []float64
	slow      [][]time.Duration // begins of slow phases by target
	streamAt  time.Duration
	pending   []gapEvent
	gaps      []map[[2]int]*Gaps
	now       time.Duration
}

type gapEvent struct {
	at             time.Duration
	gateway        int
	target, model  int
	gap            time.Duration
	remaining      int
	readLateBefore time.Duration
	// rng is that of the stream, so that a slow phase of one target does not change the streams of others.
	rng *rand.Rand
}

const (
	replayModels    = 166
	modelsPerTarget = 3
	nominalGapMs    = 9 * 5.05
	slowPhase       = 600 * time.Millisecond
	slowFactor      = 2.5
	slowPart        = 0.15
	reportEvery     = 500 * time.Millisecond
	// reportSpacing is the least time between the reports of two gateways, see instance/gateway.
	reportSpacing = 6 * time.Millisecond
)

var epoch = time.Unix(1000, 0)

// threeSpeeds returns the speeds of n targets, a third each of 0.6, 1.0 and 1.6.
func threeSpeeds(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = []float64{0.6, 1, 1.6}[i%3]
	}
	return speeds
}

func targetID(i int) string { return fmt.Sprint("t", i) }

func newReplay(seed uint64, gateways int, speeds []float64, streamsPerSecond float64) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 1)), gateways: gateways, speeds: speeds, streamsPerSecond: streamsPerSecond,
		estimator: NewEstimator(), placement: make([][]int, len(speeds)), copies: make([][]int, replayModels), slow: make([][]time.Duration, len(speeds))}
	var list []Target
	for i := range speeds {
		list = append(list, Target{ID: targetID(i), StartedAtMs: 1, Service: "s"})
	}
	r.estimator.SetTargets(list)
	// Models with more demand (the first ones) have more copies.
	order := r.rng.Perm(len(speeds) * modelsPerTarget)
	models := min(replayModels, len(order)*replayModels/270)
	r.models = models
	for i, place := range order {
		m := i
		if i >= models {
			m = int(float64(models) * math.Pow(r.rng.Float64(), 3))
		}
		if t := place / modelsPerTarget; !slices.Contains(r.placement[t], m) {
			r.placement[t] = append(r.placement[t], m)
			r.copies[m] = append(r.copies[m], t)
		}
	}
	for range replayModels {
		r.factor = append(r.factor, math.Pow(7.7, -r.rng.Float64()))
	}
	for range gateways {
		r.gaps = append(r.gaps, make(map[[2]int]*Gaps))
	}
	return r
}

// addSlowPhases extends the slow phases of all targets up to a time.
func (r *replay) addSlowPhases(until time.Duration) {
	for t := range r.slow {
		r.slow[t] = slices.DeleteFunc(r.slow[t], func(begin time.Duration) bool { return begin+slowPhase < r.now })
		last := r.now
		if n := len(r.slow[t]); n > 0 {
			last = r.slow[t][n-1] + slowPhase
		}
		for last < until {
			between := r.rng.ExpFloat64() * float64(slowPhase) * (1 - slowPart) / slowPart
			last += time.Duration(between)
			r.slow[t] = append(r.slow[t], last)
			last += slowPhase
		}
	}
}

func (r *replay) isSlow(target int, at time.Duration) bool {
	return r.slowPhases && slices.ContainsFunc(r.slow[target], func(begin time.Duration) bool { return begin <= at && at < begin+slowPhase })
}

// next continues a stream by one event.
func (r *replay) next(e gapEvent) gapEvent {
	ms := nominalGapMs * r.factor[e.model] / r.speeds[e.target] * (1 + 0.03*e.rng.NormFloat64())
	if r.isSlow(e.target, e.at) {
		ms *= slowFactor
	}
	gap := time.Duration(max(ms, 0.5) * float64(time.Millisecond))
	late := time.Duration(0)
	if e.rng.Float64() < r.late {
		late = time.Duration(e.rng.Float64() * 40 * float64(time.Millisecond))
	}
	e.at += gap
	e.gap = max(gap+late-e.readLateBefore, time.Millisecond/2)
	e.readLateBefore = late
	e.remaining--
	return e
}

// run plays a time and calls observe after each second with the speeds of the estimator.
func (r *replay) run(duration time.Duration, observe func(now time.Duration, speeds map[string]float64)) {
	end := r.now + duration
	for r.now < end {
		r.addSlowPhases(r.now + 10*time.Second)
		r.now += reportEvery
		for r.streamAt < r.now {
			r.streamAt += time.Duration(r.rng.ExpFloat64() / r.streamsPerSecond * float64(time.Second))
			m := int(float64(r.models) * math.Pow(r.rng.Float64(), 3))
			events := 30
			if r.rng.Float64() < 0.5 {
				events = 4
			}
			t := r.copies[m][r.rng.IntN(len(r.copies[m]))]
			r.pending = append(r.pending, r.next(gapEvent{at: r.streamAt, gateway: r.rng.IntN(r.gateways), target: t, model: m, remaining: events,
				rng: rand.New(rand.NewPCG(r.rng.Uint64(), 2))}))
		}
		var due []gapEvent
		var later []gapEvent
		for _, e := range r.pending {
			for e.at <= r.now && e.remaining >= 0 {
				due = append(due, e)
				e = r.next(e)
			}
			if e.remaining >= 0 {
				later = append(later, e)
			}
		}
		r.pending = later
		slices.SortStableFunc(due, func(a, b gapEvent) int { return cmp.Compare(a.at, b.at) })
		for _, e := range due {
			key := [2]int{e.target, e.model}
			g := r.gaps[e.gateway][key]
			if g == nil {
				g = &Gaps{}
				r.gaps[e.gateway][key] = g
			}
			g.Add(epoch.Add(e.at), e.gap)
		}
		steps := int((max(reportEvery, time.Duration(r.gateways)*reportSpacing) + reportEvery - 1) / reportEvery)
		for i := int(r.now/reportEvery) % steps; i < r.gateways; i += steps {
			r.estimator.Report(epoch.Add(r.now), fmt.Sprint("g", i), r.samples(i))
		}
		r.estimator.Update(epoch.Add(r.now))
		if r.now%time.Second == 0 && observe != nil {
			observe(r.now, r.estimator.Speeds(epoch.Add(r.now), "s"))
		}
	}
}

// samples returns the report of a gateway: the pairs with the most new gaps first.
func (r *replay) samples(gateway int) []Sample {
	var keys [][2]int
	for key, g := range r.gaps[gateway] {
		if g.Fresh() > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b [2]int) int {
		if c := cmp.Compare(r.gaps[gateway][b].Fresh(), r.gaps[gateway][a].Fresh()); c != 0 {
			return c
		}
		return slices.Compare(a[:], b[:])
	})
	var samples []Sample
	for _, key := range keys[:min(len(keys), MaxSamples)] {
		samples = append(samples, r.gaps[gateway][key].Take(targetID(key[0]), 1, fmt.Sprint("m", key[1])))
	}
	return samples
}

// errorsOf returns the relative errors of speeds, without targets that share no model with others.
func (r *replay) errorsOf(speeds map[string]float64) []float64 {
	var errs []float64
	connected := r.connected()
	for i, want := range r.speeds {
		if got, ok := speeds[targetID(i)]; ok && connected[i] {
			errs = append(errs, math.Abs(got/want-1))
		}
	}
	slices.Sort(errs)
	return errs
}

// connected reports which targets belong to the largest group that is connected by shared models.
func (r *replay) connected() []bool {
	best := make([]bool, len(r.speeds))
	bestSize := 0
	for root := range r.speeds {
		seen, size := make([]bool, len(r.speeds)), 0
		seen[root] = true
		for queue := []int{root}; len(queue) > 0; queue = queue[1:] {
			size++
			for _, m := range r.placement[queue[0]] {
				for _, t := range r.copies[m] {
					if !seen[t] {
						seen[t] = true
						queue = append(queue, t)
					}
				}
			}
		}
		if size > bestSize {
			best, bestSize = seen, size
		}
	}
	return best
}
