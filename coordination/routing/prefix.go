package routing

import (
	"math"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	// maxHoldersPerPrefix is the maximum number of targets kept per prefix. Two are enough to choose the less loaded
	// one, and a third one replaces a target that left.
	maxHoldersPerPrefix = 3
	// maxPrefixLookups is the maximum number of prefix lengths looked up per request, starting with the longest.
	maxPrefixLookups = 16
	// confidenceHalfLife is the half-life of the confidence in an entry. Without new events, a cached prefix has
	// probably been evicted after a few minutes.
	confidenceHalfLife = 2 * time.Minute
	// predictedConfidence is the confidence in an entry for a prompt that this instance sent to the target, before a
	// cache event confirms it.
	predictedConfidence = 0.7
	// gapConfidenceFactor is the factor on the confidence in older entries of a target for each gap in its event
	// sequence, since the missing events may be evictions.
	gapConfidenceFactor = 0.5
	minConfidence       = 0.1
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
	list [maxHoldersPerPrefix]holder
}

// eventState tracks the cache events of one target. A new epoch invalidates all earlier entries of the target.
type eventState struct {
	incarnation uint64
	sequence    uint64
	epoch       uint32
	gaps        uint32
}

// prefixIndex maps prompt prefixes to the targets that probably hold them in their prefix cache.
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

// apply applies a batch of cache events. A gap in the sequence lowers the confidence in older entries of the target. An
// event that arrives out of order may only remove entries, because a later eviction may have been applied already.
func (x *prefixIndex) apply(now time.Time, target string, batch *targetapi.CacheEvents) {
	for i := range batch.Events {
		e := &batch.Events[i]
		var s eventState
		outOfOrder := false
		x.targets.Update(target, func(v *eventState) {
			outOfOrder = v.advance(batch.Incarnation, e)
			s = *v
		})
		key := prefixKey(e.Model, e.PrefixHash)
		switch {
		case e.Kind == targetapi.Stored && !outOfOrder:
			x.put(key, holder{target: target, at: now, epoch: s.epoch, gaps: s.gaps})
		case e.Kind == targetapi.Evicted && batch.Incarnation == s.incarnation:
			x.remove(key, target)
		}
	}
}

// advance updates the incarnation, sequence, epoch and gaps for an event, and reports whether it arrived out of order
// or from an earlier incarnation.
func (v *eventState) advance(incarnation uint64, e *targetapi.CacheEvent) (outOfOrder bool) {
	switch {
	case incarnation < v.incarnation:
		return true
	case incarnation > v.incarnation:
		if v.incarnation != 0 {
			v.epoch++
		}
		v.incarnation, v.sequence = incarnation, e.Sequence
	default:
		outOfOrder = e.Sequence <= v.sequence
		if e.Sequence > v.sequence+1 {
			v.gaps++
		}
		v.sequence = max(v.sequence, e.Sequence)
	}
	if e.Kind == targetapi.Cleared {
		v.epoch++
	}
	return outOfOrder
}

// predict records that the target will probably hold the prefix of a request that is sent to it.
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

// match is a target that probably has the first blocks of a prompt in its prefix cache.
type match struct {
	target     string
	blocks     int
	confidence float64
}

// find appends the holders of the longest known prefix to found. hashes are ordered from the shortest prefix to the
// longest.
func (x *prefixIndex) find(now time.Time, model string, hashes []uint64, found []match) []match {
	lowest := max(0, len(hashes)-maxPrefixLookups)
	for i := len(hashes) - 1; i >= lowest && len(found) == 0; i-- {
		var hs holders
		if !x.prefixes.View(prefixKey(model, hashes[i]), func(v *holders) { hs = *v }) {
			continue
		}
		for j := range hs.list {
			if confidence := x.confidence(now, &hs.list[j]); confidence >= minConfidence {
				found = append(found, match{target: hs.list[j].target, blocks: i + 1, confidence: confidence})
			}
		}
	}
	return found
}

func (x *prefixIndex) confidence(now time.Time, h *holder) float64 {
	if h.target == "" {
		return 0
	}
	s := x.stateOf(h.target)
	if s.epoch != h.epoch {
		return 0
	}
	confidence := math.Exp2(-now.Sub(h.at).Seconds() / confidenceHalfLife.Seconds())
	if h.predicted {
		confidence *= predictedConfidence
	}
	for range min(s.gaps-h.gaps, 4) {
		confidence *= gapConfidenceFactor
	}
	return confidence
}
