package controlinstance

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/events"
)

const (
	// renewInterval is the time between lease renewals.
	renewInterval = 100 * time.Millisecond
	// leaseTime is how long orders are allowed after a renewal.
	leaseTime = 350 * time.Millisecond
	// takeoverMargin covers an order that is in flight when the lease of the previous leader ends, and late timers.
	takeoverMargin = 250 * time.Millisecond
)

// bootTime is a clock that includes time during which the machine is suspended, unlike the monotonic clock of the Go
// runtime. With the latter, a leader would take an expired lease for valid after a suspend.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// lease decides whether this instance may give orders. Only the leader of the group may; its term is the fencing number.
// A new leader first waits until the lease of the previous leader has ended and the time has passed within which a target
// must not receive orders from two instances (Options.ExclusionPeriod).
type lease struct {
	group      *replica.Group
	startDelay time.Duration // delay between an election and the first order
	recorder   *events.Recorder
	clock      func() time.Duration // includes suspend, see bootTime

	mu   sync.Mutex
	term uint64
	// permitsFrom and ordersFrom are the clock times from which permits and orders are given in the term.
	permitsFrom, ordersFrom time.Duration
	expiresAt               time.Duration // clock time at which the lease ends
	stopped                 bool
}

func newLease(group *replica.Group, exclusionPeriod time.Duration, recorder *events.Recorder) *lease {
	return &lease{group: group, startDelay: exclusionPeriod + leaseTime + takeoverMargin, recorder: recorder, clock: bootTime}
}

// Fence returns the fencing number if an order may be given now.
func (l *lease) Fence() (fence uint64, ok bool) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0 && !l.stopped && now >= l.ordersFrom && now < l.expiresAt
}

// PermitsAllowed reports whether permits for targets in need may be given out now. They need no exclusion period, but the lease
// of the previous leader must have ended: the permits of two leaders would add up to twice the limit.
func (l *lease) PermitsAllowed() bool {
	_, ok := l.PermitTerm()
	return ok
}

// PermitTerm returns the term in which permits may be given out now. No two instances have the same.
func (l *lease) PermitTerm() (term uint64, ok bool) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0 && !l.stopped && now >= l.permitsFrom && now < l.expiresAt
}

func (l *lease) run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		l.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew extends the lease after a quorum has confirmed the leadership. The lease counts from the start of that round
// trip. A new leader can only be elected after that start, so its delay outlasts the lease.
func (l *lease) renew(ctx context.Context) {
	began := l.clock()
	before := l.group.Status()
	if before.Role != raft.Leader.String() {
		l.lose()
		return
	}
	attemptCtx, cancel := context.WithTimeout(ctx, leaseTime)
	err := l.group.Barrier(attemptCtx)
	cancel()
	after := l.group.Status()
	if err != nil || after.Role != raft.Leader.String() || after.Term != before.Term {
		return // the lease expires unless a later renewal succeeds
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != after.Term {
		l.term = after.Term
		l.permitsFrom = l.clock() + leaseTime + takeoverMargin
		l.ordersFrom = l.clock() + l.startDelay
		l.recorder.Record(events.ControlGained, events.Fields{"fence": l.term, "orders_after_ms": l.startDelay.Milliseconds()})
	}
	l.expiresAt = began + leaseTime
}

func (l *lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term > 0 {
		l.recorder.Record(events.ControlLost, events.Fields{"fence": l.term})
	}
	l.term, l.expiresAt = 0, 0
}

// stop forbids orders for good.
func (l *lease) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}
