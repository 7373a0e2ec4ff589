package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"
)

// fingerprintBytes keeps collisions out of reach of callers, who choose the bodies.
const fingerprintBytes = 16

// Fingerprint identifies a request by what it asks for, whichever headers it has and whichever instance receives it.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf hashes a request.
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

// compareTargets orders targets, so that all instances keep the same strikes of a record.
func compareTargets(a, b Target) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// strike is the failure of one target while the request was in flight on it. A target counts once, however many
// instances report its failure.
type strike struct {
	target Target
	// at is when the failure was seen, on the clock of this instance. A repeated report keeps the earliest time.
	at time.Time
	// cleared is set for good once the request completed somewhere after the failure was known.
	cleared bool
}

// record holds the strikes of one request in the order of their targets. Merging keeps a union of strikes, the earliest
// time and the cleared mark of each, and the first maxStrikes of them; the order of merging does not matter.
type record struct {
	strikes []strike
	// changed numbers the latest change and sent counts the gossip frames that carried the record since.
	changed uint64
	sent    int
}

// maxStrikes bounds a record. Two strikes that are not cleared already stop a request; only a request that was cleared
// again and again, which no crashing request is, comes near the bound.
const maxStrikes = 16

// merge adds strikes and reports whether anything is new.
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
		have := &r.strikes[i]
		if s.at.Before(have.at) {
			have.at = s.at
		}
		if s.cleared && !have.cleared {
			have.cleared, changed = true, true
		}
	}
	return changed
}

// latest is the time of the newest strike.
func (r *record) latest() time.Time {
	var latest time.Time
	for _, s := range r.strikes {
		if s.at.After(latest) {
			latest = s.at
		}
	}
	return latest
}

// open counts the strikes that are not cleared.
func (r *record) open() int {
	n := 0
	for _, s := range r.strikes {
		if !s.cleared {
			n++
		}
	}
	return n
}
