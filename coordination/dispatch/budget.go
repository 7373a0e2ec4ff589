package dispatch

import (
	"sync"
	"time"
)

// budgetBuckets is the number of buckets in the sliding window of a budget.
const budgetBuckets = 20

// BudgetLimits limits repeated sends (retries and hedged requests) over all gateways.
type BudgetLimits struct {
	Ratio  float64       // repeated sends per request in the window
	Slack  float64       // repeated sends per window that are always allowed
	Window time.Duration // sliding
	// Share is the fraction of the limits that is used. The rest is headroom for uneven load across gateways.
	Share float64
}

// Budget is the retry budget of one gateway, by service. It is safe for concurrent use.
type Budget struct {
	limits BudgetLimits

	mu       sync.Mutex
	services map[string]*budgetWindow
}

type budgetWindow struct {
	requests, repeats [budgetBuckets]int
	bucket            int64 // index of the current bucket since the Unix epoch
}

// NewBudget returns a budget that has seen no requests.
func NewBudget(limits BudgetLimits) *Budget {
	return &Budget{limits: limits, services: make(map[string]*budgetWindow)}
}

func (b *Budget) window(now time.Time, service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	bucket := now.UnixNano() / int64(b.limits.Window/budgetBuckets)
	for steps := min(bucket-w.bucket, budgetBuckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % budgetBuckets
		w.requests[i], w.repeats[i] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.bucket%budgetBuckets]++
}

// AllowRepeat reports whether a request may be sent once more, and counts the repeated send if so. gateways is the number
// of gateways that share the slack.
func (b *Budget) AllowRepeat(now time.Time, service string, gateways int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0, 0
	for i := range budgetBuckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := b.limits.Share * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(gateways, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.bucket%budgetBuckets]++
	return true
}
