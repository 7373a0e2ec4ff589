package orders

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/controllerlease"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

const (
	// recordRetryInterval is how long an elector has to acknowledge records before they are sent again.
	recordRetryInterval = 500 * time.Millisecond
	// maxJournalRecords is the number of records after which a new base record is written. It bounds the size of a copy.
	maxJournalRecords = 64
)

// targetState is the journal's state of one target.
type targetState struct {
	Floor memledger.ReportPosition `cbor:"1,keyasint"`
	Open  []targetapi.Order        `cbor:"2,keyasint,omitempty"`
}

// journalState is the state that results from replaying the journal. Complete is false while orders that it does not
// name may still be in transit.
type journalState struct {
	Targets  map[string]targetState `cbor:"1,keyasint"`
	Complete bool                   `cbor:"2,keyasint"`
}

// journalEntry is the data of one record: the full state or the new states of the targets that changed.
type journalEntry struct {
	Base    *journalState          `cbor:"1,keyasint,omitempty"`
	Changed map[string]targetState `cbor:"2,keyasint,omitempty"`
}

// replay computes the state from a copy of the journal.
func replay(c *electorate.JournalCopy) (journalState, error) {
	state := journalState{Targets: make(map[string]targetState)}
	for i := range c.Records {
		var e journalEntry
		if err := cbor.Unmarshal(c.Records[i].Data, &e); err != nil {
			return state, errors.Wrapf(err, "decode order journal record %d of fencing number %x", c.Records[i].Sequence, c.Records[i].Fence)
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

// latestCopy returns the newest copy and whether there are enough intact copies that one of them must hold every record
// that reached a majority.
func latestCopy(copies []electorate.JournalCopy, required int) (best electorate.JournalCopy, complete bool) {
	intact := 0
	for i := range copies {
		if copies[i].Empty() {
			continue
		}
		intact++
		if copies[i].Newer(&best) {
			best = copies[i]
		}
	}
	return best, intact >= required
}

// ElectorRecord is a journal record to send to one elector. The one for controllerlease.Witness is appended to the
// config log as an electorate.Command.
type ElectorRecord struct {
	Elector string
	Record  electorate.JournalRecord
}

// replication replicates the journal of one controller to the electors.
type replication struct {
	electorate        controllerlease.Electorate
	fence             uint64
	lastSequence      uint64
	committedSequence uint64
	// records start with the latest base record.
	records []electorate.JournalRecord
	// uncommittedSince is when the first record after the last committed one was added.
	uncommittedSince time.Time
	electors         map[string]*electorState
}

type electorState struct {
	ackedSequence uint64
	sentSequence  uint64
	sentAt        time.Time
}

func newReplication(e controllerlease.Electorate, fence uint64) *replication {
	r := &replication{electorate: e, fence: fence, electors: make(map[string]*electorState)}
	for _, name := range e.Instances {
		r.electors[name] = &electorState{}
	}
	if e.HasWitness() {
		r.electors[controllerlease.Witness] = &electorState{}
	}
	return r
}

func (r *replication) append(now time.Time, e journalEntry) error {
	data, err := cbor.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode order journal record")
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

// pending lists the records to send to electors that have not acknowledged them. The witness gets records only if a
// record is not committed within controllerlease.WitnessDelay, because each of its records is an entry of the config
// log.
func (r *replication) pending(now time.Time) (list []ElectorRecord) {
	for _, name := range slices.Concat(r.electorate.Instances, []string{controllerlease.Witness}) {
		e := r.electors[name]
		if e == nil || e.ackedSequence >= r.lastSequence || name == controllerlease.Witness && (r.committedSequence == r.lastSequence || now.Sub(r.uncommittedSince) < controllerlease.WitnessDelay) {
			continue
		}
		from := max(e.ackedSequence, e.sentSequence)
		if now.Sub(e.sentAt) >= recordRetryInterval {
			from = e.ackedSequence
		}
		for _, record := range r.records {
			if record.Sequence > from {
				list = append(list, ElectorRecord{Elector: name, Record: record})
				e.sentSequence, e.sentAt = record.Sequence, now
			}
		}
	}
	return list
}

// acknowledge processes the response of an elector.
func (r *replication) acknowledge(response controllerlease.RecordResponse) {
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
