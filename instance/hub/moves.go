package hub

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/residency"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// retireTime is the time between announcing to gateways that a model will be unloaded and the order to unload it. It
	// covers two load reports and requests in flight.
	retireTime = 250 * time.Millisecond
	// reportTimeout and orderTimeout bound one call to a target.
	reportTimeout = 600 * time.Millisecond
	orderTimeout  = 600 * time.Millisecond
	// reportPause is the time between report requests while an order is being executed. Heartbeats show its end as well.
	reportPause = 700 * time.Millisecond
	// reportLag is the greatest age of the state in a report.
	reportLag = 350 * time.Millisecond
	// moveTimeout is the time after which a move is abandoned.
	moveTimeout = 25 * time.Second
	// maxOrderTries is the number of attempts for one order of a move.
	maxOrderTries = 6
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
	orderFrom  time.Time // earliest time of the next order
	ordered    bool      // the target accepted the order of the current phase
	tries      int
	loadTime   time.Duration
	loadedFrom time.Time
	weightsMB  float64
}

// describe adds the models of a move that are being unloaded and loaded to the summary for gateways.
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

// unloadEstimate is the expected time until the running requests of a model to be unloaded have ended.
const unloadEstimate = 800 * time.Millisecond

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

// step requests a report if the state of the target is unknown, and otherwise advances the move in progress. Calls to the
// target run in goroutines of their own.
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
		c.known = false // the order may still be executed
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
		c.endLocked(d, "no order accepted")
		c.known = false
		return
	}
	if now.Before(m.orderFrom) {
		return
	}
	m.tries++
	c.orderMoveLocked(ctx, d)
}

// awaitLocked checks the heartbeats for the end of an accepted order, and requests a report while they don't show it.
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

// askLocked requests a report, at most one per reportPause, and applies it.
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

// takeReportLocked replaces the known state by a report. A report is ignored if it is older than the last accepted order,
// or if the target is executing an order whose outcome is unknown here.
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
		m.ordered, m.orderFrom = false, time.Now() // the order was not executed
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
		c.endLocked(d, "not enough memory")
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
			c.endLocked(d, "already loaded")
		case Refused, Replaced:
			c.known = false
			c.endLocked(d, "refused")
		case "":
			m.tries-- // not sent: orders are not allowed now
			m.orderFrom = now.Add(tickInterval)
		default:
			// The order may still be executed. The state is unknown until a report shows the number of accepted orders.
			m.orderFrom = now.Add(reportLag)
			c.known = false
			c.reportAfter = now.Add(reportLag)
		}
	}()
}
