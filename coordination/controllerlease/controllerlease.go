// Package controllerlease elects the controller of a data centre with majority leases. Each vote of an elector is a
// lease, and the instance with the votes of a majority of the electorate is the controller. The package has no clock
// and no I/O: the driver passes in the time, syncs promises and sends messages.
package controllerlease

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

// Durations of leases and campaigns.
const (
	LeaseDuration = 3 * time.Second
	// DriftMargin is the permitted drift between two monotonic clocks over one lease.
	DriftMargin   = 500 * time.Millisecond
	RenewInterval = time.Second
	// WitnessDelay is how long a round waits for votes of instances before it proposes a witness vote to the config log.
	WitnessDelay = 250 * time.Millisecond
	// The backoff of a candidate before a campaign is campaignBaseDelay, plus campaignRankDelay for each rank in the
	// electorate, plus jitter below campaignJitter. Concurrent candidates refuse each other and have to wait for a
	// lease to expire. With jitter alone, one takeover in a hundred collided again and took 11 to 16 s.
	campaignJitter    = 250 * time.Millisecond
	campaignRankDelay = 250 * time.Millisecond
	campaignRanks     = 4
	campaignBaseDelay = 400 * time.Millisecond
)

// Witness is the elector name of the witness, whose votes are entries of the config log.
const Witness = "witness"

const fenceCounterBits = 32

// Fence returns the fencing number with the log index of the latest elector join in its upper and the counter in its
// lower 32 bits.
func Fence(joinIndex, counter uint32) uint64 {
	return uint64(joinIndex)<<fenceCounterBits | uint64(counter)
}

// ErrFenceExhausted is returned when the counter of a fencing number is at its maximum. A new elector join resets the
// counter.
var ErrFenceExhausted = errors.New("the counter of the fencing number is exhausted until the next elector join")

// nextFence returns the lowest fencing number that is above seen and has at least the join index of the latest join.
func nextFence(highest, joinIndex uint64) (uint64, error) {
	if joinIndex > math.MaxUint32 {
		return 0, errors.Errorf("join index %d does not fit into the upper 32 bits of a fencing number", joinIndex)
	}
	if lowest := joinIndex << fenceCounterBits; highest < lowest {
		return lowest + 1, nil
	}
	if uint32(highest) == math.MaxUint32 {
		return 0, ErrFenceExhausted
	}
	return highest + 1, nil
}

// Electorate is the set of electors of a data centre.
type Electorate struct {
	DataCentre string
	// Instances lists the names of the instances in the order of the settings.
	Instances []string
}

// HasWitness reports whether the electorate has a witness, which makes an even number of instances odd.
func (e Electorate) HasWitness() bool { return len(e.Instances)%2 == 0 }

// Size returns the number of electors including the witness.
func (e Electorate) Size() int {
	if e.HasWitness() {
		return len(e.Instances) + 1
	}
	return len(e.Instances)
}

// Majority returns the number of votes needed for the controller lease.
func (e Electorate) Majority() int { return e.Size()/2 + 1 }

// IntactCopies returns the number of intact journal copies that overlap with every majority, so that at least one of
// them holds each record that a majority stored.
func (e Electorate) IntactCopies() int { return e.Size() - e.Majority() + 1 }

// VoteRequest asks an elector to grant, renew or release its vote.
type VoteRequest struct {
	DataCentre string            `json:"data_centre"`
	Elector    string            `json:"elector"`
	Holder     electorate.Holder `json:"holder"`
	Fence      uint64            `json:"fence"`
	// Round identifies the request. The lease of a vote starts when the request of the same round was sent.
	Round       uint64 `json:"round"`
	WantJournal bool   `json:"want_journal,omitempty"`
	Release     bool   `json:"release,omitempty"`
}

// VoteResponse is the response to a VoteRequest.
type VoteResponse struct {
	Elector string            `json:"elector"`
	Holder  electorate.Holder `json:"holder"`
	Fence   uint64            `json:"fence"`
	Round   uint64            `json:"round"`
	Granted bool              `json:"granted"`
	// Promised is the highest fencing number that the elector has voted for or joined with.
	Promised uint64 `json:"promised"`
	// WaitMs is the time until the elector's lease for another holder expires.
	WaitMs int64 `json:"wait_ms,omitempty"`
	// Journal is the elector's copy of the order journal, if the request wanted it and the vote was granted.
	Journal *electorate.JournalCopy `json:"journal,omitempty"`
}

// RecordResponse is the response to a request to store a journal record.
type RecordResponse struct {
	Elector string                     `json:"elector"`
	Stored  bool                       `json:"held"`
	State   electorate.JournalPosition `json:"state"`
}
