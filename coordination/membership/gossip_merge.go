package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// MergeResult is the result of applying a frame.
type MergeResult struct {
	Changes []Change
	// ContentRequests are the contents that the sender of the frame requests, to be passed to the Delta call for the
	// answer.
	ContentRequests []ContentRequest
}

// Merge applies a frame from another instance. maxTransit is an upper bound of the network delay of the frame; for the
// answer to a request it is the time since the request was sent. It is added to all ages, so that a delayed frame
// cannot extend a lease.
func (t *Table) Merge(now time.Time, maxTransit time.Duration, data []byte) (MergeResult, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return MergeResult{}, errors.Wrap(err, "decode a gossip frame")
	}
	if f.Version != gossipVersion {
		return MergeResult{}, errors.Errorf("gossip frame version %d is not supported, want %d", f.Version, gossipVersion)
	}
	sentAt := now.Add(-max(maxTransit, 0))
	m := &merger{t: t, now: now, sentAt: sentAt, baseMs: f.BaseMs}
	decodeEach(m, f.Leaving, "leaving notice", m.applyLeaving)
	decodeEach(m, f.ContentRequests, "content request", func(r ContentRequest) { m.result.ContentRequests = append(m.result.ContentRequests, r) })
	decodeEach(m, f.Contents, "content part", m.applyContentPart)
	decodeEach(m, f.Diffs, "content difference", m.applyDiff)
	decodeEach(m, f.Renewals, "renewal", m.applyRenewal)
	return m.result, m.err
}

// merger applies one frame. An invalid item does not stop the others; the first error is returned at the end.
type merger struct {
	t           *Table
	now, sentAt time.Time
	baseMs      int64
	result      MergeResult
	err         error
}

func decodeEach[T any](m *merger, items []cbor.RawMessage, itemName string, apply func(T)) {
	for i, data := range items {
		var item T
		if err := cbor.Unmarshal(data, &item); err != nil {
			m.fail(errors.Wrapf(err, "decode %s %d of a gossip frame", itemName, i))
			continue
		}
		apply(item)
	}
}

func (m *merger) fail(err error) {
	if m.err == nil {
		m.err = err
	}
}

func (m *merger) report(change Change, err error) {
	if err != nil {
		m.fail(err)
		return
	}
	if change.Kind != Unchanged {
		m.result.Changes = append(m.result.Changes, change)
	}
}

func (m *merger) applyLeaving(n leavingNotice) {
	since := m.sentAt.Add(-time.Duration(n.AgeMs) * time.Millisecond)
	if n.Target == "" || n.Incarnation == 0 {
		m.fail(errors.Errorf("leaving notice without target or incarnation: target %q, incarnation %d",
			n.Target, n.Incarnation))
		return
	}
	if m.now.Sub(since) >= m.t.opts.Retention {
		return
	}
	m.t.records.Update(n.Target, func(items map[string]*record) {
		rec, err := m.t.recordOf(items, n.Target)
		if err != nil {
			m.fail(err)
			return
		}
		if n.Incarnation > rec.incarnation || n.Incarnation == rec.incarnation && !rec.leaving {
			m.report(m.t.recordLeaving(rec, n.Target, n.Incarnation, since))
		}
	})
}

// applyContentPart appends a part to its assembly. A part that would leave a gap is dropped and requested again later.
func (m *merger) applyContentPart(p contentPart) {
	if p.Total > maxContentBytes || uint64(p.Offset)+uint64(len(p.Data)) > uint64(p.Total) {
		m.fail(errors.Errorf("content part of %d bytes at offset %d exceeds the total of %d or the size limit",
			len(p.Data), p.Offset, p.Total))
		return
	}
	if _, current := m.t.fingerprints.Get(p.Fingerprint); current {
		return
	}
	g := &m.t.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	collected := g.assemblyOf(p.Fingerprint, m.now)
	have := uint32(len(collected.data))
	if collected.done || p.Offset > have || p.Offset+uint32(len(p.Data)) <= have {
		return
	}
	collected.data = append(collected.data, p.Data[have-p.Offset:]...)
	collected.total = p.Total
	if uint32(len(collected.data)) < collected.total {
		return
	}
	if xxhash.Sum64(collected.data) != p.Fingerprint {
		g.assemblies.Remove(p.Fingerprint)
		m.fail(errors.Errorf("assembled content does not match its fingerprint %x", p.Fingerprint))
		return
	}
	collected.done = true
}

// applyDiff applies a difference to the preceding content, if that is the current one here, to get the new content.
func (m *merger) applyDiff(d contentDiff) {
	target, ok := m.t.fingerprints.Get(d.Previous)
	if !ok {
		return
	}
	entry, ok := m.t.Target(target)
	if !ok || entry.fingerprint != d.Previous {
		return
	}
	content, err := d.apply(entry.content)
	if err == nil && (len(content) > maxContentBytes || xxhash.Sum64(content) != d.Fingerprint) {
		err = errors.Errorf("content difference of target %q does not lead to the content with fingerprint %x",
			target, d.Fingerprint)
	}
	if err != nil {
		m.fail(err)
		return
	}
	g := &m.t.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	collected := g.assemblyOf(d.Fingerprint, m.now)
	collected.data, collected.done = content, true
}

func (m *merger) applyRenewal(r renewal) {
	received := m.sentAt.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if m.now.Sub(received) >= m.t.opts.TargetLease {
		return
	}
	load := targetapi.LoadReport{
		MeasuredAtMs: m.baseMs - r.LoadLagMs, Running: r.Running, Queued: r.Queued, KVUsedBytes: r.KVUsedMiB << bytesToMiBShift,
	}
	if target, ok := m.t.fingerprints.Get(r.Fingerprint); ok {
		m.report(m.t.renew(target, r, received, load), nil)
		return
	}
	if m.t.stale(&r) {
		return
	}
	base := uint64(0)
	if target, ok := m.t.fingerprints.Get(r.Previous); ok && r.Previous != 0 {
		base = r.Previous
		m.report(m.t.extendLease(target, r, received, load), nil)
	}
	content, ok := m.t.gossip.takeContent(r.Fingerprint, base, m.now)
	if !ok {
		return
	}
	a, err := decodeContent(content)
	if err != nil {
		m.fail(err)
		return
	}
	if m.t.opts.DataCentre != "" && a.DataCentre != m.t.opts.DataCentre {
		m.fail(errors.Errorf("gossip entry of target %q is of data centre %q, want %q",
			a.Target, a.DataCentre, m.t.opts.DataCentre))
		return
	}
	a.Sequence, a.Load = r.Sequence, load
	m.report(m.t.apply(received, a))
	if _, current := m.t.fingerprints.Get(r.Fingerprint); !current {
		m.t.superseded.Add(r.Fingerprint, targetIncarnation{target: a.Target, incarnation: a.Incarnation})
	}
}

func (t *Table) markSuperseded(entry *Entry) {
	a := &entry.Announcement
	t.superseded.Add(entry.fingerprint, targetIncarnation{target: a.Target, incarnation: a.Incarnation})
}

// stale reports whether a renewal names a superseded content and is not newer than the record of its target. A target
// can return to an earlier content, so a superseded fingerprint alone does not make a renewal stale.
func (t *Table) stale(r *renewal) bool {
	old, ok := t.superseded.Get(r.Fingerprint)
	if !ok {
		return false
	}
	older := false
	t.records.View(old.target, func(rec *record) {
		older = rec.incarnation > old.incarnation || rec.incarnation == old.incarnation && r.Sequence <= rec.sequence
	})
	return older
}

// updateIfCurrent calls f under the lock of the record if the current content of the target has the given fingerprint.
func (t *Table) updateIfCurrent(target string, fingerprint uint64, f func(*record, *Entry)) {
	t.records.Update(target, func(items map[string]*record) {
		rec := items[target]
		if rec == nil {
			return
		}
		if entry := rec.entry.Load(); entry != nil && entry.fingerprint == fingerprint {
			f(rec, entry)
		}
	})
}

// renew applies a renewal of the current content of a target.
func (t *Table) renew(target string, r renewal, received time.Time, load targetapi.LoadReport) (change Change) {
	t.updateIfCurrent(target, r.Fingerprint, func(rec *record, entry *Entry) {
		if r.Sequence > rec.sequence {
			rec.sequence = r.Sequence
			change = t.replaceLoad(rec, entry, r.Sequence, received, load)
		}
	})
	return change
}

// extendLease applies a renewal of a content that has not been received yet to the entry with the preceding content.
// The entry keeps its sequence, so that the new content is accepted when it arrives. The lease of a leaving target is
// never extended in this way: its renewals name no previous content, and where the leaving is known, the content has
// changed.
func (t *Table) extendLease(target string, r renewal, received time.Time, load targetapi.LoadReport) (change Change) {
	t.updateIfCurrent(target, r.Previous, func(rec *record, entry *Entry) {
		if r.Sequence > rec.leaseSequence {
			change = t.replaceLoad(rec, entry, r.Sequence, received, load)
		}
	})
	return change
}

// replaceLoad publishes an entry with a new load and, if no later announcement has extended the lease, a new lease. The
// lock of the record is held.
func (t *Table) replaceLoad(rec *record, entry *Entry, sequence uint64, received time.Time, load targetapi.LoadReport) Change {
	a := &entry.Announcement
	change := Change{Kind: Renewed, Target: a.Target, Incarnation: a.Incarnation}
	if rec.expired {
		change.Kind = Added
	}
	if sequence <= rec.leaseSequence {
		received = entry.ReceivedAt
	}
	rec.leaseSequence = max(rec.leaseSequence, sequence)
	change.Entry = entry.withLoad(rec.sequence, load, received, t.opts.TargetLease)
	t.publish(rec, change.Entry)
	return change
}
