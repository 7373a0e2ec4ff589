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

// bytesToMiBShift converts bytes to MiB, which are encoded in 3 to 5 bytes instead of 9.
const bytesToMiBShift = 20

// frameOverheadBytes is an upper bound of the encoding of a frame without its items.
const frameOverheadBytes = 40

// partOverheadBytes is the largest encoding of a contentPart without its data.
const partOverheadBytes = 28

// frame is one gossip message. BaseMs is the latest load measurement in it, to which renewals are relative.
type frame struct {
	_               struct{} `cbor:",toarray"`
	Version         int
	BaseMs          int64
	Leaving         []cbor.RawMessage
	ContentRequests []cbor.RawMessage
	Contents        []cbor.RawMessage
	Diffs           []cbor.RawMessage
	Renewals        []cbor.RawMessage
}

type leavingNotice struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation uint64
	AgeMs       uint32
}

// ContentRequest requests the content with a fingerprint, starting at a byte offset. Base is the fingerprint of the
// content that the requester has of the same target, or 0.
type ContentRequest struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Offset      uint32
	Base        uint64
}

// contentPart is a range of the bytes of a content. A content larger than a frame is sent in several parts.
type contentPart struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Offset      uint32
	Total       uint32
	Data        []byte
}

// renewal is an announcement whose content is identified by its fingerprint. AgeMs is the time since an instance
// received it from the target; LoadLagMs is BaseMs of the frame minus the time of the load report. Previous is the
// fingerprint of the preceding content if the content changed recently: an instance that still lacks the new content
// uses it to extend the lease.
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

// ageMs rounds up, so that the age of a message never decreases from instance to instance.
func ageMs(now, since time.Time) uint32 {
	age := (now.Sub(since) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(age, 0), math.MaxUint32))
}
