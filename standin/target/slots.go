package target

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// maxLoadSamples bounds the history of load samples. For times before the oldest sample loadAt returns an empty report.
const maxLoadSamples = 4096

// loadSampleInterval is the least time between samples; closer ones are merged. The history then covers at least 40 s.
const loadSampleInterval = 10 * time.Millisecond

type waiter struct {
	rank  int
	ready chan struct{}
}

// slots limits the requests that run at the same time and queues a bounded number of others by priority, then by
// arrival.
type slots struct {
	limit, queueLimit int
	reserveBytes      int64

	mu      sync.Mutex
	running int
	waiting []*waiter
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load targetapi.LoadReport
}

func newSlots(limit, queueLimit int, reserveBytes int64) *slots {
	return &slots{limit: limit, queueLimit: queueLimit, reserveBytes: reserveBytes}
}

// acquire waits for a slot. It returns full without waiting when the queue is full, and the context's error when the
// request is cancelled while queued.
func (s *slots) acquire(ctx context.Context, priority releasenote.Priority) (full bool, err error) {
	s.mu.Lock()
	if s.running < s.limit {
		s.running++
		s.recordSample()
		s.mu.Unlock()
		return false, nil
	}
	if len(s.waiting) >= s.queueLimit {
		s.mu.Unlock()
		return true, nil
	}
	w := &waiter{rank: priority.Rank(), ready: make(chan struct{})}
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].rank > w.rank {
		at--
	}
	s.waiting = append(s.waiting[:at], append([]*waiter{w}, s.waiting[at:]...)...)
	s.recordSample()
	s.mu.Unlock()
	select {
	case <-w.ready:
		return false, nil
	case <-ctx.Done():
		s.cancelWait(w)
		return false, ctx.Err()
	}
}

// cancelWait removes a cancelled waiter from the queue. If it was granted a slot concurrently, the slot is released.
func (s *slots) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.recordSample()
			return
		}
	}
	s.releaseLocked()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if len(s.waiting) > 0 {
		close(s.waiting[0].ready)
		s.waiting = s.waiting[1:]
	} else {
		s.running--
	}
	s.recordSample()
}

func (s *slots) recordSample() {
	now := time.Now()
	load := targetapi.LoadReport{
		MeasuredAtMs: now.UnixMilli(), Running: s.running, Queued: len(s.waiting),
		KVUsedBytes: s.reserveBytes * int64(s.running) / int64(max(1, s.limit)),
	}
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) < loadSampleInterval {
		s.samples[n-1].load = load
		return
	}
	s.samples = append(s.samples, loadSample{at: now, load: load})
	if len(s.samples) > maxLoadSamples {
		s.samples = s.samples[1:]
	}
}

// loadAt returns the load at a time in the past.
func (s *slots) loadAt(at time.Time) targetapi.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := targetapi.LoadReport{}
	for _, sample := range s.samples {
		if sample.at.After(at) {
			break
		}
		report = sample.load
	}
	report.MeasuredAtMs = at.UnixMilli()
	return report
}
