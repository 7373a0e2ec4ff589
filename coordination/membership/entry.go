package membership

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// Entry is what the table knows of one incarnation of a target. It is never changed once it has been published.
type Entry struct {
	// Announcement is the latest one. Leaving stays set once any announcement of the incarnation had it.
	Announcement targetapi.Announcement
	// ReceivedAt is when an instance received the announcement from the target, on the clock of this instance.
	ReceivedAt time.Time
	// ExpiresAt ends the lease.
	ExpiresAt time.Time

	fingerprint uint64
	content     []byte
	keys        []string
}

// Usable reports whether the target may get new work.
func (e *Entry) Usable(now time.Time) bool {
	return !e.Announcement.Leaving && now.Before(e.ExpiresAt)
}

// FreeWork is the number of further requests that the target can take without queueing, by its own late report.
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

// contentRecord is the part of an announcement that rarely changes. Its encoding is the same on all instances, so that
// its hash can stand for it in renewals.
type contentRecord struct {
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
	Residents     []residentRecord
	Orders        []orderRecord
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

// newEntry builds an entry from a checked announcement. It copies and sorts the residents.
func newEntry(a targetapi.Announcement, received time.Time, lease time.Duration) (*Entry, error) {
	a.Residents = slices.Clone(a.Residents)
	a.Orders = slices.Clone(a.Orders)
	slices.SortFunc(a.Residents, func(x, y targetapi.Resident) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Adapter, y.Adapter), cmp.Compare(x.Version, y.Version))
	})
	record := contentRecord{
		Target: a.Target, Incarnation: a.Incarnation, DataCentre: a.DataCentre, FailureDomain: a.FailureDomain,
		Address: a.Address, Kind: a.Kind, Service: a.Service, CapacityBytes: a.CapacityBytes,
		ReserveBytes: a.ReserveBytes, Slots: a.Slots, ChecksFencing: a.ChecksFencing, LastFence: a.LastFence,
		Leaving: a.Leaving,
	}
	for _, r := range a.Residents {
		record.Residents = append(record.Residents,
			residentRecord{Model: r.Model, Version: r.Version, Adapter: r.Adapter, State: r.State, Bytes: r.Bytes})
	}
	for _, o := range a.Orders {
		record.Orders = append(record.Orders, orderRecord{ID: o.ID, State: o.State, Error: o.Error})
	}
	content, err := cbor.Marshal(&record)
	if err != nil {
		return nil, errors.Wrapf(err, "encode the entry of target %q", a.Target)
	}
	return &Entry{
		Announcement: a, ReceivedAt: received, ExpiresAt: received.Add(lease),
		fingerprint: xxhash.Sum64(content), content: content, keys: keysOf(&a),
	}, nil
}

// decodeContent is the reverse of the encoding in newEntry.
func decodeContent(data []byte) (targetapi.Announcement, error) {
	var r contentRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return targetapi.Announcement{}, errors.Wrap(err, "entry content")
	}
	a := targetapi.Announcement{
		Version: targetapi.Version, Target: r.Target, Incarnation: r.Incarnation, DataCentre: r.DataCentre,
		FailureDomain: r.FailureDomain, Address: r.Address, Kind: r.Kind, Service: r.Service,
		CapacityBytes: r.CapacityBytes, ReserveBytes: r.ReserveBytes, Slots: r.Slots, ChecksFencing: r.ChecksFencing,
		LastFence: r.LastFence, Leaving: r.Leaving,
	}
	for _, x := range r.Residents {
		a.Residents = append(a.Residents,
			targetapi.Resident{Model: x.Model, Version: x.Version, Adapter: x.Adapter, State: x.State, Bytes: x.Bytes})
	}
	for _, x := range r.Orders {
		a.Orders = append(a.Orders, targetapi.OrderStatus{ID: x.ID, State: x.State, Error: x.Error})
	}
	return a, a.Check()
}

// keysOf lists the index keys under which a target is offered, sorted. An adapter counts only with its model.
func keysOf(a *targetapi.Announcement) []string {
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

// withLoad copies an entry for a later announcement of the same content.
func (e *Entry) withLoad(sequence uint64, load targetapi.LoadReport, received time.Time, lease time.Duration) *Entry {
	next := *e
	next.Announcement.Sequence, next.Announcement.Load = sequence, load
	next.ReceivedAt, next.ExpiresAt = received, received.Add(lease)
	return &next
}

// record is the lasting place of one target in the table. Index lists point to it, so that a renewal of a lease does
// not touch them. Its fields are guarded by the lock of its shard in Table.records, except where stated.
type record struct {
	// entry is nil while only a leaving notice of the incarnation is known. It is read without the lock.
	entry       atomic.Pointer[Entry]
	incarnation uint64
	sequence    uint64
	leaving     bool
	// leavingSince is when the leaving incarnation was first known to an instance.
	leavingSince time.Time
	// gone is set once the expiry was reported; goneAt is when the lease ended.
	gone   bool
	goneAt time.Time
	// changed is the number of the latest change of the content or of leaving.
	changed uint64

	// The counters of gossip are guarded by gossip.mu.
	contentSent        int
	contentSentChange  uint64
	renewalSentInRound uint64
	leavingSentInRound uint64
}
