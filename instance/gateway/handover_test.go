package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// isolatedFixture is a gateway that reaches no target, and others to which it may hand requests over.
type isolatedFixture struct {
	*fixture
	helpers []*fixture
}

func newIsolatedFixture(t *testing.T, helpers int) *isolatedFixture {
	t.Helper()
	f := &isolatedFixture{fixture: newFixture(t)}
	f.configure()
	f.unreachable.Store(true)
	var names []string
	for range helpers {
		helper := newFixture(t)
		helper.configure()
		f.helpers = append(f.helpers, helper)
		names = append(names, listen(t, helper.gateway.serveHandover))
	}
	f.gateway.helpers.set(names, 1)
	for _, known := range append([]*fixture{f.fixture}, f.helpers...) {
		known.gateway.gatewayCount.Observe(time.Now().Add(-time.Minute), 1+helpers)
	}
	return f
}

// target starts a target that only the helpers reach.
func (f *isolatedFixture) target(id, service, software string, serve func(conn net.Conn, r *http.Request, body string)) {
	f.t.Helper()
	f.targetOf(id, service, software, serve)
	targets := f.view.Targets()
	for _, helper := range f.helpers {
		for i := range targets {
			if _, err := helper.view.ApplyHeartbeat(time.Now(), targets[i].Target); err != nil {
				f.t.Fatal(err)
			}
		}
	}
}

// Guards against requests that are handed over to another gateway and run more often than allowed, against refusals that say
// "not run" although the request may have run, and against answers that are not those of the target.
func TestHandedOverRequests(t *testing.T) {
	type targetHandler = func(net.Conn, *http.Request, string)
	failing := func(conn net.Conn, r *http.Request, _ string) { respond(conn, r, 500, "broken", sealHeader) }
	breakOnce := func(conn net.Conn, r *http.Request, _ string) { breakingStream(conn, r, "") }
	for _, c := range []struct {
		name    string
		path    string
		targets []targetHandler
		status  int
		body    string
		runs    int
	}{
		{"answered", "/once/x", []targetHandler{answerOK}, 200, "did work", 1},
		{"non-idempotent, connection closed before an answer", "/once/x", []targetHandler{closeConnection, closeConnection}, 502, "", 1},
		{"idempotent, connection closed before an answer", "/safe/x", []targetHandler{closeConnection, closeConnection, closeConnection}, 502, "", 2},
		{"target fails", "/once/x", []targetHandler{failing}, 500, "broken", 1},
		{"idempotent, both targets fail", "/safe/x", []targetHandler{failing, failing, failing}, 500, "broken", 2},
		{"rejected by a full target", "/once/x", []targetHandler{rejectFull}, 503, "", -1},
		{"resumed stream", "/resumed/x", []targetHandler{breakOnce, breakOnce}, 200, event(1) + event(2) + event(3), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newIsolatedFixture(t, 2)
			service, headers := "plain", []string(nil)
			if strings.HasPrefix(c.path, "/resumed/") {
				service, headers = "engine", []string{"Model: m"}
			}
			for i, serve := range c.targets {
				f.target(fmt.Sprint("t", i), service, "v1", serve)
			}
			response, body, err := f.call("r1", c.path, headers...)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != c.status || body != c.body {
				t.Errorf("status %d, body %q, want %d, %q", response.StatusCode, body, c.status, c.body)
			}
			if runs := f.runCount("r1"); c.runs >= 0 && runs != c.runs {
				t.Errorf("request ran %d times, want %d", runs, c.runs)
			}
			if c.status == 503 && response.Header.Get(testHeaders.RetryAfter) == "" {
				t.Error("refusal without a Retry-After header")
			}
			for name := range response.Header {
				if strings.HasPrefix(name, "Hoist-") {
					t.Errorf("the caller gets the header %s between gateways", name)
				}
			}
		})
	}
}

// Guards against a stream that breaks under the gateway to which it was handed over, and that is not resumed at the software version
// that began it.
func TestHandedOverStreamKeepsItsSoftwareVersion(t *testing.T) {
	f := newIsolatedFixture(t, 2)
	f.gateway.peers, f.helpers[0].gateway.peers, f.helpers[1].gateway.peers = &originPeers{}, &originPeers{}, &originPeers{}
	broken := make(chan struct{})
	f.target("t0", "engine", "v1", func(conn net.Conn, r *http.Request, body string) {
		if r.Header.Get(testHeaders.LastEvent) != "" {
			breakingStream(conn, r, body)
			return
		}
		for _, id := range []string{"t1", "t2", "t3"} {
			f.target(id, "engine", "v2", func(conn net.Conn, r *http.Request, _ string) { writeStream(conn, r, true, "data: v2\n\n") })
		}
		writeStream(conn, r, false, event(1))
		<-broken
		_ = conn.Close()
	})
	time.AfterFunc(200*time.Millisecond, func() {
		// The gateway that serves the stream ends: its connections break.
		for _, helper := range f.helpers {
			if helper.gateway.activeRequests.Load() > 0 {
				helper.unreachable.Store(true)
			}
		}
		close(broken)
	})
	_, body, err := f.call("r1", "/resumed/x", "Model: m")
	if err != nil || body != event(1)+event(2)+event(3) {
		t.Errorf("body %q, error %v; want events 1 to 3 of v1", body, err)
	}
}

// Guards against a request that is lost because the first gateway that is asked can't serve it: one that is stopping, has an older
// configuration, reaches no target either, or is gone.
func TestHandedOverToAnotherGateway(t *testing.T) {
	for name, disable := range map[string]func(t *testing.T, f *isolatedFixture, names []string){
		"stopping":            func(_ *testing.T, f *isolatedFixture, _ []string) { f.helpers[0].gateway.stopping.Store(true) },
		"no reachable target": func(_ *testing.T, f *isolatedFixture, _ []string) { f.helpers[0].unreachable.Store(true) },
		"no configuration": func(t *testing.T, _ *isolatedFixture, names []string) {
			names[0] = listen(t, newFixture(t).gateway.serveHandover)
		},
		"no longer listening":    func(t *testing.T, _ *isolatedFixture, names []string) { names[0] = unusedAddress(t) },
		"answers something else": func(t *testing.T, _ *isolatedFixture, names []string) { names[0] = listen(t, http.NotFound) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newIsolatedFixture(t, 2)
			f.target("t0", "plain", "", answerOK)
			disable(t, f, f.gateway.helpers.names)
			for i := range 24 {
				id := fmt.Sprint("r", i)
				response, body, err := f.call(id, "/safe/x")
				if err != nil || response.StatusCode != 200 {
					t.Fatalf("response %v, body %q, error %v; want an answer of the other gateway", response, body, err)
				}
				if n := f.runCount(id); n > 1 {
					t.Errorf("request ran %d times", n)
				}
			}
		})
	}
}

// listen starts an HTTP server and returns its address.
func listen(t *testing.T, serve http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against gateways without a reachable target that hand a request over to each other without end, and against a refusal that
// comes late because the other gateway waits for a target as well.
func TestHandedOverRequestIsNotHandedOverAgain(t *testing.T) {
	f := newIsolatedFixture(t, 1)
	f.target("t0", "plain", "", answerOK)
	helper := f.helpers[0]
	helper.unreachable.Store(true)
	helper.gateway.helpers.set(f.gateway.helpers.names, 1) // itself
	response, _, err := f.call("r1", "/once/x")
	if err != nil || response.StatusCode != 503 || f.runCount("r1") != 0 {
		t.Errorf("response %v, error %v, %d runs; want a refusal without a run", response, err, f.runCount("r1"))
	}
	if n := helper.gateway.metrics.servedForOthers.Count(); n != 1 {
		t.Errorf("the other gateway was asked %d times, want once", n)
	}
	requireMisdirected(t, f.gateway.helpers.names[0], "1")
}

// Guards against a request that is handled as an older configuration allows: the gateway to which it was handed over does not know
// the newest one yet.
func TestHandoverNeedsTheConfigurationOfTheSender(t *testing.T) {
	f := newIsolatedFixture(t, 1)
	f.target("t0", "plain", "", answerOK)
	requireMisdirected(t, f.gateway.helpers.names[0], "2")
}

// requireMisdirected requires that a gateway refuses a request of another one, which has a version of the configuration, at once.
func requireMisdirected(t *testing.T, address, version string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/once/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	for name, value := range map[string]string{testHeaders.RequestID: "r2", testHeaders.TimeLeftMs: "1500", fleetapi.HeaderHandoverSends: "1",
		fleetapi.HeaderHandoverVersion: version, fleetapi.HeaderHandoverService: "plain"} {
		r.Header.Set(name, value)
	}
	started := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if took := time.Since(started); response.StatusCode != http.StatusMisdirectedRequest || took > 500*time.Millisecond {
		t.Errorf("status %d after %v, want 421 at once", response.StatusCode, took)
	}
}

// Guards against a target that works on for a caller that has left, when its request was handed over.
func TestCallerOfHandedOverRequestLeaves(t *testing.T) {
	f := newIsolatedFixture(t, 1)
	noticed := make(chan time.Time, 1)
	f.target("t0", "plain", "", func(conn net.Conn, _ *http.Request, _ string) {
		_, _ = io.Copy(io.Discard, conn)
		noticed <- time.Now()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+"/safe/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(testHeaders.RequestID, "r1")
	if response, err := http.DefaultClient.Do(r); err == nil {
		_ = response.Body.Close()
		t.Fatal("call was answered, although the caller closed the connection")
	}
	closedAt := time.Now()
	select {
	case at := <-noticed:
		if at.Sub(closedAt) > 400*time.Millisecond {
			t.Errorf("target noticed the closed connection after %v, want at most 400ms", at.Sub(closedAt))
		}
	case <-time.After(2 * time.Second):
		t.Error("target did not notice the closed connection within 2 s")
	}
}

// Guards against limits that a gateway passes on and then does not keep itself, because the answer came through another one.
func TestLimitInHandedOverAnswerIsKnown(t *testing.T) {
	f := newIsolatedFixture(t, 1)
	f.target("limited", "plain", "", limitedTarget)
	if response, _, err := f.call("r1", "/safe/x"); err != nil || response.StatusCode != 200 {
		t.Fatalf("response %v, error %v", response, err)
	}
	if limit := f.gateway.limits.Limit(roster.Key{ID: "limited", StartedAtMs: 1}); limit != 2 {
		t.Errorf("limit %v of the target, want 2", limit)
	}
}

// Guards against callers that the platform goes on sending to a gateway without a reachable target while others serve them, and
// against gateways that all fail their readiness checks because no target is reachable for anybody.
func TestIsolatedGatewayFailsReadinessChecks(t *testing.T) {
	f := newIsolatedFixture(t, 1)
	f.target("t0", "plain", "", answerOK)
	readiness := func() int {
		f.gateway.recordReachability(time.Now())
		w := httptest.NewRecorder()
		f.gateway.serveReady(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return w.Code
	}
	if status := readiness(); status != http.StatusOK {
		t.Errorf("status %d before the partition, want 200", status)
	}
	if _, _, err := f.call("r1", "/safe/x"); err != nil {
		t.Fatal(err)
	}
	if status := readiness(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d of a gateway that reaches no target, want 503", status)
	}
	f.gateway.helpers.set(nil, 2)
	if status := readiness(); status != http.StatusOK {
		t.Errorf("status %d although no other gateway reaches targets, want 200", status)
	}
	f.gateway.helpers.set([]string{"127.0.0.1:1"}, 3)
	f.gateway.loadTracker.RecordProbe(time.Now(), "t0", true)
	if status := readiness(); status != http.StatusOK {
		t.Errorf("status %d after the partition, want 200", status)
	}
}
