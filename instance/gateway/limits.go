package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/gatewaycount"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/targetlimit"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

const (
	// permitTimeout bounds asking the leader for a permit.
	permitTimeout = 200 * time.Millisecond
	// permitRetryPause is the time after a failed call to a leader for which permits of it count as not to be had.
	permitRetryPause = time.Second
	// permitCandidates is the number of targets for which a request asks for a permit at a time.
	permitCandidates = 2
	// fallbackRetry is the time for which a target is left alone when no permit can be had and the share of this gateway is
	// used up.
	fallbackRetry = 50 * time.Millisecond
	// unknownGateways stands for the number of gateways that share a limit until it is known.
	unknownGateways = 20
)

// hasLimit reports whether a target takes only a limited number of requests a second.
func (g *Gateway) hasLimit(t *roster.Entry) bool { return g.limits.Limit(t.Key) > 0 }

// limitedTargets returns the ids of the targets that have a limit.
func (g *Gateway) limitedTargets() []string {
	var ids []string
	if !g.limits.Any() {
		return nil
	}
	targets := g.view.Targets()
	for i := range targets {
		if g.hasLimit(&targets[i]) {
			ids = append(ids, targets[i].ID)
		}
	}
	return ids
}

// pickWithPermit selects a target that has a limit and is not skipped, and for which a permit can be had, at once if noWait.
func (g *Gateway) pickWithPermit(now time.Time, q *request, exclude []string, skip func(*roster.Entry) bool, noWait bool) *roster.Entry {
	for range permitCandidates {
		target, reason := g.pickLocally(now, q, exclude, skip)
		if reason != dispatch.Found {
			return nil
		}
		if g.takePermit(now, q, target.Key, noWait) {
			return target
		}
	}
	return nil
}

// takePermit asks the leader for a permit to send one request to a target that has a limit, and waits until it may be used.
// Without a leader the gateways share the limit evenly.
func (g *Gateway) takePermit(now time.Time, q *request, target roster.Key, noWait bool) bool {
	leader, _ := g.view.LeaderAndMembers()
	if leader != "" && !g.permitFailure.Load().isRecent(now, leader) {
		ctx, cancel := context.WithTimeout(q.ctx, min(permitTimeout, q.deadline.Sub(now)))
		defer cancel()
		var answer fleetapi.PermitResponse
		err := g.peers.Call(ctx, leader, peerapi.MethodFleetPermit, fleetapi.PermitRequest{Target: target,
			PerSecond: g.limits.Limit(target), NoWait: noWait}, &answer)
		wait := time.Duration(answer.WaitMs) * time.Millisecond
		switch {
		case err == nil && answer.Granted:
			return wait <= 0 || sleep(q, wait)
		case err == nil:
			g.limits.Denied(time.Now().Add(wait), target)
			return false
		case q.ctx.Err() != nil:
			return false
		}
		g.permitFailure.Store(&permitFailure{leader: leader, at: time.Now()})
	}
	now = time.Now()
	gateways := g.gatewayCount.Gateways(now, 0)
	if gateways == 0 {
		gateways = unknownGateways
	}
	if g.limits.TakeFallback(now, target, gateways, g.randomFloat()) {
		return true
	}
	g.limits.Denied(now.Add(fallbackRetry), target)
	return false
}

// permitFailure is a failed call to a leader for a permit.
type permitFailure struct {
	leader string
	at     time.Time
}

// isRecent reports whether no permits can be had of a leader for now.
func (f *permitFailure) isRecent(now time.Time, leader string) bool {
	return f != nil && f.leader == leader && now.Sub(f.at) <= permitRetryPause
}

// mergeLimits applies the limits that other gateways were told.
func (g *Gateway) mergeLimits(now time.Time, list []targetlimit.Observation) {
	for _, o := range g.limits.Merge(now, list) {
		g.recorder.Record(events.TargetLimited, events.Fields{"target": o.Target.ID, "limit": o.PerSecond})
	}
}

// observeLimit records the limit that a target names in an answer to a request sent at a time, or that it names none.
func (g *Gateway) observeLimit(sentAt time.Time, target *roster.Entry, response *http.Response) {
	text := response.Header.Get(g.opts.Headers.Limit)
	perSecond, ok := targetlimit.Parse(text)
	sealed := response.Header.Get(g.opts.Headers.Seal) != ""
	if text != "" && !ok || text == "" && (g.opts.Headers.Rejected(response) || !sealed) {
		return // none of these says that the target takes more; one without a seal may come from elsewhere
	}
	if g.limits.Observe(time.Now(), sentAt, target.Key, perSecond) {
		g.recorder.Record(events.TargetLimited, events.Fields{"target": target.ID, "limit": perSecond})
	}
}

// observeBrittle records how many rejections a target bears, as it names it in an answer to a request sent at a time, or that it
// names none.
func (g *Gateway) observeBrittle(sentAt time.Time, target *roster.Entry, response *http.Response) {
	text := response.Header.Get(g.opts.Headers.Brittle)
	rejections, err := strconv.Atoi(text)
	if text != "" && (err != nil || rejections <= 0) || text == "" && response.Header.Get(g.opts.Headers.Seal) == "" {
		return // a malformed number, or an answer that may come from elsewhere
	}
	if g.loadTracker.ObserveBrittle(time.Now(), sentAt, target.Service, target.ID, rejections) {
		g.recorder.Record(events.TargetBrittle, events.Fields{"target": target.ID, "rejections": rejections})
	}
}

// allowRepeat reports whether the budget of all gateways allows to send a request once more.
func (g *Gateway) allowRepeat(now time.Time, q *request) bool {
	return g.budget.AllowRepeat(now, q.service.Name, g.gatewayCount.Gateways(now, gatewaycount.Planned))
}
