package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

const (
	// placeTimeout bounds asking the leader for a target. It is a few times the way there and back.
	placeTimeout = 60 * time.Millisecond
	// adapterTimeout bounds it when an adapter may have to be loaded first.
	adapterTimeout = 700 * time.Millisecond
	// leaderPause is the time for which the leader is not asked after it did not answer in time.
	leaderPause = 300 * time.Millisecond
	// plainPerSlot bounds the requests at a plain target for each of its slots; it queues a few itself.
	plainPerSlot = 3.0
)

// pick finds a target: for models by asking the leader, which has the whole picture, otherwise and without a leader by
// what this gateway knows.
func (g *Gateway) pick(now time.Time, q *request, exclude []string) (*roster.Entry, dispatch.Reason) {
	if q.service.Engine == nil {
		return g.pickHere(now, q, exclude)
	}
	if target, reason, asked := g.askLeader(now, q, exclude); asked {
		return target, reason
	}
	target, reason := g.pickHere(now, q, exclude)
	if target != nil {
		g.board.Reserve(now, target.ID, q.prompt.Tokens, float64(max(g.gateways.Load(), 1)))
	}
	return target, reason
}

// pickHere picks by what this gateway knows.
func (g *Gateway) pickHere(now time.Time, q *request, exclude []string) (*roster.Entry, dispatch.Reason) {
	query := dispatch.Query{
		Service: q.service.Name, Model: q.prompt.Model, Adapter: q.prompt.Adapter, Tokens: q.prompt.Tokens,
		DataCentre: g.opts.DataCentre, Exclude: exclude, MaxPerSlot: plainPerSlot,
	}
	if q.service.Engine != nil {
		query.Slots, query.MaxPerSlot = q.service.Engine.Slots, dispatch.EnginePerSlot
	}
	g.rngMu.Lock()
	defer g.rngMu.Unlock()
	return g.board.Pick(now, g.rng, query, g.view.Targets())
}

// askLeader asks the leader for a target. asked is false when there is no answer to go by.
func (g *Gateway) askLeader(now time.Time, q *request, exclude []string) (target *roster.Entry, reason dispatch.Reason, asked bool) {
	leader, _ := g.view.Control()
	if leader == "" || now.UnixNano() < g.leaderAfter.Load() {
		return nil, "", false
	}
	timeout := placeTimeout
	if q.prompt.Adapter != "" {
		timeout = adapterTimeout
	}
	ctx, cancel := context.WithTimeout(q.ctx, min(timeout, q.deadline.Sub(now)))
	defer cancel()
	ask := fleetapi.Place{Service: q.service.Name, Model: q.prompt.Model, Adapter: q.prompt.Adapter, Tokens: q.prompt.Tokens,
		DataCentre: g.opts.DataCentre, Exclude: slices.Concat(exclude, g.board.Down(now)), Slow: fleetapi.SlownessOf(g.board.Slow(now))}
	var placed fleetapi.Placed
	if err := g.peers.Call(ctx, leader, peerapi.MethodFleetPlace, ask, &placed); err != nil {
		if q.ctx.Err() == nil {
			g.leaderAfter.Store(time.Now().Add(leaderPause).UnixNano())
		}
		return nil, "", false
	}
	if placed.ID == "" {
		return nil, dispatch.Reason(placed.Reason), true
	}
	if placed.ReadyMs > 0 && !sleep(q, time.Duration(placed.ReadyMs)*time.Millisecond) {
		return nil, "", true
	}
	if q.prompt.Adapter != "" {
		g.board.Ordered(time.Now(), placed.ID, q.prompt.Model, q.prompt.Adapter)
		g.demand.usedAdapter(placed.ID, q.prompt.Model, q.prompt.Adapter)
	}
	targets := g.view.Targets()
	for i := range targets {
		if t := &targets[i]; t.ID == placed.ID && t.State == roster.Ready {
			return t, dispatch.Found, true
		}
	}
	return nil, "", false // this gateway knows more of the target than the leader, or nothing yet
}
