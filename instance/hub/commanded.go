package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/residency"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// retireTime is the time between telling gateways that a model leaves a target and the order to unload it. It covers
	// two load reports and requests on their way.
	retireTime = 250 * time.Millisecond
	// reportTimeout and orderTimeout bound one call to a target.
	reportTimeout = 600 * time.Millisecond
	orderTimeout  = 600 * time.Millisecond
	// reportPause is the time between reports while the end of an order is awaited. Heartbeats tell of it as well.
	reportPause = 700 * time.Millisecond
	// reportLag is how far a report may be behind.
	reportLag = 350 * time.Millisecond
	// moveTimeout gives a move up.
	moveTimeout = 25 * time.Second
	// maxOrderTries bounds the tries of one order of a move.
	maxOrderTries = 6
	// adapterWait is the time until an adapter is loaded, with some room.
	adapterWait = 12 * time.Millisecond
	// adapterKeep protects an adapter from eviction after the last report of a request that uses it. It covers a lost
	// report, and a request on its way to the target.
	adapterKeep = 300 * time.Millisecond
)

type phase uint8

const (
	idle phase = iota
	retiring
	unloading
	loading
)

// move is a move in progress.
type move struct {
	residency.Move
	phase      phase
	began      time.Time
	orderFrom  time.Time // the time from which the next order may be sent
	ordered    bool      // the order of the phase was accepted
	tries      int
	loadTime   time.Duration
	loadedFrom time.Time
	weightsMB  float64
}

type adapterKey struct{ model, adapter string }

// commanded is what the director knows of a target that it gives orders to. What the target holds is counted from the
// orders that it accepted since a report with a known number of orders; each order names that number, so that none
// is carried out in another state than the one it was checked against.
type commanded struct {
	// id, born and service never change.
	id      string
	born    int64
	service string
	// wire holds one token while a call to the target runs.
	wire chan struct{}

	mu       sync.Mutex
	target   roster.Target
	known    bool // sequence and holdings are known for certain
	reported bool // they were known once
	asking   bool // a report or an order of a move is on its way
	// reportAfter is the time from which a report tells something new.
	reportAfter time.Time
	sequence    uint64
	models      map[string]bool
	adapters    map[adapterKey]time.Time // when they were last used
	move        *move
	// presentAt is the latest heartbeat that showed a model since it was loaded. Heartbeats come late, so only one after
	// it proves that the model is gone.
	presentAt map[string]uint64
}

func newCommanded(t roster.Target) *commanded {
	return &commanded{id: t.ID, born: t.Born, service: t.Service, wire: make(chan struct{}, 1), target: t,
		models: make(map[string]bool), adapters: make(map[adapterKey]time.Time), presentAt: make(map[string]uint64)}
}

// takeWire waits until no call to the target runs, and reports whether ctx allows to begin one.
func (c *commanded) takeWire(ctx context.Context) bool {
	select {
	case c.wire <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *commanded) releaseWire() { <-c.wire }

// heard takes the latest heartbeat.
func (c *commanded) heard(t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = t
	for _, m := range t.Models {
		if c.models[m.Model] {
			c.presentAt[m.Model] = t.Beat
		}
	}
}

// provenGoneLocked tells whether a heartbeat proves that a model which was held is no longer.
func (c *commanded) provenGoneLocked(model string) bool {
	at, ok := c.presentAt[model]
	return ok && c.target.Beat > at && c.target.Holds(model) == nil
}

// used notes that an adapter is in use.
func (c *commanded) used(now time.Time, model, adapter string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := adapterKey{model, adapter}
	if _, ok := c.adapters[key]; ok {
		c.adapters[key] = now
	}
}

// serves tells whether the target holds a model and keeps it.
func (c *commanded) serves(model string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || !c.models[model] {
		return false
	}
	return c.move == nil || c.move.Unload != model && c.move.Load != model
}

type place uint8

const (
	placeNone place = iota
	placeHeld
	placeFree
	placeEvict
)

// place tells what it takes to hold an adapter here.
func (c *commanded) place(now time.Time, model, adapter string, engine *routes.Engine) place {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.adapters[adapterKey{model, adapter}]; ok {
		return placeHeld
	}
	if c.move != nil && c.move.phase != retiring {
		return placeNone // the target accepts one order at a time
	}
	if len(c.adapters) < engine.AdapterSlots {
		return placeFree
	}
	if _, ok := c.victimLocked(now); ok {
		return placeEvict
	}
	return placeNone
}

// victimLocked returns the adapter that was used least lately, unless all are in use.
func (c *commanded) victimLocked(now time.Time) (key adapterKey, ok bool) {
	oldest := now.Add(-adapterKeep)
	for k, at := range c.adapters {
		if at.Before(oldest) {
			key, oldest, ok = k, at, true
		}
	}
	return key, ok
}

// describe adds what gateways need to know of a move to a summary.
func (c *commanded) describe(now time.Time, id string, s *fleetapi.LoadSummary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.move == nil {
		return
	}
	if c.move.Unload != "" && c.move.phase <= unloading {
		s.Retiring = append(s.Retiring, fleetapi.Retiring{ID: id, Model: c.move.Unload})
	}
	left := c.move.loadTime
	if c.move.phase == loading && !c.move.loadedFrom.IsZero() {
		left = max(c.move.loadTime-now.Sub(c.move.loadedFrom), 0)
	} else if c.move.Unload != "" {
		left += unloadEstimate
	}
	s.Arriving = append(s.Arriving, fleetapi.Arriving{ID: id, Service: c.target.Service, Model: c.move.Load, LeftMs: left.Milliseconds()})
}

// unloadEstimate is the time that the runs of a model that is unloaded take to end.
const unloadEstimate = 800 * time.Millisecond

// planned describes the target for the planner. Until its first report, its heartbeat tells what it holds: a copy that
// is not known of would be loaded once more. Nothing is ordered there before the report.
func (c *commanded) planned(engine *routes.Engine) residency.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := residency.Target{CapacityMB: engine.CapacityMB, Slots: c.target.Slots, AdapterSlots: engine.AdapterSlots, InMemory: c.target.InMemory,
		OnDisk: c.target.OnDisk, Moving: c.move != nil, Unsure: !c.known}
	if !c.reported {
		for _, held := range c.target.Models {
			t.Models = append(t.Models, held.Model)
		}
		slices.Sort(t.Models)
		return t
	}
	for name := range c.models {
		if c.move != nil && c.move.Unload == name {
			continue
		}
		t.Models = append(t.Models, name)
	}
	if c.move != nil && !slices.Contains(t.Models, c.move.Load) {
		t.Models = append(t.Models, c.move.Load)
		t.Arriving = c.move.Load
	}
	slices.Sort(t.Models)
	t.UsedMB = c.usedMBLocked(engine)
	return t
}

func (c *commanded) usedMBLocked(engine *routes.Engine) float64 {
	used := 0.0
	for name := range c.models {
		if m := engine.Model(name); m != nil {
			used += m.WeightsMB
		}
	}
	for key := range c.adapters {
		if m := engine.Model(key.model); m != nil {
			used += m.AdapterMB
		}
	}
	if c.move != nil && c.move.phase == loading && c.move.ordered && !c.models[c.move.Load] {
		used += c.move.weightsMB
	}
	return used
}

// begin starts a move.
func (c *commanded) begin(now time.Time, planned residency.Move, engine *routes.Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &move{Move: planned, began: now, phase: loading, orderFrom: now}
	if model := engine.Model(planned.Load); model != nil {
		m.weightsMB = model.WeightsMB
		switch {
		case slices.Contains(c.target.InMemory, planned.Load):
			m.loadTime = model.MemoryLoadTime
		case slices.Contains(c.target.OnDisk, planned.Load):
			m.loadTime = model.DiskLoadTime
		default:
			m.loadTime = model.LoadTime
		}
	}
	if planned.Unload != "" {
		m.phase, m.orderFrom = retiring, now.Add(retireTime)
	}
	c.move = m
}

// step takes a move, or the first report, one step further. Calls run beside it.
func (c *commanded) step(ctx context.Context, now time.Time, d *Director) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asking {
		return
	}
	if !c.known {
		if d.isEngine(c.service) {
			c.askLocked(ctx, d)
		}
		return
	}
	m := c.move
	if m == nil {
		return
	}
	if now.Sub(m.began) > moveTimeout {
		c.endLocked(d, "timed out")
		c.known = false // the order may still be carried out
		return
	}
	if m.phase == retiring {
		if now.Before(m.orderFrom) {
			return
		}
		m.phase = unloading
	}
	if m.ordered {
		c.awaitLocked(ctx, now, d)
		return
	}
	if m.tries >= maxOrderTries {
		c.endLocked(d, "the orders were not accepted")
		c.known = false
		return
	}
	if now.Before(m.orderFrom) {
		return
	}
	m.tries++
	c.orderMoveLocked(ctx, d)
}

// awaitLocked looks for the end of an order in the heartbeats, and asks when they tell nothing for a while.
func (c *commanded) awaitLocked(ctx context.Context, now time.Time, d *Director) {
	m := c.move
	switch m.phase {
	case unloading:
		if c.provenGoneLocked(m.Unload) {
			c.unloadedLocked(now)
			return
		}
	case loading:
		if c.target.Holds(m.Load) != nil {
			c.models[m.Load] = true
			c.endLocked(d, "done")
			return
		}
		if now.Sub(m.loadedFrom) < m.loadTime {
			return
		}
	}
	c.askLocked(ctx, d)
}

func (c *commanded) unloadedLocked(now time.Time) {
	m := c.move
	delete(c.models, m.Unload)
	delete(c.presentAt, m.Unload)
	for key := range c.adapters {
		if key.model == m.Unload {
			delete(c.adapters, key)
		}
	}
	m.phase, m.ordered, m.tries, m.orderFrom = loading, false, 0, now
}

func (c *commanded) endLocked(d *Director, outcome string) {
	d.recorder.Record(events.MoveEnded, events.Fields{"target": c.target.ID, "load": c.move.Load, "unload": c.move.Unload,
		"outcome": outcome, "took_ms": time.Since(c.move.began).Milliseconds()})
	c.move = nil
}

// askLocked asks for a report and takes it as the truth.
func (c *commanded) askLocked(ctx context.Context, d *Director) {
	if time.Now().Before(c.reportAfter) {
		return
	}
	c.asking = true
	target := c.target
	go func() {
		if !c.takeWire(ctx) {
			return
		}
		defer c.releaseWire()
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := d.orders.Report(callCtx, target)
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.asking = false
		c.reportAfter = time.Now().Add(reportPause)
		if err == nil {
			c.takeReportLocked(&report)
		}
	}()
}

// A report that is older than the last accepted order, or that comes while an order of unknown effect is carried out,
// tells nothing to rely on.
func (c *commanded) takeReportLocked(r *Report) {
	if r.Sequence < c.sequence || r.Busy && (c.move == nil || !c.move.ordered) {
		return
	}
	c.known, c.reported = true, true
	c.sequence = r.Sequence
	before := c.adapters
	clear(c.models)
	c.adapters = make(map[adapterKey]time.Time)
	keep := func(key adapterKey) { c.adapters[key] = before[key] }
	for _, m := range r.Models {
		c.models[m.Model] = true
		for _, a := range m.Adapters {
			keep(adapterKey{m.Model, a})
		}
	}
	for _, p := range r.Pending {
		keep(adapterKey{p.Model, p.Adapter})
	}
	m := c.move
	if m == nil {
		return
	}
	switch {
	case m.phase == unloading && m.ordered && !c.models[m.Unload]:
		c.unloadedLocked(time.Now())
	case m.phase == unloading && m.ordered && !r.Busy, m.phase == loading && m.ordered && !r.Busy && !c.models[m.Load]:
		m.ordered, m.orderFrom = false, time.Now() // the order was not carried out
	}
	if m.phase == loading && c.models[m.Load] {
		c.target.Models = append(slices.Clone(c.target.Models), roster.Held{Model: m.Load})
	}
}

// orderMoveLocked sends the order of the current phase.
func (c *commanded) orderMoveLocked(ctx context.Context, d *Director) {
	m := c.move
	o := Order{Model: m.Load}
	if m.phase == unloading {
		o = Order{Unload: true, Model: m.Unload}
	} else if service := d.view.Table().Service(c.target.Service); service == nil || service.Engine == nil ||
		c.usedMBLocked(service.Engine)+m.weightsMB > service.Engine.CapacityMB {
		c.endLocked(d, "no room")
		return
	}
	c.asking = true
	go func() {
		if !c.takeWire(ctx) {
			return
		}
		defer c.releaseWire()
		outcome := c.give(ctx, d, o)
		now := time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.asking = false
		if c.move != m {
			return
		}
		switch outcome {
		case Accepted:
			m.ordered = true
			if !o.Unload {
				m.loadedFrom = now
				delete(c.presentAt, m.Load)
			}
		case Holds:
			if o.Unload {
				c.unloadedLocked(now)
				return
			}
			c.models[m.Load] = true
			c.endLocked(d, "held already")
		case Refused, Replaced:
			c.known = false
			c.endLocked(d, "refused")
		case "":
			m.tries-- // not sent: orders are not allowed now
			m.orderFrom = now.Add(tickInterval)
		default:
			// It may be carried out later. A report tells the number of orders; until then nothing is assumed.
			m.orderFrom = now.Add(reportLag)
			c.known = false
			c.reportAfter = now.Add(reportLag)
		}
	}()
}

// give sends one order and counts it. The caller holds wire, not mu. An empty outcome means that nothing was sent.
func (c *commanded) give(ctx context.Context, d *Director, o Order) Outcome {
	fence, ok := d.lease.Fence()
	c.mu.Lock()
	if !ok || !c.known {
		c.mu.Unlock()
		return ""
	}
	o.Holder, o.Fence, o.Sequence = d.opts.Name, fence, c.sequence
	target := c.target
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	d.ordersSent.Inc(1)
	outcome, err := d.orders.Order(callCtx, target, o)
	fields := events.Fields{"target": target.ID, "born": target.Born, "unload": o.Unload, "model": o.Model, "adapter": o.Adapter,
		"fence": o.Fence, "sequence": o.Sequence, "outcome": string(outcome)}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportAfter = time.Now().Add(reportLag) // reports until then may be from before the order
	switch outcome {
	case Accepted:
		c.sequence++
	case Holds:
		if o.Adapter != "" && o.Unload {
			c.sequence++
		}
	default:
		c.known, c.sequence = false, 0 // a report after the pause tells
		d.ordersRefused.Inc(1)
		d.recorder.Record(events.OrderRefused, fields)
		return outcome
	}
	d.recorder.Record(events.OrderSent, fields)
	return outcome
}

// ensureAdapter makes the target hold an adapter and tells how long until it does.
func (c *commanded) ensureAdapter(ctx context.Context, d *Director, modelName, adapter string, engine *routes.Engine,
	model *routes.Model) (wait time.Duration, ok bool) {
	if !c.takeWire(ctx) {
		return 0, false
	}
	defer c.releaseWire()
	key := adapterKey{modelName, adapter}
	c.mu.Lock()
	if !c.known || !c.models[modelName] || c.move != nil && c.move.phase != retiring {
		_, held := c.adapters[key]
		c.mu.Unlock()
		return 0, held
	}
	if _, held := c.adapters[key]; held {
		c.adapters[key] = time.Now()
		c.mu.Unlock()
		return 0, true
	}
	full := len(c.adapters) >= engine.AdapterSlots || c.usedMBLocked(engine)+model.AdapterMB > engine.CapacityMB
	victim, canEvict := c.victimLocked(time.Now())
	c.mu.Unlock()
	if full {
		if !canEvict {
			return 0, false
		}
		outcome := c.give(ctx, d, Order{Unload: true, Model: victim.model, Adapter: victim.adapter})
		if outcome != Accepted && outcome != Holds {
			c.forget(outcome)
			return 0, false
		}
		if outcome == Accepted {
			// It is in use and goes when its requests have ended.
			c.mu.Lock()
			c.adapters[victim] = time.Now()
			c.mu.Unlock()
			c.forget(Unknown)
			return 0, false
		}
		c.mu.Lock()
		delete(c.adapters, victim)
		c.mu.Unlock()
	}
	switch outcome := c.give(ctx, d, Order{Model: modelName, Adapter: adapter}); outcome {
	case Accepted, Holds:
		c.mu.Lock()
		c.adapters[key] = time.Now()
		c.mu.Unlock()
		if outcome == Holds {
			return 0, true
		}
		return adapterWait, true
	default:
		c.forget(outcome)
		return 0, false
	}
}

// forget makes the director ask again before the next order, unless nothing was sent.
func (c *commanded) forget(outcome Outcome) {
	if outcome == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = false
	c.reportAfter = time.Now().Add(reportLag)
}

// isEngine tells whether the targets of a service hold models.
func (d *Director) isEngine(service string) bool {
	table := d.view.Table()
	if table == nil {
		return false
	}
	s := table.Service(service)
	return s != nil && s.Engine != nil
}
