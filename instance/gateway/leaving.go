package gateway

import (
	"net/http"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
)

// observeLeaving sends no new requests to a target that says in an answer that it leaves. Its heartbeats, which say so too, may be
// held up.
func (g *Gateway) observeLeaving(target *roster.Entry, response *http.Response) {
	if says := response.Header.Get(g.opts.Headers.Leaving); says == "" || says == "0" {
		return
	}
	if response.StatusCode == dialect.StatusMisdirected && response.Header.Get(g.opts.Headers.TargetID) != target.ID {
		return // another target at the address may have answered
	}
	if g.view.MarkDraining(target.Key) {
		g.recorder.Record(events.TargetLeaving, events.Fields{"target": target.ID, "born": target.StartedAtMs, "state": "draining"})
	}
}
