package controlinstance

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/residency"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// prefetchInterval is the time between two prefetches, each of at most one adapter for a target. Concurrent loads of
// adapters slow each other down, and those that requests wait for come first.
const prefetchInterval = 300 * time.Millisecond

// prefetch loads adapters that no target holds into free adapter slots. The caller holds d.mu.
func (d *Director) prefetch(ctx context.Context, service *routes.Service) {
	now := time.Now()
	if now.Before(d.prefetchAfter) {
		return
	}
	d.prefetchAfter = now.Add(prefetchInterval)
	var models []residency.AdapterModel
	for i := range service.Engine.Models {
		if m := &service.Engine.Models[i]; m.Adapters > 0 {
			models = append(models, residency.AdapterModel{Name: m.Name, Adapters: m.AdapterNames()})
		}
	}
	if len(models) == 0 {
		return
	}
	var targets []residency.AdapterTarget
	for id, c := range d.targets {
		if c.service != service.Name {
			continue
		}
		t, ok := c.adapterTarget(service.Engine)
		if !ok {
			continue
		}
		t.ID = id
		targets = append(targets, t)
	}
	for _, load := range residency.Prefetch(models, targets) {
		c := d.targets[load.Target]
		go c.ensureAdapter(ctx, d, load.Model, load.Adapter, service.Engine, service.Engine.Model(load.Model))
	}
}

// adapterTarget describes the adapters of a target for the prefetch planner. Free stays 0 while no order may be sent.
// ok is false until the first report.
func (c *controlledTarget) adapterTarget(engine *routes.Engine) (t residency.AdapterTarget, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Held = make(map[string][]string)
	for key := range c.adapters {
		t.Held[key.model] = append(t.Held[key.model], key.adapter)
	}
	for model := range c.models {
		t.Models = append(t.Models, model)
	}
	slices.Sort(t.Models)
	if c.known && c.move == nil && !c.callPending {
		t.Free = engine.AdapterSlots - len(c.adapters)
	}
	return t, c.reported
}
