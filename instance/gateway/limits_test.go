package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// permitPeers is a leader that gives out a number of permits and finds no target for an adapter.
type permitPeers struct {
	mu              sync.Mutex
	left            int
	asked           int
	adapterRequests int
}

func (p *permitPeers) Call(_ context.Context, _, method string, _, result any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch method {
	case peerapi.MethodFleetPermit:
	case peerapi.MethodFleetAdapter:
		p.adapterRequests++
		return nil
	default:
		return fmt.Errorf("unexpected method %s", method)
	}
	p.asked++
	answer := fleetapi.PermitResponse{Granted: p.left > 0, WaitMs: 20}
	p.left--
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// limitedTarget names a limit in its answers to plain requests.
func limitedTarget(conn net.Conn, r *http.Request, body string) {
	respond(conn, r, 200, "did "+body, sealHeader, testHeaders.Limit+": 2")
}

// Guards against requests to a target in need although others can take them, and against requests without a permit when none
// else can.
func TestTargetWithLimitGetsOnlyWhatThePermitsAllow(t *testing.T) {
	f := newFixture(t)
	leader := &permitPeers{left: 3}
	f.gateway.peers = leader
	f.view.SetLeaderAndMembers("leader", nil)
	f.configure()
	f.target("limited", "plain", limitedTarget)
	if response, _, err := f.call("first", "/safe/1"); err != nil || response.StatusCode != 200 {
		t.Fatalf("first request: %v, %v", response, err)
	}
	answered := 0
	for i := range 6 {
		response, _, err := f.call(fmt.Sprint("r", i), "/safe/1")
		if err != nil {
			t.Fatal(err)
		}
		switch response.StatusCode {
		case 200:
			answered++
		case 503:
			if n := f.runCount(fmt.Sprint("r", i)); n != 0 {
				t.Errorf("a request that was refused was sent %d times", n)
			}
		default:
			t.Errorf("status %d", response.StatusCode)
		}
	}
	if answered != 3 {
		t.Errorf("%d requests were answered with three permits", answered)
	}
	f.target("free", "plain", answerOK)
	asked := leader.asked
	for i := range 10 {
		if response, _, err := f.call(fmt.Sprint("f", i), "/safe/1"); err != nil || response.StatusCode != 200 {
			t.Errorf("request %d with a free target: %v, %v", i, response, err)
		}
	}
	// A target that has not answered for a while is asked once whether it still has a limit.
	if n := leader.asked - asked; n > 2 {
		t.Errorf("%d permits were asked for while another target was free", n)
	}
}

// Guards against a gateway that sends without a bound while there is no leader.
func TestTargetWithLimitIsSparedWithoutLeader(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("limited", "plain", limitedTarget)
	sent := 0
	for i, end := 0, time.Now().Add(2*time.Second); time.Now().Before(end); i++ {
		id := fmt.Sprint("r", i)
		if _, _, err := f.call(id, "/short/1"); err != nil {
			t.Fatal(err)
		}
		sent += f.runCount(id)
	}
	if sent > 8 {
		t.Errorf("%d requests in 2 s reached a target that takes 2 a second, at most 8 wanted", sent)
	}
}

// Guards against a limit that is lifted by an answer that need not be the target's: one without a seal may be damaged or come
// from elsewhere.
func TestDamagedAnswerDoesNotLiftLimit(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		header string
		want   float64
	}{
		"whole answer":           {200, sealHeader, 0},
		"answer without a seal":  {200, "X-Other: 1", 2},
		"failure with a seal":    {500, sealHeader, 0},
		"failure without a seal": {500, "X-Other: 1", 2},
		"rejection":              {503, "Not-Run: 1", 2},
	} {
		f := newFixture(t)
		f.gateway.peers = &permitPeers{left: 10}
		f.view.SetLeaderAndMembers("leader", nil)
		f.configure()
		f.target("t0", "plain", func(conn net.Conn, r *http.Request, body string) { respond(conn, r, test.status, body, test.header) })
		earlier := time.Now().Add(-time.Second)
		target := f.view.Targets()[0].Key
		f.gateway.limits.Observe(earlier, earlier, target, 2)
		if _, _, err := f.call(name, "/once/x"); err != nil || f.runCount(name) == 0 {
			t.Fatalf("%s: error %v, %d runs", name, err, f.runCount(name))
		}
		if got := f.gateway.limits.Limit(target); got != test.want {
			t.Errorf("%s: limit %v afterwards, want %v", name, got, test.want)
		}
	}
}

// Guards against requests for an adapter that ask the leader a hundred times a second while they wait for a target in need, and
// against those that do not ask although another target could load the adapter.
func TestAdapterOnTargetWithLimit(t *testing.T) {
	f := newFixture(t)
	leader := &permitPeers{}
	f.gateway.peers = leader
	f.view.SetLeaderAndMembers("leader", nil)
	f.configure()
	f.gateway.opts.ReadPrompt = readAdapterPrompt
	serve := func(conn net.Conn, r *http.Request, _ string) { writeStream(conn, r, true, event(1)) }
	f.target("t0", "engine", serve)
	now := time.Now()
	f.gateway.loadTracker.MarkAdapterOrdered(now, "t0", "m", "a1")
	f.gateway.limits.Observe(now, now, f.view.Targets()[0].Key, 1)
	refuse := func(id string) int {
		t.Helper()
		before := leader.adapterRequests
		response, _, err := f.call(id, "/stream/x", "Model: m/a1")
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("response %v, error %v; want status 503", response, err)
		}
		return leader.adapterRequests - before
	}
	if n := refuse("r1"); n != 0 {
		t.Errorf("%d requests for the adapter, although no target without a limit holds the model", n)
	}
	f.target("t1", "engine", serve)
	if n := refuse("r2"); n == 0 || n > 12 {
		t.Errorf("%d requests for the adapter in a quarter of 1.5 s, want one every 50 ms", n)
	}
}
