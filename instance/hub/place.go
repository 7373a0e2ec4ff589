package hub

import (
	"context"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// refreshBoard gives the board the loads that all gateways reported. The caller holds the lock.
func (d *Director) refreshBoard(now time.Time) {
	s := d.summary(now, "")
	d.board.SetOthers(s.Observed(), s.RetiringModels())
}

// Place finds the target of a request to a model, and loads the adapter that it needs. It gives no order without the
// right to do so, but picks targets at any time.
func (d *Director) Place(ctx context.Context, r *fleetapi.Place) (fleetapi.Placed, error) {
	now := time.Now()
	table := d.view.Table()
	if table == nil {
		return fleetapi.Placed{Reason: "no configuration is known"}, nil
	}
	service := table.Service(r.Service)
	if service == nil || service.Engine == nil {
		return fleetapi.Placed{Reason: "the service has no engines"}, nil
	}
	query := dispatch.Query{
		Service: r.Service, Model: r.Model, Adapter: r.Adapter, Tokens: r.Tokens, DataCentre: r.DataCentre,
		Exclude: r.Exclude, Slots: service.Engine.Slots, MaxPerSlot: dispatch.EnginePerSlot,
	}
	d.board.TellSlow(now, r.Slowness())
	d.rngMu.Lock()
	target, reason := d.board.Pick(now, d.rng, query, d.view.Targets())
	d.rngMu.Unlock()
	placed := fleetapi.Placed{Reason: string(reason)}
	switch {
	case target != nil:
		placed.ID = target.ID
	case r.Adapter != "" && (reason == dispatch.NoAdapter || reason == dispatch.AllFull || reason == dispatch.AllExclude):
		placed = d.placeAdapter(ctx, now, r, service.Engine, placed)
	}
	if placed.ID != "" {
		d.board.Reserve(time.Now(), placed.ID, r.Tokens, 1)
	}
	return placed, nil
}

// placeAdapter makes a target hold the adapter of a request.
func (d *Director) placeAdapter(ctx context.Context, now time.Time, r *fleetapi.Place, engine *routes.Engine, otherwise fleetapi.Placed) fleetapi.Placed {
	model := engine.Model(r.Model)
	if _, ok := d.lease.Fence(); !ok || model == nil {
		return otherwise
	}
	d.mu.Lock()
	candidates := d.adapterCandidates(now, r, engine)
	d.mu.Unlock()
	for _, c := range candidates {
		if wait, ok := c.ensureAdapter(ctx, d, r.Model, r.Adapter, engine, model); ok {
			id := c.target.ID
			d.board.Ordered(time.Now(), id, r.Model, r.Adapter)
			return fleetapi.Placed{ID: id, ReadyMs: wait.Milliseconds()}
		}
	}
	return otherwise
}
