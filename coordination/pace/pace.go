// Package pace holds the window of concurrent requests of targets that have just started or recovered: how many requests all
// gateways together may have in flight there. The answers of a target open its window or close it.
//
// Load pattern: a target starts, or returns after a crash, a freeze or a partition, under a burst, while hundreds of gateways
// share it. Each of them sees an idle target and sends to it, so a target with 12 slots gets hundreds of requests within the
// delay of one load report, at the time at which it is slowest.
//
// The leader keeps the windows (Sums) and gives each gateway its part with each load summary. Gateways decide by that part
// (Table).
package pace

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

const (
	// initialWindow is the window at the begin of a phase. With two requests, one gateway that fails or is slow to report does
	// not stop the growth.
	initialWindow = 2
	minWindow     = 1
	// minAllowanceTTL is the least time for which the part of a gateway counts as in use after its last report, and for which
	// the gateway decides by it. It is that after which a load report no longer counts.
	minAllowanceTTL = time.Second
	// missedReports is the number of report intervals after which it no longer counts.
	missedReports = 3
	// maxPhase bounds a phase from the first answer, so that a target that is slow for another reason than its load is not
	// held back for longer. It is the longest time for which callers of urgent requests wait (their deadline).
	maxPhase = 10 * time.Second
	// maxIdlePhase bounds a phase without answers. An engine first loads models, which takes up to 10 s.
	maxIdlePhase = 60 * time.Second
)

// firstListPeriod is the time from the first list of targets within which one that was not in it does not count as started: after a
// restart of the control instances, targets become known one after the other, with their heartbeats every 1.2 s.
const firstListPeriod = 3 * time.Second

// Result is how a request at a target went.
type Result uint8

const (
	// InTime means that the response began within the objective of its route.
	InTime Result = iota
	// Near means that it began in time, but took more than half of the objective.
	Near
	// Late means that it began later.
	Late
	// Refused means that the target had no room.
	Refused
	// Broken means that there was no response, or that it broke off.
	Broken
)

// ResultOf returns the result of a response that began after a time. Without an objective, 0, none is late.
func ResultOf(after, objective time.Duration) Result {
	switch {
	case objective <= 0 || after <= objective/2:
		return InTime
	case after <= objective:
		return Near
	}
	return Late
}

// Observation is what a gateway saw of a target in its start phase since its last load report.
type Observation struct {
	Target roster.Key `json:"t"`
	// Round is that of the window under which the requests were sent, see Part; 0 if no leader named it.
	Round  int64 `json:"r,omitempty"`
	InTime int   `json:"i,omitempty"`
	// Near are those in time that took more than half of their objective.
	Near int `json:"e,omitempty"`
	// Bad are the responses that were late, refused or broken.
	Bad int `json:"b,omitempty"`
	// Wanted is the number of picks for which the target was eligible.
	Wanted int `json:"w,omitempty"`
	// Window is the last one that a leader named. A new leader continues from it.
	Window int `json:"n,omitempty"`
}

// Part is the part of one gateway in the window of a target in its start phase.
type Part struct {
	Target roster.Key `json:"t"`
	// Round changes when a phase begins and when its window is reduced: responses to requests that were sent before say nothing
	// about the window since. It is the time of the change in Unix ns, so that the rounds of successive leaders are ordered.
	Round  int64 `json:"r"`
	Window int   `json:"n"`
	// Allowed is the number of concurrent requests that this gateway may have at the target.
	Allowed int `json:"a,omitempty"`
}

// allowanceTTL returns how long the part of a gateway counts, see minAllowanceTTL.
func allowanceTTL(reportInterval time.Duration) time.Duration {
	return max(minAllowanceTTL, missedReports*reportInterval)
}

// Applies reports whether the part takes effect for a target: a start with no more gateways than slots floods nothing.
func Applies(gateways, slots int) bool { return gateways > max(slots, 1) }
