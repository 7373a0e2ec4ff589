package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// Guards against streams that wait until their callers have closed the connection, and against a Retry-After that is too
// short, or so long that callers do not honour it. Both happen while a model is missing for seconds. Also guards against
// permits for targets in need that go to requests which are late already, while those that could be in time are refused.
func TestMaxWaitAndRetryAfter(t *testing.T) {
	g := newFixture(t).gateway
	now := time.Now()
	stream := &routes.Route{Kind: routes.Stream, Objective: 300 * time.Millisecond, PauseObjective: 150 * time.Millisecond}
	slowStream := &routes.Route{Kind: routes.Stream, Objective: 3 * time.Second}
	idempotent := &routes.Route{Kind: routes.Idempotent, Objective: 300 * time.Millisecond}
	cases := []struct {
		name                         string
		route                        *routes.Route
		timeLeft                     time.Duration
		reason                       dispatch.Reason
		wantWait                     time.Duration
		minRetryAfter, maxRetryAfter time.Duration
	}{
		{"stream", stream, 12 * time.Second, dispatch.NotLoaded, 1880 * time.Millisecond, 2 * time.Second, 2200 * time.Millisecond},
		{"stream with little time", stream, 2 * time.Second, dispatch.NoAdapter, 900 * time.Millisecond, 490 * time.Millisecond, 700 * time.Millisecond},
		{"stream with a late first event objective", slowStream, 20 * time.Second, dispatch.NotLoaded, 9 * time.Second, 2 * time.Second, 2200 * time.Millisecond},
		{"plain", idempotent, 4 * time.Second, dispatch.AllExcluded, 1800 * time.Millisecond, 990 * time.Millisecond, 1200 * time.Millisecond},
		{"stream, only targets in need", stream, 12 * time.Second, dispatch.Limited, 300 * time.Millisecond, 2 * time.Second, 2200 * time.Millisecond},
		{"plain with little time, only targets in need", idempotent, 800 * time.Millisecond, dispatch.Limited, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond},
		{"plain, all targets full", idempotent, 4 * time.Second, dispatch.AllFull, time.Second, 990 * time.Millisecond, 1200 * time.Millisecond},
	}
	for _, c := range cases {
		q := &request{route: c.route, service: &routes.Service{Name: "engine"}, arrived: now, deadline: now.Add(c.timeLeft)}
		if got := g.maxWait(q, c.reason, now).Round(time.Millisecond); got != c.wantWait {
			t.Errorf("%s: waits for %v, want %v", c.name, got, c.wantWait)
		}
		if got := g.retryAfter(q); got < c.minRetryAfter || got > c.maxRetryAfter {
			t.Errorf("%s: Retry-After %v, want %v to %v", c.name, got, c.minRetryAfter, c.maxRetryAfter)
		}
	}
}

// Guards against an immediate refusal of a request for an adapter because another target finishes loading the model too late,
// although targets that hold the model can load the adapter. This happens while a model moves.
func TestLoadingModelDoesNotRefuseRequestsForAdapters(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.gateway.opts.ReadPrompt = readAdapterPrompt
	f.target("t0", "engine", func(conn net.Conn, r *http.Request, _ string) { writeStream(conn, r, true, event(1)) })
	f.gateway.loading.Store(&[]loadingModel{{"t1", "engine", "m", time.Now().Add(time.Minute)}})
	time.AfterFunc(300*time.Millisecond, func() { f.gateway.loadTracker.MarkAdapterOrdered(time.Now(), "t0", "m", "a1") })
	response, body, err := f.call("r1", "/stream/x", "Model: m/a1")
	if err != nil || response.StatusCode != 200 || body != event(1) {
		t.Fatalf("response %v, body %q, error %v; want status 200 and one event", response, body, err)
	}
}

// Guards against requests that wait for the leader to name a target for their adapter when their callers have left already, and so get
// neither an answer nor a time to return, and against streams that do not go on since the wait for their first event is over.
func TestCallForAdapterEndsWithTheWait(t *testing.T) {
	g := newFixture(t).gateway
	now := time.Now()
	route := &routes.Route{Kind: routes.Stream, Objective: 500 * time.Millisecond}
	for _, test := range []struct {
		age       time.Duration
		answering bool
		want      time.Duration
	}{
		{1800 * time.Millisecond, false, 80 * time.Millisecond},
		{1500 * time.Millisecond, false, 380 * time.Millisecond},
		{1500 * time.Millisecond, true, adapterTimeout}, // the stream broke off and goes on at another target
		{10 * time.Second, true, adapterTimeout},
		{10 * time.Second, false, adapterTimeout},
	} {
		q := &request{route: route, service: &routes.Service{Name: "engine"}, arrived: now.Add(-test.age), deadline: now.Add(20 * time.Second)}
		q.waitsForAdapter = g.waitsForAdapter(q, now, test.answering)
		if got := q.adapterTimeout(now).Round(time.Millisecond); got != test.want {
			t.Errorf("%v after the arrival, answering %t: the call may take %v, want %v", test.age, test.answering, got, test.want)
		}
	}
}

// Guards against a request that waits for an adapter which is loaded when its caller has left: it is refused at once, with the time to
// return.
func TestRequestIsRefusedIfItsAdapterIsLoadedTooLate(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("t0", "engine", answerOK)
	f.gateway.opts.ReadPrompt = readAdapterPrompt
	f.gateway.peers = &adapterPeers{asked: make(chan struct{}, 1), ready: time.Minute}
	f.view.SetLeaderAndMembers("leader", nil)
	began := time.Now()
	response, _, err := f.call("r1", "/stream/x", "Model: m/a1")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("response %v, error %v; want status 503", response, err)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("refused after %v, want at once", took)
	}
	if after := response.Header.Get(testHeaders.RetryAfter); !strings.HasPrefix(after, "60") {
		t.Errorf("Retry-After %q, want 60 s", after)
	}
}
