package membership

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// Limits on the memory that gossip uses.
const (
	maxSuperseded      = 4096
	maxAssemblies      = 128
	maxContentRequests = 64
	// maxContentBytes is enough for any announcement, because its CBOR encoding is shorter than its JSON.
	maxContentBytes = targetapi.MaxAnnouncementBytes
)

// gossip holds the number of the latest frame encoded and the contents that are being received.
type gossip struct {
	mu         sync.Mutex
	round      uint64
	assemblies *lru.Cache[uint64, *assembly]
}

// assembly collects the parts of a content that is missing here. It has no data until the first part arrives.
type assembly struct {
	data  []byte
	total uint32
	done  bool
	// base is the fingerprint of the preceding content if this instance has it, otherwise 0. The sender may then answer
	// with a contentDiff.
	base uint64
	// seenAt is when the latest renewal, part or difference of the content was received.
	seenAt time.Time
}

// newCache panics if size is not positive; all callers pass positive constants.
func newCache[V any](size int) *lru.Cache[uint64, V] {
	cache, err := lru.New[uint64, V](size)
	if err != nil {
		panic(err)
	}
	return cache
}

// takeContent removes a complete content from the assemblies and returns it. If the content is incomplete, it is
// requested in the next frames.
func (g *gossip) takeContent(fingerprint, base uint64, now time.Time) ([]byte, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	collected := g.assemblyOf(fingerprint, now)
	collected.base = base
	if !collected.done {
		return nil, false
	}
	g.assemblies.Remove(fingerprint)
	return collected.data, true
}

// assemblyOf returns the assembly of a fingerprint, creating it if needed. g.mu is held.
func (g *gossip) assemblyOf(fingerprint uint64, now time.Time) *assembly {
	collected, ok := g.assemblies.Get(fingerprint)
	if !ok {
		collected = &assembly{}
		g.assemblies.Add(fingerprint, collected)
	}
	collected.seenAt = now
	return collected
}
