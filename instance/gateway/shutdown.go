package gateway

import (
	"net/http"
	"time"

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
// before the exit, and then waits for the requests in progress.
func (g *Gateway) shutdown(callerServer *http.Server) {
	plan := planShutdown(time.Now(), g.opts.GracePeriod)
	g.stopping.Store(true)
	g.recorder.Record(events.DrainStarted, events.Fields{"active": g.activeRequests.Load()})
	// Keep-alive connections are not closed here: each answer has the header Connection: close. Closing idle ones, as
	// http.Server.Shutdown does, races with a request that was just read.
	time.Sleep(time.Until(plan.refuse))
	g.lastDeadline.Store(&plan.lastDeadline)
	g.recorder.Record(events.DrainRefusing, events.Fields{"active": g.activeRequests.Load()})
	for g.activeRequests.Load() > 0 && time.Now().Before(plan.exit) {
		time.Sleep(activePollInterval)
	}
	_ = callerServer.Close()
}

// reasonShuttingDown is why a request is refused that cannot end before the exit.
const reasonShuttingDown = "instance is shutting down and would exit before the deadline of the request"

// endsBeforeExit reports whether a request that no target works on yet may go on to its deadline. Otherwise its caller is better
// served elsewhere, and has most of its time left for that.
func (g *Gateway) endsBeforeExit(deadline time.Time) bool {
	last := g.lastDeadline.Load()
	return last == nil || !deadline.After(*last)
}
