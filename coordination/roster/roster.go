// Package roster keeps the table of targets known from their heartbeats. A heartbeat may reach any control instance, and
// may be delayed, duplicated or sent by an earlier incarnation of the target. Tables that received the same heartbeats
// in any order agree.
package roster

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// State is the lifecycle state of a target. It only advances within one incarnation.
type State uint8

const (
	Ready State = iota
	// Draining targets get no new requests.
	Draining
	// Gone targets have deregistered or were replaced. Some still finish their running requests.
	Gone
)

// Key identifies one incarnation of a target. A restarted target keeps its id and has a later start time.
type Key struct {
	ID          string `json:"id"`
	StartedAtMs int64  `json:"born"` // Unix time of the start, in ms
}

// Held is a model held by a target, with its loaded adapters.
type Held struct {
	Model    string   `json:"m"`
	Version  int64    `json:"v,omitempty"`
	Adapters []string `json:"a,omitempty"`
}

// Target is the content of the latest heartbeat of a target.
type Target struct {
	Key
	Service    string `json:"s"`
	Address    string `json:"ad"`
	DataCentre string `json:"dc"`
	// SoftwareVersion is that of the target's program. A stream may go on only at the version that began it. Versions have
	// no order.
	SoftwareVersion string `json:"sv,omitempty"`
	Slots           int    `json:"sl"`
	State           State  `json:"st,omitempty"`
	// HeartbeatSequence is the sequence number of the heartbeat within the incarnation.
	HeartbeatSequence uint64 `json:"b"`
	Models            []Held `json:"mo,omitempty"`
	// InMemory and OnDisk are models whose weights the target caches in host memory or on local disk, from where they load
	// faster than from the weight store.
	InMemory []string `json:"im,omitempty"`
	OnDisk   []string `json:"od,omitempty"`
	// ShutdownAtMs is the announced time of the target's shutdown, in Unix ms; 0 if none was announced.
	ShutdownAtMs int64 `json:"lv,omitempty"`
	// SinceHeartbeatMs is the age of the latest heartbeat at the sender of a delta.
	SinceHeartbeatMs int64 `json:"si,omitempty"`
	// SinceDepartureMs is the time since the sender of a delta learned that the target leaves or has ended.
	SinceDepartureMs int64 `json:"sd,omitempty"`
}

// HeldModel returns the held model with the given name, or nil.
func (t *Target) HeldModel(model string) *Held {
	for i := range t.Models {
		if t.Models[i].Model == model {
			return &t.Models[i]
		}
	}
	return nil
}

// HoldsAdapter reports whether the target announced that it holds the adapter of the model.
func (t *Target) HoldsAdapter(model, adapter string) bool {
	h := t.HeldModel(model)
	return h != nil && slices.Contains(h.Adapters, adapter)
}

// Entry is a target in a Table.
type Entry struct {
	Target
	HeardAt time.Time // local time of the latest heartbeat
	// DepartedAt is the local time at which the first instance that is known to have learned of the departure did, zero for a ready target.
	DepartedAt time.Time
	// Change is the change number of the table at the latest heartbeat, and ContentChange that at the latest heartbeat
	// with new content.
	Change, ContentChange uint64
	// IdentityChange is the change number at the latest heartbeat with new content that gateways use, apart from adapters, AdapterChange
	// that at the latest one with other adapters, and DepartureChange that at which the target left.
	IdentityChange, AdapterChange, DepartureChange uint64
}

// Table is a set of targets with a change number that grows with each update. It is not safe for concurrent use.
type Table struct {
	entries   map[string]*Entry // by id
	byAddress map[string]string // id of the target that started last at each address
	change    uint64
	// contentChange is the highest ContentChange of any entry, and lifecycleChange the change number at which a target last
	// appeared, restarted or changed its state.
	contentChange, lifecycleChange uint64
	// departureChange is the change number at which a target last left.
	departureChange uint64
	// mismatched is set when an update of adapters did not fit, see TakeMismatch.
	mismatched bool
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[string]*Entry), byAddress: make(map[string]string)}
}

// ErrIncomplete is returned for heartbeats that lack a field required to route requests to the target.
var ErrIncomplete = errors.New("incomplete heartbeat: lacks id, start time, service or address")

// ErrImplausible is returned for heartbeats whose sequence number is far ahead of the known one. Later heartbeats of the target
// would count as stale.
var ErrImplausible = errors.New("implausible heartbeat: its sequence number is far ahead of the latest one")

// maxSequenceJump is the largest plausible difference between two heartbeats. A target without a heartbeat for some seconds is
// forgotten.
const maxSequenceJump = 1 << 16

// Outcome is the effect of a heartbeat on a Table.
type Outcome uint8

const (
	// Stale heartbeats are older than the known state and have no effect.
	Stale Outcome = iota
	// Refreshed means that the heartbeat only renewed the target.
	Refreshed
	// Changed means that the target is new or its content changed.
	Changed
)

// Observe applies a heartbeat.
func (t *Table) Observe(now time.Time, target Target) (Outcome, error) {
	if target.ID == "" || target.StartedAtMs <= 0 || target.Service == "" || target.Address == "" {
		return Stale, ErrIncomplete
	}
	known := t.entries[target.ID]
	switch {
	case known == nil:
	case target.StartedAtMs < known.StartedAtMs:
		return Stale, nil
	case target.StartedAtMs == known.StartedAtMs && target.HeartbeatSequence <= known.HeartbeatSequence:
		// A heartbeat that was overtaken by a later one may still be the only one that announces the shutdown.
		if target.State <= known.State {
			return Stale, nil
		}
		merged := known.Target
		merged.State = target.State
		target = merged
	case target.StartedAtMs == known.StartedAtMs && target.HeartbeatSequence-known.HeartbeatSequence > maxSequenceJump:
		return Stale, ErrImplausible
	case target.StartedAtMs == known.StartedAtMs && target.State < known.State:
		target.State = known.State
	}
	if id, ok := t.byAddress[target.Address]; ok && id != target.ID {
		if other := t.entries[id]; other != nil && other.StartedAtMs > target.StartedAtMs {
			return Stale, nil // the sender has ended: a target that started later uses its address
		}
	}
	return t.put(now, known, target), nil
}

func (t *Table) put(now time.Time, known *Entry, target Target) Outcome {
	t.change++
	outcome := Changed
	if known == nil {
		known = &Entry{}
		t.entries[target.ID] = known
	} else if known.sameContent(&target) {
		outcome = Refreshed
	}
	if known.Key != target.Key || known.State != target.State { // a new entry has an empty key
		t.lifecycleChange = t.change
		if target.State != Ready {
			known.DepartureChange, t.departureChange = t.change, t.change
		}
	}
	if outcome == Changed {
		if !known.sameIdentity(&target) {
			known.IdentityChange = t.change
		}
		if !slices.EqualFunc(known.Models, target.Models, func(a, b Held) bool { return slices.Equal(a.Adapters, b.Adapters) }) {
			known.AdapterChange = t.change
		}
	}
	known.HeardAt = now.Add(-time.Duration(target.SinceHeartbeatMs) * time.Millisecond)
	switch {
	case target.State == Ready:
		known.DepartedAt = time.Time{}
	case known.Key != target.Key || known.State == Ready:
		known.DepartedAt = now.Add(-time.Duration(max(target.SinceDepartureMs, 0)) * time.Millisecond)
	}
	target.SinceHeartbeatMs, target.SinceDepartureMs = 0, 0
	known.Target, known.Change = target, t.change
	if outcome == Changed {
		known.ContentChange, t.contentChange = t.change, t.change
	}
	if id := t.byAddress[target.Address]; id != target.ID {
		t.byAddress[target.Address] = target.ID
		if other := t.entries[id]; other != nil && other.State != Gone {
			t.setState(now, other, Gone)
		}
	}
	return outcome
}

func (e *Entry) sameContent(other *Target) bool {
	return e.sameIdentity(other) &&
		slices.EqualFunc(e.Models, other.Models, func(a, b Held) bool { return slices.Equal(a.Adapters, b.Adapters) }) &&
		slices.Equal(e.InMemory, other.InMemory) && slices.Equal(e.OnDisk, other.OnDisk)
}

// sameIdentity compares what gateways use of a heartbeat, apart from adapters.
func (e *Entry) sameIdentity(other *Target) bool {
	return e.Key == other.Key && e.Service == other.Service && e.Address == other.Address && e.DataCentre == other.DataCentre &&
		e.SoftwareVersion == other.SoftwareVersion && e.Slots == other.Slots && e.State == other.State && e.ShutdownAtMs == other.ShutdownAtMs &&
		slices.EqualFunc(e.Models, other.Models, func(a, b Held) bool { return a.Model == b.Model && a.Version == b.Version })
}

// Leave marks a target that deregistered as gone. startedAtMs is 0 when the deregistration doesn't name the
// incarnation.
func (t *Table) Leave(now time.Time, id string, startedAtMs int64) (changed bool) {
	known := t.entries[id]
	if known == nil || known.State == Gone || startedAtMs != 0 && startedAtMs < known.StartedAtMs {
		return false
	}
	t.setState(now, known, Gone)
	return true
}

// Drain marks a ready target as draining, for one incarnation.
func (t *Table) Drain(now time.Time, key Key) (changed bool) {
	known := t.entries[key.ID]
	if known == nil || known.Key != key || known.State != Ready {
		return false
	}
	t.setState(now, known, Draining)
	return true
}

func (t *Table) setState(now time.Time, e *Entry, state State) {
	t.change++
	if e.State == Ready {
		e.DepartedAt = now
	}
	e.State = state
	e.Change, e.ContentChange, e.IdentityChange, e.DepartureChange = t.change, t.change, t.change, t.change
	t.contentChange, t.lifecycleChange, t.departureChange = t.change, t.change, t.change
}

// Change returns the change number.
func (t *Table) Change() uint64 { return t.change }

// ContentChangedAfter reports whether the content of any target changed after a change number.
func (t *Table) ContentChangedAfter(change uint64) bool { return t.contentChange > change }

// LifecycleChangedAfter reports whether any target appeared, restarted or changed its state after a change number.
func (t *Table) LifecycleChangedAfter(change uint64) bool { return t.lifecycleChange > change }

// LifecycleChange returns the change number at which a target last appeared, restarted or changed its state.
func (t *Table) LifecycleChange() uint64 { return t.lifecycleChange }

// DepartureChange returns the change number at which a target last left.
func (t *Table) DepartureChange() uint64 { return t.departureChange }

// ChangedAfter reports whether anything, heartbeats included, changed after a change number.
func (t *Table) ChangedAfter(change uint64) bool { return t.change > change }

// Get returns the entry with the given id, or nil.
func (t *Table) Get(id string) *Entry { return t.entries[id] }

// Each calls f for every entry until it returns false.
func (t *Table) Each(f func(*Entry) bool) {
	for _, e := range t.entries {
		if !f(e) {
			return
		}
	}
}

// Forget drops targets without a heartbeat for longer than the period.
func (t *Table) Forget(now time.Time, period time.Duration) (forgotten []Key) {
	for id, e := range t.entries {
		if now.Sub(e.HeardAt) > period {
			forgotten = append(forgotten, e.Key)
			delete(t.entries, id)
			if t.byAddress[e.Address] == id {
				delete(t.byAddress, e.Address)
			}
		}
	}
	return forgotten
}
