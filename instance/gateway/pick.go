package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

const (
	// adapterTimeout bounds the request to the leader for an adapter, which may have to be loaded first.
	adapterTimeout = 700 * time.Millisecond
	// maxPlainPerSlot bounds the running requests per slot of a plain target, which queues a few itself.
	maxPlainPerSlot = 3.0
	// staleLoadInterval is the interval of load reports from which the picks of the other gateways since the last report
	// matter more than the report, and staleLoadChoices the number of targets that are compared then.
	staleLoadInterval = 200 * time.Millisecond
	staleLoadChoices  = 3
)

// pick selects a target by the local view, in the end one that is in need and for which a permit can be had. When the view
// yields none for a request with an adapter, the leader is asked for one.
func (g *Gateway) pick(now time.Time, q *request, exclude []string) (*roster.Entry, dispatch.Reason) {
	limited := g.limits.Any()
	if limited && q.sends == 0 {
		recheck := func(t *roster.Entry) bool { return !g.limits.MayRecheck(now, t.Key) }
		if target := g.pickWithPermit(now, q, exclude, recheck, true); target != nil {
			return g.reserve(now, q, target), dispatch.Found
		}
	}
	target, reason := g.pickLocally(now, q, exclude, g.hasLimit)
	if target == nil && q.service.Engine != nil && q.prompt.Adapter != "" && g.mayLoadAdapter(q, reason) {
		target = g.loadAdapter(now, q, exclude)
	}
	if target == nil && limited {
		target = g.pickWithPermit(now, q, exclude, func(t *roster.Entry) bool { return !g.limits.MayAsk(now, t.Key) }, false)
	}
	if target == nil {
		return nil, reason
	}
	return g.reserve(now, q, target), dispatch.Found
}

// mayLoadAdapter reports whether the leader may find a target that holds the model of a request, and have its adapter loaded
// there. Targets in need get no adapters.
func (g *Gateway) mayLoadAdapter(q *request, reason dispatch.Reason) bool {
	switch reason {
	case dispatch.NoTarget, dispatch.OtherVersion, dispatch.NotLoaded, dispatch.NoneReachable:
		return false
	case dispatch.Limited:
		return slices.ContainsFunc(g.view.TargetIndex().Holding(q.service.Name, q.prompt.Model), func(t *roster.Entry) bool {
			return q.mayRunAt(t) && !g.hasLimit(t)
		})
	}
	return true
}

// reserve accounts for a prompt that is about to be sent to a target.
func (g *Gateway) reserve(now time.Time, q *request, target *roster.Entry) *roster.Entry {
	if q.service.Engine == nil {
		return target
	}
	scale := 1.0
	if g.choices() == 0 {
		// The other gateways see the same loads and are expected to pick the same target, so the reservation counts for
		// each of them.
		scale = float64(max(g.gatewayCount.Gateways(now, 0), 1))
	}
	g.loadTracker.Reserve(now, target.ID, q.prompt.Tokens, scale)
	return target
}

// choices returns the number of targets to compare, 0 for all.
func (g *Gateway) choices() int {
	if g.reportInterval() >= staleLoadInterval {
		return staleLoadChoices
	}
	return 0
}

// pickLocally selects a target by the local view only.
func (g *Gateway) pickLocally(now time.Time, q *request, exclude []string, skip func(*roster.Entry) bool) (*roster.Entry, dispatch.Reason) {
	query := dispatch.Query{
		Service: q.service.Name, Model: q.prompt.Model, Adapter: q.prompt.Adapter, Tokens: q.prompt.Tokens,
		DataCentre: g.opts.DataCentre, Exclude: exclude, Choices: g.choices(), Skip: skip,
		SoftwareVersion: q.softwareVersion,
		Connected:       func(address string) bool { return g.client.HasIdle(now, address) },
	}
	query.Admit = g.admitStarting(now, q)
	if q.softwareVersion != nil {
		query.MayHaveRestarted = func(t *roster.Entry) bool { return g.mayHaveRestarted(now, t) }
	}
	g.limitLoad(now, q, &query)
	g.rngMu.Lock()
	defer g.rngMu.Unlock()
	target, reason := g.loadTracker.Pick(now, g.rng, query, g.view.TargetIndex())
	if reason == dispatch.Starting {
		g.metrics.heldBack.Inc(1)
	}
	return target, reason
}

// mayAdd reports whether a target that the leader selected may get a request.
func (g *Gateway) mayAdd(now time.Time, q *request, t *roster.Entry) bool {
	query := dispatch.Query{Service: q.service.Name}
	if q.hasDeferrableRequests() {
		g.limitLoad(now, q, &query)
	}
	g.rngMu.Lock()
	defer g.rngMu.Unlock()
	return g.loadTracker.MayAdd(now, g.rng, t, &query)
}

// adapterTimeout bounds the call for an adapter. The answer is of no use when the request does not wait any more.
func (q *request) adapterTimeout(now time.Time) time.Duration {
	return min(adapterTimeout, q.deadline.Sub(now), q.waitsForAdapter.Sub(now))
}

// loadAdapter asks the leader for a target that holds the adapter, and waits until it is loaded there.
func (g *Gateway) loadAdapter(now time.Time, q *request, exclude []string) *roster.Entry {
	leader, _ := g.view.LeaderAndMembers()
	if leader == "" || q.hasDeferrableRequests() && !g.adapters.mayAsk(now, q.adapterKey()) {
		return nil
	}
	timeout := q.adapterTimeout(now)
	if timeout <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(q.ctx, timeout)
	defer cancel()
	adapterRequest := fleetapi.AdapterRequest{Service: q.service.Name, Model: q.prompt.Model, Adapter: q.prompt.Adapter,
		SoftwareVersion: q.softwareVersion, Exclude: slices.Concat(exclude, g.loadTracker.Down(), g.loadTracker.LeftAlone(now), g.limitedTargets())}
	var answer fleetapi.AdapterResponse
	err := g.peers.Call(ctx, leader, peerapi.MethodFleetAdapter, adapterRequest, &answer)
	if q.ctx.Err() != nil {
		g.adapters.answered(q.adapterKey())
		return nil
	}
	if err != nil || answer.ID == "" {
		g.adapters.denied(time.Now(), q.adapterKey())
		g.recorder.Record(events.AdapterMissing, events.Fields{"request": q.id, "model": q.prompt.Model,
			"adapter": q.prompt.Adapter, "leader": leader, "problem": answer.Problem, "failed": err != nil})
		return nil
	}
	g.adapters.answered(q.adapterKey())
	ready := time.Duration(answer.ReadyMs) * time.Millisecond
	if time.Now().Add(ready).After(q.waitsForAdapter) {
		q.adapterLate, q.returnAfter = true, ready
		return nil
	}
	if ready > 0 && !sleep(q, ready) {
		return nil
	}
	g.loadTracker.MarkAdapterOrdered(time.Now(), answer.ID, q.prompt.Model, q.prompt.Adapter)
	targets := g.view.Targets()
	for i := range targets {
		if t := &targets[i]; t.ID == answer.ID && t.State == roster.Ready && !g.hasLimit(t) &&
			(q.softwareVersion == nil || q.mayRunAt(t) && !g.mayHaveRestarted(time.Now(), t)) {
			if g.mayAdd(time.Now(), q, t) {
				return t
			}
			g.adapters.denied(time.Now(), q.adapterKey()) // the leader would name the same target
		}
	}
	return nil
}
