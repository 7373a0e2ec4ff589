package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Target returns the latest entry of a target, also when it is leaving or expired, until Expire removes its record.
func (t *Table) Target(name string) (*Entry, bool) {
	rec, ok := t.records.Get(name)
	if !ok {
		return nil, false
	}
	entry := rec.entry.Load()
	return entry, entry != nil
}

// IncarnationUsable reports whether new requests may be sent to an incarnation of a target. It is meant to be called
// right before dispatch.
func (t *Table) IncarnationUsable(now time.Time, name string, incarnation uint64) bool {
	entry, ok := t.Target(name)
	return ok && entry.Announcement.Incarnation == incarnation && entry.Usable(now)
}

// Replicas returns all usable targets on which a model and, if one is named, an adapter are ready.
func (t *Table) Replicas(now time.Time, model, adapter string) []*Entry {
	return t.lookup(now, modelKey(model, adapter), nil, 0)
}

// Services returns all usable targets of a plain service.
func (t *Table) Services(now time.Time, name string) []*Entry {
	return t.lookup(now, serviceKey(name), nil, 0)
}

// Sample returns up to limit distinct random targets out of Replicas. Its cost grows with limit and with the number of
// unusable targets that it skips.
func (t *Table) Sample(now time.Time, random *rand.Rand, limit int, model, adapter string) []*Entry {
	return t.lookup(now, modelKey(model, adapter), random, limit)
}

// SampleServices returns up to limit distinct random targets out of Services.
func (t *Table) SampleServices(now time.Time, random *rand.Rand, limit int, name string) []*Entry {
	return t.lookup(now, serviceKey(name), random, limit)
}

// lookup samples the usable entries under an index key and returns all of them when limit is 0.
func (t *Table) lookup(now time.Time, key string, random *rand.Rand, limit int) (found []*Entry) {
	t.index.View(key, func(list []*record) { found = sample(now, key, list, random, limit) })
	return found
}

// sample visits a non-empty list from a random start with a random stride, or in order if random is nil.
func sample(now time.Time, key string, list []*record, random *rand.Rand, limit int) []*Entry {
	if limit <= 0 || limit > len(list) {
		limit = len(list)
	}
	start, stride := 0, 1
	if random != nil {
		start, stride = random.IntN(len(list)), randomStride(random, len(list))
	}
	found := make([]*Entry, 0, limit)
	for i := 0; i < len(list) && len(found) < limit; i++ {
		entry := list[(start+i*stride)%len(list)].entry.Load()
		if entry != nil && entry.Usable(now) && entry.hasKey(key) {
			found = append(found, entry)
		}
	}
	return found
}

// randomStride draws a number that is coprime to n, so that its multiples visit all positions modulo n once.
func randomStride(random *rand.Rand, n int) int {
	for range 8 {
		if stride := 1 + random.IntN(n); gcd(stride, n) == 1 {
			return stride
		}
	}
	return 1
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// All returns the entries of all targets whose expiry has not been reported, including leaving ones, sorted by name.
func (t *Table) All() []*Entry {
	var all []*Entry
	t.records.Range(func(_ string, rec *record) {
		if entry := rec.entry.Load(); entry != nil && !rec.expired {
			all = append(all, entry)
		}
	})
	slices.SortFunc(all, func(a, b *Entry) int {
		return strings.Compare(a.Announcement.Target, b.Announcement.Target)
	})
	return all
}
