package gateway

import (
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// Replays requests for a model that is missing for seconds: guards against streams that are held until their callers have
// left, and against callers that are asked to return at once, or so late that they do not wait.
func TestPatienceAndReturn(t *testing.T) {
	g := newFixture(t).gateway
	now := time.Now()
	stream := &routes.Route{Kind: routes.Stream, Objective: 300 * time.Millisecond, PauseObjective: 150 * time.Millisecond}
	slowStream := &routes.Route{Kind: routes.Stream, Objective: 3 * time.Second}
	plain := &routes.Route{Kind: routes.Idempotent, Objective: 300 * time.Millisecond}
	cases := []struct {
		name               string
		route              *routes.Route
		left               time.Duration
		reason             dispatch.Reason
		hold               time.Duration
		returnMin, returns time.Duration
	}{
		{"stream", stream, 12 * time.Second, dispatch.NotLoaded, 1880 * time.Millisecond, 2 * time.Second, 2200 * time.Millisecond},
		{"stream with little time", stream, 2 * time.Second, dispatch.NoAdapter, 900 * time.Millisecond, 490 * time.Millisecond, 700 * time.Millisecond},
		{"stream with a late first event", slowStream, 20 * time.Second, dispatch.NotLoaded, 9 * time.Second, 2 * time.Second, 2200 * time.Millisecond},
		{"plain", plain, 4 * time.Second, dispatch.AllExclude, 1800 * time.Millisecond, 990 * time.Millisecond, 1200 * time.Millisecond},
		{"plain, all full", plain, 4 * time.Second, dispatch.AllFull, time.Second, 990 * time.Millisecond, 1200 * time.Millisecond},
	}
	for _, c := range cases {
		q := &request{route: c.route, service: &routes.Service{Name: "engine"}, arrived: now, deadline: now.Add(c.left)}
		if got := g.patience(q, c.reason, now).Round(time.Millisecond); got != c.hold {
			t.Errorf("%s: held for %v, want %v", c.name, got, c.hold)
		}
		if got := g.retryAfter(q); got < c.returnMin || got > c.returns {
			t.Errorf("%s: returns after %v, want %v to %v", c.name, got, c.returnMin, c.returns)
		}
	}
}
