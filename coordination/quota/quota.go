// Package quota keeps the use of client accounts within their quotas, over all gateways together.
//
// The load pattern: tens to hundreds of gateways serve each account. Most accounts use about half of their quota, one sends
// several times its rate, and demand moves between gateways within seconds. The rate of a small account is less than one request
// per gateway and window, so no static division of a quota serves it. The use of a window must stay bounded while the leader, links
// or gateways fail.
//
// The Ledger of the leader counts what gateways report and what it has granted to them, and keeps the sum below a bound. The
// Limiter of a gateway admits requests against grants. Grants come with the answers to load reports while an account is far from
// its limit, and with calls otherwise. Without a leader, a gateway uses its fallback share.
package quota

import (
	"math"
	"time"
)

// Options are the same at all gateways and control instances.
type Options struct {
	// Window is the time over which quotas count.
	Window time.Duration
	// Excess, a share of the limit, and Slack, in tokens, are how far the use of a window may exceed the limit.
	Excess, Slack float64
	// Interval is the time between the reports of a gateway when there are a number of gateways.
	Interval func(gateways int) time.Duration
}

const (
	defaultWindow   = 8 * time.Second
	defaultInterval = 100 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	if o.Interval == nil {
		o.Interval = func(int) time.Duration { return defaultInterval }
	}
	return o
}

// Limit is the quota of an account.
type Limit struct {
	PerSecond, Burst float64
	// Requests is set if the units are requests. They are tokens otherwise.
	Requests bool
}

// tokensPerRequest converts Options.Slack, which is in tokens, for quotas of requests. A request has about that many.
const tokensPerRequest = 1000

// units returns the use of one window that is within the quota.
func (o *Options) units(l Limit) float64 { return l.PerSecond*o.Window.Seconds() + l.Burst }

// Hard returns the use of one window that must not be exceeded.
func (o *Options) Hard(l Limit) float64 {
	slack := o.Slack
	if l.Requests {
		slack /= tokensPerRequest
	}
	return o.units(l)*(1+o.Excess) + slack
}

// headroomShare is the part of the tolerance that the leader uses to make up for use that it counts for longer than one window
// and for grants that are not used. The rest covers what several leaders and gateways without a leader do not know of each other.
const headroomShare = 0.5

// bound is the most that the leader lets the counted use and the grants of one window reach.
func (o *Options) bound(l Limit) float64 {
	return o.units(l) + headroomShare*(o.Hard(l)-o.units(l))
}

const (
	// minValidity is the least time without an answer to a report after which a gateway no longer uses its grants. It exceeds
	// the time-out of a report, 400 ms, and the time until the next one.
	minValidity = 600 * time.Millisecond
	// validIntervals is the same in intervals of reports.
	validIntervals = 3
)

// validity is the time after a report for which the grants of a gateway may be used.
func (o *Options) validity(gateways int) time.Duration {
	return max(minValidity, validIntervals*o.Interval(gateways))
}

const (
	// fallbackDeviations is the number of standard deviations of the use of gateways without a leader that the bound allows for.
	fallbackDeviations = 4
	// unseenShare is the part of a limit that may be granted after the last level that a gateway knows: seven times the rate
	// in 230 ms, the time between the answers to two reports over slow links.
	unseenShare = 0.2
	// ackIntervals is the time in intervals of reports for which grants may be unacknowledged at the rate of the account: it takes the
	// second report after a grant, of the gateway that reports last.
	ackIntervals = 3
)

// unseenPart is the part of a limit that may be granted after the last level that a gateway knows, in a deployment of a number of
// gateways. It is unseenShare up to about 340 gateways. Reports of more are so far apart that the rate itself exceeds that.
func (o *Options) unseenPart(l Limit, gateways int) float64 {
	units := o.units(l)
	if units <= 0 {
		return unseenShare
	}
	return max(unseenShare, l.PerSecond*(ackIntervals*o.Interval(gateways)+checkInterval).Seconds()/units)
}

// withholdPeriod is how long the share of a gateway that stopped reporting is kept out of grants. Both sides take its share for
// 1/unknownGateways of the limit afterwards.
const withholdPeriod = 60 * time.Second

// fallbackUnits is the expected use of one window of all gateways without a leader. They decide independently of each other, so
// their use varies like that of a Poisson process of requests of the size cost. unseen is that of unseenPart.
func (o *Options) fallbackUnits(l Limit, unseen, cost float64) float64 {
	most := max(o.Hard(l)-unseen*o.units(l), 0)
	half := fallbackDeviations * math.Sqrt(cost) / 2
	root := math.Sqrt(half*half+most) - half
	return min(root*root, o.units(l))
}

// withheldUnits is what the leader keeps out of grants for gateways without a leader that have a share of the limit.
func (o *Options) withheldUnits(l Limit, share, largest float64) float64 {
	share = min(share, 1)
	expected := share * o.fallbackUnits(l, unseenShare, largest) // gateways use less where unseenPart is larger
	deviation := fallbackDeviations * math.Sqrt(largest*expected)
	return max(share*o.units(l), expected+deviation-(o.Hard(l)-o.bound(l)))
}

// Report is what a gateway tells the leader with each load report: of accounts with changes, and of each account in use once in a
// second. Units are cumulative where stated, so that a lost answer or report does no harm.
type Report struct {
	// Incarnation is that of the process, and Sequence increases with each report.
	Incarnation uint64 `json:"i"`
	Sequence    uint64 `json:"s"`
	// Epoch is that of the ledger whose grants the gateway holds, 0 if it knows none.
	Epoch uint64 `json:"e,omitempty"`
	// Joins is set in the first report to a ledger, which holds Uses with Past and Stated. Gateways is the number of gateways
	// that the last ledger knew.
	Joins    bool  `json:"j,omitempty"`
	Gateways int   `json:"n,omitempty"`
	Uses     []Use `json:"u,omitempty"`
	// Answered is the sequence of the latest report whose answer with levels arrived, 0 if there is none from this ledger.
	Answered uint64 `json:"d,omitempty"`
}

// Use is what a gateway admitted for one account.
type Use struct {
	Account string `json:"a"`
	// Spent are the admitted units since the start of the process without those given back, and Taken the granted units that
	// requests used or that are given back unused. Both are cumulative.
	Spent float64 `json:"s"`
	Taken float64 `json:"t,omitempty"`
	// Back are units of Spent that were given back since the last report.
	Back []Back `json:"b,omitempty"`
	// Own is the use of the last window at this gateway, and Want the grants that it would like to hold, 0 once the account is not
	// in use there.
	Own  float64 `json:"o,omitempty"`
	Want float64 `json:"w,omitempty"`
	// Cost is that of the largest recent request.
	Cost float64 `json:"c,omitempty"`
	// Past is the use of the last window at this gateway by age in seconds, Stated the last known level, AgeMs its age, and Share
	// the fallback share of the gateway. They are only set in a report that joins.
	Past   []float64 `json:"p,omitempty"`
	Stated []float64 `json:"l,omitempty"`
	AgeMs  int64     `json:"m,omitempty"`
	Share  float64   `json:"h,omitempty"`
	// Decided are the requests of the account that were decided, nil in reports of earlier builds.
	Decided *Decided `json:"q,omitempty"`
}

// Decided counts requests since the start of the process.
type Decided struct {
	Admitted uint64 `json:"a,omitempty"`
	Refused  uint64 `json:"r,omitempty"`
}

// Back are units that were given back, and the age of their charge.
type Back struct {
	AgeMs int64   `json:"m"`
	Units float64 `json:"u"`
}

// Levels is the answer of the leader to a Report.
type Levels struct {
	Epoch uint64 `json:"e"`
	// Ready is set once the ledger gives out grants.
	Ready bool `json:"k,omitempty"`
	// Rejoin asks for a report with Joins.
	Rejoin   bool    `json:"r,omitempty"`
	Gateways int     `json:"n,omitempty"`
	Levels   []Level `json:"l,omitempty"`
}

// Level is the state of one account.
type Level struct {
	Account string `json:"a"`
	// ByAge is the use of the last window over all gateways by age in seconds. The grants that are not used yet are in the first.
	ByAge []float64 `json:"u"`
	// Granted are the units granted to the gateway in this epoch, cumulative.
	Granted float64 `json:"g,omitempty"`
	// Share is the part of the limit that the gateway uses without a leader.
	Share float64 `json:"h,omitempty"`
	// Close asks for unused grants.
	Close bool `json:"c,omitempty"`
}

// GrantRequest asks for Cost units for one request at once, and for up to Want.
type GrantRequest struct {
	Gateway string  `json:"g"`
	Epoch   uint64  `json:"e"`
	Account string  `json:"a"`
	Cost    float64 `json:"c"`
	Want    float64 `json:"w,omitempty"`
}

// Grant is the answer to a GrantRequest.
type Grant struct {
	// Ready is false while the ledger can't decide: the gateway has not joined it, or others have not reported yet.
	Ready bool `json:"r,omitempty"`
	OK    bool `json:"k,omitempty"`
	// Granted are the units granted to the gateway in this epoch, cumulative.
	Granted float64 `json:"g,omitempty"`
	// WaitMs is the time after a denial in which there is no capacity.
	WaitMs int64 `json:"w,omitempty"`
	// Hold is set in a denial of a request that is within the quota: it can be granted after WaitMs, once all gateways know of
	// earlier grants.
	Hold bool `json:"h,omitempty"`
}
