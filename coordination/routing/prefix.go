package routing

import (
	"math"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	// holdersPerPrefix bounds the targets remembered per prefix; two are enough to choose the less loaded one, and a
	// third replaces one that left.
	holdersPerPrefix = 3
	// maxPrefixLookups bounds the prefix lengths tried per request, from the longest one.
	maxPrefixLookups = 16
	// prefixHalfLife: without news, a cached prefix has probably been evicted after a few minutes.
	prefixHalfLife = 2 * time.Minute
	// predictedTrust is the trust in a prefix that the instance itself sent to a target and that no event confirmed.
	predictedTrust = 0.7
	// gapTrust is the remaining trust in older entries of a target after a gap in its events, which may hide evictions.
	gapTrust = 0.5
	minTrust = 0.1
)

// holder is a target that probably has a prefix in its cache.
type holder struct {
	target    string
	at        time.Time
	epoch     uint32
	gaps      uint32
	predicted bool
}

type holders struct {
	list [holdersPerPrefix]holder
}

// eventState is what is known about the events of one target. A change of epoch makes all earlier entries void.
type eventState struct {
	incarnation uint64
	sequence    uint64
	epoch       uint32
	gaps        uint32
}

// prefixIndex finds the targets that hold a prompt prefix.
type prefixIndex struct {
	prefixes *shard.Map[uint64, holders]
	targets  *shard.Map[string, eventState]
}

func newPrefixIndex(prefixes, targets int) *prefixIndex {
	return &prefixIndex{
		prefixes: shard.New[uint64, holders](shard.DefaultShards, prefixes, shard.Uint64Hash, nil),
		targets:  shard.New[string, eventState](shard.DefaultShards, targets, shard.StringHash, nil),
	}
}

func prefixKey(model string, prefixHash uint64) uint64 {
	return shard.Uint64Hash(shard.StringHash(model) ^ prefixHash)
}

func (x *prefixIndex) stateOf(target string) (s eventState) {
	x.targets.View(target, func(v *eventState) { s = *v })
	return s
}

// apply takes in a batch of events. After a gap, older entries of the target are trusted less. An event that arrives
// after its successors may only remove entries, because a later eviction may have been applied already.
func (x *prefixIndex) apply(now time.Time, target string, batch *targetapi.CacheEvents) {
	for i := range batch.Events {
		e := &batch.Events[i]
		var s eventState
		late := false
		x.targets.Update(target, func(v *eventState) {
			late = v.accept(batch.Incarnation, e)
			s = *v
		})
		key := prefixKey(e.Model, e.PrefixHash)
		switch {
		case e.Kind == targetapi.Stored && !late:
			x.put(key, holder{target: target, at: now, epoch: s.epoch, gaps: s.gaps})
		case e.Kind == targetapi.Evicted && batch.Incarnation == s.incarnation:
			x.remove(key, target)
		}
	}
}

// accept follows the incarnation and sequence of an event and reports whether it is late.
func (v *eventState) accept(incarnation uint64, e *targetapi.CacheEvent) (late bool) {
	switch {
	case incarnation < v.incarnation:
		return true
	case incarnation > v.incarnation:
		if v.incarnation != 0 {
			v.epoch++
		}
		v.incarnation, v.sequence = incarnation, e.Sequence
	default:
		late = e.Sequence <= v.sequence
		if e.Sequence > v.sequence+1 {
			v.gaps++
		}
		v.sequence = max(v.sequence, e.Sequence)
	}
	if e.Kind == targetapi.Cleared {
		v.epoch++
	}
	return late
}

// predict notes that the target will hold the prefix of a request sent to it.
func (x *prefixIndex) predict(now time.Time, model string, prefixHash uint64, target string) {
	s := x.stateOf(target)
	x.put(prefixKey(model, prefixHash), holder{target: target, at: now, epoch: s.epoch, gaps: s.gaps, predicted: true})
}

func (x *prefixIndex) put(key uint64, h holder) {
	x.prefixes.Update(key, func(hs *holders) {
		oldest := 0
		for i := range hs.list {
			if hs.list[i].target == h.target {
				h.predicted = h.predicted && hs.list[i].predicted
				hs.list[i] = h
				return
			}
			if hs.list[i].at.Before(hs.list[oldest].at) {
				oldest = i
			}
		}
		hs.list[oldest] = h
	})
}

func (x *prefixIndex) remove(key uint64, target string) {
	x.prefixes.View(key, func(hs *holders) {
		for i := range hs.list {
			if hs.list[i].target == target {
				hs.list[i] = holder{}
			}
		}
	})
}

// match is a target that probably holds the first blocks of a prompt.
type match struct {
	target string
	blocks int
	trust  float64
}

// find returns the holders of the longest known prefix. hashes are ordered from the shortest prefix to the longest.
func (x *prefixIndex) find(now time.Time, model string, hashes []uint64, found []match) []match {
	lowest := max(0, len(hashes)-maxPrefixLookups)
	for i := len(hashes) - 1; i >= lowest && len(found) == 0; i-- {
		var hs holders
		if !x.prefixes.View(prefixKey(model, hashes[i]), func(v *holders) { hs = *v }) {
			continue
		}
		for j := range hs.list {
			if trust := x.trust(now, &hs.list[j]); trust >= minTrust {
				found = append(found, match{target: hs.list[j].target, blocks: i + 1, trust: trust})
			}
		}
	}
	return found
}

func (x *prefixIndex) trust(now time.Time, h *holder) float64 {
	if h.target == "" {
		return 0
	}
	s := x.stateOf(h.target)
	if s.epoch != h.epoch {
		return 0
	}
	trust := math.Exp2(-now.Sub(h.at).Seconds() / prefixHalfLife.Seconds())
	if h.predicted {
		trust *= predictedTrust
	}
	for range min(s.gaps-h.gaps, 4) {
		trust *= gapTrust
	}
	return trust
}
