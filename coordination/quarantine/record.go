package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"
)

// fingerprintBytes is long enough that callers, who choose the request bodies, cannot construct collisions.
const fingerprintBytes = 16

// Fingerprint identifies a request by its caller, model, adapter and body. It does not depend on the headers or on the
// instance that receives the request.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf hashes a request. Each part is preceded by its length, so that bytes moved from one part
// to the next change the hash.
func FingerprintOf(caller, model, adapter string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(caller), []byte(model), []byte(adapter), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// String formats the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Target is one incarnation of a target.
type Target struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// compareTargets orders targets by name and incarnation, so that all instances keep the same strikes of a record.
func compareTargets(a, b Target) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// strike is the failure of one target while a request was in flight on it. The failure of a target counts once, however
// many instances report it.
type strike struct {
	target Target
	// at is when the failure was detected, on the clock of this instance. Of several reports the earliest time is kept.
	at time.Time
	// cleared is set once the request has succeeded on any target after the failure was known, and is never unset.
	cleared bool
}

// record holds the strikes of one request, sorted by target. Merging takes the union of the strikes, with the earliest
// time and the cleared flag of each, and keeps the first maxStrikes of them. The result does not depend on the order of
// merging.
type record struct {
	strikes []strike
	// changeNumber is the value of Table.changeCounter at the latest change; sendCount is the number of gossip frames
	// with the record since then.
	changeNumber uint64
	sendCount    int
}

// maxStrikes is the maximum number of strikes in a record. Two strikes that are not cleared stop a request already, so
// only a request that has been cleared repeatedly can reach the maximum, which a crashing request never is.
const maxStrikes = 16

// merge adds strikes and reports whether a strike or a cleared flag is new.
func (r *record) merge(strikes []strike) bool {
	changed := false
	for _, s := range strikes {
		i, found := slices.BinarySearchFunc(r.strikes, s, func(a, b strike) int { return compareTargets(a.target, b.target) })
		if !found {
			if i < maxStrikes {
				r.strikes = slices.Insert(r.strikes, i, s)
				r.strikes = r.strikes[:min(len(r.strikes), maxStrikes)]
				changed = true
			}
			continue
		}
		stored := &r.strikes[i]
		if s.at.Before(stored.at) {
			stored.at = s.at
		}
		if s.cleared && !stored.cleared {
			stored.cleared, changed = true, true
		}
	}
	return changed
}

// latestStrike returns the time of the latest strike.
func (r *record) latestStrike() time.Time {
	var latest time.Time
	for _, s := range r.strikes {
		if s.at.After(latest) {
			latest = s.at
		}
	}
	return latest
}

// uncleared returns the number of strikes that are not cleared.
func (r *record) uncleared() int {
	n := 0
	for _, s := range r.strikes {
		if !s.cleared {
			n++
		}
	}
	return n
}
