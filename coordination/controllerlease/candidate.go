package controllerlease

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

// Candidate campaigns for the controller lease on behalf of one instance and renews the lease while it holds it.
type Candidate struct {
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
	Witness *electorate.WitnessVoteRequest
}

// NewCandidate creates an idle candidate. Its first campaign starts after a backoff with jitter.
func NewCandidate(now time.Time, self electorate.Holder, e Electorate, random *rand.Rand) *Candidate {
	c := &Candidate{self: self, electorate: e, rand: random}
	c.becomeIdle(now)
	return c
}

// ObserveJoin records the log index of the latest elector join of the data centre that this instance has applied.
func (c *Candidate) ObserveJoin(index uint64) { c.joinIndex = max(c.joinIndex, index) }

// ObserveWitness records the witness vote that this instance has applied. The driver calls it after each applied entry
// of the data centre and once at the start, so that the candidate can wait until the lease of a vote that is no longer
// renewed has expired.
func (c *Candidate) ObserveWitness(now time.Time, v electorate.Vote) {
	c.highestFence = max(c.highestFence, v.Fence)
	if !c.witnessVoteKnown || v.Number > c.witnessVote.Number || v.Number == c.witnessVote.Number && v.Released {
		if !c.witnessVoteKnown || v.Number > c.witnessVote.Number {
			c.witnessVoteSince = now
		}
		c.witnessVote, c.witnessVoteKnown = v, true
	}
}

// Tick starts or ends a campaign or renews the lease when it is due, and returns the requests to send.
func (c *Candidate) Tick(now time.Time) Requests {
	c.expireLease(now)
	switch {
	case c.phase == idle && !now.Before(c.campaignAt):
		fence, err := nextFence(c.highestFence, c.joinIndex)
		if err != nil {
			return Requests{}
		}
		c.phase = campaigning
		c.requestFence(fence)
		return c.startRound(now)
	case c.phase == campaigning && (c.majorityImpossible() || now.Sub(c.roundSentAt) >= RenewInterval):
		return c.releaseVotes(now)
	case c.phase == holding && now.Sub(c.roundSentAt) >= RenewInterval:
		c.raiseFence()
		return c.startRound(now)
	case c.phase != idle:
		return Requests{Witness: c.witnessRequest(now)}
	}
	return Requests{}
}

func (c *Candidate) requestFence(fence uint64) {
	c.requestedFence, c.highestFence = fence, fence
	c.journals = make(map[string]electorate.JournalCopy)
}

// raiseFence requests a higher fencing number during the lease if an elector has promised a higher one, because it
// joined again or voted for its own instance during a partition. Such an elector refuses all renewals, and the loss of
// one more elector could end the lease.
func (c *Candidate) raiseFence() {
	if !c.higherFencePromised && c.highestFence <= c.requestedFence {
		return
	}
	if fence, err := nextFence(c.highestFence, c.joinIndex); err == nil {
		c.requestFence(fence)
	}
}

// wantsJournal reports whether this round requests a new grant and not a renewal. A new grant needs the journal copies.
func (c *Candidate) wantsJournal() bool { return c.heldFence != c.requestedFence }

func (c *Candidate) startRound(now time.Time) Requests {
	c.round++
	c.higherFencePromised = false
	c.roundSentAt, c.votes, c.refusalWaits, c.witnessAsked = now, make(map[string]bool), make(map[string]time.Duration), false
	requests := Requests{Votes: make([]VoteRequest, 0, len(c.electorate.Instances))}
	for _, name := range c.electorate.Instances {
		requests.Votes = append(requests.Votes, VoteRequest{
			DataCentre: c.electorate.DataCentre, Elector: name, Holder: c.self, Fence: c.requestedFence, Round: c.round,
			WantJournal: c.wantsJournal(),
		})
	}
	return requests
}

// witnessRequest returns a vote request for the witness if too few instances have voted after WitnessDelay. Each
// witness vote costs an entry of the config log, so the witness is not asked earlier.
func (c *Candidate) witnessRequest(now time.Time) *electorate.WitnessVoteRequest {
	if !c.electorate.HasWitness() || c.witnessAsked || !c.witnessVoteKnown || len(c.votes) >= c.electorate.Majority() ||
		now.Sub(c.roundSentAt) < WitnessDelay {
		return nil
	}
	heldByOther := c.witnessVote.Number > 0 && !c.witnessVote.Released && c.witnessVote.Holder != c.self
	if heldByOther && now.Sub(c.witnessVoteSince) < LeaseDuration+DriftMargin {
		return nil
	}
	c.witnessAsked = true
	return &electorate.WitnessVoteRequest{
		DataCentre: c.electorate.DataCentre, Holder: c.self, Fence: c.requestedFence, Round: c.round, ExpectedVote: c.witnessVote.Number,
	}
}

// Step handles the response of an elector.
func (c *Candidate) Step(now time.Time, r VoteResponse) {
	c.expireLease(now)
	c.highestFence = max(c.highestFence, r.Promised)
	if r.Holder != c.self || r.Fence != c.requestedFence || c.phase == idle {
		return
	}
	if !r.Granted {
		if r.Round == c.round {
			c.higherFencePromised = c.higherFencePromised || r.Promised >= c.requestedFence
			c.refusalWaits[r.Elector] = time.Duration(r.WaitMs) * time.Millisecond
		}
		return
	}
	c.countVote(now, r.Elector, r.Round, r.Journal)
}

// StepWitness handles the result of a witness vote. journal is the witness's copy of the order journal at that log
// entry or later.
func (c *Candidate) StepWitness(now time.Time, r electorate.Result, journal electorate.JournalCopy) {
	c.expireLease(now)
	c.ObserveWitness(now, r.Vote)
	if r.Granted && r.Vote.Holder == c.self && r.Vote.Fence == c.requestedFence && !r.Vote.Released {
		c.countVote(now, Witness, r.Vote.Round, &journal)
	}
}

func (c *Candidate) countVote(now time.Time, elector string, round uint64, journal *electorate.JournalCopy) {
	if c.phase == idle || round != c.round {
		return
	}
	if c.wantsJournal() {
		if journal == nil {
			return
		}
		c.journals[elector] = *journal
	}
	c.votes[elector] = true
	if len(c.votes) < c.electorate.Majority() {
		return
	}
	if end := c.roundSentAt.Add(LeaseDuration); now.Before(end) {
		c.phase, c.heldFence, c.leaseEnd = holding, c.requestedFence, end
	}
}

// majorityImpossible reports whether so many electors refused that this round cannot reach a majority.
func (c *Candidate) majorityImpossible() bool {
	return len(c.refusalWaits) > c.electorate.Size()-c.electorate.Majority()
}

// expireLease makes the candidate idle when its lease has expired. It needs a grant with a higher fencing number to
// become the controller again.
func (c *Candidate) expireLease(now time.Time) {
	if c.phase == holding && !now.Before(c.leaseEnd) {
		c.becomeIdle(now)
	}
}

func (c *Candidate) becomeIdle(now time.Time) {
	c.phase, c.requestedFence, c.heldFence, c.votes, c.refusalWaits = idle, 0, 0, nil, nil
	rank := max(0, slices.Index(c.electorate.Instances, c.self.Name)) % campaignRanks
	c.campaignAt = now.Add(campaignBaseDelay + time.Duration(rank)*campaignRankDelay + time.Duration(c.rand.Int64N(int64(campaignJitter))))
}

// HeldFence returns the fencing number, and ok is true, while the lease is valid. The driver calls it directly before
// it sends an order. A changed fencing number is a new grant, after which the driver has to take over the order journal
// again.
func (c *Candidate) HeldFence(now time.Time) (fence uint64, ok bool) {
	if c.phase != holding || !now.Before(c.leaseEnd) {
		return 0, false
	}
	return c.heldFence, true
}

// LeaseEnd returns the time at which the lease expires unless it is renewed, or the zero time without a lease.
func (c *Candidate) LeaseEnd(now time.Time) time.Time {
	if _, ok := c.HeldFence(now); !ok {
		return time.Time{}
	}
	return c.leaseEnd
}

// Journals returns the copies of the order journal that the electors sent with their votes for the requested fencing
// number.
func (c *Candidate) Journals() []electorate.JournalCopy {
	copies := make([]electorate.JournalCopy, 0, len(c.journals))
	for _, journal := range c.journals {
		copies = append(copies, journal)
	}
	return copies
}

// Release ends the lease and returns the release requests, after which electors may vote for another holder at once. If
// they are lost, the electors wait until their leases expire.
func (c *Candidate) Release(now time.Time) Requests {
	if _, ok := c.HeldFence(now); !ok {
		return Requests{}
	}
	return c.releaseVotes(now)
}

// releaseVotes ends a lease or a campaign and releases its votes. A failed campaign releases them because otherwise
// concurrent candidates would block each other for the duration of a lease each time.
func (c *Candidate) releaseVotes(now time.Time) Requests {
	fence, refusalWait := c.requestedFence, c.shortestRefusalWait()
	requests := c.startRound(now)
	for i := range requests.Votes {
		requests.Votes[i].Release, requests.Votes[i].WantJournal = true, false
	}
	if c.witnessVote.Holder == c.self && c.witnessVote.Fence == fence && !c.witnessVote.Released {
		requests.Witness = &electorate.WitnessVoteRequest{
			DataCentre: c.electorate.DataCentre, Holder: c.self, Fence: fence, Release: true,
		}
	}
	c.becomeIdle(now)
	c.campaignAt = c.campaignAt.Add(refusalWait)
	return requests
}

// shortestRefusalWait returns the time during which no elector that refused can vote for this candidate. A candidate
// that campaigned earlier would raise the promise of its own elector each time, which would then refuse the renewals of
// the current holder.
func (c *Candidate) shortestRefusalWait() time.Duration {
	if len(c.refusalWaits) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(c.refusalWaits)))
}
