// Package roster keeps the targets that announce themselves by heartbeats. Heartbeats reach any control instance, late,
// twice or from an earlier incarnation; tables that saw the same heartbeats in any order agree.
package roster

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// State of a target. It only moves forward within one incarnation.
type State uint8

// States.
const (
	Ready State = iota
	// Draining targets get no new work.
	Draining
	// Gone targets have left; some go on with what they run.
	Gone
)

// Key identifies one incarnation of a target. A target may return under the same id with a later start.
type Key struct {
	ID   string `json:"id"`
	Born int64  `json:"born"` // Unix time of the start, in ms
}

// Held is a model that a target holds.
type Held struct {
	Model    string   `json:"m"`
	Version  int64    `json:"v,omitempty"`
	Adapters []string `json:"a,omitempty"`
}

// Target is what a target said of itself in its latest heartbeat.
type Target struct {
	Key
	Service    string `json:"s"`
	Address    string `json:"ad"`
	DataCentre string `json:"dc"`
	Slots      int    `json:"sl"`
	State      State  `json:"st,omitempty"`
	// Beat counts the heartbeats of the incarnation.
	Beat   uint64 `json:"b"`
	Models []Held `json:"mo,omitempty"`
	// InMemory and OnDisk are models of which the target keeps a copy that loads faster than the weight store.
	InMemory []string `json:"im,omitempty"`
	OnDisk   []string `json:"od,omitempty"`
	// Leaves is set when the target is taken away at a known time, in Unix ms.
	Leaves int64 `json:"lv,omitempty"`
	// SilentMs is how long ago the sender of a delta heard of the target.
	SilentMs int64 `json:"si,omitempty"`
}

// Holds returns the held model of a name, or nil.
func (t *Target) Holds(model string) *Held {
	for i := range t.Models {
		if t.Models[i].Model == model {
			return &t.Models[i]
		}
	}
	return nil
}

// HoldsAdapter tells whether the target said that it holds an adapter.
func (t *Target) HoldsAdapter(model, adapter string) bool {
	h := t.Holds(model)
	return h != nil && slices.Contains(h.Adapters, adapter)
}

// Entry is a target with the local time of its latest heartbeat.
type Entry struct {
	Target
	HeardAt time.Time
	// Change counts the changes of the table at the latest heartbeat, ContentChange at the latest one that said
	// something new.
	Change, ContentChange uint64
}

// Table is the set of targets. It is not safe for concurrent use.
type Table struct {
	entries   map[string]*Entry // by id
	byAddress map[string]string // the id that was born last at an address
	change    uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[string]*Entry), byAddress: make(map[string]string)}
}

// ErrIncomplete is returned for heartbeats that cannot name a target to use.
var ErrIncomplete = errors.New("the heartbeat lacks id, start time, service or address")

// Outcome says what a heartbeat did.
type Outcome uint8

// Outcomes.
const (
	// Stale heartbeats are older than what is known.
	Stale Outcome = iota
	// Refreshed means that the target lives and said nothing new.
	Refreshed
	// Changed means that the target is new or said something new.
	Changed
)

// Observe takes a heartbeat.
func (t *Table) Observe(now time.Time, target Target) (Outcome, error) {
	if target.ID == "" || target.Born <= 0 || target.Service == "" || target.Address == "" {
		return Stale, ErrIncomplete
	}
	known := t.entries[target.ID]
	switch {
	case known == nil:
	case target.Born < known.Born:
		return Stale, nil
	case target.Born == known.Born && target.Beat <= known.Beat:
		// A late heartbeat may still be the one that says that the target leaves.
		if target.State <= known.State {
			return Stale, nil
		}
		late := known.Target
		late.State = target.State
		target = late
	case target.Born == known.Born && target.State < known.State:
		target.State = known.State
	}
	if id, ok := t.byAddress[target.Address]; ok && id != target.ID {
		if other := t.entries[id]; other != nil && other.Born > target.Born {
			return Stale, nil // its sender has ended: a later target lives at the address
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
	known.HeardAt = now.Add(-time.Duration(target.SilentMs) * time.Millisecond)
	target.SilentMs = 0
	known.Target, known.Change = target, t.change
	if outcome == Changed {
		known.ContentChange = t.change
	}
	if id := t.byAddress[target.Address]; id != target.ID {
		t.byAddress[target.Address] = target.ID
		if other := t.entries[id]; other != nil && other.State != Gone {
			other.State = Gone
			t.change++
			other.Change, other.ContentChange = t.change, t.change
		}
	}
	return outcome
}

func (e *Entry) sameContent(n *Target) bool {
	return e.Key == n.Key && e.Service == n.Service && e.Address == n.Address && e.DataCentre == n.DataCentre &&
		e.Slots == n.Slots && e.State == n.State && e.Leaves == n.Leaves &&
		slices.EqualFunc(e.Models, n.Models, func(a, b Held) bool {
			return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
		}) && slices.Equal(e.InMemory, n.InMemory) && slices.Equal(e.OnDisk, n.OnDisk)
}

// Leave marks a target that said goodbye. Born is 0 when the goodbye does not tell it.
func (t *Table) Leave(id string, born int64) (changed bool) {
	known := t.entries[id]
	if known == nil || known.State == Gone || born != 0 && born < known.Born {
		return false
	}
	known.State = Gone
	t.change++
	known.Change, known.ContentChange = t.change, t.change
	return true
}

// Get returns the entry of an id, or nil.
func (t *Table) Get(id string) *Entry { return t.entries[id] }

// Each calls f for every entry until it returns false.
func (t *Table) Each(f func(*Entry) bool) {
	for _, e := range t.entries {
		if !f(e) {
			return
		}
	}
}

// Forget drops targets that were silent for longer than the period.
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

// Beat is a heartbeat that said nothing new.
type Beat struct {
	Key
	Beat uint64 `json:"b"`
}

// Delta is what changed in a table after a change number.
type Delta struct {
	Targets []Target `json:"t,omitempty"`
	Beats   []Beat   `json:"bt,omitempty"`
	Change  uint64   `json:"c"`
}

// Since returns what changed after a change number.
func (t *Table) Since(now time.Time, change uint64) Delta {
	d := Delta{Change: t.change}
	for _, e := range t.entries {
		switch {
		case e.ContentChange > change:
			target := e.Target
			target.SilentMs = now.Sub(e.HeardAt).Milliseconds()
			d.Targets = append(d.Targets, target)
		case e.Change > change:
			d.Beats = append(d.Beats, Beat{Key: e.Key, Beat: e.Target.Beat})
		}
	}
	return d
}

// ContentChangedAfter tells whether something new was said after a change number.
func (t *Table) ContentChangedAfter(change uint64) bool {
	for _, e := range t.entries {
		if e.ContentChange > change {
			return true
		}
	}
	return false
}

// Merge takes a delta of another table and tells whether it said something new. Targets that cannot be used are left
// out.
func (t *Table) Merge(now time.Time, d Delta) (changed bool) {
	for _, target := range d.Targets {
		if outcome, err := t.Observe(now, target); err == nil && outcome == Changed {
			changed = true
		}
	}
	for _, b := range d.Beats {
		known := t.entries[b.ID]
		if known == nil || known.Born != b.Born || b.Beat <= known.Target.Beat {
			continue
		}
		t.change++
		known.Target.Beat, known.HeardAt, known.Change = b.Beat, now, t.change
	}
	return changed
}
