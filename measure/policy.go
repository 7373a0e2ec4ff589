package measure

import (
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/placement"
	"github.com/tarragonhoist/tarragonhoist/coordination/retry"
	"github.com/tarragonhoist/tarragonhoist/coordination/routing"
	"github.com/tarragonhoist/tarragonhoist/coordination/straggler"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// Policy is a combination of admission, routing and placement to be measured.
type Policy struct {
	Name      string
	Placement func(*fleet) Placement
	configure func(*fleet, *instance)
}

// Policies returns the baselines, then tarragonhoist with the reactive placement and, last, tarragonhoist ("product").
func Policies() []Policy {
	reactive := func(f *fleet) Placement { return &reactivePlacement{slots: f.s.Engine.Slots} }
	product := func(f *fleet) Placement { return &productPlacement{f: f, forecaster: placement.NewForecaster()} }
	static := func(*fleet) Placement { return staticPlacement{} }
	baseline := func(kind string) func(*fleet, *instance) {
		return func(f *fleet, in *instance) {
			in.admit, in.dispatch = admitAll{}, &baselineDispatch{f: f, in: in, kind: kind}
		}
	}
	return []Policy{
		{"round robin", reactive, baseline("round robin")},
		{"random of two", reactive, baseline("random of two")},
		{"least reported", reactive, baseline("least reported")},
		{"first come", reactive, func(f *fleet, in *instance) {
			if f.fcfs == nil {
				f.fcfs = &fcfs{models: f.models, queues: map[string][]*request{}, inFlight: map[string]int{}, limit: map[string]float64{}}
			}
			in.admit = f.fcfs
			in.dispatch = &baselineDispatch{f: f, in: in, kind: "least reported"}
		}},
		{"static placement", static, baseline("least reported")},
		{"product, reactive placement", reactive, equipProduct},
		{"product", product, equipProduct},
	}
}

func equipProduct(f *fleet, in *instance) {
	in.incarnation++
	in.detector = straggler.New(straggler.Options{})
	in.budget = retry.New(retry.Options{})
	in.admit = &productAdmission{admission.New(origin, admission.Options{Instance: in.name, Incarnation: in.incarnation}), f.models}
	in.dispatch = &productDispatch{f: f, in: in, router: routing.New(routing.Options{
		Instances: f.d.Instances, Health: in.detector, PromptMs: 1000 / f.s.Engine.PromptTokensPerSecond,
		AdapterLoadMs: f.d.AdapterLoadMs,
	})}
}

// grant is a queued request that may start or was refused.
type grant struct {
	id      string
	refused bool
}

// admitter is the interface of admission to the simulation. An empty model means all models.
type admitter interface {
	offer(now time.Time, req *request) admission.Action
	next(now time.Time, model string) []grant
	done(now time.Time, req *request, answered bool, at time.Duration)
	cancel(req *request)
	reclaim(now time.Time) (ids []string)
	exchange(now time.Time, from *instance, all []*instance)
	demand() map[string]admission.ModelDemand
	setCapacity(now time.Time, model string, c admission.Capacity)
}

// admitAll admits every request immediately, so that requests queue at the engines.
type admitAll struct{}

func (admitAll) offer(time.Time, *request) admission.Action        { return admission.Admit }
func (admitAll) next(time.Time, string) []grant                    { return nil }
func (admitAll) done(time.Time, *request, bool, time.Duration)     {}
func (admitAll) reclaim(time.Time) []string                        { return nil }
func (admitAll) cancel(*request)                                   {}
func (admitAll) exchange(time.Time, *instance, []*instance)        {}
func (admitAll) demand() map[string]admission.ModelDemand          { return nil }
func (admitAll) setCapacity(time.Time, string, admission.Capacity) {}

// fcfs admits requests first come, first served while slots are free. All instances share its queues without delay,
// which is the best case for this order.
type fcfs struct {
	admitAll
	models   []string
	queues   map[string][]*request
	inFlight map[string]int
	limit    map[string]float64
}

func (a *fcfs) hasRoom(model string) bool { return float64(a.inFlight[model])+1 <= a.limit[model] }

func (a *fcfs) offer(_ time.Time, req *request) admission.Action {
	if len(a.queues[req.model]) == 0 && a.hasRoom(req.model) {
		a.inFlight[req.model]++
		return admission.Admit
	}
	a.queues[req.model] = append(a.queues[req.model], req)
	return admission.Queue
}

func (a *fcfs) next(now time.Time, model string) (grants []grant) {
	if model == "" {
		for _, m := range a.models {
			grants = append(grants, a.next(now, m)...)
		}
		return grants
	}
	for queue := a.queues[model]; len(queue) > 0 && (queue[0].settled || a.hasRoom(model)); queue = queue[1:] {
		if !queue[0].settled {
			a.inFlight[model]++
			grants = append(grants, grant{id: queue[0].id})
		}
		a.queues[model] = queue[1:]
	}
	return grants
}

func (a *fcfs) done(_ time.Time, req *request, _ bool, _ time.Duration) { a.inFlight[req.model]-- }

func (a *fcfs) demand() map[string]admission.ModelDemand {
	demand := make(map[string]admission.ModelDemand)
	for model, n := range a.inFlight {
		demand[model] = admission.ModelDemand{WithinShares: float64(n + len(a.queues[model]))}
	}
	return demand
}

func (a *fcfs) setCapacity(_ time.Time, model string, c admission.Capacity) {
	a.limit[model] = c.Slots
}

// productAdmission adapts admission.Controller to admitter.
type productAdmission struct {
	*admission.Controller
	models []string
}

func (a *productAdmission) offer(now time.Time, req *request) admission.Action {
	d := a.Submit(now, admission.Request{
		ID: req.id, Caller: req.caller, Weight: 1, Model: req.model, Adapter: req.adapter, Priority: req.priority,
		PromptTokens: req.promptTokens, Deadline: origin.Add(req.deadline),
	})
	req.ticket = d.Ticket
	return d.Action
}

func (a *productAdmission) next(now time.Time, model string) (grants []grant) {
	list := []admission.QueueResult(nil)
	if model == "" {
		list = a.StartQueued(now)
	} else {
		list = a.StartQueuedOf(now, model)
	}
	for _, g := range list {
		grants = append(grants, grant{id: g.Ticket.Request.ID, refused: g.Refusal != nil})
	}
	return grants
}

func (a *productAdmission) done(now time.Time, req *request, answered bool, at time.Duration) {
	a.Done(now, admission.Completion{
		Ticket: req.ticket, Answered: answered, OutputTokens: req.outputTokens, ServiceTime: at - req.admittedAt,
	})
}

func (a *productAdmission) reclaim(now time.Time) (ids []string) {
	for _, model := range a.models {
		for _, t := range a.Preempt(now, model) {
			ids = append(ids, t.Request.ID)
		}
	}
	return ids
}

func (a *productAdmission) cancel(req *request) { a.Cancel(req.ticket) }

func (a *productAdmission) exchange(now time.Time, from *instance, all []*instance) {
	usage := a.Usage(now)
	for _, in := range all {
		if in != from {
			in.admit.(*productAdmission).MergeUsage(now, usage)
		}
	}
}

func (a *productAdmission) demand() map[string]admission.ModelDemand { return a.Demand() }

func (a *productAdmission) setCapacity(now time.Time, model string, c admission.Capacity) {
	a.SetCapacity(now, model, c)
}

// dispatcher is the interface of routing to the simulation.
type dispatcher interface {
	pick(now time.Time, req *request) (target string, ok bool)
	started(now time.Time, a *attempt)
	finished(now time.Time, a *attempt, answered bool)
	cacheEvents(now time.Time, target string, batch *targetapi.CacheEvents)
}

// baselineDispatch picks replicas round robin, by the power of two random choices or by the least reported load.
type baselineDispatch struct {
	f    *fleet
	in   *instance
	kind string
	next int
}

func (b *baselineDispatch) started(time.Time, *attempt)                           {}
func (b *baselineDispatch) finished(time.Time, *attempt, bool)                    {}
func (b *baselineDispatch) cacheEvents(time.Time, string, *targetapi.CacheEvents) {}

func (b *baselineDispatch) pick(_ time.Time, req *request) (string, bool) {
	var list []*replica
	for _, dc := range b.f.d.DataCentres {
		for _, r := range b.f.sets[req.model][dc].list {
			if r.report.leaseEnd >= b.f.clock.now {
				list = append(list, r)
			}
		}
	}
	if len(list) == 0 {
		return "", false
	}
	best := list[b.in.rng.IntN(len(list))]
	switch b.kind {
	case "round robin":
		b.next++
		best = list[b.next%len(list)]
	case "random of two":
		list = []*replica{best, list[b.in.rng.IntN(len(list))]}
		fallthrough
	default:
		for _, r := range list {
			if r.report.running < best.report.running {
				best = r
			}
		}
	}
	return best.name, true
}

// productDispatch adapts routing.Router to dispatcher.
type productDispatch struct {
	f      *fleet
	in     *instance
	router *routing.Router
}

func (p *productDispatch) pick(now time.Time, req *request) (string, bool) {
	var c routing.Candidates
	for _, dc := range p.f.d.DataCentres {
		set := *p.f.sets[req.model][dc]
		set.adapter = req.adapter
		if dc != p.in.dc {
			c.Remote = append(c.Remote, &set)
			continue
		}
		c.Local = &set
		with := set
		with.list = slices.DeleteFunc(slices.Clone(set.list), func(r *replica) bool { return !r.report.adapters[req.adapter] })
		c.WithAdapter = &with
	}
	r := p.request(req)
	got, _, err := p.router.Pick(now, p.in.rng, r, c)
	return got.Target, err == nil
}

func (p *productDispatch) request(req *request) routing.Request {
	return routing.Request{
		Model: req.model, Adapter: req.adapter, Units: req.ticket.Estimate.Units, Long: req.ticket.Estimate.Long,
		PromptTokens: req.promptTokens, PrefixHashes: []uint64{req.prefix}, BlockTokens: req.prefixTokens,
		Exclude: req.exclude, MayProbe: !req.long && req.attempts == 0,
	}
}

func (p *productDispatch) started(now time.Time, a *attempt) {
	r := p.request(a.req)
	p.router.Started(now, a.replica.name, &r)
}

func (p *productDispatch) finished(now time.Time, a *attempt, answered bool) {
	units := float64(a.req.promptTokens)/20 + float64(a.req.outputTokens-a.offset)
	p.router.Finished(now, routing.Finish{
		Target: a.replica.name, Model: a.req.model, Long: a.req.ticket.Estimate.Long, Answered: answered, Units: units,
		Service: p.f.clock.now - a.sentAt,
	})
}

func (p *productDispatch) cacheEvents(now time.Time, target string, batch *targetapi.CacheEvents) {
	p.router.CacheEvents(now, target, batch)
}
