package calls

import (
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
)

// Guards against a dispatch after the caller cancelled or the reservation deadline passed, a second dispatch when the
// outcome of the proposal is reported twice, and a second response to the caller.
func TestReservationIsDispatchedOnceAndInTime(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		after    time.Duration
		cancel   bool
		dispatch int
	}{
		"in time":   {after: time.Second, dispatch: 1},
		"too late":  {after: reserveTimeout},
		"cancelled": {cancel: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newSingleProcess(t, start)
			call := Call{Key: callledger.CallKey{Caller: "c", Service: "s", Key: "k"}, Digest: callledger.Digest("POST", "/", nil)}
			attempt, out, _ := p.d.Begin(start, call)
			if test.cancel {
				p.d.Cancel(attempt)
			}
			p.now = start.Add(test.after)
			granted := p.commit(out.Proposals[0])
			if len(granted.DispatchAttempts) != test.dispatch || len(p.commit(out.Proposals[0]).DispatchAttempts) != 0 {
				t.Fatalf("dispatched %v, want %d attempts, and none for a repeated outcome", granted.DispatchAttempts, test.dispatch)
			}
			if test.dispatch == 0 {
				p.checkReleased(granted, call.Key)
			} else {
				p.checkAnsweredOnce(attempt)
			}
		})
	}
}

// singleProcess is a dispatcher whose proposals the test commits directly to a ledger that no other process uses.
type singleProcess struct {
	t      *testing.T
	d      *Dispatcher
	ledger *callledger.Machine
	now    time.Time
}

func newSingleProcess(t *testing.T, start time.Time) *singleProcess {
	d, announced, err := New(start, Options{Instance: "i0", Incarnation: 1})
	if err != nil || len(announced.Proposals) != 1 {
		t.Fatal(announced, err)
	}
	return &singleProcess{t: t, d: d, ledger: callledger.New(), now: start}
}

// commit applies a proposal to the ledger and reports the outcome to the dispatcher.
func (p *singleProcess) commit(proposal Proposal) Actions {
	result, err := p.ledger.Apply(1, proposal.Command)
	if err != nil {
		p.t.Fatal(err)
	}
	out, err := p.d.ProposalDone(p.now, proposal.ID, Committed, result)
	if err != nil {
		p.t.Fatal(err)
	}
	return out
}

// checkReleased checks that an unused reservation was released: the caller is refused and the key is free again.
func (p *singleProcess) checkReleased(granted Actions, key callledger.CallKey) {
	released := p.commit(granted.Proposals[0])
	if len(released.Results) != 1 || released.Results[0].Result.Outcome != api.Refused || p.d.Pending() != 0 {
		p.t.Fatalf("responses after the release are %v, want one refusal", released.Results)
	}
	if _, held := p.ledger.Lookup(key); held {
		p.t.Fatal("the idempotency key was not released")
	}
}

// checkAnsweredOnce reports an answer and checks that the caller gets it exactly once, although the command that
// records it is committed after maxResponseDelay.
func (p *singleProcess) checkAnsweredOnce(attempt string) {
	answered, err := p.d.AttemptDone(p.now, attempt, AnswerReceived, &callledger.Answer{Status: 200})
	if err != nil || len(answered.Proposals) != 1 {
		p.t.Fatal(answered, err)
	}
	if again, _ := p.d.AttemptDone(p.now, attempt, WrittenNoAnswer, nil); len(again.Proposals) != 0 {
		p.t.Fatal("a second outcome of the attempt was processed")
	}
	p.now = p.now.Add(maxResponseDelay)
	late, err := p.d.Tick(p.now) // the recording command has no outcome yet
	if err != nil || len(late.Results) != 1 || late.Results[0].Answer == nil {
		p.t.Fatal(late, err)
	}
	if done := p.commit(answered.Proposals[0]); len(done.Results) != 0 || p.d.Pending() != 0 {
		p.t.Fatal("the caller got a second response, or the call is still pending")
	}
}
