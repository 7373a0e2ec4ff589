// Package electorate is the replicated state machine of the config log that supports the elections for the controller
// leases of the data centres. It holds the electors' joins and, as the witness of each data centre, its vote and its copy
// of the order journal.
package electorate

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Holder identifies a process that holds or requests a controller lease. A restarted process is a different holder.
type Holder struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
}

// Join registers an elector that has no stored promise. Incarnation must differ for every start of the elector.
type Join struct {
	DataCentre  string `cbor:"1,keyasint"`
	Elector     string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// WitnessVoteRequest requests the vote of the witness. The log has no clock, so a vote does not expire; it is replaced
// by compare-and-swap on the vote number ExpectedVote. A candidate may only replace another holder's vote if it has
// seen this vote unchanged for the lease duration plus the clock drift.
type WitnessVoteRequest struct {
	DataCentre   string `cbor:"1,keyasint"`
	Holder       Holder `cbor:"2,keyasint"`
	Fence        uint64 `cbor:"3,keyasint"`
	Round        uint64 `cbor:"4,keyasint"`
	ExpectedVote uint64 `cbor:"5,keyasint"`
	// Release returns the vote. The holder must have stopped acting before it proposes this.
	Release bool `cbor:"6,keyasint,omitempty"`
}

// Vote is the latest vote of a witness. Number is 0 before the first one.
type Vote struct {
	Holder   Holder `cbor:"1,keyasint"`
	Fence    uint64 `cbor:"2,keyasint"`
	Round    uint64 `cbor:"3,keyasint"`
	Number   uint64 `cbor:"4,keyasint"`
	Released bool   `cbor:"5,keyasint,omitempty"`
}

// Command is the payload of a log entry. Exactly one field is set.
type Command struct {
	Join   *Join               `cbor:"1,keyasint,omitempty"`
	Vote   *WitnessVoteRequest `cbor:"2,keyasint,omitempty"`
	Record *JournalRecord      `cbor:"3,keyasint,omitempty"`
}

// Encode returns the command as the payload of a log entry.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode electorate command")
}

// Result is the outcome of a command.
type Result struct {
	// JoinIndex is the log index of the elector's join.
	JoinIndex uint64 `cbor:"1,keyasint,omitempty"`
	// Granted is set if the candidate has the vote, or if the journal copy holds the record.
	Granted bool            `cbor:"2,keyasint,omitempty"`
	Vote    Vote            `cbor:"3,keyasint,omitempty"`
	Journal JournalPosition `cbor:"4,keyasint,omitempty"`
}

// DecodeResult decodes a result of Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	return r, errors.Wrap(cbor.Unmarshal(data, &r), "decode electorate result")
}

type electorJoin struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Index       uint64 `cbor:"2,keyasint"`
}

type dataCentre struct {
	Joins      map[string]electorJoin `cbor:"1,keyasint"`
	LatestJoin uint64                 `cbor:"2,keyasint"`
	Vote       Vote                   `cbor:"3,keyasint"`
	Journal    JournalCopy            `cbor:"4,keyasint"`
}

// Machine applies commands in log order. It is not safe for concurrent use.
type Machine struct {
	dataCentres map[string]*dataCentre
}

// New returns a machine without electors.
func New() *Machine { return &Machine{dataCentres: make(map[string]*dataCentre)} }

// LatestJoin returns the log index of the latest elector join of a data centre, or 0.
func (m *Machine) LatestJoin(dataCentre string) uint64 {
	if d := m.dataCentres[dataCentre]; d != nil {
		return d.LatestJoin
	}
	return 0
}

// Vote returns the latest vote of the witness of a data centre.
func (m *Machine) Vote(dataCentre string) Vote {
	if d := m.dataCentres[dataCentre]; d != nil {
		return d.Vote
	}
	return Vote{}
}

// Journal returns the witness's copy of the order journal of a data centre.
func (m *Machine) Journal(dataCentre string) JournalCopy {
	if d := m.dataCentres[dataCentre]; d != nil {
		return d.Journal.Clone()
	}
	return JournalCopy{}
}

// Apply applies one command. A repeated command has the same result as the first one unless its effect was replaced in
// the meantime.
func (m *Machine) Apply(index uint64, command []byte) ([]byte, error) {
	var c Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil, errors.Wrap(err, "electorate command")
	}
	var result Result
	switch {
	case c.Join != nil && c.Vote == nil && c.Record == nil:
		if index > math.MaxUint32 {
			return nil, errors.Errorf("log index %d of an elector join does not fit the 32 bits of a fencing number", index)
		}
		result = m.join(index, c.Join)
	case c.Vote != nil && c.Join == nil && c.Record == nil:
		result = m.vote(c.Vote)
	case c.Record != nil && c.Join == nil && c.Vote == nil:
		d := m.dataCentre(c.Record.DataCentre)
		result.Granted, result.Journal = d.Journal.Add(*c.Record, d.Vote.Fence)
	default:
		return nil, errors.New("electorate command must have exactly one of join, vote and record")
	}
	data, err := cbor.Marshal(result)
	return data, errors.Wrap(err, "electorate result")
}

func (m *Machine) dataCentre(name string) *dataCentre {
	d := m.dataCentres[name]
	if d == nil {
		d = &dataCentre{Joins: make(map[string]electorJoin)}
		m.dataCentres[name] = d
	}
	return d
}

func (m *Machine) join(index uint64, j *Join) Result {
	d := m.dataCentre(j.DataCentre)
	if held, ok := d.Joins[j.Elector]; ok && held.Incarnation == j.Incarnation {
		return Result{JoinIndex: held.Index, Vote: d.Vote}
	}
	d.Joins[j.Elector] = electorJoin{Incarnation: j.Incarnation, Index: index}
	d.LatestJoin = index
	return Result{JoinIndex: index, Vote: d.Vote}
}

func (m *Machine) vote(w *WitnessVoteRequest) Result {
	d := m.dataCentre(w.DataCentre)
	held := &d.Vote
	sameHolder := held.Number > 0 && held.Holder == w.Holder && held.Fence == w.Fence
	switch {
	case w.Release:
		if sameHolder {
			held.Released = true
		}
		return Result{Granted: sameHolder, Vote: *held}
	case sameHolder && held.Round == w.Round && held.Number == w.ExpectedVote+1 && !held.Released:
		return Result{Granted: true, Vote: *held}
	case held.Number != w.ExpectedVote, w.Fence < held.Fence, w.Fence == held.Fence && (!sameHolder || held.Released):
		return Result{Vote: *held}
	}
	*held = Vote{Holder: w.Holder, Fence: w.Fence, Round: w.Round, Number: w.ExpectedVote + 1}
	return Result{Granted: true, Vote: *held}
}

// Snapshot encodes the whole state. Equal states have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "encode electorate snapshot")
	}
	data, err := mode.Marshal(m.dataCentres)
	return data, errors.Wrap(err, "encode electorate snapshot")
}

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	restored := make(map[string]*dataCentre)
	if err := cbor.Unmarshal(data, &restored); err != nil {
		return errors.Wrap(err, "decode electorate snapshot")
	}
	for name, d := range restored {
		if d == nil {
			return errors.Errorf("electorate snapshot: data centre %q has no state", name)
		}
		if d.Joins == nil {
			d.Joins = make(map[string]electorJoin)
		}
	}
	m.dataCentres = restored
	return nil
}
