package membership

import (
	"bytes"
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// Entry is the state of one incarnation of a target. It is immutable once it has been published.
type Entry struct {
	// Announcement is the latest announcement. Leaving stays set once any announcement of the incarnation has set it.
	Announcement targetapi.Announcement
	// ReceivedAt is when an instance received the announcement from the target, in the time of this instance's clock.
	ReceivedAt time.Time
	// ExpiresAt ends the lease.
	ExpiresAt time.Time

	fingerprint uint64
	content     []byte
	keys        []string
}

// Usable reports whether new requests may be sent to the target.
func (e *Entry) Usable(now time.Time) bool {
	return !e.Announcement.Leaving && now.Before(e.ExpiresAt)
}

// FreeWork is the number of further requests that the target can run without queueing, according to its latest load
// report, which may be stale.
func (e *Entry) FreeWork() int {
	return max(0, e.Announcement.Slots-e.Announcement.Load.Running-e.Announcement.Load.Queued)
}

// Ready reports whether the model and, if one is named, the adapter are ready on the target.
func (e *Entry) Ready(model, adapter string) bool { return e.hasKey(modelKey(model, adapter)) }

func (e *Entry) hasKey(key string) bool {
	_, ok := slices.BinarySearch(e.keys, key)
	return ok
}

func modelKey(model, adapter string) string { return "m\x00" + model + "\x00" + adapter }

func serviceKey(service string) string { return "s\x00" + service }

// contentHeader, residentRecord and orderRecord are the items of a content, the part of an announcement that rarely
// changes. A content is the sorted concatenation of its encoded items, so that all instances compute the same bytes:
// renewals refer to it by its hash, and a change is sent as the items that differ. The length of the CBOR array tells
// the item types apart.
type contentHeader struct {
	_             struct{} `cbor:",toarray"`
	Target        string
	Incarnation   uint64
	DataCentre    string
	FailureDomain string
	Address       string
	Kind          targetapi.Kind
	Service       string
	CapacityBytes int64
	ReserveBytes  int64
	Slots         int
	ChecksFencing bool
	LastFence     uint64
	Leaving       bool
}

type residentRecord struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version string
	Adapter string
	State   targetapi.ResidentState
	Bytes   int64
}

type orderRecord struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	State targetapi.OrderState
	Error string
}

// First byte of each item type: a CBOR array header, 0x80 plus the number of fields.
const (
	headerItem   = 0x80 + 13
	residentItem = 0x80 + 5
	orderItem    = 0x80 + 3
)

// newEntry builds an entry from a valid announcement. It copies the residents and orders, and sorts the residents.
func newEntry(a targetapi.Announcement, received time.Time, lease time.Duration) (*Entry, error) {
	a.Residents = slices.Clone(a.Residents)
	a.Orders = slices.Clone(a.Orders)
	slices.SortFunc(a.Residents, func(x, y targetapi.Resident) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Adapter, y.Adapter), cmp.Compare(x.Version, y.Version))
	})
	items := make([][]byte, 0, 1+len(a.Residents)+len(a.Orders))
	add := func(item any) error {
		data, err := cbor.Marshal(item)
		items = append(items, data)
		return errors.Wrapf(err, "encode the content of target %q", a.Target)
	}
	err := add(&contentHeader{
		Target: a.Target, Incarnation: a.Incarnation, DataCentre: a.DataCentre, FailureDomain: a.FailureDomain,
		Address: a.Address, Kind: a.Kind, Service: a.Service, CapacityBytes: a.CapacityBytes,
		ReserveBytes: a.ReserveBytes, Slots: a.Slots, ChecksFencing: a.ChecksFencing, LastFence: a.LastFence,
		Leaving: a.Leaving,
	})
	for _, r := range a.Residents {
		if err == nil {
			err = add(&residentRecord{Model: r.Model, Version: r.Version, Adapter: r.Adapter, State: r.State, Bytes: r.Bytes})
		}
	}
	for _, o := range a.Orders {
		if err == nil {
			err = add(&orderRecord{ID: o.ID, State: o.State, Error: o.Error})
		}
	}
	if err != nil {
		return nil, err
	}
	content := joinItems(items)
	return &Entry{
		Announcement: a, ReceivedAt: received, ExpiresAt: received.Add(lease),
		fingerprint: xxhash.Sum64(content), content: content, keys: indexKeys(&a),
	}, nil
}

// joinItems sorts the items in place and concatenates them to a content.
func joinItems(items [][]byte) []byte {
	slices.SortFunc(items, bytes.Compare)
	return bytes.Join(items, nil)
}

// splitItems is the reverse of joinItems.
func splitItems(content []byte) ([][]byte, error) {
	var items [][]byte
	for len(content) > 0 {
		var item cbor.RawMessage
		rest, err := cbor.UnmarshalFirst(content, &item)
		if err != nil {
			return nil, errors.Wrap(err, "split the content of an entry into items")
		}
		items = append(items, content[:len(content)-len(rest)])
		content = rest
	}
	return items, nil
}

// decodeContent is the reverse of the encoding in newEntry.
func decodeContent(content []byte) (targetapi.Announcement, error) {
	a := targetapi.Announcement{Version: targetapi.Version}
	items, err := splitItems(content)
	for _, item := range items {
		if err == nil {
			err = decodeItem(&a, item)
		}
	}
	if err != nil {
		return targetapi.Announcement{}, errors.Wrap(err, "decode the content of an entry")
	}
	return a, a.Check()
}

func decodeItem(a *targetapi.Announcement, item []byte) error {
	switch item[0] {
	case headerItem:
		var h contentHeader
		if err := cbor.Unmarshal(item, &h); err != nil {
			return err
		}
		a.Target, a.Incarnation, a.DataCentre, a.FailureDomain = h.Target, h.Incarnation, h.DataCentre, h.FailureDomain
		a.Address, a.Kind, a.Service, a.CapacityBytes = h.Address, h.Kind, h.Service, h.CapacityBytes
		a.ReserveBytes, a.Slots, a.ChecksFencing, a.LastFence = h.ReserveBytes, h.Slots, h.ChecksFencing, h.LastFence
		a.Leaving = h.Leaving
	case residentItem:
		var r residentRecord
		if err := cbor.Unmarshal(item, &r); err != nil {
			return err
		}
		a.Residents = append(a.Residents,
			targetapi.Resident{Model: r.Model, Version: r.Version, Adapter: r.Adapter, State: r.State, Bytes: r.Bytes})
	case orderItem:
		var o orderRecord
		if err := cbor.Unmarshal(item, &o); err != nil {
			return err
		}
		a.Orders = append(a.Orders, targetapi.OrderStatus{ID: o.ID, State: o.State, Error: o.Error})
	default:
		return errors.Errorf("content item of unknown type: first byte %#x", item[0])
	}
	return nil
}

// contentDiff turns the content with the fingerprint Previous into the one with Fingerprint. Removed holds ascending
// indexes of items of the previous content.
type contentDiff struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Previous    uint64
	Removed     []int
	Added       []cbor.RawMessage
}

// diffContents returns the difference of two contents, both of which are sorted sequences of items.
func diffContents(previous, next *Entry) (*contentDiff, error) {
	before, err := splitItems(previous.content)
	if err != nil {
		return nil, err
	}
	after, err := splitItems(next.content)
	if err != nil {
		return nil, err
	}
	d := &contentDiff{Fingerprint: next.fingerprint, Previous: previous.fingerprint}
	i := 0
	for _, item := range after {
		for i < len(before) && bytes.Compare(before[i], item) < 0 {
			d.Removed = append(d.Removed, i)
			i++
		}
		if i < len(before) && bytes.Equal(before[i], item) {
			i++
			continue
		}
		d.Added = append(d.Added, item)
	}
	for ; i < len(before); i++ {
		d.Removed = append(d.Removed, i)
	}
	return d, nil
}

// apply returns the content that follows from the difference. It does not verify the fingerprint of the result.
func (d *contentDiff) apply(content []byte) ([]byte, error) {
	items, err := splitItems(content)
	if err != nil {
		return nil, err
	}
	for n, i := range d.Removed {
		if i < 0 || i >= len(items) || n > 0 && i <= d.Removed[n-1] {
			return nil, errors.Errorf("content difference removes item %d of %d: index out of range or not ascending",
				i, len(items))
		}
		items[i] = nil
	}
	items = slices.DeleteFunc(items, func(item []byte) bool { return item == nil })
	for _, item := range d.Added {
		items = append(items, item)
	}
	return joinItems(items), nil
}

// indexKeys returns the sorted index keys under which lookups find a target. An adapter has a key only if its model is
// ready on the target too.
func indexKeys(a *targetapi.Announcement) []string {
	if a.Leaving {
		return nil
	}
	if a.Kind == targetapi.Service {
		return []string{serviceKey(a.Service)}
	}
	ready := make(map[string]bool)
	for _, r := range a.Residents {
		if r.State == targetapi.Ready && r.Adapter == "" {
			ready[r.Model] = true
		}
	}
	var keys []string
	for _, r := range a.Residents {
		if r.State == targetapi.Ready && ready[r.Model] {
			keys = append(keys, modelKey(r.Model, r.Adapter))
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// withLoad returns a copy of the entry for a later announcement with the same content.
func (e *Entry) withLoad(sequence uint64, load targetapi.LoadReport, received time.Time, lease time.Duration) *Entry {
	next := *e
	next.Announcement.Sequence, next.Announcement.Load = sequence, load
	next.ReceivedAt, next.ExpiresAt = received, received.Add(lease)
	return &next
}

// record holds the state of one target. Index lists point to the record rather than to its entry, so that renewing a
// lease does not change them. Fields are guarded by the lock of the record's shard in Table.records, except where
// stated.
type record struct {
	// entry is nil while only a leaving notice of the incarnation has been received. It is read without the lock.
	entry       atomic.Pointer[Entry]
	incarnation uint64
	// sequence is that of the announcement in entry; leaseSequence is the highest that extended the lease, which is
	// larger while the content of a later announcement is missing.
	sequence      uint64
	leaseSequence uint64
	leaving       bool
	// leavingSince is when an instance first learned that the incarnation is leaving.
	leavingSince time.Time
	// expired is set once Expire has reported the end of the lease; expiredAt is when the lease ended.
	expired   bool
	expiredAt time.Time
	// changeNumber is the value of Table.changeCounter at the latest change of the content or of leaving.
	changeNumber uint64
	// previous is the last entry of the same incarnation with the preceding content; changedAt is when an instance
	// received the current content from the target.
	previous  *Entry
	changedAt time.Time

	// Gossip counters, guarded by gossip.mu.
	contentSendCount   int
	contentSendChange  uint64
	renewalSentInRound uint64
	leavingSentInRound uint64
}
