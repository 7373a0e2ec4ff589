package controller

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/controllerlease"
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
	directorTick = 100 * time.Millisecond
	// planInterval limits how often the placement is planned, which is the expensive part of a tick.
	planInterval   = time.Second
	demandInterval = time.Second
	orderTimeout   = 2 * time.Second
	// capacityInterval is the polling interval for the memory of the other data centres, which changes only with their
	// targets.
	capacityInterval = 15 * time.Second
)

// Table lists and looks up targets.
type Table interface {
	All() []*membership.Entry
	RemoteReplicas(now time.Time, model, adapter string) []membership.ModelSummary
}

// ConfigSource returns the active models and adapters.
type ConfigSource interface{ Contents() *catalog.ActiveConfig }

// Demand returns the number of running and queued requests per model.
type Demand interface {
	Demand() map[string]admission.ModelDemand
}

// Client sends orders to targets.
type Client interface {
	Order(ctx context.Context, address string, order targetapi.Order) (targetapi.OrderStatus, error)
}

// Capacities queries the engines of all reachable data centres.
type Capacities interface {
	Read(ctx context.Context) map[string][]placement.Target
}

// Options configures a Director.
type Options struct {
	DataCentres []string
	// Local lists the instances of a data centre.
	Local  func(dataCentre string) []string
	Limits loadlimit.Limits
}

// Director plans the placement of models on the targets of the data centre and sends the orders for it, while this
// instance holds the lease.
type Director struct {
	options    Options
	lease      *Lease
	table      Table
	config     ConfigSource
	demand     Demand
	client     Client
	capacities Capacities
	recorder   *events.Recorder
	now        func() time.Time

	mu         sync.Mutex
	issuer     *orders.Issuer
	limiter    *loadlimit.Limiter
	forecaster *placement.Forecaster
	// forecastModels is the set of models that the forecaster has seen.
	forecastModels  map[string]bool
	capacity        map[string]int64
	lastPlan        time.Time
	lastObservation time.Time
	planNeeded      bool
	planIndex       uint64
	missing         []placement.Unplaced
	openOrders      int
}

// NewDirector returns a director that does nothing until Run is called.
func NewDirector(options Options, lease *Lease, table Table, config ConfigSource, demand Demand, client Client, capacities Capacities,
	recorder *events.Recorder, now func() time.Time) *Director {
	return &Director{
		options: options, lease: lease, table: table, config: config, demand: demand, client: client, capacities: capacities,
		recorder: recorder, now: now, forecaster: placement.NewForecaster(), forecastModels: make(map[string]bool),
		issuer: orders.New(controllerlease.Electorate{DataCentre: lease.identity.DataCentre, Instances: lease.identity.Electorate}),
	}
}

// TargetChanged makes the next tick plan again when a target appears, disappears or changes its resident models.
func (d *Director) TargetChanged(c membership.Change) {
	if c.Kind == membership.Renewed {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.planNeeded = true
}

// Missing lists the models and adapters that do not fit into memory according to the last plan. It is empty on instances
// without the lease.
func (d *Director) Missing() []placement.Unplaced {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.missing
}

// OpenOrders returns the number of orders that no announcement of a target has settled yet.
func (d *Director) OpenOrders() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openOrders
}

// Run plans and sends orders until ctx is cancelled.
func (d *Director) Run(ctx context.Context) {
	go d.readCapacities(ctx)
	ticker := time.NewTicker(directorTick)
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

// tick runs one iteration of the control loop. All network calls run in separate goroutines.
func (d *Director) tick(ctx context.Context) {
	fence, held := d.lease.Held()
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeDemand(now)
	if !held {
		d.endTerm()
		return
	}
	if d.issuer.Fence() != fence && !d.startTerm(now, fence) {
		return
	}
	settled, err := d.issuer.ApplyReports(now, d.announcements(now))
	d.recordSettled(settled)
	if err == nil {
		err = d.plan(now)
	}
	if err != nil {
		d.recorder.Record(events.InternalError, events.Fields{"task": "controller", "error": err.Error()})
	}
	for _, record := range d.issuer.PendingRecords(now) {
		go d.replicateRecord(ctx, record)
	}
	for _, send := range d.issuer.DueOrders(now) {
		go d.deliver(ctx, fence, send)
	}
	requests, returns := d.limiter.Tick(now)
	for _, r := range requests {
		go d.borrowSlots(ctx, r)
	}
	for _, r := range returns {
		go d.returnSlots(ctx, r)
	}
}

// endTerm discards the state of the term after the lease was lost. The caller holds mu.
func (d *Director) endTerm() {
	if d.issuer.Fence() != 0 {
		d.issuer.EndTerm()
	}
	d.limiter, d.missing, d.openOrders = nil, nil, 0
}

// startTerm starts the term of a fencing number from the journals of the electors. The caller holds mu.
func (d *Director) startTerm(now time.Time, fence uint64) bool {
	var err error
	if d.limiter == nil {
		// If the fencing number rises while the lease is held, the term continues with the same limiter.
		d.limiter, err = loadlimit.New(now, d.lease.identity.DataCentre, fence, d.options.DataCentres, d.options.Limits)
	}
	if err == nil {
		err = d.issuer.StartTerm(now, fence, d.lease.Journals(), d.limiter)
	}
	if err != nil {
		d.recorder.Record(events.InternalError, events.Fields{"task": "take over control", "error": err.Error()})
	}
	d.planNeeded = true
	return err == nil
}

// observeDemand feeds the demand forecast. It runs on all instances, so that the next lease holder has a forecast at
// once. The caller holds mu.
func (d *Director) observeDemand(now time.Time) {
	if now.Sub(d.lastObservation) < demandInterval {
		return
	}
	d.lastObservation = now
	demand := d.demand.Demand()
	models := d.config.Contents().Models
	for name := range models {
		m := demand[name]
		d.forecaster.Observe(now, name, m.WithinShares+m.BestEffort)
		d.forecastModels[name] = true
	}
	for name := range d.forecastModels {
		if _, ok := models[name]; !ok {
			d.forecaster.Forget(name)
			delete(d.forecastModels, name)
		}
	}
}

// announcements returns the latest announcements of the targets whose lease has not expired.
func (d *Director) announcements(now time.Time) []*targetapi.Announcement {
	var list []*targetapi.Announcement
	for _, e := range d.table.All() {
		if now.Before(e.ExpiresAt) {
			list = append(list, &e.Announcement)
		}
	}
	return list
}

// plan plans the placement and issues the next orders, at most every planInterval unless targets, orders or the active
// models changed. The caller holds mu.
func (d *Director) plan(now time.Time) error {
	contents := d.config.Contents()
	changed := d.planNeeded || contents.Index != d.planIndex
	if !changed && now.Sub(d.lastPlan) < planInterval {
		return nil
	}
	d.lastPlan, d.planIndex, d.planNeeded = now, contents.Index, false
	input := placement.Input{DataCentre: d.lease.identity.DataCentre, Targets: d.issuer.Targets()}
	input.ReplicaRate = d.replicaRate()
	input.Models = d.placementModels(now, contents)
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

// replicaRate returns the mean number of slots per engine. Demand is counted in concurrent requests, so this is what one
// replica serves.
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

// placementModels returns the active models with their demand, whether this data centre is their home, and the number of
// replicas in other data centres.
func (d *Director) placementModels(now time.Time, contents *catalog.ActiveConfig) []placement.Model {
	models := placement.ModelsOf(contents)
	var homes map[string]string
	if len(d.capacity) > 0 {
		homes = placement.AssignHomes(models, d.capacity)
	}
	for i := range models {
		m := &models[i]
		m.Demand = d.forecaster.Demand(m.Name)
		if homes != nil {
			m.IsHome = homes[m.Name] == d.lease.identity.DataCentre
		}
		for _, summary := range d.table.RemoteReplicas(now, m.Name, "") {
			m.ReadyElsewhere += summary.Ready
		}
	}
	return models
}

// readCapacities polls the memory capacity of all reachable data centres while this instance holds the lease.
func (d *Director) readCapacities(ctx context.Context) {
	ticker := time.NewTicker(capacityInterval)
	defer ticker.Stop()
	for {
		if _, held := d.lease.Held(); held {
			capacity := make(map[string]int64)
			for dataCentre, targets := range d.capacities.Read(ctx) {
				for _, t := range targets {
					if !t.Draining {
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
		d.planNeeded = true
	}
}

// replicateRecord sends a journal record to one elector.
func (d *Director) replicateRecord(ctx context.Context, r orders.ElectorRecord) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var response controllerlease.RecordResponse
	var err error
	switch r.Elector {
	case d.lease.identity.Instance:
		response, err = d.lease.Record(r.Record)
	case controllerlease.Witness:
		response, err = d.replicateToWitness(ctx, r.Record)
	default:
		err = d.lease.peers.Call(ctx, r.Elector, peerapi.MethodControlRecord, r.Record, &response)
	}
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.issuer.AcknowledgeRecord(response)
}

func (d *Director) replicateToWitness(ctx context.Context, r electorate.JournalRecord) (controllerlease.RecordResponse, error) {
	result, err := d.lease.propose(ctx, electorate.Command{Record: &r})
	return controllerlease.RecordResponse{Elector: controllerlease.Witness, Stored: result.Granted, State: result.Journal}, err
}

// deliver sends one order to its target. The response only decides which event is recorded; an announcement of the
// target settles the order.
func (d *Director) deliver(ctx context.Context, fence uint64, s orders.DueOrder) {
	held, end, ok := d.lease.heldUntil()
	if !ok || held != fence {
		return
	}
	// The timeout keeps a delivery over a slow link from reaching the target after the lease has expired. An aborted
	// delivery is repeated after the lease is renewed.
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
