package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// demandPeriod is the time over which the demand of an account at a gateway is measured.
	demandPeriod = time.Second
	// wantPeriod is the demand that a gateway wants grants for: that of two reports and of the demand's growth between them.
	wantPeriod = 300 * time.Millisecond
	// wantRequests is the number of requests that a gateway wants grants for in addition, so that two that arrive between
	// reports need no call.
	wantRequests = 2
	// newcomerShare is the share of a gateway that no ledger has ever heard of, so that none withholds it: half of 77 gateways
	// use 3 % of the limit together, where 5 % are beyond the bound of the ledger. With 1/400, they exceeded the hard bound.
	newcomerShare = 1.0 / 1000
	// unknownGateways is the number of gateways that share the limit after withholdPeriod. The ledger withholds these shares too.
	unknownGateways = 400
	// equalShare is the part of a limit that is divided evenly between gateways without a leader. The rest is divided by use.
	equalShare = 0.5
	// fallbackRetry is the Retry-After of a request that is refused without a leader: a new leader is there in about that time.
	fallbackRetry = time.Second
	// maxDenied is the longest time without another request for a grant after a denial. Units that are given back make capacity
	// available earlier than the leader states.
	maxDenied = time.Second
	// smallerRequest is the size of a request, as a part of a denied one, for which the leader may be asked meanwhile.
	smallerRequest = 0.5
	// costMemory is the part of the size of the largest recent request that counts after another one. A grant of the size of
	// a small request is of no use for a larger one.
	costMemory = 0.95
	// minRetry is the least Retry-After.
	minRetry = 50 * time.Millisecond
)

// Decision says what to do with a request.
type Decision struct {
	// Exactly one of Admit, Ask and Refuse is set. Ask: request a grant from the leader with Request.
	Admit, Ask, Refuse bool
	Request            GrantRequest
	RetryAfter         time.Duration
	// Hold is set with Ask from Granted if AdmitHeld has to decide after that time, for up to MaxHold in all.
	Hold time.Duration
	// Fallback is set if no leader was involved.
	Fallback bool
}

// Limiter decides the requests of a gateway. It is safe for concurrent use.
type Limiter struct {
	opts        Options
	gateway     string
	incarnation uint64

	mu       sync.Mutex
	accounts map[string]*usage
	sequence uint64
	answered uint64 // the latest report whose answer held levels
	epoch    uint64
	joins    bool // the next report joins
	ready    bool // the ledger of the epoch gives out grants
	gateways int
	// sentAt is when the latest report was sent that a ledger that gives out grants answered, or when the process started, and
	// reportAt when the latest report was sent.
	sentAt, reportAt time.Time
}

// usage is what a gateway knows of one account. Accounts are few and stay known, so that cumulative units go on.
type usage struct {
	own, demand *Window
	// fallback is the expected use without a leader.
	fallback    *Window
	spent, cost float64 // cost is that of the largest recent request
	// granted and taken are cumulative in the epoch. asked is what requests that wait for an answer of the leader need.
	granted, taken, asked float64
	back                  []Back
	reported              totals // in the latest report that stated them
	known                 totals // at the leader
	statedAt              time.Time
	decided               Decided
	level                 stated
	share                 float64
	// Until deniedUntil, the leader is not asked for requests of deniedCost or more. It stated capacity for freeAt.
	deniedUntil, freeAt time.Time
	deniedCost          float64
}

// totals are what a report states of an account.
type totals struct{ spent, taken, want float64 }

// NewLimiter returns the limiter of a gateway. incarnation differs between starts of the process.
func NewLimiter(now time.Time, opts Options, gateway string, incarnation uint64) *Limiter {
	return &Limiter{opts: opts.withDefaults(), gateway: gateway, incarnation: incarnation, accounts: make(map[string]*usage), sentAt: now}
}

func (l *Limiter) usage(account string) *usage {
	u := l.accounts[account]
	if u == nil {
		u = &usage{own: NewWindow(l.opts.Window), demand: NewWindow(demandPeriod), fallback: NewWindow(l.opts.Window)}
		l.accounts[account] = u
	}
	return u
}

// Admit decides a request of an account and charges it if it is admitted. random is uniform in [0, 1).
func (l *Limiter) Admit(now time.Time, account string, limit Limit, cost, random float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(account)
	u.demand.Add(now, cost)
	u.cost = max(cost, costMemory*u.cost)
	return u.count(l.admit(now, u, account, limit, cost, random, now.Before(u.deniedUntil)))
}

// AdmitHeld decides a request again that was held. The ledger counts it against the quota meanwhile, so it asks for its grant
// although others were denied theirs, and it is no further demand.
func (l *Limiter) AdmitHeld(now time.Time, account string, limit Limit, cost, random float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(account)
	return u.count(l.admit(now, u, account, limit, cost, random, false))
}

func (l *Limiter) admit(now time.Time, u *usage, account string, limit Limit, cost, random float64, denied bool) Decision {
	if !l.connected(now) {
		return l.fallback(now, u, limit, cost, random)
	}
	// What requests need that wait for an answer of the leader may be granted already, and is left to them.
	if u.granted-u.taken-u.asked >= cost && u.take(now, cost) {
		return Decision{Admit: true}
	}
	if denied && cost > smallerRequest*u.deniedCost {
		return Decision{Refuse: true, RetryAfter: max(u.freeAt.Sub(now), minRetry)}
	}
	u.asked += cost
	return Decision{Ask: true, Request: GrantRequest{Gateway: l.gateway, Epoch: l.epoch, Account: account, Cost: cost, Want: u.want(now)}}
}

// Fallback decides a request for which Admit said Ask, because the leader does not answer or is not ready.
func (l *Limiter) Fallback(now time.Time, r GrantRequest, limit Limit, random float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(r.Account)
	u.asked -= r.Cost
	return u.count(l.fallback(now, u, limit, r.Cost, random))
}

// Granted records the answer to a request for a grant, and charges the request for which it was asked if it is admitted. Ask
// means that the grant can't be used and that Admit has to decide again.
func (l *Limiter) Granted(now time.Time, r GrantRequest, g Grant) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(r.Account)
	return u.count(l.answer(now, u, r, g))
}

func (l *Limiter) answer(now time.Time, u *usage, r GrantRequest, g Grant) Decision {
	u.asked -= r.Cost
	if r.Epoch != l.epoch || !l.connected(now) {
		return Decision{Ask: true}
	}
	if g.OK {
		u.granted = max(u.granted, g.Granted)
		if u.take(now, r.Cost) {
			return Decision{Admit: true}
		}
		return Decision{Ask: true}
	}
	wait := max(time.Duration(g.WaitMs)*time.Millisecond, minRetry)
	if g.Hold {
		return Decision{Ask: true, Hold: wait}
	}
	u.freeAt, u.deniedUntil, u.deniedCost = now.Add(wait), now.Add(min(wait, maxDenied)), r.Cost
	return Decision{Refuse: true, RetryAfter: wait}
}

// count counts a request that is decided.
func (u *usage) count(d Decision) Decision {
	if d.Admit {
		u.decided.Admitted++
	}
	if d.Refuse {
		u.decided.Refused++
	}
	return d
}

// GiveBack returns the charge of a request that did not run. It was charged at an earlier time.
func (l *Limiter) GiveBack(now, charged time.Time, account string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(account)
	u.own.RemoveAt(now, charged, cost)
	if len(u.back) < maxBack {
		u.back = append(u.back, Back{AgeMs: now.Sub(charged).Milliseconds(), Units: cost})
	}
}

// maxBack bounds the units that are given back in one report. Others count as used.
const maxBack = 200

// Connected reports whether the gateway gets grants.
func (l *Limiter) Connected(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connected(now)
}

// connected reports whether grants may be used: the ledger still expects that.
func (l *Limiter) connected(now time.Time) bool {
	return l.ready && now.Sub(l.sentAt) < l.opts.validity(l.gateways)
}

// take charges a request to the grants.
func (u *usage) take(now time.Time, cost float64) bool {
	if u.granted-u.taken < cost {
		return false
	}
	u.taken += cost
	u.charge(now, cost)
	return true
}

func (u *usage) charge(now time.Time, cost float64) {
	u.spent += cost
	u.own.Add(now, cost)
}

// want is the amount of grants that a gateway likes to hold.
func (u *usage) want(now time.Time) float64 {
	rate := u.demand.Sum(now) / demandPeriod.Seconds()
	return math.Ceil(wantRequests*u.cost + rate*wantPeriod.Seconds())
}

// fallback admits a request with the probability of the accrued share of the gateway in its size, and spends what has accrued
// in any case. So the expected use equals the share also where the share is less than one request.
func (l *Limiter) fallback(now time.Time, u *usage, limit Limit, cost, random float64) Decision {
	accrued := min(l.accrued(now, u, limit, cost), cost)
	if accrued > 0 {
		u.fallback.Add(now, accrued)
		if random*cost < accrued {
			u.charge(now, cost)
			return Decision{Admit: true, Fallback: true}
		}
	}
	return Decision{Refuse: true, RetryAfter: fallbackRetry, Fallback: true}
}

// accrued is the part of the limit that the gateway may use now without a leader. It grows from none since the last exchange to
// its share of what the last known level leaves.
func (l *Limiter) accrued(now time.Time, u *usage, limit Limit, cost float64) float64 {
	elapsed := now.Sub(l.sentAt)
	share := u.share
	switch {
	case l.gateways == 0:
		share = newcomerShare
	case elapsed > withholdPeriod-l.opts.validity(l.gateways):
		share = 1.0 / unknownGateways
	case share == 0:
		share = equalShare / float64(l.gateways)
	}
	all := l.opts.fallbackUnits(limit, l.opts.unseenPart(limit, l.gateways), cost)
	grown := all * min(elapsed.Seconds()/l.opts.Window.Seconds(), 1)
	left := all - u.level.remaining(now, l.opts.Window)
	accrued := share*min(grown, left) - u.fallback.Sum(now)
	if elapsed < l.opts.Window {
		accrued -= u.taken - u.known.taken // used since the level was stated
	}
	return accrued
}
