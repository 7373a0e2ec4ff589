package headroom

import (
	"sync"
	"time"
)

const (
	// initialServiceTime stands for the time that a request holds a slot before any has ended.
	initialServiceTime = time.Second
	// serviceTimeWeight is the weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.05
	// maxReturnSpread bounds the time over which refused callers are asked to return.
	maxReturnSpread = 2 * time.Second
)

// ServiceTimes holds the average time for which requests hold a slot, by service. It is safe for concurrent use.
type ServiceTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// NewServiceTimes returns service times without samples.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{means: make(map[string]time.Duration)} }

// Observe adds the time for which a request held a slot.
func (s *ServiceTimes) Observe(service string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.means[service]
	if !ok {
		mean = initialServiceTime
	}
	s.means[service] = mean + time.Duration(serviceTimeWeight*float64(took-mean))
}

// Mean returns the average for a service.
func (s *ServiceTimes) Mean(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, ok := s.means[service]; ok {
		return mean
	}
	return initialServiceTime
}

// ExpectedWait returns how long a request is expected to wait for one of the slots, all of which are taken, together with those
// that wait already. Urgent requests wait with urgent ones only.
func ExpectedWait(own, others Queue, urgent bool, slots int, serviceTime time.Duration) time.Duration {
	ahead := own.Total() + others.Total()
	if urgent {
		ahead = own.Urgent + others.Urgent
	}
	return time.Duration(float64(ahead) / float64(max(slots, 1)) * float64(serviceTime))
}

// Refuse reports whether a request that would wait longer than it may is refused at once. draw is a random number in [0, 1). Of the
// requests that arrive between two reports as many are kept as can be served: if all were refused, the slots would be idle until
// the next report.
func Refuse(wait, left time.Duration, draw float64) bool {
	return wait > left && draw*float64(wait) >= float64(left)
}

// ReturnAfter returns when a refused caller should return, given how long it would have waited. draw is a random number in [0, 1). It
// spreads the callers that are refused together over as much time again, since their requests find room one after the other.
func ReturnAfter(wait time.Duration, draw float64) time.Duration {
	return wait + time.Duration(draw*float64(min(wait, maxReturnSpread)))
}
