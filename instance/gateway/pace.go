package gateway

import (
	"net/http"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/pace"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// silentPeriod is the silence of a target that owes a response after which it is reported to the leader: half of the shortest time
// after which callers abandon a stream.
const silentPeriod = minStreamWait / 2

// admitStarting returns a filter that holds requests back from targets in their start phase, or nil while no target can have one.
func (g *Gateway) admitStarting(now time.Time, q *request) func(*roster.Entry, int) bool {
	gateways := g.gatewayCount.Gateways(now, 0)
	if !g.opts.SlowStart || !pace.Applies(gateways, 1) || q.sends >= maxSends-1 {
		return nil // at the last send, a late answer is worth more than a refusal
	}
	return func(t *roster.Entry, running int) bool {
		return !pace.Applies(gateways, slotsOf(t, q)) || g.pace.Admit(now, t.Key, running, gateways)
	}
}

func slotsOf(t *roster.Entry, q *request) int {
	if q.service.Engine == nil {
		return dispatch.SlotsOf(t, 0)
	}
	return dispatch.SlotsOf(t, q.service.Engine.Slots)
}

// pacedSend is a request that is sent to a target in its start phase.
type pacedSend struct {
	g         *Gateway
	target    roster.Key
	round     int64
	sentAt    time.Time
	objective time.Duration // 0 if callers name none
	answered  bool
}

// beginPaced returns nil unless the target is in its start phase.
func (g *Gateway) beginPaced(now time.Time, q *request, target *roster.Entry) *pacedSend {
	round, starting := g.pace.Round(now, target.Key)
	if !g.opts.SlowStart || !starting || !pace.Applies(g.gatewayCount.Gateways(now, 0), slotsOf(target, q)) {
		return nil
	}
	g.metrics.startingSends.Inc(1)
	return &pacedSend{g: g, target: target.Key, round: round, sentAt: now, objective: q.route.Objective}
}

// firstByte observes the begin of a response. A target that does not serve the request here, or fails it, is not observed by that.
func (p *pacedSend) firstByte(now time.Time, response *http.Response) {
	if p == nil || response.StatusCode == dialect.StatusMisdirected {
		return
	}
	result := pace.ResultOf(now.Sub(p.sentAt), p.objective)
	switch {
	case p.g.opts.Headers.Rejected(response):
		result = pace.Refused
	case response.StatusCode >= http.StatusInternalServerError:
		return
	}
	p.answered = true
	p.g.pace.Observe(now, p.target, p.round, result)
}

// finish observes the end of a request that broke off, or whose caller left after its objective without a response. That no connection
// was accepted says nothing about the window: the leader is told which targets are lost.
func (p *pacedSend) finish(now time.Time, end dispatch.RequestEnd) {
	switch {
	case p == nil:
	case end == dispatch.Failed:
		p.g.pace.Observe(now, p.target, p.round, pace.Broken)
	case end == dispatch.Neutral && !p.answered && pace.ResultOf(now.Sub(p.sentAt), p.objective) == pace.Late:
		p.g.pace.Observe(now, p.target, p.round, pace.Late)
	}
}

// applyParts replaces the parts of this gateway in the windows of targets in their start phase.
func (g *Gateway) applyParts(now time.Time, parts []pace.Part) {
	g.pace.Apply(now, parts, fleetapi.ReportInterval(g.gatewayCount.Gateways(now, 0)))
	g.metrics.startingTargets.Update(int64(g.pace.Starting()))
}
