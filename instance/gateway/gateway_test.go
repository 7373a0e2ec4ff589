package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

var testHeaders = dialect.Headers{
	RequestID: "Request-Id", TimeLeftMs: "Time-Left", Seal: "Seal", ExpectTarget: "Expect-Target", NotExecuted: "Not-Run",
	TargetID: "Target-Id", TargetPriority: "Target-Priority", LastEvent: "Last-Event", Resumes: "Resumes", RetryAfter: "Retry-After", Limit: "Takes", Leaving: "Leaves",
	Key: "Key", Account: "Account",
	Reserved: []string{"Expect-Target", "Target-Priority", "Secret-Option"},
}

// unreachablePeers fails every call, as in a deployment without control instances.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return errors.New("no control instance is reachable")
}

// fixture is a gateway in front of scripted targets.
type fixture struct {
	t       *testing.T
	gateway *Gateway
	server  *httptest.Server
	view    *fleetview.View
	mu      sync.Mutex
	runs    map[string]int // requests that reached a target, by request id
	// unreachable has connections to all targets refused.
	unreachable atomic.Bool
	// cutOff holds the addresses of targets that respond to no connection.
	cutOff sync.Map
	// listeners are those of the targets in the order of their start.
	listeners []net.Listener
}

func readPrompt(h http.Header) (dialect.Prompt, bool) {
	p := dialect.Prompt{Model: h.Get("Model"), Tokens: 10}
	for _, id := range strings.Fields(h.Get("Parts")) {
		p.Parts = append(p.Parts, dialect.PromptPart{ID: id})
	}
	return p, p.Model != ""
}

// readAdapterPrompt reads the prompt of a request for adapter a1 of model m.
func readAdapterPrompt(http.Header) (dialect.Prompt, bool) {
	return dialect.Prompt{Model: "m", Adapter: "a1", Tokens: 10}, true
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	recorder := events.NewRecorder(log, "g", "a", time.Now)
	document := &routes.Document{
		Version: 1,
		Routes: []routes.Route{
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: routes.Idempotent, Timeout: 2 * time.Second, Objective: time.Second,
				Split: []routes.WeightedService{{Service: "plain", Weight: 1}}, MaxAttempts: 2},
			{Name: "once", Host: "h", PathPrefix: "/once/", Kind: routes.NonIdempotent, Timeout: 2 * time.Second, Objective: time.Second,
				Split: []routes.WeightedService{{Service: "plain", Weight: 1}}, MaxAttempts: 2},
			{Name: "short", Host: "h", PathPrefix: "/short/", Kind: routes.NonIdempotent, Timeout: 150 * time.Millisecond,
				Split: []routes.WeightedService{{Service: "plain", Weight: 1}}, MaxAttempts: 1},
			{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: routes.Stream, Timeout: 2 * time.Second, Objective: time.Second,
				Split: []routes.WeightedService{{Service: "engine", Weight: 1}}, MaxAttempts: 1, Rank: 2},
			{Name: "resumed", Host: "h", PathPrefix: "/resumed/", Kind: routes.Stream, Timeout: 2 * time.Second, Objective: time.Second,
				Split: []routes.WeightedService{{Service: "engine", Weight: 1}}, MaxAttempts: 2, Resumable: true},
			{Name: "long once", Host: "h", PathPrefix: "/long-once/", Kind: routes.NonIdempotent, Timeout: 20 * time.Second, Objective: time.Second,
				Split: []routes.WeightedService{{Service: "plain", Weight: 1}}, MaxAttempts: 2},
			{Name: "long safe", Host: "h", PathPrefix: "/long-safe/", Kind: routes.Idempotent, Timeout: 20 * time.Second, Objective: time.Second,
				Split: []routes.WeightedService{{Service: "plain", Weight: 1}}, MaxAttempts: 2},
			{Name: "long stream", Host: "h", PathPrefix: "/long-stream/", Kind: routes.Stream, Timeout: 20 * time.Second, Objective: 3 * time.Second,
				Split: []routes.WeightedService{{Service: "engine", Weight: 1}}, MaxAttempts: 2, Resumable: true},
		},
		Services: []routes.Service{{Name: "plain"}, {Name: "engine", Engine: &routes.Engine{Slots: 4}}},
		Limits:   routes.Limits{BodyBytes: 1000},
	}
	f := &fixture{t: t, runs: make(map[string]int)}
	f.view = fleetview.New(func([]byte) (*routes.Document, error) { return document, nil }, "", nil)
	watcher := fleetview.NewWatcher(f.view, unreachablePeers{}, "g", false, func(string, error) {})
	f.gateway = New(Options{
		Name: "g", DataCentre: "a", ReadyPath: "/ready", Headers: testHeaders, ReadPrompt: readPrompt, DialTarget: f.dial, GracePeriod: 5 * time.Second,
		Budget: dispatch.BudgetLimits{Ratio: 1, Slack: 100, Window: 10 * time.Second, Share: 1},
	}, f.view, watcher, unreachablePeers{}, recorder, metrics.NewRegistry(), rand.New(rand.NewPCG(1, 2)))
	f.server = httptest.NewServer(http.HandlerFunc(f.gateway.serveCaller))
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.unreachable.Load() {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	if _, ok := f.cutOff.Load(address); ok {
		ctx, cancel := context.WithTimeout(ctx, upstream.DefaultConnectTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	return upstream.Dialer(upstream.DefaultConnectTimeout)(ctx, network, address)
}

func (f *fixture) configure() {
	f.t.Helper()
	packed, err := routes.Pack(1, []byte("{}"))
	if err == nil {
		err = f.view.SetDocument(packed)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// target starts a target. Its handler gets the raw connection of each request.
func (f *fixture) target(id, service string, serve func(conn net.Conn, r *http.Request, body string)) {
	f.t.Helper()
	f.targetOf(id, service, "", serve)
}

// targetOf starts a target that runs a software version.
func (f *fixture) targetOf(id, service, software string, serve func(conn net.Conn, r *http.Request, body string)) {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serveTarget(conn, serve)
		}
	}()
	f.mu.Lock()
	f.listeners = append(f.listeners, listener)
	f.mu.Unlock()
	_, err = f.view.ApplyHeartbeat(time.Now(), roster.Target{Key: roster.Key{ID: id, StartedAtMs: 1}, Service: service, DataCentre: "a",
		SoftwareVersion: software, Address: listener.Addr().String(), Slots: 4, HeartbeatSequence: 1, Models: []roster.Held{{Model: "m"}}})
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) serveTarget(conn net.Conn, serve func(conn net.Conn, r *http.Request, body string)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.runs[r.Header.Get(testHeaders.RequestID)]++
		f.mu.Unlock()
		tracked := &closeTrackingConn{Conn: conn}
		serve(tracked, r, string(body))
		if tracked.closed {
			return
		}
	}
}

// closeTrackingConn records whether a handler closed it.
type closeTrackingConn struct {
	net.Conn
	closed bool
}

func (c *closeTrackingConn) Close() error {
	c.closed = true
	return c.Conn.Close()
}

func (f *fixture) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func respond(conn net.Conn, r *http.Request, status int, body string, headers ...string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\n", status, testHeaders.RequestID, r.Header.Get(testHeaders.RequestID), len(body))
	for _, h := range headers {
		_, _ = io.WriteString(conn, h+"\r\n")
	}
	_, _ = io.WriteString(conn, "\r\n"+body)
}

const sealHeader = "Seal: s"

func answerOK(conn net.Conn, r *http.Request, body string) {
	respond(conn, r, 200, "did "+body, sealHeader)
}

func closeConnection(conn net.Conn, _ *http.Request, _ string) { _ = conn.Close() }

func rejectFull(conn net.Conn, r *http.Request, _ string) { respond(conn, r, 503, "", "Not-Run: 1") }

// call sends a request and returns the response, its body, and the error of sending or of reading the body.
func (f *fixture) call(id, path string, headers ...string) (*http.Response, string, error) {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader("work"))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(testHeaders.RequestID, id)
	r.Header.Set(testHeaders.TimeLeftMs, "1500")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against requests that run more often than allowed, and against refusals that say "not run" although the request
// may have run.
func TestStatusAndRunsWhenTargetsFail(t *testing.T) {
	type targetHandler = func(net.Conn, *http.Request, string)
	failing := func(conn net.Conn, r *http.Request, _ string) { respond(conn, r, 500, "broken", sealHeader) }
	unsealed := func(conn net.Conn, r *http.Request, _ string) { respond(conn, r, 200, "unsealed") }
	truncated := func(conn net.Conn, r *http.Request, _ string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nContent-Length: 50\r\n\r\nhalf", testHeaders.RequestID, r.Header.Get(testHeaders.RequestID), sealHeader)
		_ = conn.Close()
	}
	wrongTarget := func(conn net.Conn, r *http.Request, _ string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 421 X\r\nTarget-Id: other\r\nContent-Length: 0\r\n\r\n")
	}
	cases := []struct {
		name    string
		path    string
		targets []targetHandler
		status  int
		body    string
		runs    int
	}{
		{"answered", "/safe/x", []targetHandler{answerOK}, 200, "did work", 1},
		{"no route", "/none/x", []targetHandler{answerOK}, 404, "", 0},
		{"non-idempotent, connection closed before an answer", "/once/x", []targetHandler{closeConnection, closeConnection}, 502, "", 1},
		{"non-idempotent, body truncated", "/once/x", []targetHandler{truncated, truncated}, 502, "", 1},
		{"non-idempotent, answer without a seal", "/once/x", []targetHandler{unsealed, unsealed}, 502, "", 1},
		{"idempotent, connection closed before an answer", "/safe/x", []targetHandler{closeConnection, closeConnection}, 502, "", 2},
		{"non-idempotent, target fails", "/once/x", []targetHandler{failing, failing}, 500, "broken", 1},
		{"idempotent, both targets fail", "/safe/x", []targetHandler{failing, failing}, 500, "broken", 2},
		{"rejected by full targets", "/once/x", []targetHandler{rejectFull, rejectFull}, 503, "", 2},
		{"another target at the address", "/once/x", []targetHandler{wrongTarget, wrongTarget}, 503, "", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			for i, serve := range c.targets {
				f.target(fmt.Sprint("t", i), "plain", serve)
			}
			response, body, err := f.call("r1", c.path)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != c.status || body != c.body {
				t.Errorf("status %d, body %q, want %d, %q", response.StatusCode, body, c.status, c.body)
			}
			runs := f.runCount("r1")
			if c.status == 503 {
				if runs < c.runs {
					t.Errorf("sent to targets %d times, want at least %d", runs, c.runs)
				}
				if response.Header.Get(testHeaders.RetryAfter) == "" {
					t.Error("refusal without a Retry-After header")
				}
			} else if runs != c.runs {
				t.Errorf("request ran %d times, want %d", runs, c.runs)
			}
		})
	}
}

// Guards against a request that fails although another target would have answered it.
func TestSendsAgainToAnotherTarget(t *testing.T) {
	for name, first := range map[string]func(net.Conn, *http.Request, string){"reset": closeConnection, "full": rejectFull} {
		path := "/safe/x"
		if name == "full" {
			path = "/once/x"
		}
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			var mu sync.Mutex
			asked := 0
			for i := range 2 {
				f.target(fmt.Sprint("t", i), "plain", func(conn net.Conn, r *http.Request, body string) {
					mu.Lock()
					asked++
					isFirst := asked == 1
					mu.Unlock()
					if isFirst {
						first(conn, r, body)
						return
					}
					answerOK(conn, r, body)
				})
			}
			response, body, err := f.call("r1", path)
			if err != nil || response.StatusCode != 200 || body != "did work" {
				t.Fatalf("response %v, body %q, error %v; want the answer of the second target", response, body, err)
			}
		})
	}
}

// Guards against forwarding headers that only the system may set, and against a deadline that is not forwarded.
func TestForwardedRequest(t *testing.T) {
	f := newFixture(t)
	f.configure()
	var forwarded *http.Request
	f.target("t0", "engine", func(conn net.Conn, r *http.Request, body string) {
		forwarded = r
		answerOK(conn, r, body)
	})
	_, _, err := f.call("r1", "/stream/a%2Fb?q=1&q=2", "Model: m", "Expect-Target: other", "Target-Priority: 0",
		"Secret-Option: 1", "Connection: X-Hop", "X-Hop: 1", "X-Kept: yes")
	if err != nil {
		t.Fatal(err)
	}
	if forwarded.RequestURI != "/stream/a%2Fb?q=1&q=2" || forwarded.Host != "h" || forwarded.Method != http.MethodPost {
		t.Errorf("forwarded as %s %s to host %s", forwarded.Method, forwarded.RequestURI, forwarded.Host)
	}
	for header, want := range map[string]string{"Expect-Target": "t0", "Target-Priority": "2", "Secret-Option": "", "X-Hop": "",
		"X-Kept": "yes", "Model": "m", testHeaders.RequestID: "r1", "Content-Length": "4"} {
		if got := forwarded.Header.Get(header); got != want {
			t.Errorf("forwarded header %s is %q, want %q", header, got, want)
		}
	}
	var left int
	if _, err := fmt.Sscan(forwarded.Header.Get(testHeaders.TimeLeftMs), &left); err != nil || left > 1500 || left < 1000 {
		t.Errorf("forwarded time left %q ms, want 1000 to 1500", forwarded.Header.Get(testHeaders.TimeLeftMs))
	}
}

// Guards against targets that keep running a request after its caller closed the connection, and against sending it again.
func TestCallerLeaves(t *testing.T) {
	f := newFixture(t)
	f.configure()
	noticed := make(chan time.Time, 1)
	f.target("t0", "plain", func(conn net.Conn, _ *http.Request, _ string) {
		var one [1]byte
		_, _ = conn.Read(one[:])
		noticed <- time.Now()
		_ = conn.Close()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
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
			t.Fatalf("target noticed the closed connection after %v, want at most 400ms", at.Sub(closedAt))
		}
	case <-time.After(2 * time.Second):
		t.Fatal("target did not notice the closed connection within 2 s")
	}
	time.Sleep(50 * time.Millisecond)
	if f.runCount("r1") != 1 {
		t.Fatalf("request ran %d times, want once", f.runCount("r1"))
	}
}

// Guards against requests that get no final answer at the timeout of their route.
func TestRouteTimeout(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("t0", "plain", func(conn net.Conn, _ *http.Request, _ string) {
		var one [1]byte
		_, _ = conn.Read(one[:])
		_ = conn.Close()
	})
	started := time.Now()
	response, _, err := f.call("r1", "/short/x")
	if err != nil || response.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("response %v, error %v; want status 504", response, err)
	}
	if took := time.Since(started); took > 500*time.Millisecond {
		t.Fatalf("answered after %v, want at most 500ms", took)
	}
}

// Guards against refusing requests that arrive before the first configuration, which happens when the whole deployment
// restarts: they wait for it.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	f := newFixture(t)
	f.target("t0", "plain", answerOK)
	time.AfterFunc(150*time.Millisecond, f.configure)
	response, body, err := f.call("r1", "/safe/x")
	if err != nil || response.StatusCode != 200 || body != "did work" {
		t.Fatalf("response %v, body %q, error %v; want the answer of the target", response, body, err)
	}
	unconfigured := newFixture(t)
	response, _, err = unconfigured.call("r2", "/safe/x", "Time-Left: 200")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("without a configuration: response %v, error %v; want status 503", response, err)
	}
}

// Guards against reading or forwarding bodies above the limit.
func TestBodyLimit(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("t0", "plain", answerOK)
	for name, body := range map[string]io.Reader{
		"length": strings.NewReader(strings.Repeat("x", 1001)),
		"chunks": io.MultiReader(strings.NewReader(strings.Repeat("x", 1001))),
	} {
		r, err := http.NewRequest(http.MethodPost, f.server.URL+"/safe/x", body)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set(testHeaders.RequestID, name)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusRequestEntityTooLarge || f.runCount(name) != 0 {
			t.Errorf("%s: status %d and %d runs, want status 413 and none", name, response.StatusCode, f.runCount(name))
		}
	}
}

// Guards against a lost request: closing an idle keep-alive connection at shutdown races with a request that arrives on it.
func TestShutdownAnswersRequestsOnKeepAliveConnections(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("t0", "plain", func(conn net.Conn, r *http.Request, body string) {
		time.Sleep(time.Millisecond)
		answerOK(conn, r, body)
	})
	ctx, stop := context.WithCancel(context.Background())
	done := f.startGateway(ctx)
	url := "http://" + f.gateway.opts.CallerAddress
	waitFor(t, func() bool { return status(url+"/safe/x") == 200 })
	waitFor(t, func() bool { return status("http://"+f.gateway.opts.ReadinessAddress+"/ready") == 200 })
	stop()
	waitFor(t, func() bool { return status("http://"+f.gateway.opts.ReadinessAddress+"/ready") == 503 })
	started := time.Now()
	for i := 0; time.Since(started) < refuseAfter+200*time.Millisecond; i++ {
		switch got := status(url + "/safe/x"); got {
		case 200, 503:
		case 0: // the process may end once it refuses new requests
			if time.Since(started) < refuseAfter-100*time.Millisecond {
				t.Fatalf("request %d at %v after the readiness check failed got no answer", i, time.Since(started))
			}
		default:
			t.Fatalf("request %d at %v after the readiness check failed: status %d", i, time.Since(started), got)
		}
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against refusing requests that can end before the process exits: in a rolling restart, a process that waited for a
// long stream refused short requests for 5 s. Also guards against requests that the exit cuts off.
func TestShutdownServesRequestsThatEndBeforeExit(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("t0", "plain", answerOK)
	last := time.Now().Add(time.Second)
	f.gateway.lastDeadline.Store(&last)
	for left, want := range map[string]int{"500": http.StatusOK, "1500": http.StatusServiceUnavailable} {
		response, _, err := f.call("r"+left, "/safe/x", testHeaders.TimeLeftMs+": "+left)
		if err != nil || response.StatusCode != want {
			t.Errorf("%s ms left: response %v, error %v, want status %d", left, response, err, want)
		}
	}
	if f.runCount("r1500") != 0 {
		t.Error("refused request ran at a target")
	}
}

// Guards against requests that wait for a connection to an unreachable target, and against a target that stays unused after
// it accepts connections again. This happens when a data centre is partitioned and rejoins.
func TestUnreachableTargetIsProbed(t *testing.T) {
	f := newFixture(t)
	f.configure()
	address := freeAddress(t)
	if _, err := f.view.ApplyHeartbeat(time.Now(), roster.Target{Key: roster.Key{ID: "t0", StartedAtMs: 1}, Service: "plain", DataCentre: "a",
		Address: address, Slots: 4, HeartbeatSequence: 1}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go f.gateway.probeUnreachable(ctx)
	if response, _, err := f.call("r1", "/once/x"); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("without a listener: response %v, error %v; want status 503", response, err)
	}
	if down := f.gateway.loadTracker.Down(); len(down) != 1 {
		t.Fatalf("unreachable targets %v, want t0 only", down)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serveTarget(conn, answerOK)
		}
	}()
	waitFor(t, func() bool { return len(f.gateway.loadTracker.Down()) == 0 })
	if response, _, err := f.call("r2", "/once/x"); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("after the probe: response %v, error %v; want status 200", response, err)
	}
}

func status(url string) int {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	r.Host = "h"
	r.Header.Set(testHeaders.RequestID, "s")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("condition not met within 5 s")
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
