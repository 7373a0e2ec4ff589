package controller

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/control"
	"github.com/tarragonhoist/tarragonhoist/coordination/loadlimit"
	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/coordination/orders"
	"github.com/tarragonhoist/tarragonhoist/coordination/placement"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

const (
	directTick = 100 * time.Millisecond
	// planInterval bounds how often the residency is planned, which is the costly part of a tick.
	planInterval   = time.Second
	demandInterval = time.Second
	orderTimeout   = 2 * time.Second
	// capacityInterval is how often the other data centres are asked for their memory, which changes with their targets.
	capacityInterval = 15 * time.Second
)

// Table lists and looks up targets.
type Table interface {
	All() []*membership.Entry
	RemoteReplicas(now time.Time, model, adapter string) []membership.ModelSummary
}

// InForce gives what is in force.
type InForce interface{ Contents() *catalog.Contents }

// Demand gives the requests in flight and waiting per model.
type Demand interface {
	Demand() map[string]admission.ModelDemand
}

// Client delivers orders.
type Client interface {
	Order(ctx context.Context, address string, order targetapi.Order) (targetapi.OrderStatus, error)
}

// Capacities reads the engines of all data centres that can be reached.
type Capacities interface {
	Read(ctx context.Context) map[string][]placement.Target
}

// Options of a director.
type Options struct {
	DataCentres []string
	// Local lists the instances of a data centre.
	Local  func(dataCentre string) []string
	Limits loadlimit.Limits
}

// Director plans the residency and gives the orders of the data centre while its instance holds the lease.
type Director struct {
	options    Options
	lease      *Lease
	table      Table
	inForce    InForce
	demand     Demand
	client     Client
	capacities Capacities
	recorder   *events.Recorder
	now        func() time.Time

	mu         sync.Mutex
	issuer     *orders.Issuer
	limiter    *loadlimit.Limiter
	forecaster *placement.Forecaster
	// forecast holds the models that the forecaster knows.
	forecast   map[string]bool
	capacity   map[string]int64
	planned    time.Time
	observed   time.Time
	dirty      bool
	planIndex  uint64
	missing    []placement.Missing
	openOrders int
}

// NewDirector makes a director.
func NewDirector(options Options, lease *Lease, table Table, inForce InForce, demand Demand, client Client, capacities Capacities,
	recorder *events.Recorder, now func() time.Time) *Director {
	return &Director{
		options: options, lease: lease, table: table, inForce: inForce, demand: demand, client: client, capacities: capacities,
		recorder: recorder, now: now, forecaster: placement.NewForecaster(), forecast: make(map[string]bool),
		issuer: orders.New(control.Electorate{DataCentre: lease.identity.DataCentre, Instances: lease.identity.Electorate}),
	}
}

// TargetChanged plans again soon when a target comes, goes or holds other models.
func (d *Director) TargetChanged(c membership.Change) {
	if c.Kind == membership.Renewed {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dirty = true
}

// Missing lists what has no place in memory, as the controller sees it.
func (d *Director) Missing() []placement.Missing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.missing
}

// OpenOrders counts the orders that no report has settled.
func (d *Director) OpenOrders() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openOrders
}

// Run directs until ctx ends.
func (d *Director) Run(ctx context.Context) {
	go d.readCapacities(ctx)
	ticker := time.NewTicker(directTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick(ctx)
		}
	}
}

// tick does one round of the controller's work. All input and output runs in goroutines of its own.
func (d *Director) tick(ctx context.Context) {
	fence, held := d.lease.Held()
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
	if !held {
		d.drop()
		return
	}
	if d.issuer.Fence() != fence && !d.take(now, fence) {
		return
	}
	settled, err := d.issuer.Step(now, d.reports(now))
	d.recordSettled(settled)
	if err == nil {
		err = d.plan(now)
	}
	if err != nil {
		d.recorder.Record(events.InternalError, events.Fields{"task": "controller", "error": err.Error()})
	}
	for _, record := range d.issuer.Records(now) {
		go d.copyRecord(ctx, record)
	}
	for _, send := range d.issuer.Sends(now) {
		go d.deliver(ctx, fence, send)
	}
	requests, returns := d.limiter.Tick(now)
	for _, r := range requests {
		go d.borrow(ctx, r)
	}
	for _, r := range returns {
		go d.giveBack(ctx, r)
	}
}

// drop ends the term. It runs under mu.
func (d *Director) drop() {
	if d.issuer.Fence() != 0 {
		d.issuer.Drop()
	}
	d.limiter, d.missing, d.openOrders = nil, nil, 0
}

// take starts the term of a fencing number. It runs under mu.
func (d *Director) take(now time.Time, fence uint64) bool {
	var err error
	if d.limiter == nil {
		// A number that rises during the lease continues the term, and the limiter with it.
		d.limiter, err = loadlimit.New(now, d.lease.identity.DataCentre, fence, d.options.DataCentres, d.options.Limits)
	}
	if err == nil {
		err = d.issuer.Take(now, fence, d.lease.Journals(), d.limiter)
	}
	if err != nil {
		d.recorder.Record(events.InternalError, events.Fields{"task": "take over control", "error": err.Error()})
	}
	d.dirty = true
	return err == nil
}

// observe feeds the forecast on every instance, so that a successor knows the demand too.
func (d *Director) observe(now time.Time) {
	if now.Sub(d.observed) < demandInterval {
		return
	}
	d.observed = now
	demand := d.demand.Demand()
	models := d.inForce.Contents().Models
	for name := range models {
		m := demand[name]
		d.forecaster.Observe(now, name, m.First+m.Rest)
		d.forecast[name] = true
	}
	for name := range d.forecast {
		if _, ok := models[name]; !ok {
			d.forecaster.Forget(name)
			delete(d.forecast, name)
		}
	}
}

// reports are the latest announcements of the targets that are present.
func (d *Director) reports(now time.Time) []*targetapi.Announcement {
	var list []*targetapi.Announcement
	for _, e := range d.table.All() {
		if now.Before(e.ExpiresAt) {
			list = append(list, &e.Announcement)
		}
	}
	return list
}

// plan plans and issues the next orders. It runs under mu.
func (d *Director) plan(now time.Time) error {
	contents := d.inForce.Contents()
	changed := d.dirty || contents.Index != d.planIndex
	if !changed && now.Sub(d.planned) < planInterval {
		return nil
	}
	d.planned, d.planIndex, d.dirty = now, contents.Index, false
	input := placement.Input{DataCentre: d.lease.identity.DataCentre, Targets: d.issuer.Targets()}
	input.ReplicaRate = d.replicaRate()
	input.Models = d.models(now, contents)
	wanted := placement.Plan(input)
	d.missing = wanted.Missing
	issued, err := d.issuer.Plan(now, &input, &wanted)
	for _, o := range issued {
		d.recorder.Record(events.OrderIssued, orderFields(o))
	}
	d.openOrders = d.issuer.Status().OpenOrders
	return err
}

func orderFields(o targetapi.Order) events.Fields {
	fields := events.Fields{"order": o.ID, "kind": o.Kind, "model": o.Model, "version": o.ModelVersion}
	if o.Adapter != "" {
		fields["adapter"] = o.Adapter
	}
	return fields
}

// replicaRate is the mean number of slots of an engine: demand is counted in requests that run at the same time.
func (d *Director) replicaRate() float64 {
	engines, slots := 0, 0
	for _, e := range d.table.All() {
		if e.Announcement.Kind == targetapi.Engine {
			engines++
			slots += max(e.Announcement.Slots, 1)
		}
	}
	if engines == 0 {
		return 1
	}
	return float64(slots) / float64(engines)
}

// models adds demand, home and replicas elsewhere to the models in force.
func (d *Director) models(now time.Time, contents *catalog.Contents) []placement.Model {
	models := placement.Models(contents)
	var homes map[string]string
	if len(d.capacity) > 0 {
		homes = placement.Homes(models, d.capacity)
	}
	for i := range models {
		m := &models[i]
		m.Demand = d.forecaster.Demand(m.Name)
		if homes != nil {
			m.Home = homes[m.Name] == d.lease.identity.DataCentre
		}
		for _, summary := range d.table.RemoteReplicas(now, m.Name, "") {
			m.Elsewhere += summary.Ready
		}
	}
	return models
}

// readCapacities asks the other data centres for their memory.
func (d *Director) readCapacities(ctx context.Context) {
	ticker := time.NewTicker(capacityInterval)
	defer ticker.Stop()
	for {
		if _, held := d.lease.Held(); held {
			capacity := make(map[string]int64)
			for dataCentre, targets := range d.capacities.Read(ctx) {
				for _, t := range targets {
					if !t.Leaving {
						capacity[dataCentre] += t.CapacityBytes
					}
				}
			}
			d.mu.Lock()
			d.capacity = capacity
			d.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Director) recordSettled(settled []targetapi.OrderStatus) {
	for _, s := range settled {
		fields := events.Fields{"order": s.ID, "state": s.State}
		if s.Error != "" {
			fields["error"] = s.Error
		}
		d.recorder.Record(events.OrderSettled, fields)
		d.dirty = true
	}
}

// copyRecord sends a journal record to one elector.
func (d *Director) copyRecord(ctx context.Context, r orders.Record) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var response control.RecordResponse
	var err error
	switch r.Elector {
	case d.lease.identity.Instance:
		response, err = d.lease.Record(r.Record)
	case control.Witness:
		response, err = d.recordWitness(ctx, r.Record)
	default:
		err = d.lease.peers.Call(ctx, r.Elector, peerapi.MethodControlRecord, r.Record, &response)
	}
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.issuer.Copied(response)
}

func (d *Director) recordWitness(ctx context.Context, r electorate.JournalRecord) (control.RecordResponse, error) {
	result, err := d.lease.propose(ctx, electorate.Command{Record: &r})
	return control.RecordResponse{Elector: control.Witness, Held: result.Granted, State: result.Journal}, err
}

// deliver sends one order. The answer only speeds up the log: a report of the target settles the order.
func (d *Director) deliver(ctx context.Context, fence uint64, s orders.Send) {
	held, end, ok := d.lease.heldUntil()
	if !ok || held != fence {
		return
	}
	// A delivery over a slow link must not reach the target after the lease. A cut delivery is repeated after a renewal.
	ctx, cancel := context.WithTimeout(ctx, min(orderTimeout, end.Sub(d.now())))
	defer cancel()
	order := s.Order
	order.TargetIncarnation = s.Incarnation
	_, err := d.client.Order(ctx, s.Address, order)
	fields := orderFields(order)
	fields["target"] = s.Target
	if err != nil {
		fields["error"] = err.Error()
		d.recorder.Record(events.OrderUndelivered, fields)
		return
	}
	d.recorder.Record(events.OrderSent, fields)
}
