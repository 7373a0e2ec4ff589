package orders

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/control"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

const (
	// recordRetryInterval is how long an elector has to answer before its records are sent again.
	recordRetryInterval = 500 * time.Millisecond
	// maxJournalRecords bounds what is kept behind a base record, and with it the size of a copy.
	maxJournalRecords = 64
)

// targetState is what the journal says of one target.
type targetState struct {
	Floor memledger.Floor   `cbor:"1,keyasint"`
	Open  []targetapi.Order `cbor:"2,keyasint,omitempty"`
}

// journalState is the whole content of the journal. Complete is false as long as orders that it does not name may be
// under way.
type journalState struct {
	Targets  map[string]targetState `cbor:"1,keyasint"`
	Complete bool                   `cbor:"2,keyasint"`
}

// journalEntry is the data of one record: a whole state or the new states of some targets.
type journalEntry struct {
	Base    *journalState          `cbor:"1,keyasint,omitempty"`
	Changed map[string]targetState `cbor:"2,keyasint,omitempty"`
}

// replay reads a copy of the journal.
func replay(c *electorate.JournalCopy) (journalState, error) {
	state := journalState{Targets: make(map[string]targetState)}
	for i := range c.Records {
		var e journalEntry
		if err := cbor.Unmarshal(c.Records[i].Data, &e); err != nil {
			return state, errors.Wrapf(err, "journal record %d of fence %x", c.Records[i].Sequence, c.Records[i].Fence)
		}
		if e.Base != nil {
			state = *e.Base
			if state.Targets == nil {
				state.Targets = make(map[string]targetState)
			}
		}
		for name, t := range e.Changed {
			state.Targets[name] = t
		}
	}
	return state, nil
}

// latestCopy finds the copy that reaches furthest and says whether one of the intact copies must hold every record that
// reached a majority.
func latestCopy(copies []electorate.JournalCopy, required int) (best electorate.JournalCopy, complete bool) {
	intact := 0
	for i := range copies {
		if copies[i].Blank() {
			continue
		}
		intact++
		if copies[i].Newer(&best) {
			best = copies[i]
		}
	}
	return best, intact >= required
}

// Record is a journal record for one elector. For control.Witness it goes to the config log as an electorate.Command.
type Record struct {
	Elector string
	Record  electorate.JournalRecord
}

// replication copies the journal of one controller to the electorate.
type replication struct {
	electorate        control.Electorate
	fence             uint64
	lastSequence      uint64
	committedSequence uint64
	// records start with the latest base record.
	records []electorate.JournalRecord
	// uncommittedSince is when the oldest record was added that is not committed.
	uncommittedSince time.Time
	electors         map[string]*electorState
}

type electorState struct {
	ackedSequence uint64
	sentSequence  uint64
	sentAt        time.Time
}

func newReplication(e control.Electorate, fence uint64) *replication {
	r := &replication{electorate: e, fence: fence, electors: make(map[string]*electorState)}
	for _, name := range e.Instances {
		r.electors[name] = &electorState{}
	}
	if e.HasWitness() {
		r.electors[control.Witness] = &electorState{}
	}
	return r
}

func (r *replication) append(now time.Time, e journalEntry) error {
	data, err := cbor.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "journal record")
	}
	if r.committedSequence == r.lastSequence {
		r.uncommittedSince = now
	}
	r.lastSequence++
	if e.Base != nil {
		r.records = nil
	}
	r.records = append(r.records, electorate.JournalRecord{
		DataCentre: r.electorate.DataCentre, Fence: r.fence, Sequence: r.lastSequence, Base: e.Base != nil, Data: data,
	})
	return nil
}

// pending lists the records that electors lack. The witness gets some only when the instances do not make a majority,
// because each of its records is an entry of the config log.
func (r *replication) pending(now time.Time) (list []Record) {
	for _, name := range slices.Concat(r.electorate.Instances, []string{control.Witness}) {
		e := r.electors[name]
		if e == nil || e.ackedSequence >= r.lastSequence || name == control.Witness && (r.committedSequence == r.lastSequence || now.Sub(r.uncommittedSince) < control.WitnessDelay) {
			continue
		}
		from := max(e.ackedSequence, e.sentSequence)
		if now.Sub(e.sentAt) >= recordRetryInterval {
			from = e.ackedSequence
		}
		for _, record := range r.records {
			if record.Sequence > from {
				list = append(list, Record{Elector: name, Record: record})
				e.sentSequence, e.sentAt = record.Sequence, now
			}
		}
	}
	return list
}

// acknowledge takes an elector's answer.
func (r *replication) acknowledge(response control.RecordResponse) {
	e := r.electors[response.Elector]
	if e == nil || response.State.Fence != r.fence || response.State.Last > r.lastSequence {
		return
	}
	e.ackedSequence = max(e.ackedSequence, response.State.Last)
	acked := make([]uint64, 0, len(r.electors))
	for _, e := range r.electors {
		acked = append(acked, e.ackedSequence)
	}
	slices.Sort(acked)
	r.committedSequence = max(r.committedSequence, acked[len(acked)-r.electorate.Majority()])
}
