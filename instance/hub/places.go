package hub

import (
	"context"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// adapterWait is the time until an adapter is loaded, with some room.
	adapterWait = 12 * time.Millisecond
	// adapterKeep protects an adapter from eviction after the last report of a request that uses it. It covers a lost
	// report, and a request on its way to the target.
	adapterKeep = 300 * time.Millisecond
)

type adapterKey struct{ model, adapter string }

// used notes that an adapter is in use.
func (c *commanded) used(now time.Time, model, adapter string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := adapterKey{model, adapter}
	if _, ok := c.adapters[key]; ok {
		c.adapters[key] = now
	}
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
