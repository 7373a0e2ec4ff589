package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

const (
	// maxClockGap is the longest time between two looks at the clock that does not count as a standstill. It is above the scheduling pauses
	// of a process on a shared core, and below the time that a target needs to start again.
	maxClockGap = time.Second
	// arrivedBefore is the time after a standstill within which messages are read that had arrived during it, and are as old.
	arrivedBefore = 300 * time.Millisecond
	// maxTargetAge is the age of the latest heartbeat of a target from which on the target may have started again under its id without this
	// gateway's knowing. Heartbeats come every second or so and reach gateways within another.
	maxTargetAge = 5 * time.Second
	// restartNewsDelay is the time after a refused connection from which on a heartbeat shows that the known start of the target goes on.
	// Heartbeats that an ended start sent arrive later than its end, some of them seconds.
	restartNewsDelay = 2500 * time.Millisecond
)

// standstill finds out whether this process stood still: stopped by a signal, or suspended with its machine.
type standstill struct {
	// elapsed is a clock that goes on while the machine is suspended.
	elapsed func() time.Duration

	mu   sync.Mutex
	seen time.Duration
	news time.Time
}

func newStandstill(elapsed func() time.Duration) *standstill {
	return &standstill{elapsed: elapsed, seen: elapsed()}
}

// newsSince returns the time from which on what is received is news from after the latest standstill, the zero time if there was none.
// It is called at least every probeInterval.
func (s *standstill) newsSince(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := s.elapsed()
	if elapsed-s.seen > maxClockGap {
		s.news = now.Add(arrivedBefore)
	}
	s.seen = elapsed
	return s.news
}

// sinceBoot is the time since the start of the machine, with the time for which it was suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // never a standstill
	}
	return time.Duration(t.Nano())
}

// mayHaveRestarted reports whether a target may have started again since its latest heartbeat, perhaps at another software version: this
// gateway was cut off from the control instances or stood still, or the target refused a connection.
func (g *Gateway) mayHaveRestarted(now time.Time, t *roster.Entry) bool {
	if now.Sub(t.HeardAt) > maxTargetAge || t.HeardAt.Before(g.standstill.newsSince(now)) {
		return true
	}
	refusedAt, refused := g.refusals.Load(t.Address)
	return refused && t.HeardAt.Before(refusedAt.(time.Time).Add(restartNewsDelay))
}

// recordRefusals returns a dial function that records when an address refused a connection.
func (g *Gateway) recordRefusals(dial upstream.Dial) upstream.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.refusals.Store(address, time.Now())
		}
		return conn, err
	}
}
