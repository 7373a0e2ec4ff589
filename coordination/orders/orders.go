// Package orders turns the planned residency of a data centre into fenced orders to its targets. Every order reserves
// memory in the ledger of its target and is written to the journal. It is sent only after a majority of the electors
// hold its journal record. The package does no input or output: the driver syncs, replicates and sends.
package orders

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/controllerlease"
	"github.com/tarragonhoist/tarragonhoist/coordination/loadlimit"
	"github.com/tarragonhoist/tarragonhoist/coordination/placement"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

const (
	// repeatInterval is the interval at which an order is sent again until a report settles it.
	repeatInterval = time.Second
	// maxOpenOrders per target is far below the number of orders that a target reports.
	maxOpenOrders = 32
	// absentTargetRetention is how long the journal keeps a target that does not report.
	absentTargetRetention = time.Hour
)

// LoadSlots limits the loads of the whole deployment. *loadlimit.Limiter implements it.
type LoadSlots interface {
	AddRunning(id string, kind loadlimit.Kind)
	Start(now time.Time, loads []loadlimit.Load) []string
	Finish(now time.Time, id string)
}

// DueOrder is an order that may be sent to one incarnation of a target. Directly before sending, the driver checks that
// its instance still holds the lease. It uses a connection that it opened to this incarnation.
type DueOrder struct {
	Target      string
	Incarnation uint64
	Address     string
	Order       targetapi.Order
}

// Issuer issues the orders of one data centre while its instance is the controller. It is not safe for concurrent use.
type Issuer struct {
	electorate controllerlease.Electorate
	// active is false between EndTerm and StartTerm.
	active          bool
	fence           uint64
	lastOrderNumber uint64
	slots           LoadSlots
	targets         map[string]*target
	journalComplete bool
	// termStartedAt is when the term started. It is used only if the journal was not complete then.
	termStartedAt  time.Time
	changedTargets map[string]bool
	journal        *replication
}

type target struct {
	ledger *memledger.Ledger
	report *targetapi.Announcement
	// present reports whether the last call of ApplyReports included a report of the target's newest incarnation.
	present  bool
	lastSeen time.Time
	// slotsReleased reports whether the slots of the open loads were released because the target has been absent for
	// loadlimit.MaxLoadTime.
	slotsReleased bool
	sentAt        map[string]time.Time
	// journalSequence is the sequence number of the journal record of each open order.
	journalSequence map[string]uint64
	raisedAt        time.Time
}

// New makes an issuer that issues no orders before StartTerm.
func New(e controllerlease.Electorate) *Issuer { return &Issuer{electorate: e} }

// StartTerm starts the term of a controller. It takes over the open orders from the journal copies that came with the
// votes. Without enough intact copies, or if the journal was incomplete, it trusts no target until orders that it does
// not know can no longer arrive. A lease holder whose fencing number changed calls StartTerm as well: its orders that
// never reached the journal are abandoned and their slots freed.
func (o *Issuer) StartTerm(now time.Time, fence uint64, copies []electorate.JournalCopy, slots LoadSlots) error {
	abandoned := o.openLoads()
	o.EndTerm()
	best, allOrdersKnown := latestCopy(copies, o.electorate.IntactCopies())
	state, err := replay(&best)
	if err != nil {
		return errors.Wrapf(err, "take over the order journal with fencing number %x", fence)
	}
	o.fence, o.lastOrderNumber, o.slots = fence, 0, slots
	o.journalComplete, o.termStartedAt = allOrdersKnown && state.Complete, now
	o.targets, o.changedTargets = make(map[string]*target), make(map[string]bool)
	o.journal = newReplication(o.electorate, fence)
	for _, name := range slices.Sorted(maps.Keys(state.Targets)) {
		saved := state.Targets[name]
		t := o.addTarget(now, name, saved.Floor)
		for _, order := range saved.Open {
			t.ledger.Adopt(order)
			t.journalSequence[order.ID] = 1
			if memledger.IsLoad(&order) {
				slots.AddRunning(order.ID, loadKind(&order))
				delete(abandoned, order.ID)
			}
		}
	}
	for id := range abandoned {
		slots.Finish(now, id)
	}
	if err := o.writeBase(now); err != nil {
		return err
	}
	o.active = true
	return nil
}

func (o *Issuer) openLoads() map[string]bool {
	ids := make(map[string]bool)
	for _, t := range o.targets {
		for _, order := range t.ledger.Open() {
			if memledger.IsLoad(&order) {
				ids[order.ID] = true
			}
		}
	}
	return ids
}

// Status is a summary for operators and metrics.
type Status struct {
	Fence uint64 `json:"fence"`
	// Complete is false while orders that the journal does not name may be in transit.
	Complete         bool   `json:"complete"`
	JournalLast      uint64 `json:"journal_last"`
	JournalCommitted uint64 `json:"journal_committed"`
	Targets          int    `json:"targets"`
	// Unusable counts targets that have no recent enough report or may still receive unknown orders.
	Unusable   int   `json:"unusable"`
	OpenOrders int   `json:"open_orders"`
	UsedBytes  int64 `json:"used_bytes"`
	FreeBytes  int64 `json:"free_bytes"`
}

// Status returns the state of the journal and the totals over all targets that are present.
func (o *Issuer) Status() Status {
	if !o.active {
		return Status{}
	}
	s := Status{Fence: o.fence, Complete: o.journalComplete, JournalLast: o.journal.lastSequence, JournalCommitted: o.journal.committedSequence}
	for _, t := range o.targets {
		s.OpenOrders += len(t.journalSequence)
		if !t.present {
			continue
		}
		s.Targets++
		s.UsedBytes += t.ledger.Used()
		s.FreeBytes += t.ledger.Free()
		if !t.ledger.CanReserve() {
			s.Unusable++
		}
	}
	return s
}

// EndTerm ends the term. No order is sent or planned until the next StartTerm.
func (o *Issuer) EndTerm() {
	o.active, o.targets, o.journal, o.changedTargets, o.slots = false, nil, nil, nil, nil
}

// Fence is the fencing number of the term, 0 outside of one.
func (o *Issuer) Fence() uint64 {
	if !o.active {
		return 0
	}
	return o.fence
}

// JournalComplete reports whether the journal names every order that may be in transit.
func (o *Issuer) JournalComplete() bool { return o.active && o.journalComplete }

func loadKind(order *targetapi.Order) loadlimit.Kind {
	if order.Kind == targetapi.LoadAdapter {
		return loadlimit.Adapters
	}
	return loadlimit.Weights
}

func (o *Issuer) addTarget(now time.Time, name string, floor memledger.ReportPosition) *target {
	t := &target{ledger: memledger.New(name, floor), lastSeen: now, sentAt: make(map[string]time.Time), journalSequence: make(map[string]uint64)}
	if !o.journalComplete {
		t.ledger.SuspendReservations(o.termStartedAt, o.fence)
	}
	o.targets[name] = t
	return t
}

// ApplyReports applies the latest announcements of all present targets of the data centre. It returns the statuses of
// the orders that they settle.
func (o *Issuer) ApplyReports(now time.Time, reports []*targetapi.Announcement) ([]targetapi.OrderStatus, error) {
	if !o.active {
		return nil, nil
	}
	for _, t := range o.targets {
		t.present = false
	}
	var settled []targetapi.OrderStatus
	for _, a := range reports {
		if a.Kind != targetapi.Engine {
			continue
		}
		t := o.targets[a.Target]
		if t == nil {
			t = o.addTarget(now, a.Target, memledger.ReportPosition{})
		}
		done, newer := t.ledger.Report(now, a)
		if newer {
			t.report = a
		}
		if t.report == nil || t.report.Incarnation > a.Incarnation {
			continue
		}
		t.present, t.lastSeen = true, now
		for _, s := range done {
			delete(t.sentAt, s.ID)
			delete(t.journalSequence, s.ID)
			o.slots.Finish(now, s.ID)
		}
		if len(done) > 0 {
			o.changedTargets[a.Target] = true
		}
		settled = append(settled, done...)
	}
	for _, t := range o.targets {
		o.updateLoadSlots(now, t)
	}
	o.removeAbsentTargets(now)
	if !o.journalComplete && now.Sub(o.termStartedAt) >= 2*memledger.MaxMessageLifetime {
		o.journalComplete = true
		return settled, o.writeBase(now)
	}
	return settled, o.writeChanges(now)
}

// updateLoadSlots frees the slots of open loads on a target that has been absent for loadlimit.MaxLoadTime, so that a
// lost target does not reduce the load limit for good. When the target returns, the loads are sent again and count again.
func (o *Issuer) updateLoadSlots(now time.Time, t *target) {
	absent := !t.present && now.Sub(t.lastSeen) >= loadlimit.MaxLoadTime
	if absent == t.slotsReleased || !absent && !t.present {
		return
	}
	t.slotsReleased = absent
	for _, order := range t.ledger.Open() {
		switch {
		case !memledger.IsLoad(&order):
		case absent:
			o.slots.Finish(now, order.ID)
		default:
			o.slots.AddRunning(order.ID, loadKind(&order))
		}
	}
}

// removeAbsentTargets removes targets that have been absent for absentTargetRetention. After that time none of their
// orders can still arrive.
func (o *Issuer) removeAbsentTargets(now time.Time) {
	for name, t := range o.targets {
		if t.present || now.Sub(t.lastSeen) < absentTargetRetention {
			continue
		}
		delete(o.targets, name)
	}
}

// Targets returns the present targets with their residents according to the ledgers, as the input for a plan.
func (o *Issuer) Targets() []placement.Target {
	list := make([]placement.Target, 0, len(o.targets))
	for name, t := range o.targets {
		if !t.present {
			continue
		}
		list = append(list, placement.Target{
			Name: name, FailureDomain: t.report.FailureDomain, CapacityBytes: t.ledger.Capacity(), Draining: t.report.Leaving,
			Residents: t.ledger.Residents(),
		})
	}
	slices.SortFunc(list, func(a, b placement.Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// Plan reserves memory for the next orders towards a residency that was planned from Targets, and writes the orders to
// the journal. DueOrders returns them once a majority of the electors hold their record.
func (o *Issuer) Plan(now time.Time, in *placement.Input, wanted *placement.Residency) ([]targetapi.Order, error) {
	if !o.active {
		return nil, nil
	}
	type reserved struct {
		target string
		order  targetapi.Order
	}
	var list []reserved
	var loads []loadlimit.Load
	waiting := make(map[string]bool)
	unloadsAllowed := o.unloadsAllowed()
	for _, step := range placement.NextSteps(in, wanted) {
		t := o.targets[step.Target]
		if t == nil || len(t.journalSequence) >= maxOpenOrders || !step.Load && !unloadsAllowed {
			continue
		}
		order := o.newOrder(&step)
		if t.ledger.Reserve(order) != nil {
			continue
		}
		if step.Load {
			loads = append(loads, loadlimit.Load{ID: order.ID, Kind: loadKind(&order), Urgent: step.Urgent})
			waiting[order.ID] = true
		}
		list = append(list, reserved{step.Target, order})
	}
	for _, id := range o.slots.Start(now, loads) {
		delete(waiting, id)
	}
	orders := make([]targetapi.Order, 0, len(list))
	for _, r := range list {
		if waiting[r.order.ID] {
			o.targets[r.target].ledger.Withdraw(r.order.ID)
			continue
		}
		o.targets[r.target].journalSequence[r.order.ID] = o.journal.lastSequence + 1
		o.changedTargets[r.target] = true
		orders = append(orders, r.order)
	}
	return orders, o.writeChanges(now)
}

// unloadsAllowed reports whether the reports of all present targets are reliable enough to unload. Without a complete
// journal, an unknown unload may still remove, or have removed, the replica that is supposed to remain.
func (o *Issuer) unloadsAllowed() bool {
	for _, t := range o.targets {
		if t.present && !t.ledger.CanReserve() {
			return false
		}
	}
	return o.journalComplete
}

func (o *Issuer) newOrder(step *placement.Step) targetapi.Order {
	o.lastOrderNumber++
	order := targetapi.Order{
		Version: targetapi.Version, ID: fmt.Sprintf("%x-%d", o.fence, o.lastOrderNumber), Fence: o.fence, Kind: targetapi.UnloadModel,
		Model: step.Item.Model, ModelVersion: step.Item.Version, Adapter: step.Item.Adapter,
	}
	switch {
	case step.Load && step.Item.Adapter != "":
		order.Kind, order.Bytes = targetapi.LoadAdapter, step.Bytes
	case step.Load:
		order.Kind, order.Bytes = targetapi.LoadModel, step.Bytes
	case step.Item.Adapter != "":
		order.Kind = targetapi.UnloadAdapter
	}
	return order
}

// writeChanges appends a record with the states of the targets that changed.
func (o *Issuer) writeChanges(now time.Time) error {
	if len(o.changedTargets) == 0 {
		return nil
	}
	if len(o.journal.records) >= maxJournalRecords {
		return o.writeBase(now)
	}
	entry := journalEntry{Changed: make(map[string]targetState, len(o.changedTargets))}
	for name := range o.changedTargets {
		if t := o.targets[name]; t != nil {
			entry.Changed[name] = t.state()
		}
	}
	clear(o.changedTargets)
	return o.journal.append(now, entry)
}

// writeBase appends a base record, which holds the full state.
func (o *Issuer) writeBase(now time.Time) error {
	state := &journalState{Targets: make(map[string]targetState, len(o.targets)), Complete: o.journalComplete}
	for name, t := range o.targets {
		state.Targets[name] = t.state()
	}
	clear(o.changedTargets)
	return o.journal.append(now, journalEntry{Base: state})
}

func (t *target) state() targetState {
	return targetState{Floor: t.ledger.Floor(), Open: t.ledger.Open()}
}

// PendingRecords lists the journal records to send to electors with control.record. They are sent again until
// AcknowledgeRecord gets a response that acknowledges them.
func (o *Issuer) PendingRecords(now time.Time) []ElectorRecord {
	if !o.active {
		return nil
	}
	return o.journal.pending(now)
}

// AcknowledgeRecord processes the response of an elector. The witness responds as controllerlease.Witness.
func (o *Issuer) AcknowledgeRecord(response controllerlease.RecordResponse) {
	if o.active {
		o.journal.acknowledge(response)
	}
}

// DueOrders lists the orders that are due: open orders whose journal record a majority holds, and raises of the fencing
// number for targets that still accept orders of earlier controllers.
func (o *Issuer) DueOrders(now time.Time) []DueOrder {
	if !o.active {
		return nil
	}
	var list []DueOrder
	for _, name := range slices.Sorted(maps.Keys(o.targets)) {
		t := o.targets[name]
		if !t.present {
			continue
		}
		send := DueOrder{Target: name, Incarnation: t.report.Incarnation, Address: t.report.Address}
		if t.ledger.NeedsFenceRaise(o.fence) && now.Sub(t.raisedAt) >= repeatInterval {
			t.raisedAt = now
			send.Order = targetapi.Order{Version: targetapi.Version, ID: fmt.Sprintf("raise-%x", o.fence), Fence: o.fence, Kind: targetapi.RaiseFence}
			list = append(list, send)
		}
		if len(t.journalSequence) == 0 {
			continue
		}
		for _, order := range t.ledger.Open() {
			due := now.Sub(t.sentAt[order.ID]) >= repeatInterval
			if !due || t.journalSequence[order.ID] > o.journal.committedSequence || !t.ledger.Sendable(&order, o.fence) {
				continue
			}
			t.sentAt[order.ID] = now
			send.Order = order
			list = append(list, send)
		}
	}
	return list
}
