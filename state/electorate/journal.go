package electorate

import "slices"

// JournalRecord is one record of the order journal of a data centre. Data is opaque to this package.
type JournalRecord struct {
	DataCentre string `cbor:"1,keyasint" json:"data_centre"`
	// Fence is the fencing number of the controller that wrote the record.
	Fence    uint64 `cbor:"2,keyasint" json:"fence"`
	Sequence uint64 `cbor:"3,keyasint" json:"sequence"`
	// Base marks a record that holds the whole state and replaces all earlier records.
	Base bool   `cbor:"4,keyasint,omitempty" json:"base,omitempty"`
	Data []byte `cbor:"5,keyasint" json:"data"`
}

// JournalCopy is one elector's copy of the order journal: a base record and the records that follow it without a gap. A
// copy without records is empty; it does not show whether orders were sent.
type JournalCopy struct {
	Records []JournalRecord `cbor:"1,keyasint,omitempty" json:"records,omitempty"`
}

// JournalPosition is the position of the last record of a copy.
type JournalPosition struct {
	Fence uint64 `cbor:"1,keyasint,omitempty" json:"fence,omitempty"`
	Last  uint64 `cbor:"2,keyasint,omitempty" json:"last,omitempty"`
}

// Empty reports whether the copy holds no records.
func (c *JournalCopy) Empty() bool { return len(c.Records) == 0 }

// State returns the position of the last record, or zero for an empty copy.
func (c *JournalCopy) State() JournalPosition {
	if c.Empty() {
		return JournalPosition{}
	}
	last := &c.Records[len(c.Records)-1]
	return JournalPosition{Fence: last.Fence, Last: last.Sequence}
}

// Clone returns a copy that shares only the immutable data of the records.
func (c *JournalCopy) Clone() JournalCopy { return JournalCopy{Records: slices.Clone(c.Records)} }

// Newer reports whether the last record of the copy is later than that of another one.
func (c *JournalCopy) Newer(other *JournalCopy) bool {
	a, b := c.State(), other.State()
	return a.Fence > b.Fence || a.Fence == b.Fence && a.Last > b.Last
}

// Add appends a record and reports whether the copy holds it. A record with a lower fencing number than promised is
// refused, so that a replaced controller cannot store a record on a majority after its successor has read a majority.
func (c *JournalCopy) Add(r JournalRecord, promised uint64) (held bool, state JournalPosition) {
	state = c.State()
	switch {
	case r.Fence < promised || r.Fence < state.Fence:
		return false, state
	case r.Fence == state.Fence && r.Sequence <= state.Last:
		return true, state
	case r.Base:
		c.Records = []JournalRecord{r}
	case r.Fence == state.Fence && r.Sequence == state.Last+1:
		c.Records = append(c.Records, r)
	default:
		return false, state
	}
	return true, c.State()
}
