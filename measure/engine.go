package measure

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tarragonhoist/tarragonhoist/coordination/routing"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// resident is a model that is in the memory of a replica or being loaded into it.
type resident struct {
	ready   bool
	leaving bool
}

// window is a time interval in which a replica is slow.
type window struct{ start, end time.Duration }

// replica simulates an engine with continuous batching, a priority queue, a prefix cache and delayed load reports.
type replica struct {
	f           *fleet
	name, dc    string
	alive       bool
	residents   map[string]*resident
	running     []*attempt
	queue       []*attempt
	prefixes    *simplelru.LRU[uint64, struct{}]
	adapters    *simplelru.LRU[string, struct{}]
	sequence    uint64
	slowWindows []window
	report      report
}

// report is the state of a replica as the instances know it from its last announcement.
type report struct {
	running    int
	measuredAt time.Duration
	leaseEnd   time.Duration
	ready      map[string]bool
	adapters   map[string]bool
}

func newReplica(f *fleet, name, dc string) *replica {
	r := &replica{f: f, name: name, dc: dc, alive: true, residents: make(map[string]*resident)}
	r.clearCaches()
	return r
}

func (r *replica) clearCaches() {
	// NewLRU only fails for sizes that ReadSettings rejects.
	r.prefixes, _ = simplelru.NewLRU[uint64, struct{}](r.f.s.Engine.CachedPrefixes, nil)
	r.adapters, _ = simplelru.NewLRU[string, struct{}](r.f.s.Engine.ResidentAdapters, nil)
}

// attempt is one attempt of a request on one replica, starting at a token offset.
type attempt struct {
	req        *request
	replica    *replica
	offset     int
	startedAt  time.Duration
	sentAt     time.Duration
	promptTime time.Duration
	tokenTime  time.Duration
	queued     bool
	running    bool
	ended      bool
}

// announce publishes the current state of the replica to the instances after a random report lag.
func (r *replica) announce() {
	if !r.alive {
		return
	}
	now := r.f.clock.now
	next := report{running: len(r.running) + len(r.queue), measuredAt: now, ready: map[string]bool{}, adapters: map[string]bool{}}
	for model, res := range r.residents {
		next.ready[model] = res.ready && !res.leaving
	}
	for _, adapter := range r.adapters.Keys() {
		next.adapters[adapter] = true
	}
	lag := time.Duration(r.f.engineRand.Float64() * 2 * float64(milliseconds(r.f.s.Engine.ReportLagMs)))
	r.f.clock.after(lag, func() {
		if next.measuredAt < r.report.measuredAt {
			return
		}
		// The lease starts when the report arrives: the lag is the age of the load figures in an announcement, not a delay
		// of the announcement.
		next.leaseEnd = now + milliseconds(r.f.s.Loss.LeaseMs) + lag
		r.report = next
		r.f.rebuildSets()
	})
}

func (r *replica) candidate(model, adapter string) routing.Candidate {
	return routing.Candidate{
		Target: r.name, DataCentre: r.dc, ModelReady: r.report.ready[model], AdapterReady: r.report.adapters[adapter],
		Slots: r.f.s.Engine.Slots, Reported: r.report.running, MeasuredAt: origin.Add(r.report.measuredAt),
		LeaseUntil: origin.Add(r.report.leaseEnd),
	}
}

// submit queues an attempt by priority. It returns false when the model is not ready on the replica.
func (r *replica) submit(a *attempt) bool {
	if res := r.residents[a.req.model]; res == nil || !res.ready {
		return false
	}
	rank := a.req.priority.Rank()
	i := len(r.queue)
	for i > 0 && r.queue[i-1].req.priority.Rank() > rank {
		i--
	}
	a.queued = true
	r.queue = slices.Insert(r.queue, i, a)
	r.startQueued()
	return true
}

func (r *replica) startQueued() {
	for r.alive && len(r.queue) > 0 && len(r.running) < r.f.s.Engine.Slots {
		a := r.queue[0]
		r.queue = slices.Delete(r.queue, 0, 1)
		a.queued = false
		r.start(a)
	}
}

// start computes the time per token of an attempt from the batch that it joins. It stays constant until the attempt
// ends; later changes of the batch are not modelled.
func (r *replica) start(a *attempt) {
	e := &r.f.s.Engine
	long := 0
	for _, other := range r.running {
		if other.req.long {
			long++
		}
	}
	prompt := float64(a.req.promptTokens + a.offset)
	if _, ok := r.prefixes.Get(a.req.prefix); ok {
		prompt -= float64(a.req.prefixTokens)
	}
	r.storePrefix(a.req)
	a.promptTime = seconds(prompt/e.PromptTokensPerSecond) + r.loadAdapter(a.req)
	slowdown := (1 + e.BatchSlowdown*float64(len(r.running))/float64(e.Slots)) * (1 + e.LongSlowdown*float64(long))
	a.tokenTime = milliseconds(e.MsPerToken * slowdown)
	a.startedAt, a.running = r.f.clock.now, true
	r.running = append(r.running, a)
	r.scheduleStep(a, a.offset)
}

func (r *replica) storePrefix(req *request) {
	if r.prefixes.Contains(req.prefix) {
		return
	}
	if r.prefixes.Len() == r.f.s.Engine.CachedPrefixes {
		if evicted, _, ok := r.prefixes.RemoveOldest(); ok {
			r.cacheEvent(targetapi.Evicted, r.f.prefixModel[evicted], evicted)
		}
	}
	r.prefixes.Add(req.prefix, struct{}{})
	r.cacheEvent(targetapi.Stored, req.model, req.prefix)
}

// cacheEvent sends a cache event to the instances with a lag. Some events are lost, which leaves a gap in the sequence.
func (r *replica) cacheEvent(kind targetapi.CacheEventKind, model string, prefix uint64) {
	r.sequence++
	if r.f.engineRand.Float64() < r.f.s.Engine.CacheEventLoss {
		return
	}
	batch := &targetapi.CacheEvents{Target: r.name, Incarnation: 1, Events: []targetapi.CacheEvent{
		{Sequence: r.sequence, Kind: kind, Model: model, PrefixHash: prefix}}}
	r.f.clock.after(milliseconds(r.f.s.Engine.CacheEventLagMs), func() {
		for _, in := range r.f.instances {
			in.dispatch.cacheEvents(r.f.clock.time(), r.name, batch)
		}
	})
}

func (r *replica) loadAdapter(req *request) time.Duration {
	if req.adapter == "" {
		return 0
	}
	if _, ok := r.adapters.Get(req.adapter); ok {
		return 0
	}
	r.adapters.Add(req.adapter, struct{}{})
	d := r.f.d
	r.f.adapterLoads++
	load := milliseconds(d.AdapterLoadMs * max(1, float64(r.f.adapterLoads)/float64(d.AdapterLoadsAtOnce)))
	r.f.clock.after(load, func() { r.f.adapterLoads-- })
	return load
}

// scheduleStep schedules the end of the next step of the answer, which has StepTokens tokens.
func (r *replica) scheduleStep(a *attempt, tokens int) {
	size := r.f.s.Engine.StepTokens
	next := min(tokens+size, a.req.outputTokens)
	at := r.completionTime(a.startedAt, a.promptTime+time.Duration(next-a.offset)*a.tokenTime)
	begin := r.f.clock.now
	if tokens == a.offset {
		begin = a.startedAt + a.promptTime
	}
	r.f.watchStep(a, begin, next-tokens)
	r.f.clock.at(at, func() {
		if a.ended || !a.running || !r.alive {
			return
		}
		r.f.stepDone(a, begin, tokens, next)
		if next < a.req.outputTokens {
			r.scheduleStep(a, next)
			return
		}
		r.remove(a)
		r.f.complete(a)
	})
}

// completionTime returns the time at which an amount of work that starts at from is done, given the windows in which
// the replica is slow.
func (r *replica) completionTime(from, work time.Duration) time.Duration {
	factor := r.f.s.Straggle.Factor
	t := from
	for _, w := range r.slowWindows {
		if w.end <= t {
			continue
		}
		if free := w.start - t; free > 0 {
			if work <= free {
				return t + work
			}
			work -= free
			t = w.start
		}
		inside := time.Duration(float64(w.end-t) / factor)
		if work <= inside {
			return t + time.Duration(float64(work)*factor)
		}
		work -= inside
		t = w.end
	}
	return t + work
}

// remove removes a queued or running attempt from the replica.
func (r *replica) remove(a *attempt) {
	if a.queued {
		r.queue = slices.DeleteFunc(r.queue, func(b *attempt) bool { return a == b })
	}
	if a.running {
		r.running = slices.DeleteFunc(r.running, func(b *attempt) bool { return a == b })
	}
	a.queued, a.running = false, false
	r.startQueued()
}

// fail simulates the loss of the replica: all attempts break and its memory is cleared.
func (r *replica) fail() {
	r.alive = false
	broken := slices.Concat(r.running, r.queue)
	r.running, r.queue = nil, nil
	r.residents = make(map[string]*resident)
	r.clearCaches()
	for _, a := range broken {
		a.queued, a.running = false, false
		r.f.clock.after(milliseconds(r.f.s.Loss.StreamBreakMs), func() { r.f.failed(a, true) })
	}
}

// attemptsOf returns the number of queued and running attempts of a model on the replica.
func (r *replica) attemptsOf(model string) (n int) {
	for _, list := range [][]*attempt{r.running, r.queue} {
		for _, a := range list {
			if a.req.model == model {
				n++
			}
		}
	}
	return n
}

// weightStore limits the rate at which loads start. Concurrent loads beyond LoadsConcurrent share its bandwidth.
type weightStore struct {
	f      *fleet
	nextAt time.Duration
	active int
	loads  int
}

func (w *weightStore) load(r *replica, model string) {
	w.loads++
	res := &resident{}
	r.residents[model] = res
	start := max(w.f.clock.now, w.nextAt)
	w.nextAt = start + seconds(1/w.f.d.LoadsPerSecond)
	w.f.clock.at(start, func() {
		w.active++
		load := w.f.s.Placement.LoadSeconds * max(1, float64(w.active)/float64(w.f.d.LoadsConcurrent))
		w.f.clock.after(seconds(load), func() {
			w.active--
			if r.alive && r.residents[model] == res {
				res.ready = true
			}
		})
	})
}

// logNormal draws a length from a log-normal distribution with the given mean.
func (f *fleet) logNormal(mean float64) int {
	sigma := f.s.Work.OutputSigma
	return max(1, int(mean*math.Exp(sigma*f.workloadRand.NormFloat64()-sigma*sigma/2)))
}
