package controlinstance

import (
	"context"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// adapterLoadTime is an upper estimate of the load time of an adapter.
	adapterLoadTime = 12 * time.Millisecond
	// adapterMinIdle is the time for which an adapter is not evicted after the last load report of a request that uses
	// it. It covers a lost report and a request in flight to the target.
	adapterMinIdle = 300 * time.Millisecond
)

type adapterKey struct{ model, adapter string }

// markAdapterUsed updates the time of the last use of an adapter that the target holds.
func (c *controlledTarget) markAdapterUsed(now time.Time, model, adapter string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := adapterKey{model, adapter}
	if _, ok := c.adapters[key]; ok {
		c.adapters[key] = now
	}
}

type slotState uint8

const (
	slotNone slotState = iota
	slotHeld
	slotFree
	slotEvict
)

// adapterSlot returns what is needed for the target to hold an adapter.
func (c *controlledTarget) adapterSlot(now time.Time, model, adapter string, engine *routes.Engine) slotState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.adapters[adapterKey{model, adapter}]; ok {
		return slotHeld
	}
	if c.move != nil && c.move.phase != retiring {
		return slotNone // the target accepts one order at a time
	}
	if len(c.adapters) < engine.AdapterSlots {
		return slotFree
	}
	if _, ok := c.victimLocked(now); ok {
		return slotEvict
	}
	return slotNone
}

// victimLocked returns the least recently used adapter that was not used within adapterMinIdle.
func (c *controlledTarget) victimLocked(now time.Time) (key adapterKey, ok bool) {
	oldest := now.Add(-adapterMinIdle)
	for k, at := range c.adapters {
		if at.Before(oldest) {
			key, oldest, ok = k, at, true
		}
	}
	return key, ok
}

// ensureAdapter makes the target hold an adapter, with an eviction if it is full, and returns the time until the adapter
// is loaded.
func (c *controlledTarget) ensureAdapter(ctx context.Context, d *Director, modelName, adapter string, engine *routes.Engine,
	model *routes.Model) (wait time.Duration, ok bool) {
	if !c.acquireCall(ctx) {
		return 0, false
	}
	defer c.releaseCall()
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
	full := len(c.adapters) >= engine.AdapterSlots || !c.fitsLocked(model.AdapterMB, engine, d.sizes)
	victim, canEvict := c.victimLocked(time.Now())
	_, victimMB, _ := d.sizes.of(c.service, engine, victim.model)
	fitsThen := c.fitsLocked(model.AdapterMB-victimMB, engine, d.sizes)
	c.mu.Unlock()
	if full {
		if !canEvict || !fitsThen {
			return 0, false
		}
		outcome := c.sendOrder(ctx, d, Order{Unload: true, Model: victim.model, Adapter: victim.adapter})
		if outcome != Accepted && outcome != Completed {
			c.invalidate(outcome)
			return 0, false
		}
		if outcome == Accepted {
			// The adapter is in use: the target unloads it when its requests have ended.
			c.mu.Lock()
			c.adapters[victim] = time.Now()
			c.mu.Unlock()
			c.invalidate(Unknown)
			return 0, false
		}
		c.mu.Lock()
		delete(c.adapters, victim)
		c.mu.Unlock()
	}
	switch outcome := c.sendOrder(ctx, d, Order{Model: modelName, Adapter: adapter}); outcome {
	case Accepted, Completed:
		c.mu.Lock()
		c.adapters[key] = time.Now()
		c.mu.Unlock()
		if outcome == Completed {
			return 0, true
		}
		return adapterLoadTime, true
	default:
		c.invalidate(outcome)
		return 0, false
	}
}

// invalidate marks the state of the target as unknown after an order failed, so that a report is needed before the next
// order. An empty outcome means that nothing was sent and the state still holds.
func (c *controlledTarget) invalidate(outcome Outcome) {
	if outcome == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = false
	c.reportAfter = time.Now().Add(maxReportLag)
}
