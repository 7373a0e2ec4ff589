// Package memledger accounts for the accelerator memory of one target. It maintains the invariant
//
//	resident + loading + unloading until confirmed + KV cache reserve <= capacity
//
// on the target, no matter which of the orders that were sent have arrived. It relies on three properties of targets and
// transport: an order id has at most one effect per incarnation, an order reaches only the incarnation that it was
// sent to, and a target lists an accepted load among its residents.
package memledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// MaxMessageLifetime is the longest time that a copy of an order or of an announcement can be in transit. The ledger
// relies on it only if the order journal was lost and the target does not check fencing numbers; an order that the
// ledger knows is counted until it is settled.
const MaxMessageLifetime = 5 * time.Second

// Item is one version of a model or an adapter. Adapter is empty for a model.
type Item struct {
	Model   string `cbor:"1,keyasint" json:"model"`
	Version string `cbor:"2,keyasint" json:"version"`
	Adapter string `cbor:"3,keyasint,omitempty" json:"adapter,omitempty"`
}

// ItemOf returns what an order loads or unloads.
func ItemOf(o *targetapi.Order) Item {
	return Item{Model: o.Model, Version: o.ModelVersion, Adapter: o.Adapter}
}

// Compare orders items by model, adapter and version.
func (i Item) Compare(other Item) int {
	return cmp.Or(cmp.Compare(i.Model, other.Model), cmp.Compare(i.Adapter, other.Adapter), cmp.Compare(i.Version, other.Version))
}

// IsLoad reports whether an order allocates memory.
func IsLoad(o *targetapi.Order) bool {
	return o.Kind == targetapi.LoadModel || o.Kind == targetapi.LoadAdapter
}

// IsUnload reports whether an order frees memory.
func IsUnload(o *targetapi.Order) bool {
	return o.Kind == targetapi.UnloadModel || o.Kind == targetapi.UnloadAdapter
}

// ReportPosition identifies a report. The floor of a ledger is the oldest report that a successor may use: it shows the
// effects of all settled orders. Open orders were sent to its incarnation.
type ReportPosition struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
}

func (p ReportPosition) olderThan(other ReportPosition) bool {
	return p.Incarnation < other.Incarnation || p.Incarnation == other.Incarnation && p.Sequence < other.Sequence
}

// Resident is an item that takes memory or may take it because of an open order.
type Resident struct {
	Item  Item
	State targetapi.ResidentState
	Bytes int64
}

// Errors of Reserve.
var (
	ErrNoReport  = errors.New("no sufficiently recent report of the target")
	ErrOpenOrder = errors.New("another order for the same model or adapter is open")
	ErrResident  = errors.New("the target reports the model or adapter as resident")
	ErrNoMemory  = errors.New("not enough accelerator memory")
)

// Ledger tracks the memory and the open orders of one target. It is not safe for concurrent use.
type Ledger struct {
	target        string
	floor         ReportPosition
	report        ReportPosition
	hasReport     bool
	capacityBytes int64
	reserveBytes  int64
	checksFencing bool
	lastFence     uint64
	residents     map[Item]Resident
	openOrders    map[string]targetapi.Order
	usedBytes     int64
	// suspendedUntil and suspensionFence are set while orders that the journal does not contain may be in transit.
	suspendedUntil  time.Time
	suspensionFence uint64
}

// New returns a ledger that ignores reports older than the floor. The zero floor is for a target without earlier orders.
func New(target string, floor ReportPosition) *Ledger {
	return &Ledger{target: target, floor: floor, residents: make(map[Item]Resident), openOrders: make(map[string]targetapi.Order)}
}

// Adopt adds an open order of a predecessor, even if the used memory then exceeds the capacity.
func (l *Ledger) Adopt(o targetapi.Order) {
	l.openOrders[o.ID] = o
	l.recount()
}

// SuspendReservations suspends reservations. A successor without a complete journal calls it, because orders that it
// does not know may be in transit. Reservations resume when such orders cannot arrive any more: a target that checks
// fencing numbers has accepted the new one, or two CopyLifetimes have passed, one for the last copy of such an order
// and one for the reports that were sent before that copy arrived.
func (l *Ledger) SuspendReservations(now time.Time, fence uint64) {
	l.suspendedUntil, l.suspensionFence = now.Add(2*MaxMessageLifetime), fence
}

// ReservationsAllowed reports whether reservations are not suspended.
func (l *Ledger) ReservationsAllowed() bool { return l.suspensionFence == 0 }

// Report processes an announcement and returns the orders that it settles. An announcement that is not newer than the
// latest one is ignored.
func (l *Ledger) Report(now time.Time, a *targetapi.Announcement) (settled []targetapi.OrderStatus, newer bool) {
	position := ReportPosition{Incarnation: a.Incarnation, Sequence: a.Sequence}
	if a.Target != l.target || position.olderThan(l.floor) || l.hasReport && !l.report.olderThan(position) {
		return nil, false
	}
	restarted := position.Incarnation > max(l.report.Incarnation, l.floor.Incarnation)
	l.report, l.hasReport = position, true
	l.capacityBytes, l.reserveBytes = a.CapacityBytes, a.ReserveBytes
	l.checksFencing, l.lastFence = a.ChecksFencing, a.LastFence
	clear(l.residents)
	for _, r := range a.Residents {
		item := Item{Model: r.Model, Version: r.Version, Adapter: r.Adapter}
		held := l.residents[item]
		l.residents[item] = Resident{Item: item, State: r.State, Bytes: held.Bytes + r.Bytes}
	}
	settled = l.settle(a, restarted)
	if len(settled) > 0 {
		l.floor = position
	}
	if l.suspensionFence != 0 && (l.checksFencing && l.lastFence >= l.suspensionFence || !now.Before(l.suspendedUntil)) {
		l.suspensionFence = 0
		l.floor = position
	}
	l.recount()
	return settled, true
}

// settle closes the open orders that have finished or can never run. All orders to an earlier incarnation have failed
// with it. A target that has accepted a higher fencing number and does not list an order will never run it.
func (l *Ledger) settle(a *targetapi.Announcement, restarted bool) (settled []targetapi.OrderStatus) {
	listed := make(map[string]bool, len(a.Orders))
	for _, s := range a.Orders {
		listed[s.ID] = true
		final := s.State == targetapi.OrderDone || s.State == targetapi.OrderFailed || s.State == targetapi.OrderRefused
		if _, open := l.openOrders[s.ID]; open && final {
			settled = append(settled, s)
			delete(l.openOrders, s.ID)
		}
	}
	for id, o := range l.openOrders {
		reason := ""
		switch {
		case restarted:
			reason = "the target has a new incarnation"
		case l.checksFencing && l.lastFence > o.Fence && !listed[id]:
			reason = "the target has accepted a higher fencing number and refuses this one"
		default:
			continue
		}
		settled = append(settled, targetapi.OrderStatus{ID: id, State: targetapi.OrderRefused, Error: reason})
		delete(l.openOrders, id)
	}
	slices.SortFunc(settled, func(a, b targetapi.OrderStatus) int { return cmp.Compare(a.ID, b.ID) })
	return settled
}

// recount computes usedBytes from the residents and what open loads may add to them. An item takes memory once, so an
// open load of a resident item counts with the larger of both sizes.
func (l *Ledger) recount() {
	l.usedBytes = l.reserveBytes
	for _, r := range l.residents {
		l.usedBytes += r.Bytes
	}
	for id, o := range l.openOrders {
		if IsLoad(&o) {
			l.usedBytes += l.additionalBytes(id, &o)
		}
	}
}

// additionalBytes returns the bytes that an open load may add to the resident item. Of several open loads of an item,
// only the largest counts; among equal ones, the one with the lowest id.
func (l *Ledger) additionalBytes(id string, o *targetapi.Order) int64 {
	item := ItemOf(o)
	counted := l.residents[item].Bytes
	for other, p := range l.openOrders {
		if IsLoad(&p) && ItemOf(&p) == item && (p.Bytes > o.Bytes || p.Bytes == o.Bytes && other < id) {
			return 0
		}
	}
	return max(0, o.Bytes-counted)
}

// Reserve opens an order and reserves the bytes of a load. The order must be in the journal before it is sent.
func (l *Ledger) Reserve(o targetapi.Order) error {
	item := ItemOf(&o)
	switch {
	case !IsLoad(&o) && !IsUnload(&o):
		return errors.Errorf("order kind %q neither loads nor unloads", o.Kind)
	case o.ID == "" || o.Model == "":
		return errors.Errorf("order without id or model: id %q, model %q", o.ID, o.Model)
	case IsLoad(&o) && o.Bytes <= 0:
		return errors.Errorf("load of model %q has %d bytes, want more than 0", o.Model, o.Bytes)
	case !l.CanReserve():
		return ErrNoReport
	}
	for _, p := range l.openOrders {
		if ItemOf(&p) == item {
			return ErrOpenOrder
		}
	}
	if IsLoad(&o) {
		if _, resident := l.residents[item]; resident {
			return ErrResident
		}
		if o.Bytes > l.Free() {
			return ErrNoMemory
		}
	}
	l.openOrders[o.ID] = o
	// A successor needs the incarnation that the order is sent to.
	l.floor = l.report
	l.recount()
	return nil
}

// Withdraw cancels an order that was never sent.
func (l *Ledger) Withdraw(id string) {
	delete(l.openOrders, id)
	l.recount()
}

// CanReserve reports whether orders may be opened.
func (l *Ledger) CanReserve() bool { return l.hasReport && l.suspensionFence == 0 }

// Free returns the bytes that are available to loads. It is never negative.
func (l *Ledger) Free() int64 { return max(0, l.capacityBytes-l.usedBytes) }

// Used returns the bytes that are in use or may be used by open loads, with the KV cache reserve.
func (l *Ledger) Used() int64 { return l.usedBytes }

// Capacity returns the reported capacity in bytes without the KV cache reserve.
func (l *Ledger) Capacity() int64 { return l.capacityBytes - l.reserveBytes }

// Floor returns the oldest report that a successor may use.
func (l *Ledger) Floor() ReportPosition { return l.floor }

// Open returns the open orders, sorted by id.
func (l *Ledger) Open() []targetapi.Order {
	list := make([]targetapi.Order, 0, len(l.openOrders))
	for _, o := range l.openOrders {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b targetapi.Order) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// NeedsFenceRaise reports whether the target checks fencing numbers but still accepts orders with a lower one than
// fence.
func (l *Ledger) NeedsFenceRaise(fence uint64) bool {
	return l.hasReport && l.checksFencing && l.lastFence < fence
}

// Sendable reports whether the holder of a fencing number may send an open order. An order of a predecessor keeps its id
// and fencing number: a target that checks fencing numbers would refuse it, so a raise order invalidates it there instead.
func (l *Ledger) Sendable(o *targetapi.Order, fence uint64) bool {
	return l.hasReport && (o.Fence == fence || !l.checksFencing)
}

// Residents returns the items that are or may become resident, sorted. An item with an open unload is listed as
// unloading, since the order may arrive at any time; an item that only has an open load is listed as loading.
func (l *Ledger) Residents() []Resident {
	list := make([]Resident, 0, len(l.residents)+len(l.openOrders))
	unloading := make(map[Item]bool)
	for _, o := range l.openOrders {
		item := ItemOf(&o)
		if IsUnload(&o) {
			unloading[item] = true
		} else if _, ok := l.residents[item]; !ok {
			list = append(list, Resident{Item: item, State: targetapi.Loading, Bytes: o.Bytes})
		}
	}
	for item, r := range l.residents {
		if unloading[item] {
			r.State = targetapi.Unloading
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Resident) int { return a.Item.Compare(b.Item) })
	return slices.CompactFunc(list, func(a, b Resident) bool { return a.Item == b.Item })
}
