package controlinstance

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
	// retireDelay is the time between announcing to gateways that a model will be unloaded and the order to unload it. It
	// covers two load reports and requests in flight.
	retireDelay = 250 * time.Millisecond
	// reportTimeout and orderTimeout bound one call to a target.
	reportTimeout = 600 * time.Millisecond
	orderTimeout  = 600 * time.Millisecond
	// reportInterval is the time between report requests while an order is being executed. Heartbeats show its end as
	// well.
	reportInterval = 700 * time.Millisecond
	// maxReportLag is the greatest age of the state in a report.
	maxReportLag = 350 * time.Millisecond
	// moveTimeout is the time after which a move is abandoned.
	moveTimeout = 25 * time.Second
	// maxOrderAttempts is the number of attempts for one order of a move.
	maxOrderAttempts = 6
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
	phase         phase
	startedAt     time.Time
	nextOrderAt   time.Time // earliest time of the next order
	orderAccepted bool      // the target accepted the order of the current phase
	attempts      int
	loadTime      time.Duration
	loadStartedAt time.Time
	weightsMB     float64
}

// addToSummary adds the models of a move that are being unloaded and loaded to the summary for gateways.
func (c *controlledTarget) addToSummary(now time.Time, id string, s *fleetapi.LoadSummary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.move == nil {
		return
	}
	if c.move.Unload != "" && c.move.phase <= unloading {
		s.Unloading = append(s.Unloading, fleetapi.UnloadingModel{ID: id, Model: c.move.Unload})
	}
	left := c.move.loadTime
	if c.move.phase == loading && !c.move.loadStartedAt.IsZero() {
		left = max(c.move.loadTime-now.Sub(c.move.loadStartedAt), 0)
	} else if c.move.Unload != "" {
		left += unloadEstimate
	}
	s.Loading = append(s.Loading, fleetapi.LoadingModel{ID: id, Service: c.target.Service, Model: c.move.Load, RemainingMs: left.Milliseconds()})
}

// unloadEstimate is the expected time until the running requests of a model to be unloaded have ended.
const unloadEstimate = 800 * time.Millisecond

func (c *controlledTarget) startMove(now time.Time, planned residency.Move, engine *routes.Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &move{Move: planned, startedAt: now, phase: loading, nextOrderAt: now}
	if model := engine.Model(planned.Load); model != nil {
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
		m.phase, m.nextOrderAt = retiring, now.Add(retireDelay)
	}
	c.move = m
}

// step requests a report if the state of the target is unknown, and otherwise advances the move in progress. Calls to the
// target run in goroutines of their own.
func (c *controlledTarget) step(ctx context.Context, now time.Time, d *Director) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callPending {
		return
	}
	if !c.known {
		if d.isEngineService(c.service) {
			c.requestReportLocked(ctx, d)
		}
		return
	}
	m := c.move
	if m == nil {
		return
	}
	if now.Sub(m.startedAt) > moveTimeout {
		c.endMoveLocked(d, "timed out")
		c.known = false // the order may still be executed
		return
	}
	if m.phase == retiring {
		if now.Before(m.nextOrderAt) {
			return
		}
		m.phase = unloading
	}
	if m.orderAccepted {
		c.checkOrderLocked(ctx, now, d)
		return
	}
	if m.attempts >= maxOrderAttempts {
		c.endMoveLocked(d, "no order accepted")
		c.known = false
		return
	}
	if now.Before(m.nextOrderAt) {
		return
	}
	m.attempts++
	c.sendMoveOrderLocked(ctx, d)
}

// checkOrderLocked checks the heartbeats for the end of an accepted order, and requests a report while they don't show
// it.
func (c *controlledTarget) checkOrderLocked(ctx context.Context, now time.Time, d *Director) {
	m := c.move
	switch m.phase {
	case unloading:
		if c.unloadConfirmedLocked(m.Unload) {
			c.finishUnloadLocked(now)
			return
		}
	case loading:
		if c.target.HeldModel(m.Load) != nil {
			c.models[m.Load] = true
			c.loadedAt[m.Load] = now
			c.endMoveLocked(d, "done")
			return
		}
		if now.Sub(m.loadStartedAt) < m.loadTime {
			return
		}
	}
	c.requestReportLocked(ctx, d)
}

func (c *controlledTarget) finishUnloadLocked(now time.Time) {
	m := c.move
	delete(c.models, m.Unload)
	delete(c.loadedAt, m.Unload)
	delete(c.loadedMB, m.Unload)
	delete(c.lastListedBeat, m.Unload)
	for key := range c.adapters {
		if key.model == m.Unload {
			delete(c.adapters, key)
		}
	}
	m.phase, m.orderAccepted, m.attempts, m.nextOrderAt = loading, false, 0, now
}

func (c *controlledTarget) endMoveLocked(d *Director, outcome string) {
	d.recorder.Record(events.MoveEnded, events.Fields{"target": c.target.ID, "load": c.move.Load, "unload": c.move.Unload,
		"outcome": outcome, "took_ms": time.Since(c.move.startedAt).Milliseconds()})
	c.move = nil
}

// requestReportLocked requests a report, at most one per reportInterval, and applies it.
func (c *controlledTarget) requestReportLocked(ctx context.Context, d *Director) {
	if time.Now().Before(c.reportAfter) {
		return
	}
	c.callPending = true
	target := c.target
	go func() {
		if !c.acquireCall(ctx) {
			return
		}
		defer c.releaseCall()
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := d.orders.Report(callCtx, target)
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.callPending = false
		c.reportAfter = time.Now().Add(reportInterval)
		if err == nil {
			c.applyReportLocked(&report)
		}
	}()
}

// applyReportLocked replaces the known state by a report. A report is ignored if it is older than the last accepted
// order, or if the target is executing an order whose outcome is unknown here.
func (c *controlledTarget) applyReportLocked(r *Report) {
	if r.Sequence < c.sequence || r.Busy && (c.move == nil || !c.move.orderAccepted) {
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
	for name := range c.loadedMB {
		if !c.models[name] && (m == nil || m.Load != name) {
			delete(c.loadedMB, name)
		}
	}
	if m == nil {
		return
	}
	switch {
	case m.phase == unloading && m.orderAccepted && !c.models[m.Unload]:
		c.finishUnloadLocked(time.Now())
	case m.phase == unloading && m.orderAccepted && !r.Busy, m.phase == loading && m.orderAccepted && !r.Busy && !c.models[m.Load]:
		m.orderAccepted, m.nextOrderAt = false, time.Now() // the order was not executed
	}
	if m.phase == loading && c.models[m.Load] {
		c.target.Models = append(slices.Clone(c.target.Models), roster.Held{Model: m.Load})
	}
}

// checkLoadLocked checks a load against the configuration in force, which may have changed since the move was planned. It returns why
// the load may not be ordered, or nothing.
func (c *controlledTarget) checkLoadLocked(d *Director, m *move) (problem string) {
	service := d.view.Table().Service(c.service)
	if service == nil || service.Engine == nil || service.Engine.Model(m.Load) == nil {
		return "model withdrawn"
	}
	m.weightsMB, _, _ = d.sizes.of(c.service, service.Engine, m.Load)
	if !c.fitsLocked(m.weightsMB, service.Engine, d.sizes) {
		return "not enough memory"
	}
	return ""
}

// sendMoveOrderLocked sends the order of the current phase.
func (c *controlledTarget) sendMoveOrderLocked(ctx context.Context, d *Director) {
	m := c.move
	o := Order{Model: m.Load}
	if m.phase == unloading {
		o = Order{Unload: true, Model: m.Unload}
	} else if problem := c.checkLoadLocked(d, m); problem != "" {
		c.endMoveLocked(d, problem)
		return
	}
	c.callPending = true
	go func() {
		if !c.acquireCall(ctx) {
			return
		}
		defer c.releaseCall()
		outcome := c.sendOrder(ctx, d, o)
		now := time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.callPending = false
		if c.move != m {
			return
		}
		switch outcome {
		case Accepted:
			m.orderAccepted = true
			if !o.Unload {
				m.loadStartedAt = now
				c.loadedMB[m.Load] = m.weightsMB
				delete(c.lastListedBeat, m.Load)
			}
		case Completed:
			if o.Unload {
				c.finishUnloadLocked(now)
				return
			}
			c.models[m.Load] = true
			c.endMoveLocked(d, "already loaded")
		case Refused, Replaced:
			c.known = false
			c.endMoveLocked(d, "refused")
		case "":
			m.attempts-- // not sent: orders are not allowed now
			m.nextOrderAt = now.Add(tickInterval)
		default:
			// The order may still be executed. The state is unknown until a report shows the number of accepted orders.
			m.nextOrderAt = now.Add(maxReportLag)
			c.known = false
			c.reportAfter = now.Add(maxReportLag)
		}
	}()
}
