package controlinstance

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/coordination/residency"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/targetlimit"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// tickInterval is the interval at which demand is sampled, moves are planned and moves in progress are advanced.
	tickInterval = 100 * time.Millisecond
	// settleTime is the delay between the right to give orders and the first plan, so that the new leader knows the
	// demand.
	settleTime = 250 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a target is not used for moves and adapters.
	heartbeatTimeout = 5 * time.Second
	// unreachableHeartbeatTimeout is the same for targets to which a gateway could not connect. It exceeds a heartbeat
	// interval, so a heartbeat is overdue.
	unreachableHeartbeatTimeout = 1500 * time.Millisecond
	// refusedWeight is the demand of a request that was refused for lack of a target. Such a request is neither running
	// nor waiting and would otherwise not count.
	refusedWeight = 2.0
	// waitingWeight is the demand of a request that waits for a target; a running one counts 1.
	waitingWeight = 2.0
	// adapterDemandPeriod is how long an adapter counts as in demand after a request for it.
	adapterDemandPeriod = time.Second
)

type modelKey struct{ service, model string }

// Director collects the load of all gateways and, while this instance may give orders, moves models between targets and
// loads adapters.
type Director struct {
	opts     Options
	view     *fleetview.View
	lease    *lease
	orders   OrderClient
	recorder *events.Recorder

	ordersSent, ordersRefused, storeLoads, permitsGiven, permitsDenied, quotaGranted, quotaDenied, quotaHeld metrics.Counter

	mu       sync.Mutex
	gateways *gatewayLoads
	// overShare are the client accounts above their fair share as of the last tick.
	overShare []string
	// refusals is the demand of recently refused requests. It decays with each tick.
	refusals map[modelKey]float64
	demand   map[modelKey]*residency.SmoothedDemand
	smoothed map[modelKey]float64
	// forecasts predicts the demand for models with a long load.
	forecasts *modelForecasts
	targets   map[string]*controlledTarget // by target id
	sizes     *modelSizes
	// adapterRequests holds, by adapter, the time of the latest request.
	adapterRequests map[modelKey]map[string]time.Time
	storeRates      map[string]*residency.LoadLimiter // by service, the rate of loads from the weight store
	limits          *targetlimit.Table
	permits         *targetlimit.Permits
	quotas          *quotas
	starts          *starts
	speeds          *speeds
	rotations       *rotations
	fence           uint64
	planAfter       time.Time
	// prefetchAfter is the earliest time of the next prefetch of adapters.
	prefetchAfter time.Time
}

func newDirector(opts Options, view *fleetview.View, group *replica.Group, orders OrderClient, recorder *events.Recorder,
	registry metrics.Registry) *Director {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("control."+name, registry) }
	return &Director{
		opts: opts, view: view, lease: newLease(group, opts.ExclusionPeriod, recorder), orders: orders, recorder: recorder,
		ordersSent: counter("orders_sent"), ordersRefused: counter("orders_refused"), storeLoads: counter("store_loads"),
		permitsGiven: counter("permits_given"), permitsDenied: counter("permits_denied"), quotaGranted: counter("quota_granted"), quotaDenied: counter("quota_denied"), quotaHeld: counter("quota_held"),
		gateways: newGatewayLoads(), refusals: make(map[modelKey]float64),
		demand: make(map[modelKey]*residency.SmoothedDemand), smoothed: make(map[modelKey]float64), forecasts: newModelForecasts(registry),
		sizes: newModelSizes(), limits: targetlimit.NewTable(), permits: targetlimit.NewPermits(), starts: newStarts(registry), speeds: newSpeeds(registry), rotations: newRotations(registry), quotas: &quotas{opts: opts.Quota},
		targets: make(map[string]*controlledTarget), adapterRequests: make(map[modelKey]map[string]time.Time), storeRates: make(map[string]*residency.LoadLimiter),
	}
}

// Run plans and executes moves until ctx ends.
func (d *Director) Run(ctx context.Context) {
	go d.lease.run(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick(ctx, time.Now())
		}
	}
}

// Stop ends the sending of orders for good.
func (d *Director) Stop() { d.lease.stop() }

// Exchange records the load report of a gateway and returns the summed load of the other gateways.
func (d *Director) Exchange(now time.Time, r *fleetapi.LoadReport) (fleetapi.LoadSummary, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateways.put(now, r)
	for _, m := range r.Models {
		if m.Refused > 0 {
			d.refusals[modelKey{m.Service, m.Model}] += refusedWeight * float64(m.Refused)
		}
	}
	for _, use := range r.Adapters {
		if c := d.targets[use.ID]; c != nil {
			c.markAdapterUsed(now, use.Model, use.Adapter)
			recordTime(d.adapterRequests, modelKey{c.service, use.Model}, use.Adapter, now)
		}
	}
	d.limits.Merge(now, r.Limits)
	s := d.summary(now, r)
	s.Quota = d.quotaLevels(now, r)
	d.exchangeStarts(now, r, &s)
	d.exchangeSpeeds(now, r, &s)
	d.exchangeRotation(now, r, &s)
	return s, nil
}

var errNotLeader = errors.New("this instance does not hold the lease of the leader")

// Permit gives out a permit for a request to a target that takes a limited number from all gateways together.
func (d *Director) Permit(now time.Time, r fleetapi.PermitRequest) (fleetapi.PermitResponse, error) {
	if !d.lease.PermitsAllowed() {
		return fleetapi.PermitResponse{}, errNotLeader
	}
	perSecond := r.PerSecond
	if known := d.limits.Limit(r.Target); known > 0 {
		perSecond = min(perSecond, known)
	}
	granted, wait := d.permits.Take(now, r.Target, perSecond, r.NoWait)
	if granted {
		d.permitsGiven.Inc(1)
	} else {
		d.permitsDenied.Inc(1)
	}
	return fleetapi.PermitResponse{Granted: granted, WaitMs: wait.Milliseconds()}, nil
}

func (d *Director) summary(now time.Time, r *fleetapi.LoadReport) fleetapi.LoadSummary {
	d.gateways.expire(now)
	s := fleetapi.LoadSummary{Gateways: d.gateways.live, Limits: d.limits.All(now), Brittle: d.gateways.brittleServices(r.Gateway),
		HelpersChange: d.gateways.helpersChange, Queues: d.gateways.queuesExcept(r.Gateway, d.hasDeferrableRequests), OverShare: d.overShare}
	if r.HelpersChange != s.HelpersChange {
		s.Helpers = d.gateways.helpers(r.Gateway)
	}
	if others := d.gateways.others(r.Gateway); r.Packed {
		s.PackedTargets = fleetapi.PackTargetLoads(others)
	} else {
		s.Targets = others
	}
	for id, c := range d.targets {
		c.addToSummary(now, id, &s)
	}
	return s
}

// tick expires old entries, updates the smoothed demand and, while orders are allowed, advances moves and plans new ones.
func (d *Director) tick(ctx context.Context, now time.Time) {
	fence, allowed := d.lease.Fence()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.updateDemand(now)
	d.updateStarts(now)
	d.updateSpeeds(now)
	d.rotations.out.Update(int64(len(d.gatewaysOut(now))))
	table := d.view.Table()
	if table != nil {
		d.overShare = d.gateways.overShare(table.Document())
		d.sizes.observe(now, table.Document(), d.view.Targets)
	}
	if !allowed {
		if fence != d.fence {
			d.targets = make(map[string]*controlledTarget) // another leader may give orders in between
		}
		d.planAfter = time.Time{}
		return
	}
	if fence != d.fence {
		d.fence = fence
		d.targets = make(map[string]*controlledTarget)
		d.storeRates = make(map[string]*residency.LoadLimiter)
	}
	if d.planAfter.IsZero() {
		d.planAfter = now.Add(settleTime)
	}
	if table == nil {
		return
	}
	d.syncTargets(now)
	for _, c := range d.targets {
		c.step(ctx, now, d)
	}
	if now.Before(d.planAfter) {
		return
	}
	services := table.Document().Services
	for i := range services {
		if services[i].Engine != nil {
			d.plan(now, &services[i])
			d.prefetch(ctx, &services[i])
		}
	}
}

func (d *Director) expire(now time.Time) {
	d.gateways.expire(now)
	dropBefore(d.adapterRequests, now.Add(-adapterDemandPeriod))
	if d.limits.Any() {
		known := make(map[string]bool)
		for _, t := range d.view.Targets() {
			known[t.ID] = true
		}
		d.limits.Forget(known)
	}
}

// recordTime stores the time of one entry.
func recordTime[K comparable](m map[K]map[string]time.Time, key K, name string, at time.Time) {
	if m[key] == nil {
		m[key] = make(map[string]time.Time)
	}
	m[key][name] = at
}

// dropBefore deletes the entries whose time is earlier than before, and keys without entries.
func dropBefore[K comparable](m map[K]map[string]time.Time, before time.Time) {
	for key, entries := range m {
		for name, at := range entries {
			if at.Before(before) {
				delete(entries, name)
			}
		}
		if len(entries) == 0 {
			delete(m, key)
		}
	}
}

// updateDemand adds a demand sample per model to the smoothed demand and lets the refusals decay.
func (d *Director) updateDemand(now time.Time) {
	samples := make(map[modelKey]float64)
	for g := range d.gateways.counted() {
		for key, m := range g.models {
			samples[key] += float64(m.Running) + waitingWeight*float64(m.Waiting)
		}
	}
	d.forecasts.sample(now, d.gateways, d.refusals)
	for key, n := range d.refusals {
		samples[key] += n
		if n *= 0.8; n < 0.1 { // 20 % less per tick of 100 ms: about a tenth is left after one second
			delete(d.refusals, key)
		} else {
			d.refusals[key] = n
		}
	}
	for key := range samples {
		if d.demand[key] == nil {
			d.demand[key] = &residency.SmoothedDemand{}
		}
	}
	for key, s := range d.demand {
		d.smoothed[key] = s.Add(now, samples[key])
		d.forecasts.add(now, key, d.planAfter)
		if max(d.smoothed[key], s.Recent()) < 0.01 && samples[key] == 0 {
			delete(d.demand, key)
			delete(d.smoothed, key)
			delete(d.forecasts.trends, key)
		}
	}
}

// syncTargets adds new targets and new incarnations, and removes targets that left or whose heartbeats are overdue.
func (d *Director) syncTargets(now time.Time) {
	present := make(map[string]bool)
	unreachable := d.unreachable()
	for _, t := range d.view.Targets() {
		sinceHeartbeat := now.Sub(t.HeardAt)
		if t.State != roster.Ready || sinceHeartbeat > heartbeatTimeout || unreachable[t.ID] && sinceHeartbeat > unreachableHeartbeatTimeout {
			continue
		}
		present[t.ID] = true
		c := d.targets[t.ID]
		if c == nil || c.startedAtMs != t.StartedAtMs {
			c = newControlledTarget(t.Target)
			d.targets[t.ID] = c
		}
		c.applyHeartbeat(t.Target)
	}
	for id := range d.targets {
		if !present[id] {
			delete(d.targets, id)
		}
	}
}

// unreachable returns the targets that a gateway reports as unreachable.
func (d *Director) unreachable() map[string]bool {
	ids := make(map[string]bool)
	for g := range d.gateways.counted() {
		for _, id := range g.report.Unreachable {
			ids[id] = true
		}
	}
	return ids
}

// plan plans the moves of one service and starts them.
func (d *Director) plan(now time.Time, service *routes.Service) {
	input := residency.Input{}
	for id, c := range d.targets {
		if c.service != service.Name {
			continue
		}
		t := c.plannerTarget(now, service.Engine, d.sizes)
		t.ID, t.Running, t.Speed = id, d.gateways.running(id), d.targetSpeed(service.Name, id)
		input.Targets = append(input.Targets, t)
	}
	if len(input.Targets) == 0 {
		return
	}
	for i := range service.Engine.Models {
		m := &service.Engine.Models[i]
		key := modelKey{service.Name, m.Name}
		weightsMB, _, _ := d.sizes.of(service.Name, service.Engine, m.Name)
		model := residency.Model{Name: m.Name, WeightsMB: weightsMB, HasAdapters: m.Adapters > 0,
			Adapters: len(d.adapterRequests[key]), LoadTime: m.LoadTime, Forecast: d.forecasts.of(key)}
		if demand := d.demand[key]; demand != nil {
			model.Demand, model.RecentDemand = d.smoothed[key], demand.Recent()
		}
		input.Models = append(input.Models, model)
	}
	rate := d.storeRates[service.Name]
	if rate == nil {
		r := residency.NewLoadLimiter(now)
		rate = &r
		d.storeRates[service.Name] = rate
	}
	input.StoreRate = service.Engine.LoadsPerSecond
	input.StoreLoads = rate.Available(now, service.Engine.LoadsPerSecond)
	for _, move := range residency.Plan(input) {
		if move.FromStore {
			rate.Take()
		}
		d.targets[move.Target].startMove(now, move, service.Engine)
		d.recordMove(service, &move)
	}
}

func roundToTenth(v float64) float64 { return float64(int(v*10+0.5)) / 10 }
