package hub

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
	// renewInterval is the time between confirmations of the leadership.
	renewInterval = 100 * time.Millisecond
	// leaseTime is how long a confirmation allows orders.
	leaseTime = 350 * time.Millisecond
	// takeoverMargin covers an order that is on its way when the lease of the predecessor ends, and slow timers.
	takeoverMargin = 250 * time.Millisecond
)

// bootTime is a clock that goes on while the machine is suspended, unlike the monotonic clock of the runtime. A lease
// that stopped with the machine would still look valid to a leader that was suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// lease tells whether this instance may give orders. Only the leader of the group may; its term is the fencing number.
// A new leader first waits until the lease of its predecessor has ended and the targets' own period has passed.
type lease struct {
	group    *replica.Group
	quiet    time.Duration // after an election
	recorder *events.Recorder
	clock    func() time.Duration // goes on while the machine is suspended

	mu        sync.Mutex
	term      uint64
	firstFrom time.Duration // time of the clock from which orders are allowed in the term
	until     time.Duration // time of the clock at which the last confirmation ends
	stopped   bool
}

func newLease(group *replica.Group, period time.Duration, recorder *events.Recorder) *lease {
	return &lease{group: group, quiet: period + leaseTime + takeoverMargin, recorder: recorder, clock: bootTime}
}

// Fence returns the fencing number if an order may be given now.
func (l *lease) Fence() (fence uint64, ok bool) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0 && !l.stopped && now >= l.firstFrom && now < l.until
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

// renew confirms the leadership by a round of a majority. A leader elected later by another majority starts after the
// begin of that round, so it waits longer than the confirmation lasts.
func (l *lease) renew(ctx context.Context) {
	began := l.clock()
	before := l.group.Status()
	if before.Role != raft.Leader.String() {
		l.lose()
		return
	}
	attempt, cancel := context.WithTimeout(ctx, leaseTime)
	err := l.group.Barrier(attempt)
	cancel()
	after := l.group.Status()
	if err != nil || after.Role != raft.Leader.String() || after.Term != before.Term {
		return // the confirmation held so far ends by itself
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != after.Term {
		l.term = after.Term
		l.firstFrom = l.clock() + l.quiet
		l.recorder.Record(events.ControlGained, events.Fields{"fence": l.term, "orders_after_ms": l.quiet.Milliseconds()})
	}
	l.until = began + leaseTime
}

func (l *lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term > 0 {
		l.recorder.Record(events.ControlLost, events.Fields{"fence": l.term})
	}
	l.term, l.until = 0, 0
}

// stop ends orders for good.
func (l *lease) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}
