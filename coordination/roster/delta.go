package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Heartbeat is a heartbeat without new content.
type Heartbeat struct {
	Key
	HeartbeatSequence uint64 `json:"b"`
}

// Delta holds the updates of a table after a change number: targets with new content, and heartbeats without.
type Delta struct {
	Targets    []Target    `json:"t,omitempty"`
	Heartbeats []Heartbeat `json:"bt,omitempty"`
	// PackedHeartbeats replaces Heartbeats in a compact delta, see packHeartbeat.
	PackedHeartbeats []byte `json:"p,omitempty"`
	// Adapters are targets of which only the adapters have changed, in a delta for gateways.
	Adapters []AdapterUpdate `json:"au,omitempty"`
	Change   uint64          `json:"c"`
}

// AdapterUpdate is a heartbeat with new adapters of the models that the target held before.
type AdapterUpdate struct {
	Target            uint64     `json:"h"` // hash of the incarnation, see packHeartbeat
	HeartbeatSequence uint64     `json:"b"`
	Adapters          [][]string `json:"a"` // by model, in the order in which the target names them
}

// HasHeartbeats reports whether the delta holds heartbeats without new content.
func (d *Delta) HasHeartbeats() bool { return len(d.Heartbeats) > 0 || len(d.PackedHeartbeats) > 0 }

// maxDeltaBytes bounds the targets of a delta, so that it fits into a frame between processes. The next delta holds the rest.
const maxDeltaBytes = 512 << 10

// Since returns the updates after a change number.
func (t *Table) Since(now time.Time, change uint64) Delta { return t.since(now, change, false) }

// since returns the same. For gateways that apply them, it leaves out the content of targets of which gateways know all but the adapters.
func (t *Table) since(now time.Time, change uint64, adapterUpdates bool) Delta {
	d := Delta{Change: t.change}
	var changed, adapters []*Entry
	for _, e := range t.entries {
		switch {
		case adapterUpdates && e.IdentityChange <= change && e.AdapterChange > change:
			adapters = append(adapters, e)
		case adapterUpdates && e.IdentityChange <= change && e.Change > change:
			d.Heartbeats = append(d.Heartbeats, Heartbeat{Key: e.Key, HeartbeatSequence: e.Target.HeartbeatSequence})
		case e.ContentChange > change:
			changed = append(changed, e)
		case e.Change > change:
			d.Heartbeats = append(d.Heartbeats, Heartbeat{Key: e.Key, HeartbeatSequence: e.Target.HeartbeatSequence})
		}
	}
	size := 0
	for _, e := range slices.Concat(changed, adapters) {
		size += e.encodedBytes()
	}
	if size > maxDeltaBytes {
		changed, adapters = firstChanges(slices.Concat(changed, adapters)), nil
		d.Change = changed[len(changed)-1].ContentChange
	}
	for _, e := range adapters {
		u := AdapterUpdate{Target: e.hash(), HeartbeatSequence: e.Target.HeartbeatSequence}
		for i := range e.Models {
			u.Adapters = append(u.Adapters, e.Models[i].Adapters)
		}
		d.Adapters = append(d.Adapters, u)
	}
	for _, e := range changed {
		target := e.Target
		target.SinceHeartbeatMs = now.Sub(e.HeardAt).Milliseconds()
		if e.State != Ready {
			target.SinceDepartureMs = now.Sub(e.DepartedAt).Milliseconds()
		}
		d.Targets = append(d.Targets, target)
	}
	return d
}

// firstChanges returns the entries that changed first, at least one and as many as fit into maxDeltaBytes. No two entries have the
// same change number.
func firstChanges(changed []*Entry) []*Entry {
	slices.SortFunc(changed, func(a, b *Entry) int { return cmp.Compare(a.ContentChange, b.ContentChange) })
	size := changed[0].encodedBytes()
	n := 1
	for n < len(changed) {
		if size += changed[n].encodedBytes(); size > maxDeltaBytes {
			break
		}
		n++
	}
	return changed[:n]
}

// encodedBytes estimates the size of the target in a message.
func (t *Target) encodedBytes() int {
	const (
		fixed   = 200 // names and numbers of fields
		perName = 4   // quotes and separators
	)
	n := fixed
	for _, text := range []string{t.ID, t.Service, t.Address, t.DataCentre, t.SoftwareVersion} {
		n += escapedBytes(text)
	}
	names := func(list []string) {
		for _, name := range list {
			n += escapedBytes(name) + perName
		}
	}
	for _, m := range t.Models {
		n += escapedBytes(m.Model) + 8*perName
		names(m.Adapters)
	}
	names(t.InMemory)
	names(t.OnDisk)
	return n
}

// escapedBytes returns the most bytes that a text has in a message. JSON replaces markup, control characters and what is not valid UTF-8
// by six bytes, and the writer of a heartbeat chooses how much of it there is.
func escapedBytes(text string) int {
	const escaped = 6
	n := 0
	for i := range len(text) {
		if b := text[i]; b < ' ' || b > '~' || strings.IndexByte(`"\<>&`, b) >= 0 {
			n += escaped
		} else {
			n++
		}
	}
	return n
}

// CompactSince returns the same updates in fewer bytes, for the many gateways: without the cached weights, which only the
// placement of models needs, and with packed heartbeats.
func (t *Table) CompactSince(now time.Time, change uint64) Delta {
	return t.compactSince(now, change, false)
}

// GatewaySince returns the same with AdapterUpdates.
func (t *Table) GatewaySince(now time.Time, change uint64) Delta {
	return t.compactSince(now, change, true)
}

func (t *Table) compactSince(now time.Time, change uint64, adapterUpdates bool) Delta {
	d := t.since(now, change, adapterUpdates)
	for i := range d.Targets {
		d.Targets[i].InMemory, d.Targets[i].OnDisk = nil, nil
	}
	for _, b := range d.Heartbeats {
		d.PackedHeartbeats = packHeartbeat(d.PackedHeartbeats, b.Key, b.HeartbeatSequence)
	}
	d.Heartbeats = nil
	return d
}

// DeparturesSince returns, packed, the targets that left after a change number and are no longer ready.
func (t *Table) DeparturesSince(now time.Time, change uint64) []byte {
	var packed []byte
	for _, e := range t.entries {
		if e.DepartureChange > change && e.State != Ready {
			packed = binary.LittleEndian.AppendUint64(packed, e.hash())
			packed = append(packed, byte(e.State))
			packed = binary.AppendUvarint(packed, uint64(max(now.Sub(e.DepartedAt).Milliseconds(), 0)))
		}
	}
	return packed
}

// MergeDepartures applies packed departures. Those of unknown incarnations have no effect, and a truncated list ends early.
func (t *Table) MergeDepartures(now time.Time, packed []byte) (departed []Key) {
	byHash := t.byHash(len(packed) > 0)
	for len(packed) > hashBytes+1 {
		known, state := byHash[binary.LittleEndian.Uint64(packed)], State(packed[hashBytes])
		ms, n := binary.Uvarint(packed[hashBytes+1:])
		if n <= 0 {
			break
		}
		packed = packed[hashBytes+1+n:]
		if known == nil || state <= known.State || state > Gone {
			continue
		}
		if known.State == Ready {
			departed = append(departed, known.Key)
		}
		t.setState(now.Add(-time.Duration(min(ms, maxDepartureAgeMs))*time.Millisecond), known, state)
	}
	return departed
}

// maxDepartureAgeMs bounds the age of a departure in a message.
const maxDepartureAgeMs = 3_600_000

// byHash returns the entries by the hashes of their incarnations, nil if they are not needed.
func (t *Table) byHash(needed bool) map[uint64]*Entry {
	if !needed {
		return nil
	}
	entries := make(map[uint64]*Entry, len(t.entries))
	for _, e := range t.entries {
		entries[e.hash()] = e
	}
	return entries
}

// Merge applies a delta of another table and reports whether the content of any target changed. Incomplete targets are
// skipped.
func (t *Table) Merge(now time.Time, d Delta) (changed bool) {
	for _, target := range d.Targets {
		if outcome, err := t.Observe(now, target); err == nil && outcome == Changed {
			changed = true
		}
	}
	for _, b := range d.Heartbeats {
		if known := t.entries[b.ID]; known != nil && known.StartedAtMs == b.StartedAtMs {
			t.renew(now, known, b.HeartbeatSequence)
		}
	}
	byHash := t.byHash(len(d.PackedHeartbeats) > 0 || len(d.Adapters) > 0)
	t.mergePacked(now, d.PackedHeartbeats, byHash)
	for i := range d.Adapters {
		changed = t.mergeAdapters(now, &d.Adapters[i], byHash) || changed
	}
	return changed
}

// TakeMismatch reports whether an update since the last call did not fit to what is known, so that a complete delta is needed.
func (t *Table) TakeMismatch() bool {
	mismatched := t.mismatched
	t.mismatched = false
	return mismatched
}

// mergeAdapters applies an update of the adapters of a target, and reports whether they are new.
func (t *Table) mergeAdapters(now time.Time, u *AdapterUpdate, byHash map[uint64]*Entry) (changed bool) {
	known := byHash[u.Target]
	if known == nil || u.HeartbeatSequence <= known.Target.HeartbeatSequence {
		return false
	}
	if len(u.Adapters) != len(known.Models) { // the update is based on another heartbeat
		t.mismatched = true
		return false
	}
	target := known.Target
	target.HeartbeatSequence = u.HeartbeatSequence
	target.Models = slices.Clone(known.Models)
	for i := range target.Models {
		target.Models[i].Adapters = u.Adapters[i]
	}
	return t.put(now, known, target) == Changed
}

// renew applies a heartbeat without new content.
func (t *Table) renew(now time.Time, known *Entry, sequence uint64) {
	if sequence <= known.Target.HeartbeatSequence {
		return
	}
	t.change++
	known.Target.HeartbeatSequence, known.HeardAt, known.Change = sequence, now, t.change
}

// packHeartbeat appends a heartbeat as the hash of its incarnation, 8 bytes, and the sequence number as a varint. Hundreds
// of gateways receive the heartbeats of hundreds of targets, so their size decides the load of the control instances.
func packHeartbeat(packed []byte, key Key, sequence uint64) []byte {
	packed = binary.LittleEndian.AppendUint64(packed, key.hash())
	return binary.AppendUvarint(packed, sequence)
}

// mergePacked applies packed heartbeats. Those of unknown incarnations have no effect, and a truncated list ends early.
func (t *Table) mergePacked(now time.Time, packed []byte, byHash map[uint64]*Entry) {
	for len(packed) > hashBytes {
		known := byHash[binary.LittleEndian.Uint64(packed)]
		sequence, n := binary.Uvarint(packed[hashBytes:])
		if n <= 0 {
			return
		}
		packed = packed[hashBytes+n:]
		if known != nil {
			t.renew(now, known, sequence)
		}
	}
}

const hashBytes = 8

func (k Key) hash() uint64 {
	return xxhash.Sum64String(k.ID + "\x00" + strconv.FormatInt(k.StartedAtMs, 10))
}
