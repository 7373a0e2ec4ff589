package target

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

const (
	// maxCachedPrefixes is the capacity of the simulated prefix cache.
	maxCachedPrefixes = 1024
	// maxPendingEvents bounds the events between two announcements. The oldest are dropped, which leaves a gap in the
	// sequence.
	maxPendingEvents = 512
)

type prefix struct {
	model string
	hash  uint64
}

// prefixCache simulates a prefix cache with LRU eviction and collects its events for the next announcement.
type prefixCache struct {
	mu       sync.Mutex
	cached   *lru.Cache[prefix, struct{}]
	pending  []targetapi.CacheEvent
	sequence uint64
}

func newPrefixCache() *prefixCache {
	c := &prefixCache{}
	cached, err := lru.NewWithEvict(maxCachedPrefixes, func(p prefix, _ struct{}) { c.addEvent(targetapi.Evicted, p) })
	if err != nil {
		panic(err) // only for a size below 1
	}
	c.cached = cached
	return c
}

func (c *prefixCache) addEvent(kind targetapi.CacheEventKind, p prefix) {
	c.sequence++
	c.pending = append(c.pending, targetapi.CacheEvent{Sequence: c.sequence, Kind: kind, Model: p.model, PrefixHash: p.hash})
	if len(c.pending) > maxPendingEvents {
		c.pending = c.pending[1:]
	}
}

// storePrefixes adds the prefixes of a prompt to the cache.
func (c *prefixCache) storePrefixes(req *api.ChatRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hash := range targetapi.PrefixHashes(req) {
		p := prefix{model: req.Model, hash: hash}
		if !c.cached.Contains(p) {
			c.addEvent(targetapi.Stored, p)
		}
		c.cached.Add(p, struct{}{})
	}
}

func (c *prefixCache) takeEvents() []targetapi.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.pending
	c.pending = nil
	return events
}
