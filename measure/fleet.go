package measure

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/retry"
	"github.com/tarragonhoist/tarragonhoist/coordination/routing"
	"github.com/tarragonhoist/tarragonhoist/coordination/straggler"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
)

const (
	// stepGroup is the straggler detection group of all stream steps. It spans all engines, since an engine serves
	// several models.
	stepGroup = "engine/step"
	// usageInterval is the interval of usage reports of section 5.7.
	usageInterval = 500 * time.Millisecond
	// admissionInterval is the interval at which admission reclaims slots and grants or refuses queued requests.
	admissionInterval = 100 * time.Millisecond
	// noTargetRetry is the backoff when no replica can be picked.
	noTargetRetry = 250 * time.Millisecond
	// baselineAttempts is the maximum number of attempts of the baselines, which retry without backoff.
	baselineAttempts = 3
	// tokenMsGain is the weight of a new value in the moving average of the time per token.
	tokenMsGain = 0.02
)

// request is a simulated request.
type request struct {
	id                         string
	caller, model, adapter     string
	prefix                     uint64
	prefixTokens, promptTokens int
	outputTokens               int
	priority                   releasenote.Priority
	long                       bool
	arrival, deadline          time.Duration

	in           *instance
	ticket       *admission.Ticket
	admitted     bool // admitted and not interrupted, so that it occupies an admission slot
	admittedAt   time.Duration
	liveAttempts []*attempt
	attempts     int
	offset       int
	hedged       bool
	settled      bool
	exclude      []string
}

// instance is a simulated instance with the admission and routing of the policy under test.
type instance struct {
	name, dc string
	alive    bool
	rng      *rand.Rand
	admit    admitter
	dispatch dispatcher
	detector *straggler.Detector
	budget   *retry.Budget
	tokenMs  float64
	// incarnation counts starts; open holds the requests that have arrived and are not settled.
	incarnation uint64
	open        map[string]*request
}

// fleet is the simulation of one policy in one scenario.
type fleet struct {
	clock
	s            *Settings
	d            *Deployment
	scenario     scenario
	policy       Policy
	workloadRand *rand.Rand // draws the workload, identically for every policy
	engineRand   *rand.Rand // draws the randomness of the simulated engines and faults
	replicas     []*replica
	byName       map[string]*replica
	instances    []*instance
	placement    Placement
	store        weightStore
	models       []string
	// sets holds the replicas that report a model as ready, by model and data centre.
	sets         map[string]map[string]*replicaSet
	prefixModel  map[uint64]string
	adapterLoads int
	requests     int
	pending      map[string]*request // waiting in admission
	fcfs         *fcfs
	result       *Result
}

// replicaSet implements routing.Set.
type replicaSet struct {
	f       *fleet
	dc      string
	model   string
	adapter string
	list    []*replica
}

func (s *replicaSet) Len() int                   { return len(s.list) }
func (s *replicaSet) At(i int) routing.Candidate { return s.list[i].candidate(s.model, s.adapter) }
func (s *replicaSet) Find(name string) (routing.Candidate, bool) {
	r := s.f.byName[name]
	if r == nil || r.dc != s.dc || !r.report.ready[s.model] {
		return routing.Candidate{}, false
	}
	return r.candidate(s.model, s.adapter), true
}

func newFleet(s *Settings, d *Deployment, p Policy, sc scenario, seed uint64) *fleet {
	f := &fleet{
		s: s, d: d, scenario: sc, policy: p, byName: make(map[string]*replica), prefixModel: make(map[uint64]string),
		workloadRand: rand.New(rand.NewPCG(seed, 1)), engineRand: rand.New(rand.NewPCG(seed, 2)), result: newResult(s, d),
		pending: make(map[string]*request),
	}
	f.store.f = f
	for i := range d.Models {
		f.models = append(f.models, fmt.Sprintf("m%02d", i))
	}
	for i := range d.Replicas {
		r := newReplica(f, fmt.Sprintf("r%02d", i), d.DataCentres[i%len(d.DataCentres)])
		f.replicas = append(f.replicas, r)
		f.byName[r.name] = r
	}
	for i := range d.Instances {
		in := &instance{
			name: fmt.Sprintf("i%d", i), dc: d.DataCentres[i%len(d.DataCentres)], alive: true, tokenMs: s.Engine.MsPerToken,
			rng: rand.New(rand.NewPCG(seed, uint64(10+i))), open: make(map[string]*request),
		}
		p.configure(f, in)
		f.instances = append(f.instances, in)
	}
	f.placement = p.Placement(f)
	f.initialResidents()
	return f
}

func (f *fleet) initialResidents() {
	shares := make(map[string]float64, len(f.models))
	for i, model := range f.models {
		shares[model] = f.popularity(i, 0)
	}
	for name, models := range initialPlacement(f.placementInput(shares)) {
		for _, model := range models {
			f.byName[name].residents[model] = &resident{ready: true}
		}
	}
	for _, r := range f.replicas {
		r.report = report{leaseEnd: milliseconds(f.s.Loss.LeaseMs), ready: map[string]bool{}, adapters: map[string]bool{}}
		for model := range r.residents {
			r.report.ready[model] = true
		}
	}
	f.rebuildSets()
}

func (f *fleet) rebuildSets() {
	f.sets = make(map[string]map[string]*replicaSet, len(f.models))
	for _, model := range f.models {
		f.sets[model] = make(map[string]*replicaSet, len(f.d.DataCentres))
		for _, dc := range f.d.DataCentres {
			f.sets[model][dc] = &replicaSet{f: f, dc: dc, model: model}
		}
	}
	for _, r := range f.replicas {
		for model, ready := range r.report.ready {
			if ready {
				set := f.sets[model][r.dc]
				set.list = append(set.list, r)
			}
		}
	}
}

// run executes the simulation and returns its result.
func (f *fleet) run() *Result {
	f.scheduleStragglers()
	f.scheduleLoss()
	interval := milliseconds(f.s.Engine.ReportIntervalMs)
	for i, r := range f.replicas {
		f.schedulePeriodically(interval*time.Duration(i)/time.Duration(len(f.replicas)), interval, r.announce)
	}
	f.exchangeUsage()
	f.schedulePeriodically(usageInterval, usageInterval, f.exchangeUsage)
	f.schedulePeriodically(admissionInterval, admissionInterval, func() {
		for _, in := range f.instances {
			for _, id := range in.admit.reclaim(f.clock.time()) {
				f.preempt(in.open[id])
			}
			f.grant(in, "")
		}
	})
	f.schedulePeriodically(0, seconds(f.s.Placement.IntervalSeconds), f.applyPlacement)
	f.scheduleArrivals()
	f.runUntil(seconds(f.s.Run.Seconds) + 2*milliseconds(f.s.Work.ShortDeadlineMs))
	f.result.moves = f.store.loads
	return f.result
}

// exchangeUsage delivers the usage reports between instances and sets the capacities for their admission.
func (f *fleet) exchangeUsage() {
	var alive []*instance
	for _, in := range f.instances {
		if in.alive {
			alive = append(alive, in)
		}
	}
	for _, from := range alive {
		from.admit.exchange(f.clock.time(), from, alive)
	}
	var slots []admission.ReplicaSlots
	for _, r := range f.replicas {
		if r.report.leaseEnd < f.clock.now {
			continue
		}
		rs := admission.ReplicaSlots{Slots: f.s.Engine.Slots}
		for _, model := range f.models {
			if r.report.ready[model] {
				rs.Models = append(rs.Models, model)
			}
		}
		slots = append(slots, rs)
	}
	for _, in := range alive {
		parts := admission.Apportion(slots, in.admit.demand())
		for _, model := range f.models {
			c := parts[model]
			c.Instances, c.ReadyIn = len(alive), seconds(f.s.Placement.LoadSeconds)
			in.admit.setCapacity(f.clock.time(), model, c)
		}
	}
}

// arrive offers a new request to the admission of an instance.
func (f *fleet) arrive(req *request) {
	in := f.instances[f.workloadRand.IntN(len(f.instances))]
	for i := 0; !in.alive; i++ { // the platform's load balancer chooses another instance
		in = f.instances[i]
	}
	req.in = in
	in.open[req.id] = req
	f.at(req.deadline, func() { f.settle(req, timedOut) })
	switch in.admit.offer(f.clock.time(), req) {
	case admission.Admit:
		f.begin(req)
	case admission.Queue:
		f.pending[req.id] = req
	case admission.Refuse:
		f.settle(req, refused)
	}
}

// grant starts the queued requests that admission grants now.
func (f *fleet) grant(in *instance, model string) {
	if !in.alive {
		return
	}
	for _, g := range in.admit.next(f.clock.time(), model) {
		req := f.pending[g.id]
		delete(f.pending, g.id)
		switch {
		case req == nil:
		case g.refused:
			f.settle(req, refused)
		default:
			f.begin(req)
		}
	}
}

func (f *fleet) begin(req *request) {
	req.admitted, req.admittedAt = true, f.clock.now
	f.send(req, false)
}

// send picks a replica and starts an attempt, as a hedged request when hedge is set.
func (f *fleet) send(req *request, hedge bool) {
	if req.settled || !req.admitted {
		return
	}
	now, in := f.clock.time(), req.in
	target, ok := in.dispatch.pick(now, req)
	if !ok {
		if !hedge {
			req.exclude = nil
			f.after(noTargetRetry, func() { f.send(req, false) })
		}
		return
	}
	if in.budget != nil && req.attempts == 0 && !hedge {
		in.budget.CountRequest(now, req.caller, target)
		in.detector.CountRequest()
	}
	f.sendTo(req, target)
}

func (f *fleet) sendTo(req *request, target string) {
	a := &attempt{req: req, replica: f.byName[target], offset: req.offset, sentAt: f.clock.now}
	req.liveAttempts = append(req.liveAttempts, a)
	req.attempts++
	req.in.dispatch.started(f.clock.time(), a)
	link := milliseconds(f.d.CallerMs)
	if a.replica.dc != req.in.dc {
		link += milliseconds(f.d.LinkMs)
	}
	f.after(link, func() {
		switch {
		case a.ended:
		case !a.replica.alive:
			f.after(milliseconds(f.s.Loss.ConnectTimeoutMs), func() { f.failed(a, true) })
		case !a.replica.submit(a):
			f.failed(a, false)
		}
	})
}

// cancel cancels all attempts of a request.
func (f *fleet) cancel(req *request) {
	for _, a := range slices.Clone(req.liveAttempts) {
		f.endAttempt(a, false)
		if a.replica.alive {
			a.replica.remove(a)
		}
	}
}

// preempt preempts a running request. It is granted again later and resumes at its offset.
func (f *fleet) preempt(req *request) {
	f.cancel(req)
	req.admitted = false
	f.pending[req.id] = req
}

// endAttempt removes an attempt from its request and reports its end to routing.
func (f *fleet) endAttempt(a *attempt, answered bool) {
	a.ended = true
	a.req.liveAttempts = slices.DeleteFunc(a.req.liveAttempts, func(b *attempt) bool { return a == b })
	a.req.in.dispatch.finished(f.clock.time(), a, answered)
}

// failed handles an attempt that broke, or that its replica rejected because the model is not ready, and retries it.
func (f *fleet) failed(a *attempt, broken bool) {
	if a.ended {
		return
	}
	f.endAttempt(a, false)
	req, in, now := a.req, a.req.in, f.clock.time()
	if in.detector != nil && broken {
		in.detector.ObserveFailure(now, a.replica.name, stepGroup)
	}
	if req.settled || len(req.liveAttempts) > 0 {
		return
	}
	req.exclude = append(req.exclude, a.replica.name)
	if in.budget == nil {
		if req.attempts >= baselineAttempts {
			f.settle(req, lost)
			return
		}
		f.send(req, false)
		return
	}
	next, ok := in.dispatch.pick(now, req)
	if !ok {
		f.after(noTargetRetry, func() { f.send(req, false) })
		return
	}
	cause := retry.Overload
	if broken {
		cause = retry.Failure
	}
	needed := time.Duration(float64(req.outputTokens-req.offset)*in.tokenMs) * time.Millisecond
	decision := in.budget.Allow(now, in.rng, retry.Attempt{
		Caller: req.caller, NextTarget: next, Number: req.attempts, Cause: cause, Remaining: req.deadline - f.clock.now, ExpectedDuration: needed,
	})
	if decision.Denial != retry.Allowed {
		f.settle(req, lost)
		return
	}
	f.after(decision.Delay, func() {
		if !req.settled && req.admitted {
			f.sendTo(req, next)
		}
	})
}

// watchStep checks a step of a stream when its hedge delay has passed, and hedges the request if the step is overdue.
func (f *fleet) watchStep(a *attempt, begin time.Duration, tokens int) {
	in := a.req.in
	if in.detector == nil {
		return
	}
	expected := milliseconds(in.tokenMs * float64(tokens))
	before := a.req.offset
	f.at(begin+in.detector.HedgeDelay(stepGroup, expected), func() {
		if a.ended || a.req.settled || a.req.offset > before {
			return
		}
		now, elapsed := f.clock.time(), f.clock.now-begin
		in.detector.ObserveOverdue(now, straggler.Observation{Target: a.replica.name, Group: stepGroup, Expected: expected, Actual: elapsed})
		if a.req.hedged || !in.detector.AllowHedge(now, straggler.HedgeRequest{
			Group: stepGroup, Idempotent: true, Short: !a.req.long, Expected: expected, Elapsed: elapsed, Remaining: a.req.deadline - f.clock.now,
		}) {
			return
		}
		a.req.hedged = true
		a.req.exclude = append(a.req.exclude, a.replica.name)
		f.result.hedges++
		f.send(a.req, true)
	})
}

// stepDone records a completed step of a stream.
func (f *fleet) stepDone(a *attempt, begin time.Duration, from, to int) {
	in := a.req.in
	a.req.offset = max(a.req.offset, to)
	if in.detector == nil {
		return
	}
	actual := f.clock.now - begin
	expected := milliseconds(in.tokenMs * float64(to-from))
	in.detector.Observe(f.clock.time(), straggler.Observation{Target: a.replica.name, Group: stepGroup, Expected: expected, Actual: actual})
	in.tokenMs += tokenMsGain * (actual.Seconds()*1000/float64(to-from) - in.tokenMs)
}

func (f *fleet) complete(a *attempt) {
	f.endAttempt(a, true)
	f.settle(a.req, answered)
}

// settle ends a request with an outcome. Later calls for the same request have no effect.
func (f *fleet) settle(req *request, o outcome) {
	if req.settled {
		return
	}
	req.settled = true
	in, now := req.in, f.clock.time()
	delete(in.open, req.id)
	f.cancel(req)
	f.result.record(f.clock.now, req, o)
	switch {
	case req.admitted:
		in.admit.done(now, req, o == answered, f.clock.now)
		f.grant(in, req.model)
	case f.pending[req.id] != nil:
		delete(f.pending, req.id)
		in.admit.cancel(req)
	}
}

func (f *fleet) scheduleStragglers() {
	if !f.scenario.straggle {
		return
	}
	every, lasts := seconds(f.s.Straggle.EverySeconds), seconds(f.s.Straggle.LastsSeconds)
	n := max(1, int(f.s.Straggle.Share*float64(len(f.replicas))+0.5))
	for start := seconds(f.s.Run.WarmupSeconds); start < seconds(f.s.Run.Seconds); start += every {
		for _, i := range f.engineRand.Perm(len(f.replicas))[:n] {
			f.replicas[i].slowWindows = append(f.replicas[i].slowWindows, window{start, start + lasts})
		}
	}
}

// scheduleLoss schedules the loss of the first data centre with its instances, and its return without models in memory.
func (f *fleet) scheduleLoss() {
	if !f.scenario.loss {
		return
	}
	dc := f.d.DataCentres[0]
	f.at(seconds(f.s.Loss.AtSeconds), func() {
		for _, in := range f.instances {
			if in.dc != dc {
				continue
			}
			in.alive = false
			for _, id := range slices.Sorted(maps.Keys(in.open)) {
				f.settle(in.open[id], lost)
			}
		}
		for _, r := range f.replicas {
			if r.dc == dc {
				r.fail()
			}
		}
	})
	f.at(seconds(f.s.Loss.BackSeconds), func() {
		for _, r := range f.replicas {
			r.alive = true
		}
		for _, in := range f.instances {
			if !in.alive {
				in.alive = true
				f.policy.configure(f, in)
			}
		}
	})
}
