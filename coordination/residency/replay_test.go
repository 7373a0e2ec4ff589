package residency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The replay plays the load of the first deployment in virtual time against Plan: 166 models on 90 targets with 12 slots
// and three places each, of which 18 have demand at a time.

const (
	replayStep        = 100 * time.Millisecond
	replayTargets     = 90
	replayModels      = 166
	replaySlots       = 12
	replayStoreRate   = 13.0
	replayStoreLoad   = 7600 * time.Millisecond
	replayDiskLoad    = 760 * time.Millisecond
	replayMemoryLoad  = 380 * time.Millisecond
	replayRetireDelay = 250 * time.Millisecond
	// replayNoticeDelay is the time until gateways and the planner learn that a load has ended.
	replayNoticeDelay = 500 * time.Millisecond
	// A stream of 31 events takes replayStream, and one of 5 events replayShortStream. Each is half of the requests.
	replayStream      = 1450 * time.Millisecond
	replayShortStream = 250 * time.Millisecond
	// replayPatience is the time after which a caller without a slot has left.
	replayPatience = 2 * time.Second
	// replayObjective is the time within which a request has to find a slot to be in time.
	replayObjective = 400 * time.Millisecond
	replayOnDisk    = 6
	replayInMemory  = 2
	// replayRare is the rate of a model, in requests per second, below which a load for it counts as unneeded: fewer than two
	// of its requests run at a time.
	replayRare = 2.0
)

// replaySite is the deployment that a replay plays.
type replaySite struct {
	models    int
	storeLoad time.Duration
	// speeds are those of the targets, each of an equal part of them. Without speeds, all have the nominal one.
	speeds []float64
	// planBySpeed means that the planner knows the speeds.
	planBySpeed bool
}

// firstSite is the first deployment.
var firstSite = replaySite{models: replayModels, storeLoad: replayStoreLoad}

// replayResult sums up a replay.
type replayResult struct {
	requests, foundSlot, served      int
	inTime                           int // found a slot within replayObjective
	storeLoads, fastLoads, unneeded  int
	busiest                          float64 // load of the busiest target, in multiples of the mean
	busiestSamples, busiestSampleSum float64
}

func (r *replayResult) share() float64 { return float64(r.foundSlot) / float64(max(r.requests, 1)) }

func (r *replayResult) servedShare() float64 { return float64(r.served) / float64(max(r.requests, 1)) }

func (r *replayResult) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.requests, 1)) }

func (r *replayResult) add(o replayResult) {
	r.requests += o.requests
	r.foundSlot += o.foundSlot
	r.served += o.served
	r.inTime += o.inTime
	r.storeLoads += o.storeLoads
	r.fastLoads += o.fastLoads
	r.unneeded += o.unneeded
	r.busiestSamples += o.busiestSamples
	r.busiestSampleSum += o.busiestSampleSum
	r.busiest = r.busiestSampleSum / max(r.busiestSamples, 1)
}

func (r replayResult) String() string {
	return fmt.Sprintf("%d requests, %.3f found a free slot (%.3f within 400 ms), %.3f served, %d loads from the store (%d for models without demand), %d from disk or memory, busiest target %.2f times the mean",
		r.requests, r.share(), r.inTimeShare(), r.servedShare(), r.storeLoads, r.unneeded, r.fastLoads, r.busiest)
}

type replayTarget struct {
	Target
	move     Move
	ends     map[string][]time.Time // of running requests, by model
	loadedAt map[string]time.Time
	speed    float64
	freeAt   time.Time // end of the load in progress
	seenAt   time.Time // when gateways and the planner learn of it
	loading  bool      // the model to unload is gone
}

func (t *replayTarget) serves(model string) bool {
	return t.holds(model) && t.Loading != model
}

type replay struct {
	site     replaySite
	rates    func(model int, elapsed time.Duration) float64
	loadTime time.Duration // as the planner knows it; 0 for plans by current demand
	rng      *rand.Rand    // of arrivals
	lengths  *rand.Rand    // of streams
	now      time.Time
	elapsed  time.Duration
	targets  []*replayTarget
	byID     map[string]*replayTarget
	names    []string
	smoothed []SmoothedDemand
	trends   []Trend
	waiting  [][]time.Time
	limiter  LoadLimiter
	result   replayResult
	onPlan   func(in Input, moves []Move)
}

func newReplay(seed uint64, loadTime time.Duration, rates func(model int, elapsed time.Duration) float64) *replay {
	return newReplayOf(firstSite, seed, loadTime, rates)
}

func newReplayOf(site replaySite, seed uint64, loadTime time.Duration, rates func(model int, elapsed time.Duration) float64) *replay {
	r := &replay{site: site, rates: rates, loadTime: loadTime, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0),
		byID: map[string]*replayTarget{}, smoothed: make([]SmoothedDemand, site.models), trends: make([]Trend, site.models),
		waiting: make([][]time.Time, site.models)}
	r.lengths = r.rng
	speedOf := make([]float64, replayTargets)
	for i := range speedOf {
		speedOf[i] = 1
	}
	if len(site.speeds) > 0 {
		r.lengths = rand.New(rand.NewPCG(seed, 9)) // so that the same requests arrive whatever the plan
		for i, j := range rand.New(rand.NewPCG(seed, 10)).Perm(replayTargets) {
			speedOf[j] = site.speeds[i%len(site.speeds)]
		}
	}
	r.limiter = NewLoadLimiter(r.now)
	for m := range site.models {
		r.names = append(r.names, fmt.Sprintf("m%03d", m))
	}
	for i := range replayTargets {
		t := &replayTarget{Target: Target{ID: fmt.Sprintf("t%02d", i), CapacityMB: 3*weights + 5, Slots: replaySlots,
			DataCentre: fmt.Sprint("dc", i%3), UsedMB: 3 * weights}, ends: map[string][]time.Time{}, loadedAt: map[string]time.Time{}, speed: speedOf[i]}
		if site.planBySpeed {
			t.Speed = speedOf[i]
		}
		for place := range 3 {
			t.Models = append(t.Models, r.names[(i+place*replayTargets)%site.models])
		}
		t.OnDisk = slices.Clone(t.Models)
		r.targets = append(r.targets, t)
		r.byID[t.ID] = t
	}
	return r
}

func (r *replay) run(length time.Duration) replayResult {
	for ; r.elapsed < length; r.elapsed += replayStep {
		r.now = r.now.Add(replayStep)
		r.endRequests()
		r.advanceMoves()
		for m := range r.names {
			r.serveWaiting(m)
			r.arrive(m)
		}
		r.plan()
		r.measureBalance()
	}
	if r.result.busiestSamples > 0 {
		r.result.busiest = r.result.busiestSampleSum / r.result.busiestSamples
	}
	return r.result
}

func (r *replay) endRequests() {
	for _, t := range r.targets {
		t.Running = 0
		for model, ends := range t.ends {
			t.ends[model] = slices.DeleteFunc(ends, func(end time.Time) bool { return !end.After(r.now) })
			t.Running += len(t.ends[model])
		}
	}
}

// start runs a request on the target with the fewest running requests in proportion to its speed and reports whether one had a free slot.
func (r *replay) start(m int) bool {
	var best *replayTarget
	for _, t := range r.targets {
		if t.serves(r.names[m]) && t.Running < t.Slots && (best == nil || float64(t.Running+1)*best.speed < float64(best.Running+1)*t.speed) {
			best = t
		}
	}
	if best == nil {
		return false
	}
	best.Running++
	took := replayStream
	if r.lengths.IntN(2) == 0 {
		took = replayShortStream
	}
	best.ends[r.names[m]] = append(best.ends[r.names[m]], r.now.Add(time.Duration(float64(took)/best.speed)))
	r.result.served++
	return true
}

func (r *replay) serveWaiting(m int) {
	kept := r.waiting[m][:0]
	for _, at := range r.waiting[m] {
		waited := r.now.Sub(at)
		switch {
		case waited >= replayPatience:
		case !r.start(m):
			kept = append(kept, at)
		case waited <= replayObjective:
			r.result.inTime++
		}
	}
	r.waiting[m] = kept
}

func (r *replay) arrive(m int) {
	rate := r.rates(m, r.elapsed)
	if rate <= 0 {
		return
	}
	for at := r.rng.ExpFloat64() / rate; at < replayStep.Seconds(); at += r.rng.ExpFloat64() / rate {
		r.result.requests++
		if r.start(m) {
			r.result.foundSlot++
			r.result.inTime++
		} else {
			r.waiting[m] = append(r.waiting[m], r.now)
		}
	}
}

func (r *replay) advanceMoves() {
	for _, t := range r.targets {
		if !t.MoveInProgress || r.now.Before(t.freeAt) {
			continue
		}
		if !t.loading && len(t.ends[t.move.Unload]) > 0 {
			continue // the running requests of the model to unload end first
		}
		if !t.loading {
			t.loading = true
			took := r.loadDuration(t)
			t.freeAt, t.seenAt = r.now.Add(took), r.now.Add(took+replayNoticeDelay)
			t.InMemory = keepLast(t.InMemory, t.move.Unload, replayInMemory)
		}
		if !r.now.Before(t.seenAt) {
			t.OnDisk = keepLast(t.OnDisk, t.move.Load, replayOnDisk)
			t.loadedAt[t.move.Load] = r.now
			t.MoveInProgress, t.Loading, t.loading, t.move = false, "", false, Move{}
		}
	}
}

func keepLast(list []string, name string, n int) []string {
	if name == "" {
		return list
	}
	list = append(slices.DeleteFunc(slices.Clone(list), func(m string) bool { return m == name }), name)
	return list[max(0, len(list)-n):]
}

func (r *replay) loadDuration(t *replayTarget) time.Duration {
	switch {
	case t.move.FromStore:
		return r.site.storeLoad
	case slices.Contains(t.InMemory, t.move.Load):
		return replayMemoryLoad
	}
	return replayDiskLoad
}

func (r *replay) input() Input {
	in := Input{StoreLoads: r.limiter.Available(r.now, replayStoreRate), StoreRate: replayStoreRate}
	running := make(map[string]int)
	for _, t := range r.targets {
		for model, ends := range t.ends {
			running[model] += len(ends)
		}
		t.Settling = nil
		for name, at := range t.loadedAt {
			if r.now.Sub(at) < 2*time.Second {
				t.Settling = append(t.Settling, name)
			}
		}
		in.Targets = append(in.Targets, t.Target)
	}
	for m, name := range r.names {
		sample := float64(running[name]) + 2*float64(len(r.waiting[m]))
		demand := r.smoothed[m].Add(r.now, sample)
		r.trends[m].Add(r.now, float64(running[name]), float64(len(r.waiting[m])), r.elapsed >= time.Second)
		in.Models = append(in.Models, Model{Name: name, WeightsMB: weights, Demand: demand, RecentDemand: r.smoothed[m].Recent(),
			LoadTime: r.loadTime, Forecast: r.trends[m].Forecast()})
	}
	return in
}

func (r *replay) plan() {
	in := r.input()
	if r.elapsed < 250*time.Millisecond {
		return
	}
	moves := Plan(in)
	if r.onPlan != nil {
		r.onPlan(in, moves)
	}
	for _, move := range moves {
		r.startMove(move)
	}
}

func (r *replay) startMove(move Move) {
	t := r.byID[move.Target]
	if move.FromStore {
		r.limiter.Take()
		r.result.storeLoads++
		var m int
		fmt.Sscanf(move.Load, "m%d", &m)
		if r.rates(m, r.elapsed) < replayRare {
			r.result.unneeded++
		}
	} else {
		r.result.fastLoads++
	}
	t.Models = append(slices.DeleteFunc(slices.Clone(t.Models), func(m string) bool { return m == move.Unload }), move.Load)
	t.move, t.MoveInProgress, t.Loading, t.freeAt = move, true, move.Load, r.now
	if move.Unload != "" {
		t.freeAt = r.now.Add(replayRetireDelay)
	} else {
		t.UsedMB += weights
	}
}

// measureBalance compares the busiest target with the mean.
func (r *replay) measureBalance() {
	total, most := 0, 0
	for _, t := range r.targets {
		total += t.Running
		most = max(most, t.Running)
	}
	if total > 0 {
		r.result.busiestSamples++
		r.result.busiestSampleSum += float64(most) * float64(len(r.targets)) / float64(total)
	}
}
