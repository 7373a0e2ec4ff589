// Package membership holds the table of the targets of one data centre, replicates it between instances by gossip and
// summarises it for other data centres.
package membership

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/defaults"
	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

// Defaults of Options.
const (
	DefaultTargetLease = 4 * time.Second
	// DefaultRetention has to be much longer than the largest delay of an announcement or gossip frame: a stale message
	// of an expired target is recognised only as long as the record of the target exists.
	DefaultRetention  = 10 * time.Minute
	DefaultMaxTargets = 8192
)

// shardCount is a power of two well above the number of cores of an instance, to keep lock contention low.
const shardCount = 32

// ErrTableFull is returned for a new target when the table holds Options.MaxTargets already.
var ErrTableFull = errors.New("the table of targets is full")

// Options configures a table. Zero values select the defaults.
type Options struct {
	// DataCentre is the data centre whose targets the table holds. Announcements of others are refused. An empty name
	// accepts all.
	DataCentre string
	// TargetLease is how long an entry may be used after an instance received its announcement.
	TargetLease time.Duration
	// Retention is how long the record of an expired target, with its incarnation and sequence, is kept.
	Retention time.Duration
	// MaxTargets is the maximum number of targets, including expired ones.
	MaxTargets int
}

// ChangeKind is how a message or the end of a lease changed the state of a target.
type ChangeKind int

// Kinds of change. Renewed means that only load and lease changed, Updated that the content changed, StartedLeaving
// that the target began to leave, and Replaced that a newer incarnation of it was announced.
const (
	Unchanged ChangeKind = iota
	Renewed
	Updated
	Added
	StartedLeaving
	Replaced
	Expired
)

// Change describes the change of one target.
type Change struct {
	Kind        ChangeKind
	Target      string
	Incarnation uint64
	// FailedIncarnation is the replaced incarnation, or 0. All work in flight on it has failed.
	FailedIncarnation uint64
	// Entry is nil when only a leaving notice of the incarnation has been received.
	Entry *Entry
}

// Table holds the targets of one data centre. It is safe for concurrent use.
type Table struct {
	opts Options
	// records is keyed by target name.
	records *shard.UnboundedMap[string, *record]
	// index holds the records by the index keys of their entries. No list is empty.
	index *shard.UnboundedMap[string, []*record]
	// fingerprints maps the fingerprint of each current content to its target name.
	fingerprints  *shard.UnboundedMap[uint64, string]
	size          atomic.Int64
	changeCounter atomic.Uint64
	// superseded holds the fingerprints of contents that are no longer current, so that a stale renewal does not make
	// this instance request them.
	superseded *lru.Cache[uint64, targetIncarnation]
	gossip     gossip
	remote     remoteSummaries
}

// targetIncarnation identifies one incarnation of a target.
type targetIncarnation struct {
	target      string
	incarnation uint64
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	defaults.Positive(&opts.TargetLease, DefaultTargetLease)
	defaults.Positive(&opts.Retention, DefaultRetention)
	defaults.Positive(&opts.MaxTargets, DefaultMaxTargets)
	t := &Table{
		opts:         opts,
		records:      shard.NewUnboundedMap[string, *record](shardCount, shard.StringHash),
		index:        shard.NewUnboundedMap[string, []*record](shardCount, shard.StringHash),
		fingerprints: shard.NewUnboundedMap[uint64, string](shardCount, shard.Uint64Hash),
	}
	t.superseded = newCache[targetIncarnation](maxSuperseded)
	t.gossip.assemblies = newCache[*assembly](maxAssemblies)
	return t
}

// Announce applies an announcement that this instance received from a target. A stale or repeated one changes nothing,
// except that leaving is recorded if it is of the current incarnation.
func (t *Table) Announce(now time.Time, a targetapi.Announcement) (Change, error) {
	if err := a.Check(); err != nil {
		return Change{}, err
	}
	if t.opts.DataCentre != "" && a.DataCentre != t.opts.DataCentre {
		return Change{}, errors.Errorf("target %q announces data centre %q to an instance of %q",
			a.Target, a.DataCentre, t.opts.DataCentre)
	}
	return t.apply(now, a)
}

// apply applies an announcement that an instance received at the given time.
func (t *Table) apply(received time.Time, a targetapi.Announcement) (change Change, err error) {
	t.records.Update(a.Target, func(items map[string]*record) {
		var rec *record
		if rec, err = t.recordOf(items, a.Target); err == nil {
			change, err = t.applyTo(rec, received, a)
		}
	})
	return change, err
}

// recordOf returns the record of a target from its locked shard, creating it if needed.
func (t *Table) recordOf(items map[string]*record, target string) (*record, error) {
	if rec, ok := items[target]; ok {
		return rec, nil
	}
	if t.size.Add(1) > int64(t.opts.MaxTargets) {
		t.size.Add(-1)
		return nil, errors.Wrapf(ErrTableFull, "target %q", target)
	}
	rec := &record{}
	items[target] = rec
	return rec, nil
}

func (t *Table) applyTo(rec *record, received time.Time, a targetapi.Announcement) (Change, error) {
	change := Change{Target: a.Target, Incarnation: a.Incarnation, Entry: rec.entry.Load()}
	switch {
	case a.Incarnation < rec.incarnation:
		change.Incarnation = rec.incarnation
		return change, nil
	case a.Incarnation == rec.incarnation && rec.entry.Load() != nil && a.Sequence <= rec.sequence:
		if a.Leaving && !rec.leaving {
			return t.recordLeaving(rec, a.Target, a.Incarnation, received)
		}
		return change, nil
	}
	previous := rec.entry.Load()
	sameIncarnation := a.Incarnation == rec.incarnation
	a.Leaving = a.Leaving || sameIncarnation && rec.leaving
	if sameIncarnation && previous != nil && a.Sequence <= rec.leaseSequence {
		received = previous.ReceivedAt // this or a later announcement has already extended the lease
	}
	entry, err := newEntry(a, received, t.opts.TargetLease)
	if err != nil {
		return Change{}, err
	}
	change.Entry = entry
	change.Kind = kindOf(rec, previous, entry)
	if change.Kind == Replaced {
		change.FailedIncarnation = rec.incarnation
	}
	if a.Leaving && !(sameIncarnation && rec.leaving) {
		rec.leavingSince = received
	}
	if !sameIncarnation {
		rec.leaseSequence = 0
	}
	rec.incarnation, rec.sequence, rec.leaving = a.Incarnation, a.Sequence, a.Leaving
	rec.leaseSequence = max(rec.leaseSequence, a.Sequence)
	t.publish(rec, entry)
	return change, nil
}

func kindOf(rec *record, previous, entry *Entry) ChangeKind {
	a := &entry.Announcement
	switch {
	case rec.incarnation != 0 && a.Incarnation > rec.incarnation:
		return Replaced
	case a.Leaving && !rec.leaving:
		return StartedLeaving
	case previous == nil || rec.expired:
		return Added
	case previous.fingerprint != entry.fingerprint:
		return Updated
	}
	return Renewed
}

// recordLeaving records that an incarnation is leaving, whether or not its entry is known.
func (t *Table) recordLeaving(rec *record, target string, incarnation uint64, since time.Time) (Change, error) {
	change := Change{Kind: StartedLeaving, Target: target, Incarnation: incarnation}
	if incarnation > rec.incarnation {
		if rec.incarnation != 0 {
			change.Kind, change.FailedIncarnation = Replaced, rec.incarnation
		}
		t.unindex(rec)
		rec.incarnation, rec.sequence, rec.leaseSequence, rec.expired = incarnation, 0, 0, false
		rec.entry.Store(nil)
	}
	rec.leaving, rec.leavingSince = true, since
	rec.changeNumber = t.changeCounter.Add(1)
	current := rec.entry.Load()
	if current == nil {
		return change, nil
	}
	a := current.Announcement
	a.Leaving = true
	entry, err := newEntry(a, current.ReceivedAt, t.opts.TargetLease)
	if err != nil {
		return Change{}, err
	}
	change.Entry = entry
	expired := rec.expired
	t.publish(rec, entry)
	rec.expired = expired // an expiry is reported only once
	return change, nil
}

// publish sets the current entry of a record and updates the indexes. The lock of the record is held.
func (t *Table) publish(rec *record, entry *Entry) {
	previous := rec.entry.Load()
	if previous == nil || previous.fingerprint != entry.fingerprint {
		rec.changeNumber = t.changeCounter.Add(1)
		t.fingerprints.Set(entry.fingerprint, entry.Announcement.Target)
		t.superseded.Remove(entry.fingerprint)
		rec.previous, rec.changedAt = nil, entry.ReceivedAt
		if previous != nil && previous.Announcement.Incarnation == entry.Announcement.Incarnation {
			rec.previous = previous
		}
		if previous != nil {
			t.fingerprints.Delete(previous.fingerprint)
			t.markSuperseded(previous)
		}
	}
	var before []string
	if previous != nil && !rec.expired {
		before = previous.keys
	}
	rec.expired = false
	rec.entry.Store(entry)
	if slices.Equal(before, entry.keys) {
		return
	}
	for _, key := range entry.keys {
		if _, ok := slices.BinarySearch(before, key); !ok {
			t.indexAdd(key, rec)
		}
	}
	for _, key := range before {
		if !entry.hasKey(key) {
			t.indexRemove(key, rec)
		}
	}
}

// unindex removes the entry of a record from all indexes.
func (t *Table) unindex(rec *record) {
	entry := rec.entry.Load()
	if entry == nil {
		return
	}
	t.fingerprints.Delete(entry.fingerprint)
	t.markSuperseded(entry)
	if !rec.expired {
		for _, key := range entry.keys {
			t.indexRemove(key, rec)
		}
	}
}

func (t *Table) indexAdd(key string, rec *record) {
	t.index.Update(key, func(items map[string][]*record) { items[key] = append(items[key], rec) })
}

func (t *Table) indexRemove(key string, rec *record) {
	t.index.Update(key, func(items map[string][]*record) {
		list := items[key]
		if i := slices.Index(list, rec); i >= 0 {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			list = list[:len(list)-1]
		}
		if len(list) == 0 {
			delete(items, key)
			return
		}
		items[key] = list
	})
}

// Expire reports the targets whose lease has ended since the last call and removes the records past the retention.
// Lookups do not depend on it, because they check the lease themselves.
func (t *Table) Expire(now time.Time) []Change {
	var changes []Change
	t.records.UpdateAll(func(items map[string]*record) {
		for target, rec := range items {
			entry := rec.entry.Load()
			if entry != nil && !rec.expired && !now.Before(entry.ExpiresAt) {
				for _, key := range entry.keys {
					t.indexRemove(key, rec)
				}
				rec.expired, rec.expiredAt = true, entry.ExpiresAt
				changes = append(changes, Change{Kind: Expired, Target: target, Incarnation: rec.incarnation, Entry: entry})
			}
			if t.retentionEnded(now, rec, entry) {
				t.unindex(rec)
				delete(items, target)
				t.size.Add(-1)
			}
		}
	})
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Target, b.Target) })
	return changes
}

func (t *Table) retentionEnded(now time.Time, rec *record, entry *Entry) bool {
	if entry == nil {
		return now.Sub(rec.leavingSince) >= t.opts.Retention
	}
	return rec.expired && now.Sub(rec.expiredAt) >= t.opts.Retention
}
