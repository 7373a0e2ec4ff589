package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Merge applies a frame from another instance. maxTransit is an upper bound of its network delay, which is added to the
// age of its strikes. Frames may arrive in any order and more than once.
func (t *Table) Merge(now time.Time, maxTransit time.Duration, frame []byte) error {
	records, err := decodeFrame(frame)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range records {
		strikes := make([]strike, len(w.Strikes))
		for i, s := range w.Strikes {
			age := time.Duration(s.AgeMs)*time.Millisecond + max(maxTransit, 0)
			strikes[i] = strike{target: s.Target, at: now.Add(-age), cleared: s.Cleared}
		}
		t.merge(now, w.Fingerprint, strikes)
	}
	return nil
}

func (t *Table) encodeRecords(now time.Time, fingerprints []Fingerprint) ([]byte, error) {
	items := make([]cbor.RawMessage, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		item, err := encodeRecord(now, fingerprint, t.records[fingerprint])
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return encodeFrame(items)
}

// MinDeltaBytes is the smallest byte limit of a frame. It has room for a record of maxStrikes strikes with long target
// names.
const MinDeltaBytes = 4096

// frameOverheadBytes is an upper bound of the encoding of a frame without its records.
const frameOverheadBytes = 16

// Delta returns a gossip frame of at most limitBytes with the records that were sent least often since they changed,
// the latest changes first. It returns nil if the table has no unexpired records.
func (t *Table) Delta(now time.Time, limitBytes int) ([]byte, error) {
	if limitBytes < MinDeltaBytes {
		return nil, errors.Errorf("byte limit %d of a strike frame is below %d", limitBytes, MinDeltaBytes)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	fingerprints := slices.Collect(maps.Keys(t.records))
	slices.SortFunc(fingerprints, func(a, b Fingerprint) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(x.sendCount, y.sendCount), cmp.Compare(y.changeNumber, x.changeNumber))
	})
	remaining := limitBytes - frameOverheadBytes
	var items []cbor.RawMessage
	for _, fingerprint := range fingerprints {
		item, err := encodeRecord(now, fingerprint, t.records[fingerprint])
		if err != nil {
			return nil, err
		}
		if len(item) > remaining {
			break
		}
		remaining -= len(item)
		t.records[fingerprint].sendCount++
		items = append(items, item)
	}
	if len(items) == 0 {
		return nil, nil
	}
	return encodeFrame(items)
}

// frameVersion is the version of the frame encoding.
const frameVersion = 1

type wireStrike struct {
	_       struct{} `cbor:",toarray"`
	Target  Target
	AgeMs   uint32
	Cleared bool
}

type wireRecord struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Strikes     []wireStrike
}

type wireFrame struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Records []cbor.RawMessage
}

func encodeRecord(now time.Time, fingerprint Fingerprint, r *record) (cbor.RawMessage, error) {
	w := wireRecord{Fingerprint: fingerprint}
	for _, s := range r.strikes {
		age := min(max(now.Sub(s.at).Milliseconds(), 0), math.MaxUint32)
		w.Strikes = append(w.Strikes, wireStrike{Target: s.target, AgeMs: uint32(age), Cleared: s.cleared})
	}
	data, err := cbor.Marshal(&w)
	return data, errors.Wrap(err, "encode a strike record")
}

func encodeFrame(records []cbor.RawMessage) ([]byte, error) {
	data, err := cbor.Marshal(&wireFrame{Version: frameVersion, Records: records})
	return data, errors.Wrap(err, "encode a strike frame")
}

func decodeFrame(data []byte) ([]wireRecord, error) {
	var f wireFrame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrap(err, "decode a strike frame")
	}
	if f.Version != frameVersion {
		return nil, errors.Errorf("strike frame version %d is not supported, want %d", f.Version, frameVersion)
	}
	records := make([]wireRecord, len(f.Records))
	for i, item := range f.Records {
		if err := cbor.Unmarshal(item, &records[i]); err != nil {
			return nil, errors.Wrapf(err, "decode record %d of a strike frame", i)
		}
		if n := len(records[i].Strikes); n == 0 || n > maxStrikes {
			return nil, errors.Errorf("record %d of a strike frame has %d strikes, want 1 to %d", i, n, maxStrikes)
		}
	}
	return records, nil
}
