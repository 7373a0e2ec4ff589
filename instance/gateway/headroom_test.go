package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/headroom"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// deferrableTable has a service with an urgent and a deferrable route.
func deferrableTable() (table *routes.Table, urgent, deferrable *routes.Route) {
	split := []routes.WeightedService{{Service: "engine", Weight: 1}}
	document := &routes.Document{Version: 1, Services: []routes.Service{{Name: "engine", Engine: &routes.Engine{Slots: 4}}}, Routes: []routes.Route{
		{Name: "urgent", Host: "h", PathPrefix: "/u/", Kind: routes.Stream, Timeout: 10 * time.Second, Objective: 400 * time.Millisecond, Rank: 1, Split: split},
		{Name: "deferrable", Host: "h", PathPrefix: "/p/", Kind: routes.Stream, Timeout: 20 * time.Second, Objective: 12 * time.Second, Rank: 2, Split: split},
	}}
	return routes.NewTable(document), &document.Routes[0], &document.Routes[1]
}

func headroomRequest(now time.Time, table *routes.Table, route *routes.Route, age time.Duration) *request {
	q := &request{route: route, table: table, service: table.Service("engine"), arrived: now.Add(-age), deadline: now.Add(route.Timeout - age)}
	q.prompt.Model = "m"
	return q
}

// Guards against a gateway that takes all free slots while requests wait at others too, in a service with deferrable requests, and
// against a change for services without them.
func TestSlotsAreSharedWithOtherGateways(t *testing.T) {
	g := newFixture(t).gateway
	now := time.Now()
	table, urgent, deferrable := deferrableTable()
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
		{"deferrable", headroomRequest(now, table, deferrable, 0), headroom.Request{Objective: time.Minute}.Share(), 0.1},
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
		t.Errorf("query %+v of a service without deferrable requests", query)
	}
}

// Guards against a request that is held until its caller leaves although too many wait before it, and against one that is refused
// although it can still be served in time.
func TestRequestsThatCannotBeServedInTimeAreShed(t *testing.T) {
	f := newFixture(t)
	g := f.gateway
	f.target("t0", "engine", nil)
	now := time.Now()
	table, urgent, deferrable := deferrableTable()
	g.queues.Store(queuesOf([]fleetapi.ModelLoad{{Service: "engine", Model: "m", Waiting: 40, Urgent: 12}}))
	for _, c := range []struct {
		name  string
		route *routes.Route
		want  bool
	}{{"urgent, 3 s of work before it", urgent, true}, {"deferrable, 10 s of work before it", deferrable, false}} {
		q := headroomRequest(now, table, c.route, 0)
		left := g.maxWait(q, dispatch.AllFull, now)
		if got := g.shouldShed(now, q, dispatch.AllFull, left); got != c.want {
			t.Errorf("%s: shed %v within %v, want %v", c.name, got, left, c.want)
		}
		if c.want && (q.returnAfter < 3*time.Second || q.returnAfter > 5*time.Second) {
			t.Errorf("%s: returns after %v, want 3s to 5s", c.name, q.returnAfter)
		}
		if g.shouldShed(now, q, dispatch.NotLoaded, left) {
			t.Errorf("%s: refused for a model that is being loaded", c.name)
		}
		q.waiting = waiting
		for range 100 {
			if g.shouldShed(now, q, dispatch.AllFull, left) {
				t.Fatalf("%s: refused after it waited, together with all others that wait", c.name)
			}
		}
	}
}

// Guards against requests for a model with short streams that are refused because streams of another model of the service take long.
func TestShortModelIsNotShedForLongOnes(t *testing.T) {
	f := newFixture(t)
	f.configure()
	g := f.gateway
	durations := map[string]time.Duration{"m": 40 * time.Millisecond, "long": 280 * time.Millisecond}
	f.target("t0", "engine", func(conn net.Conn, r *http.Request, _ string) {
		time.Sleep(durations[r.Header.Get("Model")])
		writeStream(conn, r, true, event(1))
	})
	holding := f.view.Targets()[0].Target
	holding.HeartbeatSequence, holding.Models = 2, []roster.Held{{Model: "m"}, {Model: "long"}}
	if _, err := f.view.ApplyHeartbeat(time.Now(), holding); err != nil {
		t.Fatal(err)
	}
	for i := range 10 { // more than a model needs for a service time of its own
		for model := range durations {
			if response, _, err := f.call(fmt.Sprint(model, i), "/stream/x", "Model: "+model); err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("response %+v, error %v", response, err)
			}
		}
	}
	g.queues.Store(queuesOf([]fleetapi.ModelLoad{{Service: "engine", Model: "m", Waiting: 40, Urgent: 40}, {Service: "engine", Model: "long", Waiting: 40, Urgent: 40}}))
	now := time.Now()
	table, urgent, _ := deferrableTable()
	// 40 requests before it on 4 slots are expected to take 0.4 s for one model, and 2.8 s for the other.
	for model, want := range map[string]bool{"m": false, "long": true} {
		q := headroomRequest(now, table, urgent, 0)
		q.prompt.Model = model
		shed := false
		for range 100 { // as many as can be served are kept, at random
			shed = g.shouldShed(now, q, dispatch.AllFull, 1500*time.Millisecond) || shed
		}
		if shed != want {
			t.Errorf("model %s: refused is %v after an expected wait of %v, want %v", model, shed, g.expectedWait(now, q), want)
		}
	}
}

// Guards against a stream that is cut, or a request that is given up, at its first look for another target: it has waited and was sent
// before, so it does not arrive now.
func TestRequestsThatWereSentAreNotShed(t *testing.T) {
	f := newFixture(t)
	g := f.gateway
	f.target("t0", "engine", nil)
	now := time.Now()
	table, urgent, _ := deferrableTable()
	g.queues.Store(queuesOf([]fleetapi.ModelLoad{{Service: "engine", Model: "m", Waiting: 400, Urgent: 400}}))
	for range 100 {
		q := headroomRequest(now, table, urgent, 0)
		q.sends, q.lastTarget, q.waited = 1, "t1", 200*time.Millisecond
		g.demand.setWaiting(q, waiting)
		g.demand.setWaiting(q, notWaiting) // as awaitTarget does when it has found a target
		if g.shouldShed(now, q, dispatch.AllFull, g.maxWait(q, dispatch.AllFull, now)) {
			t.Fatal("a request that waited and was sent once is refused as one that arrives")
		}
	}
}

// Guards against refusals for the length of an outage of the leader because of requests that waited elsewhere when it began.
func TestQueuesOfOthersAreForgottenWithoutLeader(t *testing.T) {
	f := newFixture(t)
	g := f.gateway
	f.target("t0", "engine", nil)
	f.view.SetLeaderAndMembers("leader", nil)
	table, urgent, _ := deferrableTable()
	now := time.Now()
	summary := &fleetapi.LoadSummary{Gateways: 2, Queues: []fleetapi.ModelLoad{{Service: "engine", Model: "m", Waiting: 400, Urgent: 400}}}
	if err := g.applySummary(now.Add(-time.Minute), summary); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if g.exchangeLoadOnce(t.Context()) == nil {
			t.Fatal("the leader answered")
		}
	}
	if wait := g.expectedWait(now, headroomRequest(now, table, urgent, 0)); wait > 10*time.Second {
		t.Errorf("a wait of %v is expected because of what the leader said before it was lost", wait)
	}
}

// Guards against refusals of requests that can be served, for engines whose heartbeats name no slots: the configuration does.
func TestExpectedWaitUsesTheSlotsOfTheConfiguration(t *testing.T) {
	f := newFixture(t)
	_, err := f.view.ApplyHeartbeat(time.Now(), roster.Target{Key: roster.Key{ID: "t0", StartedAtMs: 1}, Service: "engine", DataCentre: "a",
		Address: "127.0.0.1:1", HeartbeatSequence: 1, Models: []roster.Held{{Model: "m"}}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	table, urgent, _ := deferrableTable()
	f.gateway.queues.Store(queuesOf([]fleetapi.ModelLoad{{Service: "engine", Model: "m", Waiting: 4, Urgent: 4}}))
	if got := f.gateway.expectedWait(now, headroomRequest(now, table, urgent, 0)); got != time.Second {
		t.Errorf("wait %v for 4 slots with 4 requests of 1 s before, want 1s", got)
	}
}

// Guards against hundreds of requests that ask the leader for the same adapter at once, and against a pause that is the longest after
// the first denial.
func TestOneRequestAsksForAnAdapterAtATime(t *testing.T) {
	a, now, key := newAdapterBackoff(), time.Now(), adapterKey{"s", "m", "a"}
	asking := 0
	for range 10 {
		if a.mayAsk(now, key) {
			asking++
		}
	}
	if asking != 1 {
		t.Errorf("%d requests ask for an adapter that none has asked for before", asking)
	}
	for range asking {
		a.denied(now, key)
	}
	if pause := a.until[key].until.Sub(now); pause != minAdapterBackoff {
		t.Errorf("pause %v after the requests that asked first, want %v", pause, minAdapterBackoff)
	}
	now = now.Add(maxAdapterBackoff)
	if !a.mayAsk(now, key) {
		t.Fatal("nobody asks after the pause")
	}
	// The answer takes up to adapterTimeout.
	if a.mayAsk(now.Add(adapterTimeout-time.Millisecond), key) {
		t.Error("a second request asks before the first has an answer")
	}
}
