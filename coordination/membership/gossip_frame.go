package membership

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// gossipVersion is the version of the frame encoding.
const gossipVersion = 1

// MinDeltaBytes is the smallest byte limit of a frame. It leaves room for one item of each kind.
const MinDeltaBytes = 1024

// mibShift converts bytes to MiB, which take 3 to 5 bytes of a renewal instead of 9.
const mibShift = 20

// frameOverheadBytes covers the frame without its items.
const frameOverheadBytes = 40

// partOverheadBytes is the largest encoding of a contentPart without its data.
const partOverheadBytes = 28

// frame is one gossip message.
type frame struct {
	_        struct{} `cbor:",toarray"`
	Version  int
	BaseMs   int64
	Leaving  []cbor.RawMessage
	Wants    []cbor.RawMessage
	Contents []cbor.RawMessage
	Diffs    []cbor.RawMessage
	Renewals []cbor.RawMessage
}

type leavingNotice struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation uint64
	AgeMs       uint32
}

// Want asks for the content with a fingerprint from a byte offset. Base is the content that the asker has of the same
// target, or 0.
type Want struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Offset      uint32
	Base        uint64
}

// contentPart is a part of the encoding of a content. Contents larger than a frame travel in several parts.
type contentPart struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Offset      uint32
	Total       uint32
	Data        []byte
}

// renewal is a later announcement of a content. AgeMs is the time since an instance received it from the target;
// LoadLagMs is the time of the load report before BaseMs of the frame. Previous is the content before this one if it
// changed lately; it extends the lease where the new content has not arrived yet.
type renewal struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Sequence    uint64
	AgeMs       uint32
	Running     int
	Queued      int
	KVUsedMiB   int64
	LoadLagMs   int64
	Previous    uint64
}

// ageMs rounds up, so that no hop makes a copy younger.
func ageMs(now, since time.Time) uint32 {
	age := (now.Sub(since) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(age, 0), math.MaxUint32))
}
