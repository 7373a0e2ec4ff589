package controlinstance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/residency"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// settleAfterLoad is the time for which a model is not unloaded after it was loaded. Gateways learn of a loaded model
// within one heartbeat interval of its target, and requests that waited for it run for a second or two.
const settleAfterLoad = 2 * time.Second

// controlledTarget is the state that the director tracks for a target. What the target holds is derived from a report
// and the orders accepted since. Each order carries the number of orders accepted before it, so that the target does
// not execute it in another state than the one it was checked against.
type controlledTarget struct {
	// id, startedAtMs, service and softwareVersion never change.
	id              string
	startedAtMs     int64
	service         string
	softwareVersion string
	// callSlot is a semaphore that allows one call to the target at a time.
	callSlot chan struct{}

	mu          sync.Mutex
	target      roster.Target
	known       bool // sequence, models and adapters match the target
	reported    bool // at least one report was applied
	callPending bool // a report request or an order of a move is in flight
	// reportAfter is the earliest time of the next report request; an earlier report could be stale.
	reportAfter time.Time
	sequence    uint64
	models      map[string]bool
	adapters    map[adapterKey]time.Time // time of the last use
	move        *move
	// loadedMB is, by model, the size with which a move loaded it.
	loadedMB map[string]float64
	// loadedAt is, by model, the end of the last load that a move ordered.
	loadedAt map[string]time.Time
	// lastListedBeat is, by model, the number of the latest heartbeat that listed it since it was loaded. Heartbeats
	// arrive late, so only a later one without the model proves that it was unloaded.
	lastListedBeat map[string]uint64
}

func newControlledTarget(t roster.Target) *controlledTarget {
	return &controlledTarget{id: t.ID, startedAtMs: t.StartedAtMs, service: t.Service, softwareVersion: t.SoftwareVersion,
		callSlot: make(chan struct{}, 1), target: t, models: make(map[string]bool), adapters: make(map[adapterKey]time.Time), lastListedBeat: make(map[string]uint64),
		loadedAt: make(map[string]time.Time), loadedMB: make(map[string]float64)}
}

// acquireCall waits until no other call to the target runs. It returns false if ctx ends first.
func (c *controlledTarget) acquireCall(ctx context.Context) bool {
	select {
	case c.callSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *controlledTarget) releaseCall() { <-c.callSlot }

func (c *controlledTarget) applyHeartbeat(t roster.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = t
	for _, m := range t.Models {
		if c.models[m.Model] {
			c.lastListedBeat[m.Model] = t.HeartbeatSequence
		}
	}
}

// unloadConfirmedLocked reports whether a heartbeat proves that a model was unloaded, see lastListedBeat.
func (c *controlledTarget) unloadConfirmedLocked(model string) bool {
	at, ok := c.lastListedBeat[model]
	return ok && c.target.HeartbeatSequence > at && c.target.HeldModel(model) == nil
}

// serves reports whether the target holds a model and no move loads or unloads it.
func (c *controlledTarget) serves(model string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || !c.models[model] {
		return false
	}
	return c.move == nil || c.move.Unload != model && c.move.Load != model
}

// plannerTarget describes the target for the planner. Until its first report, its models are taken from the heartbeat:
// the planner would otherwise load another copy elsewhere. No order is sent to the target before the report.
func (c *controlledTarget) plannerTarget(now time.Time, engine *routes.Engine, sizes *modelSizes) residency.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := c.target.Slots
	if engine.Slots > 0 {
		slots = min(slots, engine.Slots) // the largest number of slots decides how many copies a model needs
	}
	t := residency.Target{CapacityMB: engine.CapacityMB, Slots: slots, AdapterSlots: engine.AdapterSlots, InMemory: c.target.InMemory,
		OnDisk: c.target.OnDisk, MoveInProgress: c.move != nil, AwaitingReport: !c.known, DataCentre: c.target.DataCentre}
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
		t.Loading = c.move.Load
	}
	slices.Sort(t.Models)
	t.UsedMB, t.HeldMB = c.usedMBLocked(engine, sizes)
	for name, at := range c.loadedAt {
		if now.Sub(at) < settleAfterLoad {
			t.Settling = append(t.Settling, name)
		}
	}
	return t
}

// usedMBLocked returns the memory that models and adapters take, and that of each model. A model of unknown size takes all that the
// others leave, so that nothing is loaded beside it.
func (c *controlledTarget) usedMBLocked(engine *routes.Engine, sizes *modelSizes) (used float64, held map[string]float64) {
	held = make(map[string]float64, len(c.models))
	var unknown []string
	for name := range c.models {
		weightsMB, _, known := sizes.of(c.service, engine, name)
		if loadedMB, ok := c.loadedMB[name]; ok {
			weightsMB, known = loadedMB, true
		}
		if !known {
			unknown = append(unknown, name)
			continue
		}
		held[name] = weightsMB
		used += weightsMB
	}
	for key := range c.adapters {
		_, adapterMB, _ := sizes.of(c.service, engine, key.model)
		used += adapterMB
	}
	if c.move != nil && c.move.phase == loading && c.move.orderAccepted && !c.models[c.move.Load] {
		used += c.move.weightsMB
	}
	rest := max(engine.CapacityMB-used, 0)
	for _, name := range unknown {
		held[name] = rest
		used = max(used, engine.CapacityMB)
	}
	return used, held
}

// fitsLocked reports whether memory is free.
func (c *controlledTarget) fitsLocked(mb float64, engine *routes.Engine, sizes *modelSizes) bool {
	used, _ := c.usedMBLocked(engine, sizes)
	return used+mb <= engine.CapacityMB
}

// sendOrder sends one order and counts it. The caller holds callSlot but not mu. An empty outcome means that nothing
// was sent.
func (c *controlledTarget) sendOrder(ctx context.Context, d *Director, o Order) Outcome {
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
	fields := events.Fields{"target": target.ID, "born": target.StartedAtMs, "unload": o.Unload, "model": o.Model, "adapter": o.Adapter,
		"fence": o.Fence, "sequence": o.Sequence, "outcome": string(outcome)}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportAfter = time.Now().Add(maxReportLag) // a report until then may show the state before the order
	switch outcome {
	case Accepted:
		c.sequence++
	case Completed:
		if o.Adapter != "" && o.Unload {
			c.sequence++
		}
	default:
		c.known, c.sequence = false, 0 // unknown until a report after reportAfter
		d.ordersRefused.Inc(1)
		d.recorder.Record(events.OrderRefused, fields)
		return outcome
	}
	d.recorder.Record(events.OrderSent, fields)
	return outcome
}

// isEngineService reports whether the targets of a service hold models.
func (d *Director) isEngineService(service string) bool {
	table := d.view.Table()
	if table == nil {
		return false
	}
	s := table.Service(service)
	return s != nil && s.Engine != nil
}
