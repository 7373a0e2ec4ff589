package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/events"
)

const (
	// refuseAfter is the delay between the start of a shutdown and the refusal of requests whose deadline is after the exit of
	// the process. The platform checks readiness once a second and opens no new connections after two failed checks.
	// refuseShare bounds it where the grace period is short, so that time is left for the requests in progress.
	refuseAfter = 3 * time.Second
	refuseShare = 0.6
	// activePollInterval is the polling interval for requests in progress during a shutdown.
	activePollInterval = 20 * time.Millisecond
	// exitMargin is the time between the exit of the process and its kill at the end of the grace period. answerMargin is
	// the time that is left before the exit to send answers that are due at the latest deadline.
	exitMargin   = 200 * time.Millisecond
	answerMargin = 300 * time.Millisecond
	// flushTimeout bounds sending the ends of answers whose handlers have returned.
	flushTimeout = 100 * time.Millisecond
)

// shutdownPlan is when a shutdown goes on to its next step.
type shutdownPlan struct {
	// refuse is when requests are refused that can't end before the exit, and lastDeadline the latest deadline of one that can.
	refuse, lastDeadline time.Time
	// exit is before the end of the grace period, when the process is killed: a process that exits closes its connections cleanly.
	exit time.Time
}

// planShutdown plans a shutdown that starts now.
func planShutdown(now time.Time, grace time.Duration) shutdownPlan {
	exit := now.Add(max(grace-exitMargin, 0))
	return shutdownPlan{
		refuse: now.Add(min(refuseAfter, time.Duration(refuseShare*float64(grace)))), lastDeadline: exit.Add(-answerMargin), exit: exit,
	}
}

// shutdown first fails the readiness check, so that no new connections are opened, then refuses requests that cannot end
// before the exit, and waits for the requests in progress. Those that a target still works on at the end get an answer that says so.
func (g *Gateway) shutdown(servers ...*http.Server) {
	plan := planShutdown(time.Now(), g.opts.GracePeriod)
	g.stopping.Store(true)
	g.recorder.Record(events.DrainStarted, events.Fields{"active": g.activeRequests.Load()})
	// Keep-alive connections are not closed here: each answer has the header Connection: close. Closing idle ones, as
	// http.Server.Shutdown does, races with a request that was just read.
	time.Sleep(time.Until(plan.refuse))
	g.lastDeadline.Store(&plan.lastDeadline)
	g.recorder.Record(events.DrainRefusing, events.Fields{"active": g.activeRequests.Load()})
	g.awaitIdle(plan.lastDeadline)
	// A request that arrives from now on is refused, so that none is sent to a target while its connection is about to be closed.
	g.lastDeadline.Store(&time.Time{})
	if active := g.activeRequests.Load(); active > 0 {
		g.recorder.Record(events.DrainEnding, events.Fields{"active": active})
	}
	g.startExit()
	g.awaitIdle(plan.exit)
	closeServers(plan.exit, servers)
}

// awaitIdle waits until no request is in progress, until a deadline.
func (g *Gateway) awaitIdle(deadline time.Time) {
	for g.activeRequests.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(activePollInterval)
	}
}

// closeServers closes the connections of servers. Handlers that have just returned get flushTimeout for the end of their answers.
func closeServers(deadline time.Time, servers []*http.Server) {
	if flushed := time.Now().Add(flushTimeout); flushed.Before(deadline) {
		deadline = flushed
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, server := range servers {
		_ = server.Shutdown(ctx)
	}
	for _, server := range servers {
		_ = server.Close()
	}
}

// errExiting ends requests that have no answer when the process is about to exit.
var errExiting = errors.New("instance exits before a target has answered")

// endWithProcess ends a request whose answer has not begun when the process is about to exit. release must be called.
func (g *Gateway) endWithProcess(r *relay) (release func()) {
	ctx, cancel := context.WithCancelCause(r.q.ctx)
	r.q.ctx = ctx
	stop := context.AfterFunc(g.exiting, func() {
		if !r.headSent.Load() {
			cancel(errExiting)
		}
	})
	return func() {
		stop()
		cancel(nil)
	}
}

// reasonShuttingDown is why a request is refused that cannot end before the exit.
const reasonShuttingDown = "instance is shutting down and would exit before the deadline of the request"

// endsBeforeExit reports whether a request that no target works on yet may go on to its deadline. Otherwise its caller is better
// served elsewhere, and has most of its time left for that.
func (g *Gateway) endsBeforeExit(deadline time.Time) bool {
	last := g.lastDeadline.Load()
	return last == nil || !deadline.After(*last)
}
