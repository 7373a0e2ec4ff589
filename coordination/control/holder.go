package control

import (
	"math/rand/v2"
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

	phase    phase
	fence    uint64
	round    uint64
	sentAt   time.Time
	votes    map[string]bool
	refusals map[string]bool
	asked    bool
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
		h.phase, h.fence, h.seen = campaigning, fence, fence
		h.journals = make(map[string]electorate.JournalCopy)
		return h.startRound(now)
	case h.phase == campaigning && (h.lost() || now.Sub(h.sentAt) >= RenewInterval):
		return h.giveUp(now)
	case h.phase == holding && now.Sub(h.sentAt) >= RenewInterval:
		return h.startRound(now)
	case h.phase != idle:
		return Requests{Witness: h.askWitness(now)}
	}
	return Requests{}
}

func (h *Holder) startRound(now time.Time) Requests {
	h.round++
	h.sentAt, h.votes, h.refusals, h.asked = now, make(map[string]bool), make(map[string]bool), false
	requests := Requests{Votes: make([]VoteRequest, 0, len(h.electorate.Instances))}
	for _, name := range h.electorate.Instances {
		requests.Votes = append(requests.Votes, VoteRequest{
			DataCentre: h.electorate.DataCentre, Elector: name, Holder: h.self, Fence: h.fence, Round: h.round,
			WantJournal: h.phase == campaigning,
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
			h.refusals[r.Elector] = true
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
	if h.phase == campaigning {
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
		h.phase, h.leaseEnd = holding, end
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
	h.phase, h.fence, h.votes, h.refusals = idle, 0, nil, nil
	h.pause = now.Add(campaignPause + time.Duration(h.rand.Int64N(int64(campaignSpread))))
}

// Held returns the fencing number while the lease lasts. The driver asks directly before each order is sent.
func (h *Holder) Held(now time.Time) (fence uint64, ok bool) {
	if h.phase != holding || !now.Before(h.leaseEnd) {
		return 0, false
	}
	return h.fence, true
}

// LeaseEnd is when the lease ends unless it is renewed. It is the zero time without a lease.
func (h *Holder) LeaseEnd(now time.Time) time.Time {
	if _, ok := h.Held(now); !ok {
		return time.Time{}
	}
	return h.leaseEnd
}

// Journals returns the copies of the order journal that came with the votes that made this holder controller.
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
	fence := h.fence
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
	return requests
}
