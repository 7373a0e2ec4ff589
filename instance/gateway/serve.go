package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// maxSends bounds the sends of one request, including those that targets rejected without running it.
	maxSends = 5
	// minTimeLeft is the time before the deadline below which a request is not sent any more.
	minTimeLeft = 20 * time.Millisecond
	// rejectionPause is the pause before the next send after a target rejected the request, for example because it is
	// full.
	rejectionPause = 5 * time.Millisecond
	// defaultRetryAfter is the shortest Retry-After while it is not known when the model will be loaded.
	defaultRetryAfter = 400 * time.Millisecond
	// retryAfterShare is the share of the time left after which a refused caller should return, up to maxRetryAfter.
	retryAfterShare = 0.25
	maxRetryAfter   = 2 * time.Second
	// retryAfterSpread is the jitter as a share of defaultRetryAfter, so that callers that were refused together do not
	// return together.
	retryAfterSpread = 0.5
)

// outcome is the result of one send.
type outcome uint8

const (
	delivered  outcome = iota // a complete answer was relayed
	notRun                    // the target did not run the request
	unsent                    // nothing was sent
	mayHaveRun                // the request was sent and got no complete answer
	expired                   // the deadline has passed and the request may still run
	abandoned                 // the caller closed the connection, or the process is about to exit
)

// serve sends a request to one target after the other until one has answered it.
func (g *Gateway) serve(w *answer, q *request) {
	var exclude []string
	ran := 0
	relay := &relay{g: g, w: w, q: q}
	defer g.endWithProcess(relay)()
	for q.sends < maxSends {
		target, reason := g.awaitTarget(q, exclude, relay.headSent.Load())
		if q.ctx.Err() != nil {
			g.endUnanswered(relay, q, ran)
			return
		}
		handOver := target == nil && g.mayHandOver(q, reason)
		if target == nil && !handOver {
			g.giveUp(relay, q, ran, string(reason))
			return
		}
		if target != nil && !g.stillAuthorized(q) { // awaitTarget may have waited for an adapter
			g.giveUp(relay, q, ran, reasonUnknownKey)
			return
		}
		if q.sends > 0 && !g.allowRepeat(time.Now(), q) {
			g.giveUp(relay, q, ran, "budget for repeated sends exhausted")
			return
		}
		if q.sends > 0 {
			g.metrics.repeated.Inc(1)
		}
		var result outcome
		if handOver {
			result = g.handOver(relay, q, ran)
		} else {
			q.lastTarget = target.ID
			exclude = append(exclude, target.ID)
			result = g.send(relay, q, target, ran)
		}
		switch result {
		case delivered:
			return
		case abandoned:
			g.endUnanswered(relay, q, ran+1)
			return
		case expired:
			g.giveUp(relay, q, ran+1, "deadline exceeded during a send")
			return
		case mayHaveRun:
			ran++
			q.sends++
			if !relay.mayGoOn() {
				g.giveUp(relay, q, ran, "answer broke off, and no other attempt can go on with it")
				return
			}
			if !q.route.Repeatable() || ran >= q.maxRuns() {
				g.giveUp(relay, q, ran, "no complete answer from a target after the last attempt of the route")
				return
			}
			if !g.mayRepeat(q) {
				g.giveUp(relay, q, ran, "several targets crashed under requests with a part of the prompt")
				return
			}
		case notRun:
			q.sends++
			if !sleep(q, rejectionPause) {
				g.endUnanswered(relay, q, ran)
				return
			}
		}
	}
	g.giveUp(relay, q, ran, "limit of sends per request reached")
}

// awaitTarget picks a target. When there is none, it waits for one for as long as maxWait allows. A request that is
// quarantined, perhaps only since it began to wait, gets none. Nor does one that can't end before the exit of the process, unless
// the caller has a part of the answer already.
func (g *Gateway) awaitTarget(q *request, exclude []string, answering bool) (*roster.Entry, dispatch.Reason) {
	started := time.Now()
	q.waitsForAdapter, q.adapterLate = g.waitsForAdapter(q, started, answering), false
	defer func() {
		g.demand.setWaiting(q, notWaiting)
		q.waited += time.Since(started)
	}()
	for {
		now := time.Now()
		if !g.stillAuthorized(q) {
			return nil, reasonUnknownKey
		}
		var quarantined string
		if quarantined, q.quarantinedFor = g.quarantineReason(q); quarantined != "" {
			return nil, dispatch.Reason(quarantined)
		}
		if q.deadline.Sub(now) < minTimeLeft {
			return nil, "deadline exceeded before a send"
		}
		if !answering && !g.endsBeforeExit(q.deadline) {
			return nil, reasonShuttingDown
		}
		target, reason := g.pick(now, q, exclude)
		if target != nil || reason == dispatch.NoneReachable && q.handedOver || g.mayHandOver(q, reason) {
			return target, reason
		}
		if reason == dispatch.AllExcluded && len(exclude) > 0 {
			// A target that failed a request is better than none, if the request may run there again.
			exclude = nil
			if q.sends == 0 || q.route.Repeatable() {
				continue
			}
		}
		if reason == dispatch.Starting {
			exclude = nil // a target that had no room is tried again before one that has just started gets more than its window
		}
		left := g.maxWait(q, reason, started) - now.Sub(started)
		if at, ok := g.loadedAt(q); reason == dispatch.NotLoaded && ok && at.Sub(now) > left {
			left = 0 // the model will be loaded too late: the caller gets a Retry-After at once
		}
		if reason == dispatch.LeftAlone {
			if at, ok := g.nextReturn(now, q); ok && at.Sub(now) > left {
				left = 0 // no target takes the request in time
				q.returnAfter = at.Sub(now) + rejectionPause
			}
		}
		if reason == dispatch.NoAdapter && q.adapterLate {
			left = 0
		}
		if left > 0 && g.shouldShed(now, q, reason, left) {
			left, reason = 0, reasonTooManyWaiting
		}
		if left <= 0 {
			q.notLoaded = reason == dispatch.NotLoaded
			if q.notLoaded {
				g.demand.countRefused(q)
			}
			return nil, reason
		}
		g.demand.setWaiting(q, g.waitStateOf(now, q))
		poll := waitPollInterval
		if reason == dispatch.NoAdapter || reason == dispatch.Limited && q.prompt.Adapter != "" {
			poll = adapterPollInterval
		}
		if !sleep(q, min(left, poll)) {
			return nil, reason
		}
	}
}

// waitsForAdapter returns until when a request waits for an adapter. One whose wait is over when it looks for a target, and one whose
// caller has a part of the answer, may still get an adapter that is loaded soon.
func (g *Gateway) waitsForAdapter(q *request, now time.Time, answering bool) time.Time {
	if wait := g.maxWait(q, dispatch.NoAdapter, now); wait > 0 && !answering {
		return now.Add(wait)
	}
	return q.deadline
}

const (
	// waitPollInterval is the polling interval while a request waits for a target or for the first configuration.
	waitPollInterval = 10 * time.Millisecond
	// adapterPollInterval is the polling interval while an adapter is missing. It is longer, since each poll asks the
	// leader.
	adapterPollInterval = 50 * time.Millisecond
	// waitShare is the share of the time left for which a request may wait for a target. A late answer is worth more
	// than a refusal, and the rest is enough for the longest answers.
	waitShare = 0.45
	// allFullWaitShare is the share while all targets are full: there are too many requests, and most callers have to
	// return later.
	allFullWaitShare = 0.25
)

// maxWait is how long a request may wait for a target before it is refused.
func (g *Gateway) maxWait(q *request, reason dispatch.Reason, now time.Time) time.Duration {
	if _, loading := g.loadedAt(q); reason == dispatch.OtherVersion || reason == dispatch.NotLoaded && q.softwareVersion != nil && !loading {
		// Models are placed without regard to the software versions of targets, so waiting does not help a stream that may
		// go on only at one of them.
		return 0
	}
	share := waitShare
	if reason == dispatch.AllFull || reason == dispatch.Limited || reason == dispatch.Starting {
		share = allFullWaitShare
	}
	left := time.Duration(float64(q.deadline.Sub(now)) * share)
	if reason == dispatch.AllFull && q.hasDeferrableRequests() {
		left = max(left, q.route.Objective-q.age(now)) // others go first, and it can still be in time
	}
	if reason == dispatch.Limited && q.route.Objective > 0 {
		// The permits for targets in need are few. One for a request that is late already is missing for one in time.
		left = min(left, q.route.Objective-now.Sub(q.arrived))
	}
	if q.route.Kind == routes.Stream {
		left = min(left, maxStreamWait(q.route)-now.Sub(q.arrived))
	}
	return left
}

const (
	// Callers abandon a stream without a first event after the longest of minStreamWait, objectiveFactor times the
	// objective of its route and pauseFactor times the pause objective.
	minStreamWait   = 2 * time.Second
	objectiveFactor = 4
	pauseFactor     = 8
	// streamWaitShare leaves time for a refusal to arrive before the caller abandons the stream. A refused caller returns
	// once more.
	streamWaitShare = 0.94
)

// maxStreamWait is how long after its arrival a request for a stream may wait before its caller abandons it.
func maxStreamWait(r *routes.Route) time.Duration {
	wait := max(minStreamWait, objectiveFactor*r.Objective, pauseFactor*r.PauseObjective)
	return time.Duration(float64(wait) * streamWaitShare)
}

// loadingModel is a model that a target is loading.
type loadingModel struct {
	target, service, model string
	loadedAt               time.Time // expected end of the load
}

// loadedAt returns when the model of a request is expected to be loaded at a target at which it may run.
func (g *Gateway) loadedAt(q *request) (at time.Time, ok bool) {
	for _, a := range *g.loading.Load() {
		if a.service == q.service.Name && a.model == q.prompt.Model && (!ok || a.loadedAt.Before(at)) && g.versionAllowed(q, a.target) {
			at, ok = a.loadedAt, true
		}
	}
	return at, ok
}

// versionAllowed reports whether a request may run at the software version of the target with the given id.
func (g *Gateway) versionAllowed(q *request, id string) bool {
	targets := g.view.Targets()
	return q.softwareVersion == nil || slices.ContainsFunc(targets, func(t roster.Entry) bool { return t.ID == id && q.mayRunAt(&t) })
}

// sleep waits and reports whether the caller is still connected.
func sleep(q *request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-q.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// giveUp ends a request without a complete answer of a target. ran is the number of sends that may have run it.
func (g *Gateway) giveUp(r *relay, q *request, ran int, reason string) {
	g.giveBackQuota(q, ran)
	fields := events.Fields{
		"request": q.id, "route": q.route.Name, "version": q.table.Version(), "service": q.service.Name, "model": q.prompt.Model,
		"target": q.lastTarget, "sends": q.sends, "held_ms": q.waited.Milliseconds(), "reason": reason,
		"after_ms": time.Since(q.arrived).Milliseconds(),
	}
	if r.headSent.Load() {
		g.metrics.failed.Inc(1)
		fields["status"] = "cut"
		g.recorder.Record(events.RequestFailed, fields)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusServiceUnavailable
	switch {
	case ran == 0 && q.handedOver && reason == string(dispatch.NoneReachable):
		if !g.reachesNone() {
			r.w.Header().Set(fleetapi.HeaderHandoverService, q.service.Name)
		}
		r.w.sendStatus(dialect.StatusMisdirected)
		return
	case ran == 0 && reason == reasonUnknownKey:
		g.metrics.unauthorized.Inc(1)
		status = http.StatusUnauthorized
	case ran == 0:
	case !time.Now().Before(q.deadline.Add(-minTimeLeft)):
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	fields["status"] = status
	if status == http.StatusServiceUnavailable {
		g.metrics.refused.Inc(1)
		pause := g.retryAfter(q)
		fields["retry_after_ms"] = pause.Milliseconds()
		r.w.Header().Set(g.opts.Headers.RetryAfter, formatSeconds(pause))
		g.recorder.Record(events.RequestRefused, fields)
	} else if status == http.StatusUnauthorized {
		g.metrics.refused.Inc(1)
		g.recorder.Record(events.RequestRefused, fields)
	} else {
		g.metrics.failed.Inc(1)
		g.recorder.Record(events.RequestFailed, fields)
	}
	r.w.sendStatus(status)
}

// retryAfter is the pause after which a refused caller should return: until the end of its quarantine, until the model is
// expected to be loaded, or a share of its time left, with jitter.
func (g *Gateway) retryAfter(q *request) time.Duration {
	now := time.Now()
	if q.quarantinedFor > 0 {
		return q.quarantinedFor
	}
	if q.returnAfter > 0 {
		return q.returnAfter + time.Duration(retryAfterSpread*g.randomFloat()*float64(defaultRetryAfter))
	}
	// A missing model takes seconds to load, so the caller should return late. Callers do not honour a pause of more than
	// a third of their time left.
	pause := min(max(time.Duration(float64(q.deadline.Sub(now))*retryAfterShare), defaultRetryAfter), maxRetryAfter)
	if at, ok := g.loadedAt(q); q.notLoaded && ok && at.After(now) {
		pause = at.Sub(now) + rejectionPause
	}
	return pause + time.Duration(retryAfterSpread*g.randomFloat()*float64(defaultRetryAfter))
}

// endUnanswered ends a request whose context has ended, or whose caller can't be written to. ran is the number of sends that may have
// run it.
func (g *Gateway) endUnanswered(r *relay, q *request, ran int) {
	if errors.Is(context.Cause(q.ctx), errExiting) {
		g.giveUp(r, q, ran, errExiting.Error())
		return
	}
	g.giveBackQuota(q, ran)
	g.recordCallerLeft(q)
}

// recordCallerLeft records that the caller closed its connection.
func (g *Gateway) recordCallerLeft(q *request) {
	g.metrics.cancelled.Inc(1)
	g.recorder.Record(events.CallerLeft, events.Fields{
		"request": q.id, "route": q.route.Name, "target": q.lastTarget, "after_ms": time.Since(q.arrived).Milliseconds(),
	})
}
