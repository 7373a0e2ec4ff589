package gateway

import (
	"sync"

	metrics "github.com/rcrowley/go-metrics"
)

// accountCounters counts the requests of accounts with a quota. It is safe for concurrent use.
type accountCounters struct {
	registry metrics.Registry
	mu       sync.Mutex
	accounts map[string]*accountCounter
}

type accountCounter struct{ admitted, overQuota metrics.Counter }

func newAccountCounters(registry metrics.Registry) *accountCounters {
	return &accountCounters{registry: registry, accounts: make(map[string]*accountCounter)}
}

// of returns the counters of an account, or those of all others beyond maxCountedAccounts.
func (c *accountCounters) of(account string) *accountCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.accounts[account]; known != nil {
		return known
	}
	if len(c.accounts) >= maxCountedAccounts {
		account = otherAccounts
		if known := c.accounts[account]; known != nil {
			return known
		}
	}
	counter := func(what string) metrics.Counter {
		return metrics.GetOrRegisterCounter("gateway.account."+account+"."+what, c.registry)
	}
	known := &accountCounter{admitted: counter("admitted"), overQuota: counter("over_quota")}
	c.accounts[account] = known
	return known
}
