package membership

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// Bounds of what gossip keeps in memory.
const (
	maxSuperseded = 4096
	maxAssemblies = 128
	maxWants      = 64
	// maxContentBytes exceeds the encoding of any announcement, because that is shorter than its JSON.
	maxContentBytes = targetapi.MaxAnnouncementBytes
)

// gossip is the sending and assembling state of a table.
type gossip struct {
	mu       sync.Mutex
	round    uint64
	assembly *lru.Cache[uint64, *assembly]
}

// assembly collects the parts of a content. Without data it only marks a fingerprint that is wanted.
type assembly struct {
	data  []byte
	total uint32
	done  bool
	// base is the content that this one follows, if that is known here.
	base uint64
	// seenAt is when a renewal or part of the content came last.
	seenAt time.Time
}

// newCache panics only on a size that is not positive, which the constants exclude.
func newCache[V any](size int) *lru.Cache[uint64, V] {
	cache, err := lru.New[uint64, V](size)
	if err != nil {
		panic(err)
	}
	return cache
}

// take removes a complete content from the assemblies. Otherwise it notes that the content is wanted.
func (g *gossip) take(fingerprint, base uint64, now time.Time) ([]byte, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	part := g.wanted(fingerprint, now)
	part.base = base
	if !part.done {
		return nil, false
	}
	g.assembly.Remove(fingerprint)
	return part.data, true
}

// wanted finds or creates an assembly. g.mu is held.
func (g *gossip) wanted(fingerprint uint64, now time.Time) *assembly {
	part, ok := g.assembly.Get(fingerprint)
	if !ok {
		part = &assembly{}
		g.assembly.Add(fingerprint, part)
	}
	part.seenAt = now
	return part
}
