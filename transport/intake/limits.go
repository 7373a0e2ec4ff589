package intake

import (
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// limit is a bound that closes or refuses clients.
type limit int

const (
	limitMemory limit = iota
	limitConnections
	limitStalled
	limitRefused
	limitPeers
	limitCount
)

var limitNames = [limitCount]string{
	limitMemory: "closed_for_memory", limitConnections: "closed_for_descriptors", limitStalled: "closed_without_progress",
	limitRefused: "refused_for_memory", limitPeers: "peers_refused_for_memory",
}

// reportInterval is the shortest time between two events for the same limit.
const reportInterval = time.Second

// limitCounter counts how often a limit acted. All but act belongs to the goroutine of the pool.
type limitCounter struct {
	total      metrics.Counter
	unreported atomic.Int64
	reported   time.Time
}

func (l *limitCounter) act() {
	l.total.Inc(1)
	l.unreported.Add(1)
}

// take returns how often the limit acted since it was last reported, 0 if that is too recent.
func (l *limitCounter) take(now time.Time) int64 {
	if l.unreported.Load() == 0 || now.Sub(l.reported) < reportInterval {
		return 0
	}
	l.reported = now
	return l.unreported.Swap(0)
}
