package gateway

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

const (
	// hearMargin is the time after a failed connection from which another target has to send something. What it sent before
	// may still be on its way through this process.
	hearMargin = 10 * time.Millisecond
	// hearWait is the time for which other targets may send something before a connection to some of them is attempted.
	hearWait = 20 * time.Millisecond
	// partitionSample is the number of targets to which a connection is attempted to find out whether this gateway reaches
	// any.
	partitionSample = 3
)

// reachesOthers reports whether this gateway reaches any target but one to which a connection failed at a time. If it does
// not, its own links have failed rather than that target.
func (g *Gateway) reachesOthers(except string, failedAt time.Time) bool {
	if len(g.view.Targets()) < 2 {
		return true // there is no other to compare with
	}
	time.Sleep(time.Until(failedAt.Add(hearMargin + hearWait)))
	if g.loadTracker.HeardElsewhere(except, failedAt.Add(hearMargin)) {
		return true
	}
	targets := g.loadTracker.Reachable(g.view.Targets(), except)
	g.rngMu.Lock()
	g.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	g.rngMu.Unlock()
	return g.connectAny(targets[:min(len(targets), partitionSample)])
}

// connectAny reports whether any of the targets accepts a connection. Those that do not respond are marked as unreachable.
func (g *Gateway) connectAny(targets []*roster.Entry) bool {
	accepted := make(chan bool, len(targets))
	for _, t := range targets {
		go func() {
			err := g.client.Connect(context.Background(), t.Address)
			switch {
			case err == nil:
				g.loadTracker.RecordProbe(time.Now(), t.ID, true)
			case isTimeout(err):
				g.loadTracker.RecordConnectFailure(time.Now(), t.ID)
			}
			accepted <- err == nil
		}()
	}
	for range targets {
		if <-accepted {
			return true
		}
	}
	return false
}

// isTimeout reports whether nothing responded to an attempt to connect. A target that refuses a connection may do so because it
// has too many.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// probeSilent finds out whether a silent target responds to a connection. If it does not, and this gateway reaches no other either,
// the connections to all of them are probed: requests on those that are dead would wait in vain.
func (g *Gateway) probeSilent(ctx context.Context, t *roster.Entry) {
	err := g.client.Connect(ctx, t.Address)
	now := time.Now()
	if err == nil {
		g.loadTracker.RecordProbe(now, t.ID, true)
		return
	}
	if !isTimeout(err) {
		return
	}
	g.loadTracker.RecordConnectFailure(now, t.ID)
	g.attempts.cancelSilent(now, t.ID)
	if !g.reachesOthers(t.ID, now) {
		g.connectAny(g.loadTracker.Reachable(g.view.Targets(), t.ID))
	}
}
