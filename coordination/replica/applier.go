package replica

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

// The limits are part of the replicated state: replicas with different limits would evict different records and
// diverge.
const (
	maxRecentProposals   = 4096
	maxRecentResultBytes = 4 << 20
	baseIndexBytes       = 8
)

// maxSnapshotRecords is the decoder's limit on array elements. It exceeds the number of records that a table can hold.
const maxSnapshotRecords = 1 << 17

// encodeCommand prefixes the command with its base index.
func encodeCommand(base uint64, command []byte) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, baseIndexBytes+len(command)), base), command...)
}

// record is the result of a proposal.
type record struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Index   uint64
	Result  []byte
	Failure string
	Failed  bool
}

// dedupTable stores the results of recent proposals by id, so that a command that is in the log twice is applied
// once. A command whose base index is below that of the last evicted record could be a duplicate of an evicted one. It
// is not applied; its outcome is OutcomeExpired.
type dedupTable struct {
	records      map[string]*record
	order        []string // oldest first
	resultBytes  int
	evictedIndex uint64 // log index of the last evicted record
}

func newDedupTable() *dedupTable { return &dedupTable{records: make(map[string]*record)} }

func (t *dedupTable) add(r *record) {
	t.records[r.ID] = r
	t.order = append(t.order, r.ID)
	t.resultBytes += len(r.Result)
	for len(t.order) > maxRecentProposals || t.resultBytes > maxRecentResultBytes && len(t.order) > 1 {
		oldest := t.records[t.order[0]]
		delete(t.records, oldest.ID)
		t.order = t.order[1:]
		t.resultBytes -= len(oldest.Result)
		t.evictedIndex = oldest.Index
	}
}

// applier applies log entries to the state machine and the proposal table.
type applier struct {
	machine StateMachine
	table   *dedupTable
}

// apply applies one entry. The response is valid for commands only.
func (a *applier) apply(e *raft.Entry) ProposeResponse {
	if e.Kind != raft.EntryCommand {
		return ProposeResponse{}
	}
	if r, ok := a.table.records[e.ID]; ok {
		return r.response()
	}
	if len(e.Data) < baseIndexBytes {
		return ProposeResponse{Outcome: OutcomeRefused, Index: e.Index, Failure: "command is shorter than its base index"}
	}
	if base := binary.BigEndian.Uint64(e.Data); base < a.table.evictedIndex {
		return ProposeResponse{Outcome: OutcomeExpired, Index: e.Index}
	}
	r := &record{ID: e.ID, Index: e.Index}
	result, err := a.machine.Apply(e.Index, e.Data[baseIndexBytes:])
	if err != nil {
		r.Failed, r.Failure = true, err.Error()
	} else {
		r.Result = result
	}
	a.table.add(r)
	return r.response()
}

func (r *record) response() ProposeResponse {
	return ProposeResponse{Outcome: OutcomeDone, Result: r.Result, Failure: r.Failure, Failed: r.Failed, Index: r.Index}
}

type appliedState struct {
	Records      []record `cbor:"1,keyasint"`
	EvictedIndex uint64   `cbor:"2,keyasint"`
	Machine      []byte   `cbor:"3,keyasint"`
}

func (a *applier) snapshot() ([]byte, error) {
	machine, err := a.machine.Snapshot()
	if err != nil {
		return nil, errors.Wrap(err, "take snapshot of state machine")
	}
	s := appliedState{EvictedIndex: a.table.evictedIndex, Machine: machine, Records: make([]record, 0, len(a.table.order))}
	for _, id := range a.table.order {
		s.Records = append(s.Records, *a.table.records[id])
	}
	data, err := cbor.Marshal(s)
	return data, errors.Wrap(err, "encode snapshot")
}

// restore replaces the state. A new group starts with an empty snapshot, which leaves the initial state.
func (a *applier) restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	mode, err := cbor.DecOptions{MaxArrayElements: maxSnapshotRecords}.DecMode()
	if err != nil {
		return errors.Wrap(err, "create snapshot decoder")
	}
	var s appliedState
	if err := mode.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	table := newDedupTable()
	for i := range s.Records {
		table.add(&s.Records[i])
	}
	table.evictedIndex = s.EvictedIndex
	if err := a.machine.Restore(s.Machine); err != nil {
		return errors.Wrap(err, "restore state machine")
	}
	a.table = table
	return nil
}
