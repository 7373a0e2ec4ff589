package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/quota"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// quotaTries is the number of grants that are requested for one request. Another request may use one first.
	quotaTries = 3
	// quotaRetry is the Retry-After of a request whose grants others used.
	quotaRetry = 100 * time.Millisecond
	// maxGrantsWait bounds the wait of a request for the first grants, and startPeriod the time after the start in which requests wait:
	// the first ledger gives none before it has heard from the gateways, about a second after a restart of all processes.
	maxGrantsWait = 2 * time.Second
	startPeriod   = 5 * time.Second
	// maxCountedAccounts bounds the number of accounts with counters of their own.
	maxCountedAccounts = 64
	// otherAccounts is the name under which the others are counted.
	otherAccounts = "_other"
)

const (
	reasonOverQuota         = "the account is over its quota"
	reasonOverQuotaFallback = "the account is over the share of its quota that this gateway has without a leader"
)

// charge is what a request was charged; the zero charge is none.
type charge struct {
	account string
	units   float64
	at      time.Time
}

// quotas limits what accounts use.
type quotas struct {
	limiter  *quota.Limiter
	counters *accountCounters
	// failure is the latest failed call for a grant.
	failure atomic.Pointer[permitFailure]
	inForce atomic.Pointer[quotasInForce]
	// started is the start of the process, and joined is set once it has had grants.
	started time.Time
	joined  atomic.Bool
	// connected and known belong to the goroutine that exchanges the load.
	connected, known bool
}

// quotasInForce tells whether any account of a table has a quota.
type quotasInForce struct {
	table *routes.Table
	any   bool
}

func newQuotas(opts Options, registry metrics.Registry) *quotas {
	now := time.Now()
	return &quotas{started: now, limiter: quota.NewLimiter(now, opts.Quota, opts.Name, uint64(now.UnixNano())), counters: newAccountCounters(registry)}
}

// any reports whether any account in force has a quota.
func (s *quotas) any(table *routes.Table) bool {
	if table == nil || !table.HasAccounts() {
		return false
	}
	if known := s.inForce.Load(); known != nil && known.table == table {
		return known.any
	}
	limited := false
	accounts := table.Document().Accounts
	for i := range accounts {
		limited = limited || accounts[i].Quota.Limited()
	}
	s.inForce.Store(&quotasInForce{table, limited})
	return limited
}

// chargeQuota charges a request to the quota of its account. It refuses the request and returns false if it is not within it.
func (g *Gateway) chargeQuota(w *answer, q *request) bool {
	if q.credentials.account == nil || !q.credentials.account.Quota.Limited() {
		return true
	}
	cost := g.cost(q)
	decision := g.decideQuota(q, cost)
	if decision.Admit {
		q.charge = charge{q.credentials.account.Name, cost, time.Now()}
		g.quotas.counters.of(q.credentials.account.Name).admitted.Inc(1)
		return true
	}
	if q.ctx.Err() != nil {
		g.recordCallerLeft(q)
		return false
	}
	g.refuseOverQuota(w, q, decision)
	return false
}

// decideQuota asks the leader for a grant if that is needed.
func (g *Gateway) decideQuota(q *request, cost float64) quota.Decision {
	g.awaitGrants(q)
	limiter, name := g.quotas.limiter, q.credentials.account.Name
	limit := quota.Limit{PerSecond: q.credentials.account.Quota.PerSecond, Burst: q.credentials.account.Quota.Burst, Requests: q.credentials.account.Quota.Unit == routes.Requests}
	held := min(quota.MaxHold, time.Duration(waitShare*float64(q.deadline.Sub(q.arrived))))
	admit := limiter.Admit
	for tries := quotaTries; tries > 0; tries-- {
		decision := admit(time.Now(), name, limit, cost, g.randomFloat())
		if !decision.Ask {
			return decision
		}
		grant, ok := g.requestGrant(q, decision.Request)
		if !ok || !grant.Ready {
			return limiter.Fallback(time.Now(), decision.Request, limit, g.randomFloat())
		}
		decision = limiter.Granted(time.Now(), decision.Request, grant)
		switch {
		case !decision.Ask:
			return decision
		case decision.Hold > 0:
			// The request is within the quota, so it waits until other gateways know of earlier grants.
			if time.Since(q.arrived)+decision.Hold > held || !sleep(q, decision.Hold) {
				return quota.Decision{Refuse: true, RetryAfter: decision.Hold}
			}
			admit, tries = limiter.AdmitHeld, quotaTries+1
		}
	}
	return quota.Decision{Refuse: true, RetryAfter: quotaRetry}
}

// awaitGrants has a request wait while the gateway has not yet had grants since its start. Until then its share of each quota is
// next to nothing, and after a restart of the whole deployment all callers would be refused for more than a second.
func (g *Gateway) awaitGrants(q *request) {
	wait := min(maxGrantsWait, time.Duration(waitShare*float64(q.deadline.Sub(q.arrived))))
	for !g.quotas.joined.Load() && time.Since(g.quotas.started) < startPeriod && time.Since(q.arrived) < wait {
		if !sleep(q, waitPollInterval) {
			return
		}
	}
}

// requestGrant asks the leader for a grant. ok is false if there is no answer.
func (g *Gateway) requestGrant(q *request, r quota.GrantRequest) (grant quota.Grant, ok bool) {
	leader, _ := g.view.LeaderAndMembers()
	now := time.Now()
	if leader == "" || g.quotas.failure.Load().isRecent(now, leader) {
		return grant, false
	}
	ctx, cancel := context.WithTimeout(q.ctx, min(permitTimeout, q.deadline.Sub(now)))
	defer cancel()
	if err := g.peers.Call(ctx, leader, peerapi.MethodFleetQuota, r, &grant); err != nil {
		if q.ctx.Err() == nil {
			g.quotas.failure.Store(&permitFailure{leader: leader, at: time.Now()})
		}
		return quota.Grant{}, false
	}
	return grant, true
}

func (g *Gateway) refuseOverQuota(w *answer, q *request, decision quota.Decision) {
	reason := reasonOverQuota
	if decision.Fallback {
		reason = reasonOverQuotaFallback
	}
	g.metrics.refused.Inc(1)
	g.quotas.counters.of(q.credentials.account.Name).overQuota.Inc(1)
	g.recorder.Record(events.RequestRefused, events.Fields{
		"request": q.id, "route": q.route.Name, "version": q.table.Version(), "account": q.credentials.account.Name, "status": http.StatusTooManyRequests,
		"reason": reason, "retry_after_ms": decision.RetryAfter.Milliseconds(),
	})
	w.Header().Set(g.opts.Headers.RetryAfter, formatSeconds(decision.RetryAfter))
	w.sendStatus(http.StatusTooManyRequests)
}

// giveBackQuota returns the charge of a request that no target ran.
func (g *Gateway) giveBackQuota(q *request, ran int) {
	if ran > 0 || q.charge.units == 0 {
		return
	}
	g.quotas.limiter.GiveBack(time.Now(), q.charge.at, q.charge.account, q.charge.units)
	q.charge = charge{}
}

// reportQuota returns what the leader has to know of quotas, nil if no account has one.
func (g *Gateway) reportQuota(now time.Time) *quota.Report {
	if !g.quotas.any(g.view.Table()) {
		g.quotas.known = false
		return nil
	}
	return g.quotas.limiter.Report(now)
}

// applyQuota applies the answer to a report, nil without one, and records whether the gateway gets grants.
func (g *Gateway) applyQuota(now time.Time, levels *quota.Levels) {
	if !g.quotas.any(g.view.Table()) {
		return
	}
	g.quotas.limiter.Apply(levels)
	if levels != nil {
		g.quotas.failure.Store(nil) // a call that failed was slow or lost: the leader answers
	}
	connected := g.quotas.limiter.Connected(now)
	if connected {
		g.quotas.joined.Store(true)
	}
	switch {
	case connected && (!g.quotas.known || !g.quotas.connected):
		g.recorder.Record(events.QuotaGained, nil)
	case !connected && g.quotas.known && g.quotas.connected:
		g.recorder.Record(events.QuotaLost, nil)
	}
	g.quotas.connected, g.quotas.known = connected, true
}
