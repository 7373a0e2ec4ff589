// Package gatewaycount keeps the number of gateways that share an allowance, as leaders report it.
//
// The load pattern: all gateways and the leader restart together. The leader counts the gateways from none, so its first
// answers report few, and each gateway would use the whole allowance or a large part of it.
package gatewaycount

import (
	"sync"
	"time"
)

// Planned is above the number of gateways of the largest planned deployment. Used as the number until it is known, it
// leaves a gateway none of a slack that is made for all.
const Planned = 400

const (
	// settleTime is the time after the first report from which the number counts as known. Within it, each gateway has
	// reported to a leader that counts from none: the longest interval of reports is a second.
	settleTime = 3 * time.Second
	// memory is the time for which the largest number counts. It is the longest window of an allowance, and covers the time
	// in which a new leader counts the gateways.
	memory = 10 * time.Second
	// buckets divide memory.
	buckets = 10
)

// Counter is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	first   time.Time // of the first report
	last    int       // the last number that was reported
	largest [buckets]int
	bucket  int64 // index of the current bucket since the Unix epoch
}

// Observe records a number that a leader reported. Numbers below 1 are no reports.
func (c *Counter) Observe(now time.Time, gateways int) {
	if gateways < 1 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first.IsZero() {
		c.first = now
	}
	c.advance(now)
	c.last = gateways
	c.largest[c.bucket%buckets] = max(c.largest[c.bucket%buckets], gateways)
}

// Gateways returns the largest number that was reported within the memory, or the last one if there was none. Until the
// number is known, it is at least unknown.
func (c *Counter) Gateways(now time.Time, unknown int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	gateways := c.last
	for _, n := range c.largest {
		gateways = max(gateways, n)
	}
	if c.first.IsZero() || now.Sub(c.first) < settleTime {
		gateways = max(gateways, unknown)
	}
	return gateways
}

func (c *Counter) advance(now time.Time) {
	bucket := now.UnixNano() / int64(memory/buckets)
	for steps := min(bucket-c.bucket, buckets); steps > 0; steps-- {
		c.largest[(bucket-steps+1)%buckets] = 0
	}
	c.bucket = max(c.bucket, bucket)
}
