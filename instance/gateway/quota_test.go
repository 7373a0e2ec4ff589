package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/quota"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// quotaPeers is a leader that holds the ledger of one account.
type quotaPeers struct {
	mu      sync.Mutex
	ledger  *quota.Ledger
	limit   quota.Limit
	methods map[string]int
	last    fleetapi.LoadReport
	gone    bool
}

func (p *quotaPeers) Call(_ context.Context, _, method string, params, result any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return errors.New("the leader is gone")
	}
	p.methods[method]++
	var answer any
	switch method {
	case peerapi.MethodFleetLoad:
		p.last = params.(fleetapi.LoadReport)
		summary := fleetapi.LoadSummary{Gateways: 1}
		if p.last.Quota != nil {
			summary.Quota = p.ledger.Report(time.Now(), p.last.Gateway, p.last.Quota, func(string) (quota.Limit, bool) { return p.limit, true })
		}
		answer = summary
	case peerapi.MethodFleetQuota:
		answer = p.ledger.Grant(time.Now(), params.(quota.GrantRequest), p.limit)
	default:
		return fmt.Errorf("unexpected method %s", method)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// newQuotaFixture returns a gateway that gets grants for an account "yard" with the key "k1", which may have ten requests in 8 s,
// and for an account "free" with the key "k2" and no quota.
func newQuotaFixture(t *testing.T) (*accountFixture, *quotaPeers) {
	t.Helper()
	f := newAccountFixture(t)
	f.gateway.opts.Quota = quota.Options{Window: 8 * time.Second, Interval: fleetapi.ReportInterval}
	f.gateway.quotas = newQuotas(f.gateway.opts, metrics.NewRegistry())
	leader := &quotaPeers{ledger: quota.NewLedger(time.Now(), f.gateway.opts.Quota, 1), limit: quota.Limit{PerSecond: 1, Burst: 2},
		methods: make(map[string]int)}
	f.gateway.peers = leader
	f.view.SetLeaderAndMembers("leader", nil)
	yard := account("yard", "k1")
	yard.Quota = routes.Quota{PerSecond: 1, Burst: 2}
	f.replaceAccounts(yard, account("free", "k2"))
	f.join()
	return f, leader
}

// join exchanges reports until the gateway gets grants.
func (f *accountFixture) join() {
	f.t.Helper()
	waitFor(f.t, func() bool {
		f.exchange()
		time.Sleep(20 * time.Millisecond)
		return f.gateway.quotas.limiter.Connected(time.Now())
	})
}

// Guards against a restart of all processes after which each request of an account is refused until the ledger of the new leader is
// ready.
func TestRequestsWaitForTheFirstGrants(t *testing.T) {
	f, leader := newQuotaFixture(t)
	f.recordingTarget()
	f.gateway.quotas = newQuotas(f.gateway.opts, metrics.NewRegistry())
	leader.mu.Lock()
	leader.ledger = quota.NewLedger(time.Now(), f.gateway.opts.Quota, 2)
	leader.mu.Unlock()
	status := make(chan int)
	go func() { status <- f.call("early", "/safe/x", "k1", "") }()
	f.join()
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d for a request that arrived before the first grants", got)
	}
	f.gateway.quotas = newQuotas(f.gateway.opts, metrics.NewRegistry())
	f.gateway.quotas.started = time.Now().Add(-startPeriod)
	started := time.Now()
	if f.call("late", "/safe/x", "k1", ""); time.Since(started) > maxGrantsWait/2 {
		t.Errorf("a request waits %v for grants long after the start", time.Since(started))
	}
}

func (f *accountFixture) exchange() {
	f.t.Helper()
	if err := f.gateway.exchangeLoadOnce(context.Background()); err != nil {
		f.t.Fatal(err)
	}
}

// answered sends a number of requests one after the other and returns how many got each status.
func (f *accountFixture) answered(prefix, path, key string, n int) map[int]int {
	f.t.Helper()
	statuses := make(map[int]int)
	for i := range n {
		statuses[f.call(prefix+strconv.Itoa(i), path, key, "")]++
	}
	return statuses
}

// Guards against an account that uses more than its quota, against one within its quota that is refused, and against a refused
// request that ran or lacks a Retry-After.
func TestRequestsOverTheQuotaAreRefused(t *testing.T) {
	f, _ := newQuotaFixture(t)
	f.recordingTarget()
	if got := f.answered("yard", "/safe/x", "k1", 14); got[200] != 10 || got[429] != 4 {
		t.Errorf("statuses %v, want ten times 200 and four times 429", got)
	}
	if got := f.answered("free", "/safe/x", "k2", 14); got[200] != 14 {
		t.Errorf("statuses %v of an account without a quota", got)
	}
	if got := f.answered("anonymous", "/open/x", "", 3); got[200] != 3 {
		t.Errorf("statuses %v of anonymous callers", got)
	}
	for i := 10; i < 14; i++ {
		if f.runCount("yard"+strconv.Itoa(i)) != 0 {
			t.Errorf("request %d was refused and reached a target", i)
		}
	}
	r, _ := http.NewRequest(http.MethodGet, f.server.URL+"/safe/x", nil)
	r.Host = "h"
	r.Header.Set(testHeaders.Key, "k1")
	response, err := f.server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	after, err := strconv.ParseFloat(response.Header.Get(testHeaders.RetryAfter), 64)
	if response.StatusCode != 429 || err != nil || after <= 0 || after > 8.5 {
		t.Errorf("status %d, Retry-After %q", response.StatusCode, response.Header.Get(testHeaders.RetryAfter))
	}
	counters := f.gateway.quotas.counters.of("yard")
	if counters.admitted.Count() != 10 || counters.overQuota.Count() != 5 {
		t.Errorf("counted %d admitted and %d over the quota", counters.admitted.Count(), counters.overQuota.Count())
	}
}

// Guards against a refusal of requests within the quota because another gateway does not know of earlier grants yet, and against a
// request that waits on after the reports have stopped.
func TestRequestsWaitForAcknowledgedGrants(t *testing.T) {
	f, leader := newQuotaFixture(t)
	f.recordingTarget()
	other := quota.NewLimiter(time.Now(), f.gateway.opts.Quota, "other", 1)
	exchangeOther := func() {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		other.Apply(leader.ledger.Report(time.Now(), "other", other.Report(time.Now()), func(string) (quota.Limit, bool) { return leader.limit, true }))
	}
	exchangeOther() // joins
	exchangeOther()
	answered := make(chan map[int]int)
	go func() { answered <- f.answered("held", "/safe/x", "k1", 4) }()
	for done := false; !done; {
		select {
		case got := <-answered:
			done = true
			if got[200] != 4 {
				t.Errorf("statuses %v of four requests within a quota of ten", got)
			}
		case <-time.After(50 * time.Millisecond):
			f.exchange()
			exchangeOther()
		}
	}
	f.exchange()
	exchangeOther()
	started, refused := time.Now(), 0
	for i := range 3 { // without further reports, nobody acknowledges
		if f.call("alone"+strconv.Itoa(i), "/safe/x", "k1", "") == http.StatusTooManyRequests {
			refused++
		}
	}
	if took := time.Since(started); refused == 0 || took > 3*quota.MaxHold {
		t.Errorf("%d of three requests refused, in %v", refused, took)
	}
}

// Guards against a quota that is used up by requests that no target ran, and against a removed account that loses its use.
func TestRequestsThatDidNotRunAreGivenBack(t *testing.T) {
	f, _ := newQuotaFixture(t)
	f.target("full", "plain", func(conn net.Conn, r *http.Request, body string) { respond(conn, r, 503, body, "Not-Run: 1") })
	if got := f.answered("unserved", "/safe/x", "k1", 6); got[503] != 6 {
		t.Fatalf("statuses %v, want 503", got)
	}
	f.exchange()
	accounts := f.accounts
	f.recordingTarget()
	if got := f.answered("first", "/safe/x", "k1", 5); got[200] != 5 {
		t.Errorf("statuses %v, want 200", got)
	}
	f.replaceAccounts(accounts[1])
	f.replaceAccounts(accounts...)
	if got := f.answered("second", "/safe/x", "k1", 7); got[200] != 5 || got[429] != 2 {
		t.Errorf("statuses %v after the account was removed and added again, want five times 200 and twice 429", got)
	}
}

// Guards against requests that are charged twice: by the gateway where they arrived and by the one that serves them.
func TestHandedOverRequestsAreNotCharged(t *testing.T) {
	f, _ := newQuotaFixture(t)
	f.recordingTarget()
	if got := f.answered("own", "/safe/x", "k1", 11); got[429] != 1 {
		t.Fatalf("statuses %v", got)
	}
	server := httptest.NewServer(http.HandlerFunc(f.gateway.serveHandover))
	defer server.Close()
	r, _ := http.NewRequest(http.MethodGet, server.URL+"/safe/x", nil)
	r.Host = "h"
	for name, value := range map[string]string{testHeaders.Key: "k1", testHeaders.RequestID: "handed", fleetapi.HeaderHandoverSends: "1",
		fleetapi.HeaderHandoverVersion: "1", fleetapi.HeaderHandoverService: "plain"} {
		r.Header.Set(name, value)
	}
	response, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != 200 {
		t.Errorf("status %d", response.StatusCode)
	}
}

// Guards against work and messages in deployments without quotas.
func TestNothingIsSentWithoutQuotas(t *testing.T) {
	f, leader := newQuotaFixture(t)
	f.recordingTarget()
	f.replaceAccounts(account("yard", "k1"))
	if got := f.answered("r", "/safe/x", "k1", 30); got[200] != 30 {
		t.Errorf("statuses %v", got)
	}
	f.exchange()
	if leader.last.Quota != nil || leader.methods[peerapi.MethodFleetQuota] != 0 {
		t.Errorf("report %+v, calls %v", leader.last.Quota, leader.methods)
	}
}

// Guards against a gateway without a leader that serves all requests of an account or waits for the leader with each.
func TestQuotaWithoutLeader(t *testing.T) {
	f, leader := newQuotaFixture(t)
	f.recordingTarget()
	leader.mu.Lock()
	leader.gone = true
	leader.mu.Unlock()
	time.Sleep(700 * time.Millisecond) // until grants are void
	started := time.Now()
	if got := f.answered("r", "/safe/x", "k1", 60); got[200] > 4 || got[429] < 56 {
		t.Errorf("statuses %v of a gateway with half of a quota of ten, 0.7 s after the leader was lost", got)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("60 requests took %v", took)
	}
}

// Guards against a gateway that refuses what is within a quota because one call was lost although the leader answers its reports.
func TestLostGrantCallIsForgottenWithTheNextReport(t *testing.T) {
	f, leader := newQuotaFixture(t)
	f.recordingTarget()
	setGone := func(gone bool) {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		leader.gone = gone
	}
	setGone(true)
	if got := f.answered("lost", "/safe/x", "k1", 1); got[429] != 1 {
		t.Fatalf("statuses %v without a grant", got)
	}
	setGone(false)
	f.exchange()
	if got := f.answered("r", "/safe/x", "k1", 11); got[200] != 10 || got[429] != 1 {
		t.Errorf("statuses %v, want ten times 200 and once 429", got)
	}
}

// Guards against metrics without a bound: each counted account has two.
func TestCountedAccountsAreBounded(t *testing.T) {
	c := newAccountCounters(metrics.NewRegistry())
	for i := range 3 * maxCountedAccounts {
		c.of(strconv.Itoa(i)).admitted.Inc(1)
	}
	if n := len(c.accounts); n != maxCountedAccounts+1 {
		t.Errorf("%d accounts are counted", n)
	}
	if n := c.of("another").admitted.Count(); n != 2*maxCountedAccounts {
		t.Errorf("%d requests of other accounts are counted", n)
	}
}
