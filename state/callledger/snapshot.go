package callledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

type instanceRecord struct {
	Name  string        `cbor:"1,keyasint"`
	State instanceState `cbor:"2,keyasint"`
}

// snapshot is the encoded state. Its lists are sorted, so that equal ledgers have equal snapshots.
type snapshot struct {
	NowMs     int64            `cbor:"1,keyasint"`
	Calls     []Record         `cbor:"2,keyasint"`
	Instances []instanceRecord `cbor:"3,keyasint"`
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := snapshot{NowMs: m.nowMs}
	for _, r := range m.calls {
		s.Calls = append(s.Calls, *r)
	}
	slices.SortFunc(s.Calls, compareRecords)
	for _, name := range slices.Sorted(maps.Keys(m.instances)) {
		s.Instances = append(s.Instances, instanceRecord{Name: name, State: *m.instances[name]})
	}
	data, err := cbor.Marshal(&s)
	return data, errors.Wrap(err, "encode a call ledger snapshot")
}

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode a call ledger snapshot")
	}
	for i := range s.Calls {
		r := &s.Calls[i]
		if r.State != InProgress && r.State != MayHaveRun && (r.State != Answered || r.Answer == nil) {
			return errors.Errorf("call ledger snapshot: record %d with state %q is invalid: unknown state or missing answer", i, r.State)
		}
	}
	for _, r := range s.Instances {
		if n := len(r.State.UsedAttempts.Bitmap); n != 0 && n != windowAttempts/wordBits {
			return errors.Errorf("call ledger snapshot: instance %q has an attempt window of %d words, want %d", r.Name, n, windowAttempts/wordBits)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	m.nowMs = s.NowMs
	for i := range s.Calls {
		r := &s.Calls[i]
		m.calls[r.Call] = r
		m.bytes += r.chargedBytes()
		if r.State == InProgress {
			m.addInProgress(r)
			continue
		}
		m.expiries = append(m.expiries, expiry{call: r.Call, atMs: r.EndedMs + Retention.Milliseconds()})
	}
	for i := range s.Instances {
		m.instances[s.Instances[i].Name] = &s.Instances[i].State
	}
	slices.SortStableFunc(m.expiries, func(a, b expiry) int { return cmp.Compare(a.atMs, b.atMs) })
	return nil
}
