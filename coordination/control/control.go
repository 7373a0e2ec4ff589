// Package control decides which instance of a data centre is its controller. The votes of a majority of one electorate
// make a controller; each vote is a lease. It is pure: time is an argument and the driver syncs and sends.
package control

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

// Times of a lease.
const (
	LeaseDuration = 3 * time.Second
	// DriftMargin covers the difference of two monotonic clocks over one lease.
	DriftMargin   = 500 * time.Millisecond
	RenewInterval = time.Second
	// WitnessDelay is how long a round waits for instances before it writes a witness vote to the config log.
	WitnessDelay = 250 * time.Millisecond
	// campaignSpread is the random part of the pause between two campaigns of one candidate, and campaignStep separates
	// neighbours in the electorate. Candidates that collide refuse each other, which costs them a lease; with a random
	// pause alone, one takeover in a hundred collided again and took 11 to 16 s.
	campaignSpread = 250 * time.Millisecond
	campaignStep   = 250 * time.Millisecond
	campaignSteps  = 4
	campaignPause  = 400 * time.Millisecond
)

// Witness is the elector name of the witness in the config log.
const Witness = "witness"

const counterBits = 32

// Fence puts a fencing number together from the log index of the latest elector join and a counter.
func Fence(joinIndex, counter uint32) uint64 { return uint64(joinIndex)<<counterBits | uint64(counter) }

// ErrFenceExhausted is returned when the counter of a fencing number is used up. A new elector join resets it.
var ErrFenceExhausted = errors.New("the counter of the fencing number is used up")

// nextFence returns the lowest number above seen that is not below the latest join.
func nextFence(seen, joinIndex uint64) (uint64, error) {
	if joinIndex > math.MaxUint32 {
		return 0, errors.Errorf("join index %d does not fit the fencing number", joinIndex)
	}
	if lowest := joinIndex << counterBits; seen < lowest {
		return lowest + 1, nil
	}
	if uint32(seen) == math.MaxUint32 {
		return 0, ErrFenceExhausted
	}
	return seen + 1, nil
}

// Electorate is the set of voters of a data centre.
type Electorate struct {
	DataCentre string
	// Instances are the instances of the data centre as listed in the settings.
	Instances []string
}

// HasWitness says whether a witness makes the number of voters odd.
func (e Electorate) HasWitness() bool { return len(e.Instances)%2 == 0 }

// Size is the number of voters with the witness.
func (e Electorate) Size() int {
	if e.HasWitness() {
		return len(e.Instances) + 1
	}
	return len(e.Instances)
}

// Majority is the number of votes that make a controller.
func (e Electorate) Majority() int { return e.Size()/2 + 1 }

// IntactCopies is the number of intact journal copies of which at least one holds every record that reached a majority.
func (e Electorate) IntactCopies() int { return e.Size() - e.Majority() + 1 }

// VoteRequest asks an elector for its vote or for its renewal.
type VoteRequest struct {
	DataCentre string            `json:"data_centre"`
	Elector    string            `json:"elector"`
	Holder     electorate.Holder `json:"holder"`
	Fence      uint64            `json:"fence"`
	// Round identifies the request, so that a vote is counted from when its own request was sent.
	Round       uint64 `json:"round"`
	WantJournal bool   `json:"want_journal,omitempty"`
	Release     bool   `json:"release,omitempty"`
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	Elector string            `json:"elector"`
	Holder  electorate.Holder `json:"holder"`
	Fence   uint64            `json:"fence"`
	Round   uint64            `json:"round"`
	Granted bool              `json:"granted"`
	// Promised is the highest fencing number that the elector has voted for or joined with.
	Promised uint64 `json:"promised"`
	// WaitMs is how long the lease of another holder binds the elector.
	WaitMs int64 `json:"wait_ms,omitempty"`
	// Journal is the elector's copy when the request wanted it and the vote was granted.
	Journal *electorate.JournalCopy `json:"journal,omitempty"`
}

// RecordResponse answers a journal record.
type RecordResponse struct {
	Elector string                  `json:"elector"`
	Held    bool                    `json:"held"`
	State   electorate.JournalState `json:"state"`
}
