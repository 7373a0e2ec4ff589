package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/rotation"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// keptConn is a connection of a caller that sends one request after the other.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func keep(t *testing.T, url string) *keptConn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &keptConn{conn, bufio.NewReader(conn)}
}

// begin sends a request and returns its response, whose body is not read yet.
func (c *keptConn) begin(id, path, body string) (*http.Response, error) {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 4000\r\nModel: m\r\nContent-Length: %d\r\n\r\n%s", path, testHeaders.RequestID, id,
		testHeaders.TimeLeftMs, len(body), body)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, nil)
}

// call sends a request and reads the response. closes reports whether the gateway closes the connection after it.
func (c *keptConn) call(id, path, body string) (status int, answer string, closes bool, err error) {
	response, err := c.begin(id, path, body)
	if err != nil {
		return 0, "", false, err
	}
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), response.Close, err
}

// rotationFixture is a running gateway whose clock for rotation the test sets.
type rotationFixture struct {
	*fixture
	url     string
	elapsed atomic.Int64
}

func newRotationFixture(t *testing.T) *rotationFixture {
	t.Helper()
	f := &rotationFixture{fixture: newFixture(t)}
	start := time.Now().Round(0)
	f.gateway.rotation.clock = func() time.Time { return start.Add(time.Duration(f.elapsed.Load())) }
	f.configure()
	f.target("t0", "plain", answerOK)
	url, _ := f.runGateway()
	f.url = url
	f.wantCheck(http.StatusOK)
	return f
}

// pass lets time pass for the rotation. Without news of the leader, that is 2 s at most while the gateway is out.
func (f *rotationFixture) pass(d time.Duration) { f.elapsed.Add(int64(d)) }

// hear applies an answer of the leader to a report that is sent now, with a lag that is long.
func (f *rotationFixture) hear(s *fleetapi.RotationSummary) {
	r := f.gateway.rotation
	f.setLag(100 * time.Millisecond)
	r.apply(time.Now(), r.clock(), s)
}

// setLag replaces what was measured in the last second.
func (f *rotationFixture) setLag(lag time.Duration) {
	r := f.gateway.rotation
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 64 {
		r.window.Add(time.Now(), lag)
	}
}

func (f *rotationFixture) check() int {
	return status("http://" + f.gateway.opts.ReadinessAddress + f.gateway.opts.ReadyPath)
}

func (f *rotationFixture) wantCheck(want int) {
	f.t.Helper()
	if got := f.check(); got != want {
		f.t.Errorf("readiness check: %d, want %d", got, want)
	}
}

// Guards against a gateway that is out of rotation and gets new connections, keeps all of its old ones or closes too many, too old ones,
// or any before the platform sends new connections elsewhere; against requests that are refused or cut for it; and against one that
// does not return.
func TestRotationClosesConnectionsAboveTheMean(t *testing.T) {
	f := newRotationFixture(t)
	goOn := make(chan struct{})
	f.target("e0", "engine", func(conn net.Conn, r *http.Request, _ string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testHeaders.RequestID,
			r.Header.Get(testHeaders.RequestID), sealHeader)
		_, _ = io.WriteString(conn, "e\r\nid: 1\ndata:a\n\n\r\n")
		<-goOn
		_, _ = io.WriteString(conn, "e\r\nid: 2\ndata:b\n\n\r\n0\r\n\r\n")
	})
	http.DefaultClient.CloseIdleConnections() // those of the fixture
	waitFor(t, func() bool { return f.connections() == 0 })
	var conns []*keptConn
	for range 5 {
		conns = append(conns, keep(t, f.url))
		waitFor(t, func() bool { return f.connections() == len(conns) })
	}
	// closing returns which connections are closed with the response to a request.
	closing := func(name string, of ...int) (closed []int) {
		t.Helper()
		for _, i := range of {
			status, body, closes, err := conns[i].call(fmt.Sprint(name, i), "/once/x", "work")
			if err != nil || status != http.StatusOK || body != "did work" {
				t.Fatalf("%s, connection %d: status %d, body %q, error %v", name, i, status, body, err)
			}
			if closes {
				closed = append(closed, i)
			}
		}
		return closed
	}
	out := &fleetapi.RotationSummary{Out: true, MeanConnections: 2}
	if closed := closing("before", 0, 1, 2, 3, 4); len(closed) > 0 {
		t.Fatalf("closed %v while in rotation", closed)
	}
	f.hear(out)
	f.wantCheck(http.StatusServiceUnavailable)
	f.wantCheck(http.StatusServiceUnavailable) // of another checker
	if closed := closing("first check", 0, 1, 2, 3, 4); len(closed) > 0 {
		t.Fatalf("closed %v before the platform sends new connections elsewhere", closed)
	}
	stream, err := conns[4].begin("stream", "/stream/x", "")
	if err != nil || stream.StatusCode != http.StatusOK {
		t.Fatalf("stream: %v, %v", stream, err)
	}
	f.pass(time.Second)
	f.wantCheck(http.StatusServiceUnavailable)
	f.hear(out)
	// A refusal before the body is read closes no connection.
	if status, _, closes, err := conns[3].call("no route", "/none/x", "work"); status != http.StatusNotFound || closes || err != nil {
		t.Errorf("early refusal: status %d, closes %v, error %v", status, closes, err)
	}
	if closed := closing("second check", 0, 1, 2, 3); !slices.Equal(closed, []int{2, 3}) {
		t.Errorf("closed %v, want 2 and 3: the newest above a mean of 2, 4 has a stream", closed)
	}
	for _, i := range []int{2, 3} {
		if _, err := conns[i].reader.ReadByte(); err != io.EOF {
			t.Errorf("connection %d after its last response: %v, want its end", i, err)
		}
	}
	waitFor(t, func() bool { return f.connections() == 3 })
	close(goOn)
	if body, err := io.ReadAll(stream.Body); err != nil || !strings.HasSuffix(string(body), "data:b\n\n") || stream.Close {
		t.Errorf("stream: %q, error %v, closes %v", body, err, stream.Close)
	}
	if n := f.gateway.metrics.rotationCloses.Count(); n != 2 {
		t.Errorf("%d connections counted as closed", n)
	}
	f.hear(out)
	f.pass(1900 * time.Millisecond)
	f.hear(out)
	f.pass(1900 * time.Millisecond)
	f.hear(out)
	f.pass(250 * time.Millisecond) // 5.05 s in all
	if closed := closing("after 5 s", 0, 1, 4); len(closed) > 0 {
		t.Errorf("closed %v after 5 s", closed)
	}
	f.wantCheck(http.StatusOK)
	f.hear(out)
	f.wantCheck(http.StatusOK)
	var returned map[string]any
	waitFor(t, func() bool {
		for _, e := range f.gateway.recorder.Since(0, 10_000) {
			if e.Number == events.RotationReturned.Number {
				returned = e.Fields
			}
		}
		return returned != nil
	})
	if returned["cause"] != string(rotation.TimeIsUp) || returned["out_ms"] != rotation.MaxOut.Milliseconds() || returned["closed"] != int64(2) {
		t.Errorf("event %v", returned)
	}
}

// Guards against connections that are closed although the platform has not checked twice, and goes on to open new ones here.
func TestRotationClosesNoneBeforeTheSecondCheck(t *testing.T) {
	f := newRotationFixture(t)
	out := &fleetapi.RotationSummary{Out: true, MeanConnections: 1}
	conns := []*keptConn{keep(t, f.url), keep(t, f.url), keep(t, f.url)}
	waitFor(t, func() bool { return f.connections() >= len(conns) })
	f.hear(out)
	for checks := range 2 {
		if checks == 1 {
			f.wantCheck(http.StatusServiceUnavailable)
		}
		f.pass(1500 * time.Millisecond)
		f.hear(out)
		for i, conn := range conns {
			if status, _, closes, err := conn.call(fmt.Sprintf("r%d-%d", checks, i), "/once/x", "work"); status != http.StatusOK || closes || err != nil {
				t.Errorf("after %d checks: status %d, closes %v, error %v", checks, status, closes, err)
			}
		}
	}
}

func (f *rotationFixture) connections() int {
	r := f.gateway.rotation
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Guards against a gateway that is ready although it is stopping or reaches no target, because its time out of rotation is over, and against
// one that reports to take callers then.
func TestRotationKeepsOtherReasonsNotToBeReady(t *testing.T) {
	f := newRotationFixture(t)
	f.gateway.isolated.Store(true)
	f.gateway.helpers.set([]string{"other"}, 1)
	f.hear(&fleetapi.RotationSummary{Out: true, MeanConnections: 2})
	f.wantCheck(http.StatusServiceUnavailable)
	f.hear(&fleetapi.RotationSummary{}) // called back
	f.wantCheck(http.StatusServiceUnavailable)
	f.gateway.isolated.Store(false)
	f.wantCheck(http.StatusOK)
	f.gateway.stopping.Store(true)
	f.wantCheck(http.StatusServiceUnavailable)
	f.gateway.stopping.Store(false)
	f.wantCheck(http.StatusOK)
}

// rotationPeers is a leader that answers load reports.
type rotationPeers struct {
	mu      sync.Mutex
	reports []fleetapi.LoadReport
	answer  string
}

func (p *rotationPeers) Call(_ context.Context, _, method string, params, result any) error {
	if method != peerapi.MethodFleetLoad {
		return errNoLeader
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, params.(fleetapi.LoadReport))
	return json.Unmarshal([]byte(p.answer), result)
}

// Guards against reports without lag, connections or state, reports of a gateway that takes no callers, decisions that are not applied,
// and answers of builds without decisions that count as contact with a leader.
func TestRotationIsExchangedWithTheLeader(t *testing.T) {
	f := newRotationFixture(t)
	peers := &rotationPeers{}
	g := f.gateway
	last := func(answer string) *fleetapi.RotationReport {
		t.Helper()
		peers.mu.Lock()
		peers.answer = answer
		peers.mu.Unlock()
		if err := g.exchangeLoadOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		peers.mu.Lock()
		defer peers.mu.Unlock()
		return peers.reports[len(peers.reports)-1].Rotation
	}
	g.peers = peers
	g.view.SetLeaderAndMembers("leader", []string{"leader"})
	waitFor(t, func() bool { return last(`{"g":1}`) != nil }) // once the lag is measured
	f.wantCheck(http.StatusOK)
	keep(t, f.url)
	waitFor(t, func() bool { return f.connections() > 0 })
	f.setLag(123 * time.Millisecond)
	if r := last(`{"g":1,"ro":{"o":true,"m":3}}`); r == nil || r.DataCentre != "a" || r.LagMs != 123 || r.Connections < 1 || r.State != rotation.In {
		t.Errorf("report %+v", r)
	}
	f.wantCheck(http.StatusServiceUnavailable)
	f.pass(1500 * time.Millisecond)
	if r := last(`{"g":1}`); r == nil || r.State != rotation.Out {
		t.Errorf("report %+v of a gateway that is out", r)
	}
	f.pass(600 * time.Millisecond)
	f.wantCheck(http.StatusOK)
	if r := last(`{"g":1}`); r == nil || r.State != rotation.Resting {
		t.Errorf("report %+v of a gateway that has just returned", r)
	}
	g.stopping.Store(true)
	if r := last(`{"g":1}`); r != nil {
		t.Errorf("report %+v of a gateway that is stopping", r)
	}
	g.stopping.Store(false)
}

// Guards against requests that are refused, cut or lost while a gateway is taken out of rotation and returned again and again. Callers
// send no request on a connection once a response has said that it is closed.
func TestRotationLosesNoRequest(t *testing.T) {
	f := newRotationFixture(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var served, closed atomic.Int64
	for i := range 8 {
		callers.Go(func() {
			var conn *keptConn
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if conn == nil {
					conn = keep(t, f.url)
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				status, body, closes, err := conn.call(id, "/once/x", "work")
				if err != nil || status != http.StatusOK || body != "did work" || f.runCount(id) != 1 {
					t.Errorf("%s: status %d, body %q, error %v, %d runs", id, status, body, err, f.runCount(id))
					return
				}
				served.Add(1)
				if closes {
					closed.Add(1)
					conn = nil
				}
			}
		})
	}
	for range 20 {
		out := &fleetapi.RotationSummary{Out: true, MeanConnections: 3}
		f.hear(out)
		f.check()
		f.pass(time.Second)
		f.check()
		f.hear(out)
		time.Sleep(50 * time.Millisecond)
		f.hear(&fleetapi.RotationSummary{})
		f.pass(rotation.RestTime)
	}
	close(stop)
	callers.Wait()
	if closed.Load() < 20 || served.Load() < 100 {
		t.Errorf("%d requests served, %d connections closed", served.Load(), closed.Load())
	}
}
