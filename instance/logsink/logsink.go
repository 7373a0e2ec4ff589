// Package logsink writes log lines without ever blocking the writer: lines above a rate, and lines that do not fit in the
// queue while the output is slow, are dropped and counted.
package logsink

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is the length of the queue of lines for the output.
	queueLines = 512
	// DefaultLinesPerSecond and defaultBurst are the rate and the size of the token bucket that bounds the volume under load.
	DefaultLinesPerSecond = 150
	defaultBurst          = 600
	// reportInterval is the time between reports of dropped lines.
	reportInterval = 5 * time.Second
	// flushBytes and flushPause bound the size and the delay of a batch of lines; batches save system calls.
	flushBytes = 8 << 10
	flushPause = 100 * time.Millisecond
)

// Sink is an io.Writer of lines. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

// New returns a sink for an output. Nothing is written before Run.
func New(out io.Writer, linesPerSecond float64) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queueLines), limiter: rate.NewLimiter(rate.Limit(linesPerSecond), defaultBurst)}
}

// Write queues one line, or drops and counts it.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limiter.Allow() {
		s.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case s.lines <- copied:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last call.
func (s *Sink) Dropped() int64 { return s.dropped.Swap(0) }

// Run writes lines until ctx ends, and then those that are still queued. report is called at most every reportInterval with
// the number of dropped lines.
func (s *Sink) Run(ctx context.Context, report func(lines int64)) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.flush(ctx, line)
		case <-ticker.C:
			if n := s.Dropped(); n > 0 {
				report(n)
			}
		case <-ctx.Done():
			s.rest()
			return
		}
	}
}

// flush writes a line in a batch with those that follow within flushPause.
func (s *Sink) flush(ctx context.Context, batch []byte) {
	timer := time.NewTimer(flushPause)
	defer timer.Stop()
	for len(batch) < flushBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	// The error is ignored: when the output fails, there is nowhere else to report it.
	_, _ = s.out.Write(batch)
}

func (s *Sink) rest() {
	for {
		select {
		case line := <-s.lines:
			_, _ = s.out.Write(line)
		default:
			return
		}
	}
}
