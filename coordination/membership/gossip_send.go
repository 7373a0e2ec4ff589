package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// unrequestedContentSends is the number of frames in which a new content is sent without a request. Instances that miss
// it request it when they receive a renewal with its fingerprint.
const unrequestedContentSends = 2

// leavingNoticeLeases is how long a leaving notice is sent, in target leases. Entries from before the target began to
// leave expire after one lease.
const leavingNoticeLeases = 4

// previousContentLeases is how long renewals name the preceding content after a change, in target leases.
const previousContentLeases = 2

// candidate is a copy of the state of a record, taken when the encoding of a frame starts.
type candidate struct {
	rec          *record
	target       string
	entry        *Entry
	incarnation  uint64
	leaving      bool
	leavingSince time.Time
	changeNumber uint64
	previous     *Entry
}

// PullRequest returns a frame for a request to another instance. It has only leaving notices and requests for missing
// contents, and no renewals, because the receiver cannot bound the network delay of a request.
func (t *Table) PullRequest(now time.Time, limitBytes int) ([]byte, error) {
	return t.encode(now, limitBytes, nil, false)
}

// Delta returns a frame of at most limitBytes with the latest changes: leaving notices, requests for missing contents,
// the contents that the receiver requested, new contents, and renewals, newest first. A quarter of the budget for
// notices and renewals is reserved for the items that were sent longest ago, so that every item is sent eventually.
func (t *Table) Delta(now time.Time, limitBytes int, requested []ContentRequest) ([]byte, error) {
	return t.encode(now, limitBytes, requested, true)
}

func (t *Table) encode(now time.Time, limitBytes int, requested []ContentRequest, withEntries bool) ([]byte, error) {
	if limitBytes < MinDeltaBytes {
		return nil, errors.Errorf("byte limit %d of a gossip frame is below %d", limitBytes, MinDeltaBytes)
	}
	candidates := t.candidates(now)
	t.gossip.mu.Lock()
	defer t.gossip.mu.Unlock()
	t.gossip.round++
	b := &frameBuilder{t: t, now: now, remaining: limitBytes - frameOverheadBytes, frame: frame{Version: gossipVersion}}
	b.addLeaving(candidates)
	b.addContentRequests()
	if withEntries {
		var live []*candidate
		for _, c := range candidates {
			if c.entry != nil && now.Before(c.entry.ExpiresAt) {
				live = append(live, c)
				b.frame.BaseMs = max(b.frame.BaseMs, c.entry.Announcement.Load.MeasuredAtMs)
			}
		}
		withContent := b.addContents(live, requested)
		b.addRenewals(live, withContent)
	}
	data, err := cbor.Marshal(&b.frame)
	if err != nil {
		return nil, errors.Wrap(err, "encode a gossip frame")
	}
	return data, b.err
}

func (t *Table) candidates(now time.Time) []*candidate {
	var all []*candidate
	t.records.Range(func(target string, rec *record) {
		c := &candidate{
			rec: rec, target: target, entry: rec.entry.Load(), incarnation: rec.incarnation,
			leaving: rec.leaving, leavingSince: rec.leavingSince, changeNumber: rec.changeNumber,
		}
		if !rec.leaving && now.Sub(rec.changedAt) < previousContentLeases*t.opts.TargetLease {
			c.previous = rec.previous
		}
		all = append(all, c)
	})
	slices.SortFunc(all, func(a, b *candidate) int { return cmp.Compare(b.changeNumber, a.changeNumber) })
	return all
}

// frameBuilder fills one frame. gossip.mu is held.
type frameBuilder struct {
	t         *Table
	now       time.Time
	remaining int
	frame     frame
	err       error
}

// add appends an item to a section if it fits into the budget and the frame.
func (b *frameBuilder) add(section *[]cbor.RawMessage, budget *int, item any) bool {
	data, err := cbor.Marshal(item)
	if err != nil {
		b.err = errors.Wrap(err, "encode an item of a gossip frame")
		return false
	}
	if len(data) > *budget || len(data) > b.remaining {
		return false
	}
	*section = append(*section, data)
	*budget -= len(data)
	b.remaining -= len(data)
	return true
}

// addFairly adds candidates in the given order until three quarters of the budget are spent, and then the remaining
// ones starting with those that were sent longest ago.
func addFairly(list []*candidate, sent func(*candidate) uint64, add func(*candidate, *int) bool, budget int) {
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
		if c.leaving && b.now.Sub(c.leavingSince) < leavingNoticeLeases*b.t.opts.TargetLease {
			leaving = append(leaving, c)
		}
	}
	addFairly(leaving, func(c *candidate) uint64 { return c.rec.leavingSentInRound }, func(c *candidate, budget *int) bool {
		notice := leavingNotice{Target: c.target, Incarnation: c.incarnation, AgeMs: ageMs(b.now, c.leavingSince)}
		if !b.add(&b.frame.Leaving, budget, &notice) {
			return false
		}
		c.rec.leavingSentInRound = b.t.gossip.round
		return true
	}, b.remaining/2)
}

// addContentRequests requests missing contents, starting with the one that was referred to last. It drops assemblies
// that no message has referred to for a lease.
func (b *frameBuilder) addContentRequests() {
	budget := b.remaining / 8
	keys := b.t.gossip.assemblies.Keys()
	slices.Reverse(keys)
	for _, fingerprint := range keys {
		collected, ok := b.t.gossip.assemblies.Peek(fingerprint)
		if ok && b.now.Sub(collected.seenAt) >= b.t.opts.TargetLease {
			b.t.gossip.assemblies.Remove(fingerprint)
			continue
		}
		if !ok || collected.done {
			continue
		}
		request := ContentRequest{Fingerprint: fingerprint, Offset: uint32(len(collected.data)), Base: collected.base}
		if len(b.frame.ContentRequests) >= maxContentRequests || !b.add(&b.frame.ContentRequests, &budget, &request) {
			return
		}
	}
}

// addContents adds the requested contents and then new ones. It returns the candidates added, whose renewals have to be
// in the same frame, because a content is applied only together with a renewal.
func (b *frameBuilder) addContents(live []*candidate, requested []ContentRequest) map[*candidate]bool {
	sent := make(map[*candidate]bool)
	byFingerprint := make(map[uint64]*candidate, len(live))
	for _, c := range live {
		byFingerprint[c.entry.fingerprint] = c
	}
	budget := b.remaining * 5 / 8
	for i, request := range requested {
		c := byFingerprint[request.Fingerprint]
		// Dividing the budget equally keeps a large content from delaying the others.
		share := max(budget/(len(requested)-i), MinDeltaBytes/4)
		if c == nil {
			continue
		}
		hasBase := c.previous != nil && request.Offset == 0 && c.previous.fingerprint == request.Base
		if hasBase && b.addDiff(c, &budget) || b.addPart(c.entry, request.Offset, min(share, budget), &budget) {
			sent[c] = true
		}
	}
	for _, c := range live {
		if c.rec.contentSendChange != c.changeNumber {
			c.rec.contentSendChange, c.rec.contentSendCount = c.changeNumber, 0
		}
		if c.rec.contentSendCount >= unrequestedContentSends || sent[c] {
			continue
		}
		if !b.addDiff(c, &budget) && !b.addPart(c.entry, 0, budget, &budget) {
			break
		}
		c.rec.contentSendCount++
		sent[c] = true
	}
	return sent
}

// addDiff adds a content as its difference to the preceding one, unless the added items exceed half of the content.
func (b *frameBuilder) addDiff(c *candidate, budget *int) bool {
	if c.previous == nil {
		return false
	}
	d, err := diffContents(c.previous, c.entry)
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

// addPart adds as many bytes of a content from the offset on as its share of the budget allows.
func (b *frameBuilder) addPart(entry *Entry, offset uint32, share int, budget *int) bool {
	if uint64(offset) >= uint64(len(entry.content)) {
		return false
	}
	rest := entry.content[offset:]
	room := min(share, *budget, b.remaining) - partOverheadBytes
	if room < min(len(rest), partOverheadBytes) {
		return false
	}
	part := contentPart{
		Fingerprint: entry.fingerprint, Offset: offset, Total: uint32(len(entry.content)), Data: rest[:min(room, len(rest))],
	}
	return b.add(&b.frame.Contents, budget, &part)
}

// addRenewals adds the renewals of the contents in this frame and then the others, newest first.
func (b *frameBuilder) addRenewals(live []*candidate, withContent map[*candidate]bool) {
	slices.SortStableFunc(live, func(x, y *candidate) int {
		if withContent[x] != withContent[y] {
			if withContent[x] {
				return -1
			}
			return 1
		}
		return y.entry.ReceivedAt.Compare(x.entry.ReceivedAt)
	})
	addFairly(live, func(c *candidate) uint64 { return c.rec.renewalSentInRound }, func(c *candidate, budget *int) bool {
		a := &c.entry.Announcement
		previous := uint64(0)
		if c.previous != nil {
			previous = c.previous.fingerprint
		}
		item := renewal{
			Fingerprint: c.entry.fingerprint, Sequence: a.Sequence, AgeMs: ageMs(b.now, c.entry.ReceivedAt),
			Running: a.Load.Running, Queued: a.Load.Queued, KVUsedMiB: a.Load.KVUsedBytes >> bytesToMiBShift,
			LoadLagMs: b.frame.BaseMs - a.Load.MeasuredAtMs, Previous: previous,
		}
		if !b.add(&b.frame.Renewals, budget, &item) {
			return false
		}
		c.rec.renewalSentInRound = b.t.gossip.round
		return true
	}, b.remaining)
}
