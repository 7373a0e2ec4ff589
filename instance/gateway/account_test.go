package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// accountFixture is a gateway whose configuration can be replaced. A request with the path /safe/ needs a key.
type accountFixture struct {
	*fixture
	mu       sync.Mutex
	accounts []routes.Account
	version  uint64
	// seen are the headers with which requests reached the target, by request id.
	seen map[string]http.Header
}

func newAccountFixture(t *testing.T) *accountFixture {
	t.Helper()
	f := &accountFixture{fixture: newFixture(t), seen: make(map[string]http.Header)}
	f.view = fleetview.New(func([]byte) (*routes.Document, error) {
		route := func(name string, anonymous bool) routes.Route {
			return routes.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: routes.Idempotent, Timeout: 2 * time.Second,
				Split: []routes.WeightedService{{Service: "plain", Weight: 1}}, MaxAttempts: 1, AllowAnonymous: anonymous}
		}
		return &routes.Document{Version: f.version, Routes: []routes.Route{route("safe", false), route("open", true)},
			Services: []routes.Service{{Name: "plain"}}, Accounts: f.accounts}, nil
	}, "", nil)
	f.gateway.view = f.view
	return f
}

func (f *accountFixture) replaceAccounts(accounts ...routes.Account) {
	f.t.Helper()
	f.version++
	f.accounts = accounts
	packed, err := routes.Pack(f.version, []byte("{}"))
	if err == nil {
		err = f.view.SetDocument(packed)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *accountFixture) recordingTarget() {
	f.target("t0", "plain", func(conn net.Conn, r *http.Request, body string) {
		f.mu.Lock()
		f.seen[r.Header.Get(testHeaders.RequestID)] = r.Header
		f.mu.Unlock()
		answerOK(conn, r, body)
	})
}

func (f *accountFixture) call(id, path, key, account string) int {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodGet, f.server.URL+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(testHeaders.RequestID, id)
	if key != "" {
		r.Header.Set(testHeaders.Key, key)
	}
	if account != "" {
		r.Header.Set(testHeaders.Account, account)
	}
	response, err := f.server.Client().Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func account(name string, keys ...string) routes.Account {
	a := routes.Account{Name: name}
	for _, key := range keys {
		a.Keys = append(a.Keys, routes.DigestKey(key))
	}
	return a
}

// Guards against requests that are served without a key that is in force, and against a key or a forged account that reaches a target.
func TestKeysDecideTheAccount(t *testing.T) {
	f := newAccountFixture(t)
	f.recordingTarget()
	f.replaceAccounts(account("yard", "k1", "k2"), account("counter", "k3"))
	cases := []struct {
		id, path, key, forged string
		status                int
		account               string
	}{
		{"first key", "/safe/x", "k1", "", 200, "yard"},
		{"second key", "/safe/x", "k2", "counter", 200, "yard"},
		{"other account", "/safe/x", "k3", "", 200, "counter"},
		{"unknown key", "/safe/x", "k4", "yard", 401, ""},
		{"no key", "/safe/x", "", "yard", 401, ""},
		{"anonymous", "/open/x", "", "yard", 200, ""},
		{"anonymous route with a key", "/open/x", "k3", "yard", 200, "counter"},
		{"anonymous route with an unknown key", "/open/x", "k4", "yard", 200, ""},
	}
	for _, c := range cases {
		if status := f.call(c.id, c.path, c.key, c.forged); status != c.status {
			t.Errorf("%s: status %d, want %d", c.id, status, c.status)
		}
		f.mu.Lock()
		seen, ran := f.seen[c.id]
		f.mu.Unlock()
		switch {
		case ran != (c.status == 200):
			t.Errorf("%s: reached a target: %v", c.id, ran)
		case ran && (seen.Get(testHeaders.Account) != c.account || seen.Get(testHeaders.Key) != ""):
			t.Errorf("%s: the target got account %q, want %q, and key %q", c.id, seen.Get(testHeaders.Account), c.account, seen.Get(testHeaders.Key))
		}
	}
}

// Guards against an earlier deployment, without accounts, whose headers change.
func TestHeadersPassWithoutAccounts(t *testing.T) {
	f := newAccountFixture(t)
	f.recordingTarget()
	f.replaceAccounts()
	if status := f.call("r", "/safe/x", "k", "a"); status != 200 {
		t.Fatalf("status %d", status)
	}
	if h := f.seen["r"]; h.Get(testHeaders.Key) != "k" || h.Get(testHeaders.Account) != "a" {
		t.Fatalf("headers %v", h)
	}
}

// Guards against a key that still works after it was withdrawn: on a kept connection, and for a request that waited for a target meanwhile.
func TestWithdrawnKeyBindsWaitingRequests(t *testing.T) {
	f := newAccountFixture(t)
	f.replaceAccounts(account("yard", "k1", "k2"))
	status := make(chan int)
	go func() { status <- f.call("waits", "/safe/x", "k1", "") }()
	waitFor(t, func() bool { return f.gateway.activeRequests.Load() == 1 })
	f.replaceAccounts(account("yard", "k2"))
	if got := <-status; got != http.StatusUnauthorized {
		t.Errorf("status %d of a request that waited", got)
	}
	f.recordingTarget()
	if got := f.call("kept", "/safe/x", "k1", ""); got != http.StatusUnauthorized {
		t.Errorf("status %d with the withdrawn key", got)
	}
	if got := f.call("other", "/safe/x", "k2", ""); got != http.StatusOK {
		t.Errorf("status %d with the other key", got)
	}
	if f.runs["waits"]+f.runs["kept"] > 0 {
		t.Error("a request with a withdrawn key reached a target")
	}
}

// Guards against an urgent kind of request that waits behind a less urgent one of the same account, because the rank of the account
// replaced that of the route, and against an account whose rank does not go first.
func TestRankOfAccountGoesBeforeThatOfTheRoute(t *testing.T) {
	first, second := routes.Account{Rank: new(0)}, routes.Account{Rank: new(1)}
	urgent, deferrable := &routes.Route{Rank: 0}, &routes.Route{Rank: 2}
	ranks := []int{first.RankOf(urgent), first.RankOf(deferrable), second.RankOf(urgent), second.RankOf(deferrable)}
	for i := 1; i < len(ranks); i++ {
		if ranks[i] <= ranks[i-1] {
			t.Fatalf("ranks %v do not increase", ranks)
		}
	}
	if got := (&routes.Account{}).RankOf(deferrable); got != deferrable.Rank {
		t.Fatalf("rank %d of an account without one, want that of the route", got)
	}
}

// Guards against keys in log lines.
func TestFindingsOfKeysNameNoKey(t *testing.T) {
	d := &routes.Document{Accounts: []routes.Account{account("yard", "secret"), account("counter", "other", "secret"), account("", "x")}}
	findings := d.Check().Error()
	for _, want := range []string{`account 1 (counter): key 1 is also held by account "yard"`, "account 2 (): the name is missing"} {
		if !strings.Contains(findings, want) {
			t.Errorf("findings %q lack %q", findings, want)
		}
	}
	if strings.Contains(findings, "secret") {
		t.Errorf("findings %q contain a key", findings)
	}
}

// Guards against a key that reaches a target, and a caller without a valid key that is served, because the first accounts came into
// force while the request waited.
func TestFirstAccountsBindWaitingRequests(t *testing.T) {
	f := newAccountFixture(t)
	f.replaceAccounts()
	status := make(chan int)
	go func() { status <- f.call("waits", "/safe/x", "unknown", "forged") }()
	waitFor(t, func() bool { return f.gateway.activeRequests.Load() == 1 })
	time.Sleep(30 * time.Millisecond) // until it waits for a target
	f.replaceAccounts(account("yard", "k1"))
	f.recordingTarget()
	got := <-status
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, ran := f.seen["waits"]; ran || got != http.StatusUnauthorized {
		t.Errorf("status %d; a target got the request: %v, with key %q and account %q", got, ran, h.Get(testHeaders.Key), h.Get(testHeaders.Account))
	}
}

// adapterPeers is a leader that names a target for an adapter, which is loaded after a time.
type adapterPeers struct {
	asked chan struct{}
	ready time.Duration
}

func (p *adapterPeers) Call(_ context.Context, _, method string, _, result any) error {
	if method != peerapi.MethodFleetAdapter {
		return errors.New("unexpected method " + method)
	}
	*result.(*fleetapi.AdapterResponse) = fleetapi.AdapterResponse{ID: "t0", ReadyMs: p.ready.Milliseconds()}
	select {
	case p.asked <- struct{}{}:
	default:
	}
	return nil
}

// Guards against a request that runs with a key that was withdrawn while an adapter was loaded for it.
func TestWithdrawnKeyBindsRequestsThatWaitForAnAdapter(t *testing.T) {
	f := newAccountFixture(t)
	f.view = fleetview.New(func([]byte) (*routes.Document, error) {
		return &routes.Document{Version: f.version, Routes: []routes.Route{{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: routes.Idempotent,
			Timeout: 5 * time.Second, Split: []routes.WeightedService{{Service: "engine", Weight: 1}}, MaxAttempts: 1}},
			Services: []routes.Service{{Name: "engine", Engine: &routes.Engine{Slots: 4}}}, Accounts: f.accounts}, nil
	}, "", nil)
	f.gateway.view = f.view
	f.gateway.opts.ReadPrompt = readAdapterPrompt
	peers := &adapterPeers{asked: make(chan struct{}, 1), ready: 500 * time.Millisecond}
	f.gateway.peers = peers
	f.view.SetLeaderAndMembers("leader", nil)
	f.replaceAccounts(account("yard", "k1"))
	f.target("t0", "engine", answerOK)
	status := make(chan int)
	go func() { status <- f.call("waits", "/safe/x", "k1", "") }()
	<-peers.asked
	f.replaceAccounts(account("yard", "k2"))
	if got := <-status; got != http.StatusUnauthorized || f.runCount("waits") > 0 {
		t.Errorf("status %d; runs at targets: %d, after the key was withdrawn", got, f.runCount("waits"))
	}
}

// Guards against a caller of a route that needs no key who is refused because the key that it sent anyway was withdrawn while the
// request waited. With an unknown key it is served from the start.
func TestWithdrawnKeyOnAnonymousRoute(t *testing.T) {
	f := newAccountFixture(t)
	f.replaceAccounts(account("yard", "k1", "k2"))
	status := make(chan int)
	go func() { status <- f.call("waits", "/open/x", "k1", "") }()
	waitFor(t, func() bool { return f.gateway.activeRequests.Load() == 1 })
	time.Sleep(30 * time.Millisecond) // until it waits for a target
	f.replaceAccounts(account("yard", "k2"))
	f.recordingTarget()
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d on a route that allows anonymous callers", got)
	}
}

// Guards against a count of waiting requests that stays with an account after a configuration has given a request that waits to
// another one.
func TestWaitingRequestIsCountedWithOneAccount(t *testing.T) {
	d := newDemand()
	q := &request{service: &routes.Service{Name: "plain"}}
	q.credentials.account = &routes.Account{Name: "yard"}
	d.setWaiting(q, waiting)
	q.credentials.account = &routes.Account{Name: "counter"}
	d.setWaiting(q, waitingUrgent)
	d.setWaiting(q, notWaiting)
	if loads := d.accountLoads(); len(loads) > 0 {
		t.Errorf("loads %+v without any request", loads)
	}
}
