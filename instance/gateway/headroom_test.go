package gateway

import (
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/headroom"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// patientTable has a service with an urgent and a patient route.
func patientTable() (table *routes.Table, urgent, patient *routes.Route) {
	split := []routes.WeightedService{{Service: "engine", Weight: 1}}
	document := &routes.Document{Version: 1, Services: []routes.Service{{Name: "engine", Engine: &routes.Engine{Slots: 4}}}, Routes: []routes.Route{
		{Name: "urgent", Host: "h", PathPrefix: "/u/", Kind: routes.Stream, Timeout: 10 * time.Second, Objective: 400 * time.Millisecond, Rank: 1, Split: split},
		{Name: "patient", Host: "h", PathPrefix: "/p/", Kind: routes.Stream, Timeout: 20 * time.Second, Objective: 12 * time.Second, Rank: 2, Split: split},
	}}
	return routes.NewTable(document), &document.Routes[0], &document.Routes[1]
}

func headroomRequest(now time.Time, table *routes.Table, route *routes.Route, age time.Duration) *request {
	q := &request{route: route, table: table, service: table.Service("engine"), arrived: now.Add(-age), deadline: now.Add(route.Timeout - age)}
	q.prompt.Model = "m"
	return q
}

// Guards against a gateway that takes all free slots while requests wait at others too, in a service with patient callers, and
// against a change for services without them.
func TestSlotsAreSharedWithOtherGateways(t *testing.T) {
	g := newFixture(t).gateway
	now := time.Now()
	table, urgent, patient := patientTable()
	first := *urgent
	first.Rank = 0
	mostUrgentRoute := &first
	g.queues.Store(queuesOf([]fleetapi.ModelLoad{{Service: "engine", Model: "m", Waiting: 9, Urgent: 3}}))
	cases := []struct {
		name          string
		q             *request
		perSlot, part float64
	}{
		{"urgent", headroomRequest(now, table, urgent, 0), 1, 0.25},
		{"most urgent rank", headroomRequest(now, table, mostUrgentRoute, 0), dispatch.MaxEngineRequestsPerSlot(0), 1},
		{"late", headroomRequest(now, table, urgent, time.Second), headroom.Request{Objective: 1, Age: 2}.Share(), 0.1},
		{"patient", headroomRequest(now, table, patient, 0), headroom.Request{Objective: time.Minute}.Share(), 0.1},
	}
	for _, c := range cases {
		var query dispatch.Query
		g.limitLoad(now, c.q, &query)
		if query.MaxPerSlot != c.perSlot || query.Sharing == nil || query.Sharing.Part != c.part {
			t.Errorf("%s: query %+v, sharing %+v; want %v requests per slot and part %v", c.name, query, query.Sharing, c.perSlot, c.part)
		}
	}
	g.queues.Store(queuesOf(nil))
	alone := &routes.Route{Kind: routes.Stream, Objective: 400 * time.Millisecond, Timeout: time.Second, Split: urgent.Split}
	document := &routes.Document{Routes: []routes.Route{*alone}, Services: []routes.Service{{Name: "engine", Engine: &routes.Engine{Slots: 4}}}}
	q := headroomRequest(now, routes.NewTable(document), alone, 900*time.Millisecond)
	var query dispatch.Query
	g.limitLoad(now, q, &query)
	if query.MaxPerSlot != dispatch.MaxEngineRequestsPerSlot(0) || query.Sharing != nil {
		t.Errorf("query %+v of a service without patient callers", query)
	}
}

// Guards against a request that is held until its caller leaves although too many wait before it, and against one that is refused
// although it can still be served in time.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	g := f.gateway
	f.target("t0", "engine", nil)
	now := time.Now()
	table, urgent, patient := patientTable()
	g.queues.Store(queuesOf([]fleetapi.ModelLoad{{Service: "engine", Model: "m", Waiting: 40, Urgent: 12}}))
	for _, c := range []struct {
		name  string
		route *routes.Route
		want  bool
	}{{"urgent, 3 s of work before it", urgent, true}, {"patient, 10 s of work before it", patient, false}} {
		q := headroomRequest(now, table, c.route, 0)
		left := g.maxWait(q, dispatch.AllFull, now)
		if got := g.isHopeless(now, q, dispatch.AllFull, left); got != c.want {
			t.Errorf("%s: hopeless %v within %v, want %v", c.name, got, left, c.want)
		}
		if c.want && (q.returnAfter < 3*time.Second || q.returnAfter > 5*time.Second) {
			t.Errorf("%s: returns after %v, want 3s to 5s", c.name, q.returnAfter)
		}
		if g.isHopeless(now, q, dispatch.NotLoaded, left) {
			t.Errorf("%s: refused for a model that is being loaded", c.name)
		}
		q.waiting = waiting
		for range 100 {
			if g.isHopeless(now, q, dispatch.AllFull, left) {
				t.Fatalf("%s: refused after it waited, together with all others that wait", c.name)
			}
		}
	}
}
