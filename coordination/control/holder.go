package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

// Holder campaigns for the controller lease on behalf of one instance and renews the lease while it holds it.
type Holder struct {
	self       electorate.Holder
	electorate Electorate
	rand       *rand.Rand

	joinIndex    uint64
	highestFence uint64
	witnessVote  electorate.Vote
	// witnessVoteSince is the local time at which the current vote of the witness was first applied.
	witnessVoteSince time.Time
	witnessVoteKnown bool

	phase phase
	// requestedFence is the fencing number that the current round requests; heldFence is the last one granted.
	requestedFence uint64
	heldFence      uint64
	round          uint64
	roundSentAt    time.Time
	votes          map[string]bool
	// refusalWaits holds, per elector that refused, how long its lease for another holder lasts.
	refusalWaits map[string]time.Duration
	witnessAsked bool
	// higherFencePromised is set when an elector refused because it has promised the requested or a higher fencing
	// number to another candidate.
	higherFencePromised bool
	leaseEnd            time.Time
	campaignAt          time.Time
	journals            map[string]electorate.JournalCopy
}

type phase int

const (
	idle phase = iota
	campaigning
	holding
)

// Requests holds the requests that the driver has to send.
type Requests struct {
	Votes []VoteRequest
	// Witness, if not nil, has to be proposed to the config log. Its result is passed to StepWitness.
	Witness *electorate.WitnessVote
}

// NewHolder creates an idle holder. Its first campaign starts after a backoff with jitter.
func NewHolder(now time.Time, self electorate.Holder, e Electorate, random *rand.Rand) *Holder {
	h := &Holder{self: self, electorate: e, rand: random}
	h.becomeIdle(now)
	return h
}

// SetJoinIndex records the log index of the latest elector join of the data centre that this instance has applied.
func (h *Holder) SetJoinIndex(index uint64) { h.joinIndex = max(h.joinIndex, index) }

// ObserveWitness records the witness vote that this instance has applied. The driver calls it after each applied entry
// of the data centre and once at the start, so that the holder can wait until the lease of a vote that is no longer
// renewed has expired.
func (h *Holder) ObserveWitness(now time.Time, v electorate.Vote) {
	h.highestFence = max(h.highestFence, v.Fence)
	if !h.witnessVoteKnown || v.Number > h.witnessVote.Number || v.Number == h.witnessVote.Number && v.Released {
		if !h.witnessVoteKnown || v.Number > h.witnessVote.Number {
			h.witnessVoteSince = now
		}
		h.witnessVote, h.witnessVoteKnown = v, true
	}
}

// Tick starts or ends a campaign or renews the lease when it is due, and returns the requests to send.
func (h *Holder) Tick(now time.Time) Requests {
	h.expireLease(now)
	switch {
	case h.phase == idle && !now.Before(h.campaignAt):
		fence, err := nextFence(h.highestFence, h.joinIndex)
		if err != nil {
			return Requests{}
		}
		h.phase = campaigning
		h.requestFence(fence)
		return h.startRound(now)
	case h.phase == campaigning && (h.majorityImpossible() || now.Sub(h.roundSentAt) >= RenewInterval):
		return h.releaseVotes(now)
	case h.phase == holding && now.Sub(h.roundSentAt) >= RenewInterval:
		h.raiseFence()
		return h.startRound(now)
	case h.phase != idle:
		return Requests{Witness: h.witnessRequest(now)}
	}
	return Requests{}
}

func (h *Holder) requestFence(fence uint64) {
	h.requestedFence, h.highestFence = fence, fence
	h.journals = make(map[string]electorate.JournalCopy)
}

// raiseFence requests a higher fencing number during the lease if an elector has promised a higher one, because it
// joined again or voted for its own instance during a partition. Such an elector refuses all renewals, and the loss of
// one more elector could end the lease.
func (h *Holder) raiseFence() {
	if !h.higherFencePromised && h.highestFence <= h.requestedFence {
		return
	}
	if fence, err := nextFence(h.highestFence, h.joinIndex); err == nil {
		h.requestFence(fence)
	}
}

// wantsJournal reports whether this round requests a new grant and not a renewal. A new grant needs the journal copies.
func (h *Holder) wantsJournal() bool { return h.heldFence != h.requestedFence }

func (h *Holder) startRound(now time.Time) Requests {
	h.round++
	h.higherFencePromised = false
	h.roundSentAt, h.votes, h.refusalWaits, h.witnessAsked = now, make(map[string]bool), make(map[string]time.Duration), false
	requests := Requests{Votes: make([]VoteRequest, 0, len(h.electorate.Instances))}
	for _, name := range h.electorate.Instances {
		requests.Votes = append(requests.Votes, VoteRequest{
			DataCentre: h.electorate.DataCentre, Elector: name, Holder: h.self, Fence: h.requestedFence, Round: h.round,
			WantJournal: h.wantsJournal(),
		})
	}
	return requests
}

// witnessRequest returns a vote request for the witness if too few instances have voted after WitnessDelay. Each
// witness vote costs an entry of the config log, so the witness is not asked earlier.
func (h *Holder) witnessRequest(now time.Time) *electorate.WitnessVote {
	if !h.electorate.HasWitness() || h.witnessAsked || !h.witnessVoteKnown || len(h.votes) >= h.electorate.Majority() ||
		now.Sub(h.roundSentAt) < WitnessDelay {
		return nil
	}
	heldByOther := h.witnessVote.Number > 0 && !h.witnessVote.Released && h.witnessVote.Holder != h.self
	if heldByOther && now.Sub(h.witnessVoteSince) < LeaseDuration+DriftMargin {
		return nil
	}
	h.witnessAsked = true
	return &electorate.WitnessVote{
		DataCentre: h.electorate.DataCentre, Holder: h.self, Fence: h.requestedFence, Round: h.round, Expect: h.witnessVote.Number,
	}
}

// Step handles the response of an elector.
func (h *Holder) Step(now time.Time, r VoteResponse) {
	h.expireLease(now)
	h.highestFence = max(h.highestFence, r.Promised)
	if r.Holder != h.self || r.Fence != h.requestedFence || h.phase == idle {
		return
	}
	if !r.Granted {
		if r.Round == h.round {
			h.higherFencePromised = h.higherFencePromised || r.Promised >= h.requestedFence
			h.refusalWaits[r.Elector] = time.Duration(r.WaitMs) * time.Millisecond
		}
		return
	}
	h.countVote(now, r.Elector, r.Round, r.Journal)
}

// StepWitness handles the result of a witness vote. journal is the witness's copy of the order journal at that log
// entry or later.
func (h *Holder) StepWitness(now time.Time, r electorate.Result, journal electorate.JournalCopy) {
	h.expireLease(now)
	h.ObserveWitness(now, r.Vote)
	if r.Granted && r.Vote.Holder == h.self && r.Vote.Fence == h.requestedFence && !r.Vote.Released {
		h.countVote(now, Witness, r.Vote.Round, &journal)
	}
}

func (h *Holder) countVote(now time.Time, elector string, round uint64, journal *electorate.JournalCopy) {
	if h.phase == idle || round != h.round {
		return
	}
	if h.wantsJournal() {
		if journal == nil {
			return
		}
		h.journals[elector] = *journal
	}
	h.votes[elector] = true
	if len(h.votes) < h.electorate.Majority() {
		return
	}
	if end := h.roundSentAt.Add(LeaseDuration); now.Before(end) {
		h.phase, h.heldFence, h.leaseEnd = holding, h.requestedFence, end
	}
}

// majorityImpossible reports whether so many electors refused that this round cannot reach a majority.
func (h *Holder) majorityImpossible() bool {
	return len(h.refusalWaits) > h.electorate.Size()-h.electorate.Majority()
}

// expireLease makes the holder idle when its lease has expired. It needs a grant with a higher fencing number to become
// the controller again.
func (h *Holder) expireLease(now time.Time) {
	if h.phase == holding && !now.Before(h.leaseEnd) {
		h.becomeIdle(now)
	}
}

func (h *Holder) becomeIdle(now time.Time) {
	h.phase, h.requestedFence, h.heldFence, h.votes, h.refusalWaits = idle, 0, 0, nil, nil
	rank := max(0, slices.Index(h.electorate.Instances, h.self.Name)) % campaignRanks
	h.campaignAt = now.Add(campaignBaseDelay + time.Duration(rank)*campaignRankDelay + time.Duration(h.rand.Int64N(int64(campaignJitter))))
}

// Held returns the fencing number, and ok is true, while the lease is valid. The driver calls it directly before it
// sends an order. A changed fencing number is a new grant, after which the driver has to take over the order journal
// again.
func (h *Holder) Held(now time.Time) (fence uint64, ok bool) {
	if h.phase != holding || !now.Before(h.leaseEnd) {
		return 0, false
	}
	return h.heldFence, true
}

// LeaseEnd returns the time at which the lease expires unless it is renewed, or the zero time without a lease.
func (h *Holder) LeaseEnd(now time.Time) time.Time {
	if _, ok := h.Held(now); !ok {
		return time.Time{}
	}
	return h.leaseEnd
}

// Journals returns the copies of the order journal that the electors sent with their votes for the requested fencing
// number.
func (h *Holder) Journals() []electorate.JournalCopy {
	copies := make([]electorate.JournalCopy, 0, len(h.journals))
	for _, journal := range h.journals {
		copies = append(copies, journal)
	}
	return copies
}

// Release ends the lease and returns the release requests, after which electors may vote for another holder at once. If
// they are lost, the electors wait until their leases expire.
func (h *Holder) Release(now time.Time) Requests {
	if _, ok := h.Held(now); !ok {
		return Requests{}
	}
	return h.releaseVotes(now)
}

// releaseVotes ends a lease or a campaign and releases its votes. A failed campaign releases them because otherwise
// concurrent candidates would block each other for the duration of a lease each time.
func (h *Holder) releaseVotes(now time.Time) Requests {
	fence, refusalWait := h.requestedFence, h.shortestRefusalWait()
	requests := h.startRound(now)
	for i := range requests.Votes {
		requests.Votes[i].Release, requests.Votes[i].WantJournal = true, false
	}
	if h.witnessVote.Holder == h.self && h.witnessVote.Fence == fence && !h.witnessVote.Released {
		requests.Witness = &electorate.WitnessVote{
			DataCentre: h.electorate.DataCentre, Holder: h.self, Fence: fence, Release: true,
		}
	}
	h.becomeIdle(now)
	h.campaignAt = h.campaignAt.Add(refusalWait)
	return requests
}

// shortestRefusalWait returns the time during which no elector that refused can vote for this holder. A candidate that
// campaigned earlier would raise the promise of its own elector each time, which would then refuse the renewals of the
// current holder.
func (h *Holder) shortestRefusalWait() time.Duration {
	if len(h.refusalWaits) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(h.refusalWaits)))
}
