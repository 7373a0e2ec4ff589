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
	// queueCapacity is the length of the queue of lines for the output.
	queueCapacity = 512
	// DefaultLinesPerSecond and defaultBurstLines are the rate and the size of the token bucket that bounds the volume under
	// load.
	DefaultLinesPerSecond = 150
	defaultBurstLines     = 600
	// reportInterval is the time between reports of dropped lines.
	reportInterval = 5 * time.Second
	// maxBatchBytes and maxBatchDelay bound the size and the delay of a batch of lines; batches save system calls.
	maxBatchBytes = 8 << 10
	maxBatchDelay = 100 * time.Millisecond
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
	return &Sink{out: out, lines: make(chan []byte, queueCapacity), limiter: rate.NewLimiter(rate.Limit(linesPerSecond), defaultBurstLines)}
}

// Write queues one line, or drops and counts it.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limiter.Allow() {
		s.dropped.Add(1)
		return len(line), nil
	}
	lineCopy := append([]byte(nil), line...)
	select {
	case s.lines <- lineCopy:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// TakeDropped returns the number of lines that were dropped since the last call.
func (s *Sink) TakeDropped() int64 { return s.dropped.Swap(0) }

// Run writes lines until ctx ends, and then those that are still queued. report is called at most every reportInterval
// with the number of dropped lines.
func (s *Sink) Run(ctx context.Context, report func(lines int64)) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.writeBatch(ctx, line)
		case <-ticker.C:
			if n := s.TakeDropped(); n > 0 {
				report(n)
			}
		case <-ctx.Done():
			s.writeQueued()
			return
		}
	}
}

// writeBatch writes a line in a batch with those that follow within maxBatchDelay.
func (s *Sink) writeBatch(ctx context.Context, batch []byte) {
	timer := time.NewTimer(maxBatchDelay)
	defer timer.Stop()
	for len(batch) < maxBatchBytes {
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

func (s *Sink) writeQueued() {
	for {
		select {
		case line := <-s.lines:
			_, _ = s.out.Write(line)
		default:
			return
		}
	}
}
