// Package memledgertest provides a simulated engine for tests and measurements of the decisions on accelerator memory. It
// runs every order that it accepts without checking its memory, so that only the ledger prevents overcommitment.
package memledgertest

import (
	"maps"
	"slices"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

// Engine is a simulated target. Restart must be called before first use.
type Engine struct {
	Name          string
	ChecksFencing bool
	CapacityBytes int64
	ReserveBytes  int64
	Incarnation   uint64
	Residents     map[memledger.Item]targetapi.Resident

	sequence  uint64
	lastFence uint64
	orders    map[string]targetapi.OrderStatus
	running   map[string]targetapi.Order
}

// Restart starts the engine with a new incarnation and empty memory.
func (e *Engine) Restart() {
	e.Incarnation++
	e.sequence, e.lastFence = 0, 0
	e.Residents = make(map[memledger.Item]targetapi.Resident)
	e.orders = make(map[string]targetapi.OrderStatus)
	e.running = make(map[string]targetapi.Order)
}

// UsedBytes returns the memory in use, including the reserve.
func (e *Engine) UsedBytes() int64 {
	used := e.ReserveBytes
	for _, r := range e.Residents {
		used += r.Bytes
	}
	return used
}

// Receive processes a copy of an order. Only the first copy of an id has an effect.
func (e *Engine) Receive(o targetapi.Order) {
	if _, known := e.orders[o.ID]; known || e.ChecksFencing && o.Fence < e.lastFence {
		return
	}
	e.lastFence = max(e.lastFence, o.Fence)
	if o.Kind == targetapi.RaiseFence {
		return
	}
	e.orders[o.ID] = targetapi.OrderStatus{ID: o.ID, State: targetapi.OrderAccepted}
	e.running[o.ID] = o
	item := memledger.ItemOf(&o)
	held, resident := e.Residents[item]
	switch {
	case memledger.IsLoad(&o) && !resident:
		e.Residents[item] = targetapi.Resident{
			Model: o.Model, Version: o.ModelVersion, Adapter: o.Adapter, State: targetapi.Loading, Bytes: o.Bytes,
		}
	case memledger.IsUnload(&o) && resident:
		held.State = targetapi.Unloading
		e.Residents[item] = held
	}
}

// Running returns the sorted ids of the unfinished orders.
func (e *Engine) Running() []string { return slices.Sorted(maps.Keys(e.running)) }

// Finish completes an order or lets a load fail. A failed load leaves nothing in memory.
func (e *Engine) Finish(id string, fail bool) {
	o := e.running[id]
	delete(e.running, id)
	item, state := memledger.ItemOf(&o), targetapi.OrderDone
	held := e.Residents[item]
	switch {
	case memledger.IsLoad(&o) && fail && held.State == targetapi.Loading:
		state = targetapi.OrderFailed
		delete(e.Residents, item)
	case memledger.IsLoad(&o) && held.State == targetapi.Loading:
		held.State = targetapi.Ready
		e.Residents[item] = held
	case memledger.IsUnload(&o):
		delete(e.Residents, item)
	}
	e.orders[id] = targetapi.OrderStatus{ID: id, State: state}
}

// Announce returns an announcement with the next sequence number.
func (e *Engine) Announce() *targetapi.Announcement {
	e.sequence++
	a := &targetapi.Announcement{
		Version: targetapi.Version, Target: e.Name, Incarnation: e.Incarnation, Sequence: e.sequence, Kind: targetapi.Engine,
		CapacityBytes: e.CapacityBytes, ReserveBytes: e.ReserveBytes, ChecksFencing: e.ChecksFencing, LastFence: e.lastFence,
	}
	for _, item := range slices.SortedFunc(maps.Keys(e.Residents), memledger.Item.Compare) {
		a.Residents = append(a.Residents, e.Residents[item])
	}
	for _, id := range slices.Sorted(maps.Keys(e.orders)) {
		a.Orders = append(a.Orders, e.orders[id])
	}
	return a
}
