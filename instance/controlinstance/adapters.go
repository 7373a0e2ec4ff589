package controlinstance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// Adapter returns a target that holds an adapter, and orders one to load it if none does.
func (d *Director) Adapter(ctx context.Context, r *fleetapi.AdapterRequest) fleetapi.AdapterResponse {
	if _, ok := d.lease.Fence(); !ok {
		return fleetapi.AdapterResponse{Problem: "this control instance has no lease to send orders"}
	}
	table := d.view.Table()
	if table == nil {
		return fleetapi.AdapterResponse{Problem: "this control instance has no configuration yet"}
	}
	service := table.Service(r.Service)
	if service == nil || service.Engine == nil {
		return fleetapi.AdapterResponse{Problem: "the service has no engines"}
	}
	model := service.Engine.Model(r.Model)
	if model == nil {
		return fleetapi.AdapterResponse{Problem: "the service does not have the model"}
	}
	d.mu.Lock()
	now := time.Now()
	recordTime(d.adapterRequests, modelKey{r.Service, r.Model}, r.Adapter, now)
	candidates := d.adapterCandidates(now, r, service.Engine)
	d.mu.Unlock()
	for _, c := range candidates {
		if wait, ok := c.ensureAdapter(ctx, d, r.Model, r.Adapter, service.Engine, model); ok {
			return fleetapi.AdapterResponse{ID: c.id, ReadyMs: wait.Milliseconds()}
		}
	}
	return fleetapi.AdapterResponse{Problem: "no target with the model holds the adapter or has a slot for it"}
}

// maxAdapterCandidates is the number of targets that are tried for one request.
const maxAdapterCandidates = 3

// adapterCandidates returns the cheapest targets that hold the model. The cost is the number of running requests, plus
// adapterLoadCost if the adapter has to be loaded into a free slot, or adapterEvictCost if another adapter has to be
// evicted first. The caller holds d.mu.
func (d *Director) adapterCandidates(now time.Time, r *fleetapi.AdapterRequest, engine *routes.Engine) []*controlledTarget {
	type ranked struct {
		c    *controlledTarget
		cost float64
	}
	var list []ranked
	for id, c := range d.targets {
		if c.service != r.Service || slices.Contains(r.Exclude, id) || !c.serves(r.Model) ||
			r.SoftwareVersion != nil && c.softwareVersion != *r.SoftwareVersion {
			continue
		}
		cost := float64(d.gateways.running(id))
		switch state := c.adapterSlot(now, r.Model, r.Adapter, engine); state {
		case slotHeld:
		case slotFree:
			cost += adapterLoadCost
		case slotEvict:
			cost += adapterEvictCost
		default:
			continue
		}
		list = append(list, ranked{c, cost})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.cost, b.cost) })
	var chosen []*controlledTarget
	for _, l := range list[:min(len(list), maxAdapterCandidates)] {
		chosen = append(chosen, l.c)
	}
	return chosen
}

// Costs of loading an adapter without and with an eviction, in running requests on a target.
const (
	adapterLoadCost  = 3
	adapterEvictCost = 8
)
