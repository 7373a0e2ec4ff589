package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// gossipVersion is the version of the frame encoding.
const gossipVersion = 1

// MinDeltaBytes is the smallest byte limit of a frame. It leaves room for one item of each kind.
const MinDeltaBytes = 1024

// Bounds of what gossip keeps in memory.
const (
	maxSuperseded = 4096
	maxAssemblies = 128
	maxWants      = 64
	// maxContentBytes exceeds the encoding of any announcement, because that is shorter than its JSON.
	maxContentBytes = targetapi.MaxAnnouncementBytes
)

// contentSends is the number of frames in which a new content is sent unasked. Other instances ask for it when they
// see its fingerprint in a renewal.
const contentSends = 2

// noticeLeases bounds, in leases, how long the leaving of a target is repeated. After one lease no instance offers an
// entry from before it.
const noticeLeases = 4

// previousLeases bounds, in leases, how long after a change renewals name the content before it.
const previousLeases = 2

// mibShift converts bytes to MiB, which take 3 to 5 bytes of a renewal instead of 9.
const mibShift = 20

// frameOverheadBytes covers the frame without its items.
const frameOverheadBytes = 40

// frame is one gossip message.
type frame struct {
	_        struct{} `cbor:",toarray"`
	Version  int
	BaseMs   int64
	Leaving  []cbor.RawMessage
	Wants    []cbor.RawMessage
	Contents []cbor.RawMessage
	Diffs    []cbor.RawMessage
	Renewals []cbor.RawMessage
}

type leavingNotice struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation uint64
	AgeMs       uint32
}

// Want asks for the content with a fingerprint from a byte offset. Base is the content that the asker has of the same
// target, or 0.
type Want struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Offset      uint32
	Base        uint64
}

// contentPart is a part of the encoding of a content. Contents larger than a frame travel in several parts.
type contentPart struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Offset      uint32
	Total       uint32
	Data        []byte
}

// renewal is a later announcement of a content. AgeMs is the time since an instance received it from the target;
// LoadLag is the time of the load report before BaseMs of the frame. Previous is the content before this one if it
// changed lately; it extends the lease where the new content has not arrived yet.
type renewal struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Sequence    uint64
	AgeMs       uint32
	Running     int
	Queued      int
	KVUsedMiB   int64
	LoadLag     int64
	Previous    uint64
}

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

func fingerprintKey(fingerprint uint64) string {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], fingerprint)
	return string(key[:])
}

// candidate is the state of a record at the start of a frame.
type candidate struct {
	rec          *record
	target       string
	entry        *Entry
	incarnation  uint64
	leaving      bool
	leavingSince time.Time
	changed      uint64
	previous     *Entry
}

// Pull returns a frame that renews nothing: it only tells of leaving targets and asks for missing contents. It is meant
// for requests, whose time under way the receiver cannot measure.
func (t *Table) Pull(now time.Time, limitBytes int) ([]byte, error) {
	return t.encode(now, limitBytes, nil, false)
}

// Delta returns a frame of at most limitBytes with the latest changes: leaving targets first, then the contents that
// the receiver asked for and new contents, then renewals, newest first. Part of each section goes to the items that
// were not sent for the longest time, so that everything is sent in turn.
func (t *Table) Delta(now time.Time, limitBytes int, asked []Want) ([]byte, error) {
	return t.encode(now, limitBytes, asked, true)
}

func (t *Table) encode(now time.Time, limitBytes int, asked []Want, entries bool) ([]byte, error) {
	if limitBytes < MinDeltaBytes {
		return nil, errors.Errorf("byte limit %d of a gossip frame is below %d", limitBytes, MinDeltaBytes)
	}
	candidates := t.candidates(now)
	t.gossip.mu.Lock()
	defer t.gossip.mu.Unlock()
	t.gossip.round++
	b := &frameBuilder{t: t, now: now, left: limitBytes - frameOverheadBytes, frame: frame{Version: gossipVersion}}
	b.addLeaving(candidates)
	b.addWants()
	if entries {
		var live []*candidate
		for _, c := range candidates {
			if c.entry != nil && now.Before(c.entry.ExpiresAt) {
				live = append(live, c)
				b.frame.BaseMs = max(b.frame.BaseMs, c.entry.Announcement.Load.MeasuredAtMs)
			}
		}
		first := b.addContents(live, asked)
		b.addRenewals(live, first)
	}
	data, err := cbor.Marshal(&b.frame)
	if err != nil {
		return nil, errors.Wrap(err, "encode a gossip frame")
	}
	return data, b.err
}

func (t *Table) candidates(now time.Time) []*candidate {
	var all []*candidate
	t.records.eachRead(func(target string, rec *record) {
		c := &candidate{
			rec: rec, target: target, entry: rec.entry.Load(), incarnation: rec.incarnation,
			leaving: rec.leaving, leavingSince: rec.leavingSince, changed: rec.changed,
		}
		if !rec.leaving && now.Sub(rec.changedAt) < previousLeases*t.opts.TargetLease {
			c.previous = rec.previous
		}
		all = append(all, c)
	})
	slices.SortFunc(all, func(a, b *candidate) int { return cmp.Compare(b.changed, a.changed) })
	return all
}

// frameBuilder fills one frame. gossip.mu is held.
type frameBuilder struct {
	t     *Table
	now   time.Time
	left  int
	frame frame
	err   error
}

// add appends an item to a section if it fits into the budget and the frame.
func (b *frameBuilder) add(section *[]cbor.RawMessage, budget *int, item any) bool {
	data, err := cbor.Marshal(item)
	if err != nil {
		b.err = errors.Wrap(err, "encode a gossip item")
		return false
	}
	if len(data) > *budget || len(data) > b.left {
		return false
	}
	*section = append(*section, data)
	*budget -= len(data)
	b.left -= len(data)
	return true
}

// fair orders candidates so that the front ones are by the given order and, once three quarters of the budget are
// spent, the ones that were sent longest ago follow.
func fair(list []*candidate, sent func(*candidate) uint64, add func(*candidate, *int) bool, budget int) {
	reserve := budget / 4
	front := budget - reserve
	done := make(map[*candidate]bool)
	for _, c := range list {
		if !add(c, &front) {
			break
		}
		done[c] = true
	}
	rest := make([]*candidate, 0, len(list)-len(done))
	for _, c := range list {
		if !done[c] {
			rest = append(rest, c)
		}
	}
	slices.SortStableFunc(rest, func(x, y *candidate) int { return cmp.Compare(sent(x), sent(y)) })
	reserve += front
	for _, c := range rest {
		if !add(c, &reserve) {
			return
		}
	}
}

func (b *frameBuilder) addLeaving(candidates []*candidate) {
	var leaving []*candidate
	for _, c := range candidates {
		if c.leaving && b.now.Sub(c.leavingSince) < noticeLeases*b.t.opts.TargetLease {
			leaving = append(leaving, c)
		}
	}
	fair(leaving, func(c *candidate) uint64 { return c.rec.leavingSentInRound }, func(c *candidate, budget *int) bool {
		notice := leavingNotice{Target: c.target, Incarnation: c.incarnation, AgeMs: ageMs(b.now, c.leavingSince)}
		if !b.add(&b.frame.Leaving, budget, &notice) {
			return false
		}
		c.rec.leavingSentInRound = b.t.gossip.round
		return true
	}, b.left/2)
}

// addWants asks for the contents that are missing, the most recently noticed first.
func (b *frameBuilder) addWants() {
	budget := b.left / 8
	keys := b.t.gossip.assembly.Keys()
	slices.Reverse(keys)
	for _, fingerprint := range keys {
		part, ok := b.t.gossip.assembly.Peek(fingerprint)
		if ok && b.now.Sub(part.seenAt) >= b.t.opts.TargetLease { // nobody renews it any more
			b.t.gossip.assembly.Remove(fingerprint)
			continue
		}
		if !ok || part.done {
			continue
		}
		want := Want{Fingerprint: fingerprint, Offset: uint32(len(part.data)), Base: part.base}
		if len(b.frame.Wants) >= maxWants || !b.add(&b.frame.Wants, &budget, &want) {
			return
		}
	}
}

// addContents sends contents that were asked for and then new ones. It returns those sent, which need a renewal in the
// same frame to take effect.
func (b *frameBuilder) addContents(live []*candidate, asked []Want) map[*candidate]bool {
	sent := make(map[*candidate]bool)
	byFingerprint := make(map[uint64]*candidate, len(live))
	for _, c := range live {
		byFingerprint[c.entry.fingerprint] = c
	}
	budget := b.left * 5 / 8
	for i, want := range asked {
		c := byFingerprint[want.Fingerprint]
		// An equal part of the budget for each content lets none of them wait for a large one.
		share := max(budget/(len(asked)-i), MinDeltaBytes/4)
		if c == nil {
			continue
		}
		known := c.previous != nil && want.Offset == 0 && c.previous.fingerprint == want.Base
		if known && b.addDiff(c, &budget) || b.addPart(c.entry, want.Offset, min(share, budget), &budget) {
			sent[c] = true
		}
	}
	for _, c := range live {
		if c.rec.contentSentChange != c.changed {
			c.rec.contentSentChange, c.rec.contentSent = c.changed, 0
		}
		if c.rec.contentSent >= contentSends || sent[c] {
			continue
		}
		if !b.addDiff(c, &budget) && !b.addPart(c.entry, 0, budget, &budget) {
			break
		}
		c.rec.contentSent++
		sent[c] = true
	}
	return sent
}

// addDiff sends a content as its difference to the previous one, unless the whole content is not much longer.
func (b *frameBuilder) addDiff(c *candidate, budget *int) bool {
	if c.previous == nil {
		return false
	}
	d, err := diff(c.previous, c.entry)
	if err != nil {
		b.err = err
		return false
	}
	size := 0
	for _, item := range d.Added {
		size += len(item)
	}
	if size > len(c.entry.content)/2 {
		return false
	}
	return b.add(&b.frame.Diffs, budget, d)
}

// partOverheadBytes is the largest encoding of a contentPart without its data.
const partOverheadBytes = 28

// addPart sends as much of a content as its share of the budget allows.
func (b *frameBuilder) addPart(entry *Entry, offset uint32, share int, budget *int) bool {
	if uint64(offset) >= uint64(len(entry.content)) {
		return false
	}
	rest := entry.content[offset:]
	room := min(share, *budget, b.left) - partOverheadBytes
	if room < min(len(rest), partOverheadBytes) {
		return false
	}
	part := contentPart{
		Fingerprint: entry.fingerprint, Offset: offset, Total: uint32(len(entry.content)), Data: rest[:min(room, len(rest))],
	}
	return b.add(&b.frame.Contents, budget, &part)
}

// addRenewals sends renewals: first those of the contents in this frame, then newest first.
func (b *frameBuilder) addRenewals(live []*candidate, first map[*candidate]bool) {
	slices.SortStableFunc(live, func(x, y *candidate) int {
		if first[x] != first[y] {
			if first[x] {
				return -1
			}
			return 1
		}
		return y.entry.ReceivedAt.Compare(x.entry.ReceivedAt)
	})
	fair(live, func(c *candidate) uint64 { return c.rec.renewalSentInRound }, func(c *candidate, budget *int) bool {
		a := &c.entry.Announcement
		previous := uint64(0)
		if c.previous != nil {
			previous = c.previous.fingerprint
		}
		item := renewal{
			Fingerprint: c.entry.fingerprint, Sequence: a.Sequence, AgeMs: ageMs(b.now, c.entry.ReceivedAt),
			Running: a.Load.Running, Queued: a.Load.Queued, KVUsedMiB: a.Load.KVUsedBytes >> mibShift,
			LoadLag: b.frame.BaseMs - a.Load.MeasuredAtMs, Previous: previous,
		}
		if !b.add(&b.frame.Renewals, budget, &item) {
			return false
		}
		c.rec.renewalSentInRound = b.t.gossip.round
		return true
	}, b.left)
}

// ageMs rounds up, so that no hop makes a copy younger.
func ageMs(now, since time.Time) uint32 {
	age := (now.Sub(since) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(age, 0), math.MaxUint32))
}

// Merged is the effect of a frame.
type Merged struct {
	Changes []Change
	// Wants are what the sender of the frame asks for. They go into the Delta returned to it.
	Wants []Want
}

// Merge takes a frame of another instance. transit is an upper bound of the time that the frame was under way; for the
// answer to a request it is the time since the request was sent. Ages grow by it, so that a frame that was held up
// cannot extend a lease.
func (t *Table) Merge(now time.Time, transit time.Duration, data []byte) (Merged, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return Merged{}, errors.Wrap(err, "gossip frame")
	}
	if f.Version != gossipVersion {
		return Merged{}, errors.Errorf("gossip frame version %d is not supported, want %d", f.Version, gossipVersion)
	}
	sentAt := now.Add(-max(transit, 0))
	m := &merger{t: t, now: now, sentAt: sentAt, baseMs: f.BaseMs}
	each(m, f.Leaving, "leaving notice", m.leaving)
	each(m, f.Wants, "request for content", func(w Want) { m.result.Wants = append(m.result.Wants, w) })
	each(m, f.Contents, "content", m.content)
	each(m, f.Diffs, "change of content", m.diff)
	each(m, f.Renewals, "renewal", m.renewal)
	return m.result, m.err
}

// merger applies one frame. The first fault of an item is reported after the others were applied.
type merger struct {
	t           *Table
	now, sentAt time.Time
	baseMs      int64
	result      Merged
	err         error
}

func each[T any](m *merger, items []cbor.RawMessage, name string, apply func(T)) {
	for i, data := range items {
		var item T
		if err := cbor.Unmarshal(data, &item); err != nil {
			m.fail(errors.Wrapf(err, "%s %d of a gossip frame", name, i))
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

func (m *merger) leaving(n leavingNotice) {
	since := m.sentAt.Add(-time.Duration(n.AgeMs) * time.Millisecond)
	if n.Target == "" || n.Incarnation == 0 {
		m.fail(errors.New("leaving notice without target or incarnation"))
		return
	}
	if m.now.Sub(since) >= m.t.opts.Retention {
		return
	}
	m.t.records.locked(n.Target, func(items map[string]*record) {
		rec, err := m.t.recordOf(items, n.Target)
		if err != nil {
			m.fail(err)
			return
		}
		if n.Incarnation > rec.incarnation || n.Incarnation == rec.incarnation && !rec.leaving {
			m.report(m.t.leave(rec, n.Target, n.Incarnation, since))
		}
	})
}

// content adds a part to its assembly. Parts that leave a gap are dropped; they are asked for again.
func (m *merger) content(p contentPart) {
	if p.Total > maxContentBytes || uint64(p.Offset)+uint64(len(p.Data)) > uint64(p.Total) {
		m.fail(errors.Errorf("content part of %d bytes at offset %d exceeds its total of %d", len(p.Data), p.Offset, p.Total))
		return
	}
	if _, current := m.t.fingerprints.get(fingerprintKey(p.Fingerprint)); current {
		return
	}
	g := &m.t.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	part := g.wanted(p.Fingerprint, m.now)
	have := uint32(len(part.data))
	if part.done || p.Offset > have || p.Offset+uint32(len(p.Data)) <= have {
		return
	}
	part.data = append(part.data, p.Data[have-p.Offset:]...)
	part.total = p.Total
	if uint32(len(part.data)) < part.total {
		return
	}
	if xxhash.Sum64(part.data) != p.Fingerprint {
		g.assembly.Remove(p.Fingerprint)
		m.fail(errors.Errorf("content does not match its fingerprint %x", p.Fingerprint))
		return
	}
	part.done = true
}

// diff completes a content whose predecessor is known here.
func (m *merger) diff(d contentDiff) {
	target, ok := m.t.fingerprints.get(fingerprintKey(d.Previous))
	if !ok {
		return
	}
	entry, ok := m.t.Target(target)
	if !ok || entry.fingerprint != d.Previous {
		return
	}
	content, err := d.apply(entry.content)
	if err == nil && (len(content) > maxContentBytes || xxhash.Sum64(content) != d.Fingerprint) {
		err = errors.Errorf("change of the entry of target %q does not match its fingerprint %x", target, d.Fingerprint)
	}
	if err != nil {
		m.fail(err)
		return
	}
	g := &m.t.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	part := g.wanted(d.Fingerprint, m.now)
	part.data, part.done = content, true
}

func (t *Table) supersede(entry *Entry) {
	a := &entry.Announcement
	t.superseded.Add(entry.fingerprint, identity{target: a.Target, incarnation: a.Incarnation})
}

// stale reports whether a renewal is of a superseded content and older than what is known of its target. A target can
// return to an earlier content, so the fingerprint alone does not decide.
func (t *Table) stale(r *renewal) bool {
	old, ok := t.superseded.Get(r.Fingerprint)
	if !ok {
		return false
	}
	rec, ok := t.records.get(old.target)
	if !ok {
		return false
	}
	s := t.records.shard(old.target)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return rec.incarnation > old.incarnation || rec.incarnation == old.incarnation && r.Sequence <= rec.sequence
}

func (m *merger) renewal(r renewal) {
	received := m.sentAt.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if m.now.Sub(received) >= m.t.opts.TargetLease {
		return
	}
	load := targetapi.LoadReport{
		MeasuredAtMs: m.baseMs - r.LoadLag, Running: r.Running, Queued: r.Queued, KVUsedBytes: r.KVUsedMiB << mibShift,
	}
	if target, ok := m.t.fingerprints.get(fingerprintKey(r.Fingerprint)); ok {
		m.report(m.t.renew(target, r, received, load), nil)
		return
	}
	if m.t.stale(&r) {
		return
	}
	base := uint64(0)
	if target, ok := m.t.fingerprints.get(fingerprintKey(r.Previous)); ok && r.Previous != 0 {
		base = r.Previous
		m.report(m.t.extend(target, r, received, load), nil)
	}
	content, ok := m.t.gossip.take(r.Fingerprint, base, m.now)
	if !ok {
		return
	}
	a, err := decodeContent(content)
	if err != nil {
		m.fail(err)
		return
	}
	if m.t.opts.DataCentre != "" && a.DataCentre != m.t.opts.DataCentre {
		m.fail(errors.Errorf("gossip entry of target %q is of data centre %q, expected %q",
			a.Target, a.DataCentre, m.t.opts.DataCentre))
		return
	}
	a.Sequence, a.Load = r.Sequence, load
	m.report(m.t.apply(received, a))
	if _, current := m.t.fingerprints.get(fingerprintKey(r.Fingerprint)); !current {
		m.t.superseded.Add(r.Fingerprint, identity{target: a.Target, incarnation: a.Incarnation})
	}
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

// renew applies a later announcement of the current content of a target.
func (t *Table) renew(target string, r renewal, received time.Time, load targetapi.LoadReport) (change Change) {
	t.records.locked(target, func(items map[string]*record) {
		rec := items[target]
		if rec == nil {
			return
		}
		entry := rec.entry.Load()
		if entry == nil || entry.fingerprint != r.Fingerprint || r.Sequence <= rec.sequence {
			return
		}
		rec.sequence = r.Sequence
		change = t.replaceLoad(rec, entry, r.Sequence, received, load)
	})
	return change
}

// extend applies a later announcement of a target whose new content has not arrived. The entry keeps its sequence, so
// that the content is still taken when it comes. A leaving target is not extended in this way: its renewals name no
// previous content, and where its leaving is known its content is another one.
func (t *Table) extend(target string, r renewal, received time.Time, load targetapi.LoadReport) (change Change) {
	t.records.locked(target, func(items map[string]*record) {
		rec := items[target]
		if rec == nil {
			return
		}
		entry := rec.entry.Load()
		if entry == nil || entry.fingerprint != r.Previous || r.Sequence <= rec.alive {
			return
		}
		change = t.replaceLoad(rec, entry, r.Sequence, received, load)
	})
	return change
}

// replaceLoad publishes an entry with a new load and, if the announcement is the latest, a new lease. The lock of the
// record is held.
func (t *Table) replaceLoad(rec *record, entry *Entry, sequence uint64, received time.Time, load targetapi.LoadReport) Change {
	a := &entry.Announcement
	change := Change{Kind: Renewed, Target: a.Target, Incarnation: a.Incarnation}
	if rec.gone {
		change.Kind = Added
	}
	if sequence <= rec.alive {
		received = entry.ReceivedAt
	}
	rec.alive = max(rec.alive, sequence)
	change.Entry = entry.withLoad(rec.sequence, load, received, t.opts.TargetLease)
	t.publish(rec, change.Entry)
	return change
}
