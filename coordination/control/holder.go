package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

// Holder is an instance that wants or holds the controller lease.
type Holder struct {
	self       electorate.Holder
	electorate Electorate
	rand       *rand.Rand

	joinIndex uint64
	seen      uint64
	witness   electorate.Vote
	// witnessSince is when this vote of the witness was first seen here.
	witnessSince time.Time
	witnessKnown bool

	phase phase
	// fence is the number that the current round asks for; held is the one that was won last.
	fence  uint64
	held   uint64
	round  uint64
	sentAt time.Time
	votes  map[string]bool
	// refusals say how long each elector that refused is bound.
	refusals map[string]time.Duration
	asked    bool
	// outbid says that an elector refused because it promised this number or a higher one to another candidate.
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

// Requests is what a tick wants sent.
type Requests struct {
	Votes []VoteRequest
	// Witness is to be proposed to the config log. Its result goes to StepWitness.
	Witness *electorate.WitnessVote
}

// NewHolder makes an idle holder. Its first campaign starts after a random pause.
func NewHolder(now time.Time, self electorate.Holder, e Electorate, random *rand.Rand) *Holder {
	h := &Holder{self: self, electorate: e, rand: random}
	h.stop(now)
	return h
}

// SetJoinIndex takes the log index of the latest elector join of the data centre, as applied here.
func (h *Holder) SetJoinIndex(index uint64) { h.joinIndex = max(h.joinIndex, index) }

// ObserveWitness takes the witness's vote as applied here. The driver calls it after each applied entry of the data
// centre and once at the start, so that an idle vote can be waited out.
func (h *Holder) ObserveWitness(now time.Time, v electorate.Vote) {
	h.seen = max(h.seen, v.Fence)
	if !h.witnessKnown || v.Number > h.witness.Number || v.Number == h.witness.Number && v.Released {
		if !h.witnessKnown || v.Number > h.witness.Number {
			h.witnessSince = now
		}
		h.witness, h.witnessKnown = v, true
	}
}

// Tick starts, repeats or renews a campaign and returns what is to be sent.
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

// rise asks for a higher number while the lease goes on if an elector has promised one, because it joined again or voted
// for itself while it was cut off. It would refuse all renewals, and the next lost elector would end the lease.
func (h *Holder) rise() {
	if !h.outbid && h.seen <= h.fence {
		return
	}
	if fence, err := nextFence(h.seen, h.joinIndex); err == nil {
		h.ask(fence)
	}
}

// wantsJournal says whether the votes of this round make a new grant.
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

// askWitness asks the witness only when the instances alone do not answer: each of its votes is a log entry.
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

// Step takes the response of an elector.
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

// StepWitness takes the result of a witness vote together with the witness's copy of the journal at that log entry or
// later.
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

// lost says that too many electors refused for this round to win.
func (h *Holder) lost() bool {
	return len(h.refusals) > h.electorate.Size()-h.electorate.Majority()
}

// lapse stops a holder whose lease has ended. It has to win a higher fencing number before it acts again.
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

// Held returns the fencing number while the lease lasts. The driver asks directly before each order is sent. A number
// that changes is a new grant: the driver takes the order journal over again.
func (h *Holder) Held(now time.Time) (fence uint64, ok bool) {
	if h.phase != holding || !now.Before(h.leaseEnd) {
		return 0, false
	}
	return h.held, true
}

// LeaseEnd is when the lease ends unless it is renewed. It is the zero time without a lease.
func (h *Holder) LeaseEnd(now time.Time) time.Time {
	if _, ok := h.Held(now); !ok {
		return time.Time{}
	}
	return h.leaseEnd
}

// Journals returns the copies of the order journal that came with the votes for the number held.
func (h *Holder) Journals() []electorate.JournalCopy {
	list := make([]electorate.JournalCopy, 0, len(h.journals))
	for _, copied := range h.journals {
		list = append(list, copied)
	}
	return list
}

// Release gives the lease up and returns the notices that let the electors vote at once. Losing them only costs time.
func (h *Holder) Release(now time.Time) Requests {
	if _, ok := h.Held(now); !ok {
		return Requests{}
	}
	return h.giveUp(now)
}

// giveUp ends a lease or a campaign. A lost campaign returns its votes, because two candidates that keep them would
// block each other for a lease each time.
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

// bound is how long no elector that refused can vote. A candidate that asks more often raises the promise of its own
// elector again and again, which then refuses the renewals of the holder.
func (h *Holder) bound() time.Duration {
	if len(h.refusals) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(h.refusals)))
}
