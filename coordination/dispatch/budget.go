package dispatch

import (
	"sync"
	"time"
)

// budgetBuckets divides the window of a budget.
const budgetBuckets = 20

// BudgetLimits bound the sends beyond the first of each request, over all gateways.
type BudgetLimits struct {
	Ratio  float64       // of the requests in the window
	Slack  float64       // sends in the window that are always allowed
	Window time.Duration // sliding
	// Share is the part of the limits that is used, so that uneven gateways stay within them together.
	Share float64
}

// Budget is one gateway's part of the allowance for repeated sends, by service. It is safe for concurrent use.
type Budget struct {
	limits BudgetLimits

	mu       sync.Mutex
	gateways int
	services map[string]*budgetWindow
}

type budgetWindow struct {
	requests, repeats [budgetBuckets]int
	at                int64 // number of the current bucket
}

// NewBudget returns a budget without any requests.
func NewBudget(limits BudgetLimits) *Budget {
	return &Budget{limits: limits, gateways: 1, services: make(map[string]*budgetWindow)}
}

// SetGateways tells how many gateways share the slack.
func (b *Budget) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(n, 1)
}

func (b *Budget) window(now time.Time, service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	at := now.UnixNano() / int64(b.limits.Window/budgetBuckets)
	for steps := min(at-w.at, budgetBuckets); steps > 0; steps-- {
		slot := (at - steps + 1) % budgetBuckets
		w.requests[slot], w.repeats[slot] = 0, 0
	}
	w.at = max(w.at, at)
	return w
}

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.at%budgetBuckets]++
}

// Repeat tells whether a request may be sent once more, and counts it.
func (b *Budget) Repeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0, 0
	for i := range budgetBuckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := b.limits.Share * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(b.gateways))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.at%budgetBuckets]++
	return true
}
