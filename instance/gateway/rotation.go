package gateway

import (
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/rotation"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

const (
	// closeAfterChecks is the number of failed readiness checks after which the platform opens no new connections. A caller whose
	// connection was closed before would connect to the same gateway again. They are closeAfter apart at least, since there may be
	// several that check.
	closeAfterChecks = 2
	closeAfter       = 900 * time.Millisecond
)

// inRotation measures the lag of this gateway, and keeps whether it is out of rotation and which connections of callers are closed
// then.
type inRotation struct {
	// clock goes on while the machine is suspended.
	clock    func() time.Time
	recorder *events.Recorder
	metrics  *counters

	// out is set while the member is out, or has not noticed yet that it has to return.
	out atomic.Bool
	// closeFrom is the number of the oldest connection that is closed with its next response.
	closeFrom atomic.Uint64

	mu     sync.Mutex
	window rotation.LagWindow
	member rotation.Member
	// mean is the mean number of connections of the data centre.
	mean int
	// checks is the number of readiness checks that failed since the gateway is out, and firstCheck the time of the first one.
	checks     int
	firstCheck time.Time
	closed     int64 // responses with which a connection was closed
	// conns are the connections of callers, by remote address.
	conns  map[string]numberedConn
	opened uint64 // number of the latest connection
}

// numberedConn is a connection and its number in the order in which they were opened.
type numberedConn struct {
	net.Conn
	number uint64
}

// closeNone is above the number of any connection.
const closeNone = math.MaxUint64

func newInRotation(recorder *events.Recorder, metrics *counters) *inRotation {
	r := &inRotation{clock: func() time.Time { return time.Unix(0, int64(sinceBoot())) }, recorder: recorder, metrics: metrics,
		conns: make(map[string]numberedConn)}
	r.closeFrom.Store(closeNone)
	return r
}

// measure measures the lag until ctx ends.
func (r *inRotation) measure(ctx context.Context) { rotation.MeasureLag(ctx, r.sample) }

// sample records the delay of a timer and returns the period of the next one.
func (r *inRotation) sample(now time.Time, delay time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Add(now, delay)
	if r.out.Load() {
		r.stepLocked(now)
	}
	return r.window.Period(now)
}

// stepLocked returns this gateway to rotation if it has to.
func (r *inRotation) stepLocked(now time.Time) {
	lag, _ := r.window.Lag(now)
	r.comeBackLocked(r.member.Step(r.clock(), lag))
}

func (r *inRotation) comeBackLocked(back *rotation.Return) {
	if back == nil {
		return
	}
	r.out.Store(false)
	r.closeFrom.Store(closeNone)
	r.recorder.Record(events.RotationReturned, events.Fields{"cause": string(back.Cause), "out_ms": back.Out.Milliseconds(), "closed": r.closed})
}

// report returns what this gateway reports, nil before the first measurement.
func (r *inRotation) report(now time.Time, dataCentre string) *fleetapi.RotationReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	lag, ok := r.window.Lag(now)
	if !ok {
		return nil
	}
	r.metrics.lagMs.Update(lag.Milliseconds())
	r.metrics.callerConnections.Update(int64(len(r.conns)))
	return fleetapi.RotationReportOf(rotation.Report{DataCentre: dataCentre, Lag: lag, Connections: len(r.conns), State: r.member.State(r.clock())})
}

// apply applies the answer of the leader to a report that was sent at askedAt, by r.clock.
func (r *inRotation) apply(now, askedAt time.Time, s *fleetapi.RotationSummary) {
	if s == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(now)
	answer := s.Answer()
	left, back := r.member.Apply(r.clock(), askedAt, answer)
	r.comeBackLocked(back)
	if left {
		r.out.Store(true)
		r.checks, r.closed = 0, 0
		r.metrics.rotations.Inc(1)
		lag, _ := r.window.Lag(now)
		r.recorder.Record(events.RotationLeft, events.Fields{"lag_ms": lag.Milliseconds(), "connections": len(r.conns), "mean_connections": answer.MeanConnections})
	}
	if answer.Out {
		r.mean = answer.MeanConnections
	}
	r.chooseLocked()
}

// failsCheck reports whether a readiness check fails because this gateway is out of rotation.
func (r *inRotation) failsCheck() bool {
	if !r.out.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if !r.member.Out(now) {
		return false
	}
	if r.checks++; r.checks == 1 {
		r.firstCheck = now
	}
	r.chooseLocked()
	return true
}

// chooseLocked chooses the connections that are closed with their next response: those above the mean, the oldest of which stay.
func (r *inRotation) chooseLocked() {
	now := r.clock()
	if !r.member.Out(now) || r.checks < closeAfterChecks || now.Sub(r.firstCheck) < closeAfter || r.mean < 1 || len(r.conns) <= r.mean {
		r.closeFrom.Store(closeNone)
		return
	}
	numbers := make([]uint64, 0, len(r.conns))
	for _, c := range r.conns {
		numbers = append(numbers, c.number)
	}
	slices.Sort(numbers)
	r.closeFrom.Store(numbers[r.mean])
}

// closes reports whether a response on the connection from a remote address closes it.
func (r *inRotation) closes(remote string) bool {
	from := r.closeFrom.Load()
	if from == closeNone {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.conns[remote]; !ok || c.number < from || !r.member.Out(r.clock()) {
		return false
	}
	r.closed++
	r.metrics.rotationCloses.Inc(1)
	return true
}

// observe follows the connections of callers, see http.Server.ConnState.
func (r *inRotation) observe(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		r.mu.Lock()
		r.opened++
		r.conns[c.RemoteAddr().String()] = numberedConn{c, r.opened}
		r.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		r.mu.Lock()
		if remote := c.RemoteAddr().String(); r.conns[remote].Conn == c {
			delete(r.conns, remote)
		}
		r.mu.Unlock()
	}
}
