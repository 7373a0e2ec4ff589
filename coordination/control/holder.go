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

	joinIndex uint64
	seen      uint64
	witness   electorate.Vote
	// witnessSince is the local time at which the current vote of the witness was first applied.
	witnessSince time.Time
	witnessKnown bool

	phase phase
	// fence is the fencing number that the current round requests; held is the last one granted.
	fence  uint64
	held   uint64
	round  uint64
	sentAt time.Time
	votes  map[string]bool
	// refusals holds, per elector that refused, how long its lease for another holder lasts.
	refusals map[string]time.Duration
	asked    bool
	// outbid is set when an elector refused because it has promised the requested or a higher fencing number to another
	// candidate.
	outbid   bool
	leaseEnd time.Time
	pause    time.Time
	journals map[string]electorate.JournalCopy
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
	h.stop(now)
	return h
}

// SetJoinIndex records the log index of the latest elector join of the data centre that this instance has applied.
func (h *Holder) SetJoinIndex(index uint64) { h.joinIndex = max(h.joinIndex, index) }

// ObserveWitness records the witness vote that this instance has applied. The driver calls it after each applied entry
// of the data centre and once at the start, so that the holder can wait until the lease of a vote that is no longer
// renewed has expired.
func (h *Holder) ObserveWitness(now time.Time, v electorate.Vote) {
	h.seen = max(h.seen, v.Fence)
	if !h.witnessKnown || v.Number > h.witness.Number || v.Number == h.witness.Number && v.Released {
		if !h.witnessKnown || v.Number > h.witness.Number {
			h.witnessSince = now
		}
		h.witness, h.witnessKnown = v, true
	}
}

// Tick starts or ends a campaign or renews the lease when it is due, and returns the requests to send.
func (h *Holder) Tick(now time.Time) Requests {
	h.lapse(now)
	switch {
	case h.phase == idle && !now.Before(h.pause):
		fence, err := nextFence(h.seen, h.joinIndex)
		if err != nil {
			return Requests{}
		}
		h.phase = campaigning
		h.ask(fence)
		return h.startRound(now)
	case h.phase == campaigning && (h.lost() || now.Sub(h.sentAt) >= RenewInterval):
		return h.giveUp(now)
	case h.phase == holding && now.Sub(h.sentAt) >= RenewInterval:
		h.rise()
		return h.startRound(now)
	case h.phase != idle:
		return Requests{Witness: h.askWitness(now)}
	}
	return Requests{}
}

func (h *Holder) ask(fence uint64) {
	h.fence, h.seen = fence, fence
	h.journals = make(map[string]electorate.JournalCopy)
}

// rise requests a higher fencing number during the lease if an elector has promised a higher one, because it joined
// again or voted for its own instance during a partition. Such an elector refuses all renewals, and the loss of one
// more elector could end the lease.
func (h *Holder) rise() {
	if !h.outbid && h.seen <= h.fence {
		return
	}
	if fence, err := nextFence(h.seen, h.joinIndex); err == nil {
		h.ask(fence)
	}
}

// wantsJournal reports whether this round requests a new grant and not a renewal. A new grant needs the journal copies.
func (h *Holder) wantsJournal() bool { return h.held != h.fence }

func (h *Holder) startRound(now time.Time) Requests {
	h.round++
	h.outbid = false
	h.sentAt, h.votes, h.refusals, h.asked = now, make(map[string]bool), make(map[string]time.Duration), false
	requests := Requests{Votes: make([]VoteRequest, 0, len(h.electorate.Instances))}
	for _, name := range h.electorate.Instances {
		requests.Votes = append(requests.Votes, VoteRequest{
			DataCentre: h.electorate.DataCentre, Elector: name, Holder: h.self, Fence: h.fence, Round: h.round,
			WantJournal: h.wantsJournal(),
		})
	}
	return requests
}

// askWitness returns a vote request for the witness if too few instances have voted after WitnessDelay. Each witness
// vote costs an entry of the config log, so the witness is not asked earlier.
func (h *Holder) askWitness(now time.Time) *electorate.WitnessVote {
	if !h.electorate.HasWitness() || h.asked || !h.witnessKnown || len(h.votes) >= h.electorate.Majority() ||
		now.Sub(h.sentAt) < WitnessDelay {
		return nil
	}
	other := h.witness.Number > 0 && !h.witness.Released && h.witness.Holder != h.self
	if other && now.Sub(h.witnessSince) < LeaseDuration+DriftMargin {
		return nil
	}
	h.asked = true
	return &electorate.WitnessVote{
		DataCentre: h.electorate.DataCentre, Holder: h.self, Fence: h.fence, Round: h.round, Expect: h.witness.Number,
	}
}

// Step handles the response of an elector.
func (h *Holder) Step(now time.Time, r VoteResponse) {
	h.lapse(now)
	h.seen = max(h.seen, r.Promised)
	if r.Holder != h.self || r.Fence != h.fence || h.phase == idle {
		return
	}
	if !r.Granted {
		if r.Round == h.round {
			h.outbid = h.outbid || r.Promised >= h.fence
			h.refusals[r.Elector] = time.Duration(r.WaitMs) * time.Millisecond
		}
		return
	}
	h.count(now, r.Elector, r.Round, r.Journal)
}

// StepWitness handles the result of a witness vote. journal is the witness's copy of the order journal at that log
// entry or later.
func (h *Holder) StepWitness(now time.Time, r electorate.Result, journal electorate.JournalCopy) {
	h.lapse(now)
	h.ObserveWitness(now, r.Vote)
	if r.Granted && r.Vote.Holder == h.self && r.Vote.Fence == h.fence && !r.Vote.Released {
		h.count(now, Witness, r.Vote.Round, &journal)
	}
}

func (h *Holder) count(now time.Time, elector string, round uint64, journal *electorate.JournalCopy) {
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
	if end := h.sentAt.Add(LeaseDuration); now.Before(end) {
		h.phase, h.held, h.leaseEnd = holding, h.fence, end
	}
}

// lost reports whether so many electors refused that this round cannot reach a majority.
func (h *Holder) lost() bool {
	return len(h.refusals) > h.electorate.Size()-h.electorate.Majority()
}

// lapse makes the holder idle when its lease has expired. It needs a grant with a higher fencing number to become the
// controller again.
func (h *Holder) lapse(now time.Time) {
	if h.phase == holding && !now.Before(h.leaseEnd) {
		h.stop(now)
	}
}

func (h *Holder) stop(now time.Time) {
	h.phase, h.fence, h.held, h.votes, h.refusals = idle, 0, 0, nil, nil
	rank := max(0, slices.Index(h.electorate.Instances, h.self.Name)) % campaignSteps
	h.pause = now.Add(campaignPause + time.Duration(rank)*campaignStep + time.Duration(h.rand.Int64N(int64(campaignSpread))))
}

// Held returns the fencing number, and ok is true, while the lease is valid. The driver calls it directly before it
// sends an order. A changed fencing number is a new grant, after which the driver has to take over the order journal
// again.
func (h *Holder) Held(now time.Time) (fence uint64, ok bool) {
	if h.phase != holding || !now.Before(h.leaseEnd) {
		return 0, false
	}
	return h.held, true
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
	list := make([]electorate.JournalCopy, 0, len(h.journals))
	for _, copied := range h.journals {
		list = append(list, copied)
	}
	return list
}

// Release ends the lease and returns the release requests, after which electors may vote for another holder at once. If
// they are lost, the electors wait until their leases expire.
func (h *Holder) Release(now time.Time) Requests {
	if _, ok := h.Held(now); !ok {
		return Requests{}
	}
	return h.giveUp(now)
}

// giveUp ends a lease or a campaign and releases its votes. A failed campaign releases them because otherwise
// concurrent candidates would block each other for the duration of a lease each time.
func (h *Holder) giveUp(now time.Time) Requests {
	fence, wait := h.fence, h.bound()
	requests := h.startRound(now)
	for i := range requests.Votes {
		requests.Votes[i].Release, requests.Votes[i].WantJournal = true, false
	}
	if h.witness.Holder == h.self && h.witness.Fence == fence && !h.witness.Released {
		requests.Witness = &electorate.WitnessVote{
			DataCentre: h.electorate.DataCentre, Holder: h.self, Fence: fence, Release: true,
		}
	}
	h.stop(now)
	h.pause = h.pause.Add(wait)
	return requests
}

// bound returns the time during which no elector that refused can vote for this holder. A candidate that campaigned
// earlier would raise the promise of its own elector each time, which would then refuse the renewals of the current
// holder.
func (h *Holder) bound() time.Duration {
	if len(h.refusals) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(h.refusals)))
}
