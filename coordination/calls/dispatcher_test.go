package calls

import (
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
)

// Guards against a dispatch for a caller who is gone or after the time in which the reservation is known to hold, and
// against a second word to the caller.
func TestGrantIsUsedOnceAndInTime(t *testing.T) {
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
			d, announced, err := New(start, Options{Instance: "i0", Incarnation: 1})
			if err != nil || len(announced.Proposals) != 1 {
				t.Fatal(announced, err)
			}
			ledger := callledger.New()
			call := Call{Key: callledger.CallKey{Caller: "c", Service: "s", Key: "k"}, Digest: callledger.Digest("POST", "/", nil)}
			attempt, out, _ := d.Begin(start, call)
			if test.cancel {
				d.Cancel(attempt)
			}
			now := start.Add(test.after)
			commit := func(p Propose) Actions {
				result, err := ledger.Apply(1, p.Command)
				if err != nil {
					t.Fatal(err)
				}
				out, err := d.ProposalDone(now, p.ID, Committed, result)
				if err != nil {
					t.Fatal(err)
				}
				return out
			}
			granted := commit(out.Proposals[0])
			if len(granted.Dispatch) != test.dispatch || len(commit(out.Proposals[0]).Dispatch) != 0 {
				t.Fatalf("dispatched %v", granted.Dispatch)
			}
			if test.dispatch == 0 {
				told := commit(granted.Proposals[0])
				if len(told.Tells) != 1 || told.Tells[0].Result.Outcome != api.Refused || d.Pending() != 0 {
					t.Fatalf("told %v", told.Tells)
				}
				if _, held := ledger.Lookup(call.Key); held {
					t.Fatal("the key was not released")
				}
				return
			}
			answered, err := d.AttemptDone(now, attempt, AnswerReceived, &callledger.Answer{Status: 200})
			if err != nil || len(answered.Proposals) != 1 {
				t.Fatal(answered, err)
			}
			if again, _ := d.AttemptDone(now, attempt, WrittenNoAnswer, nil); len(again.Proposals) != 0 {
				t.Fatal("a second outcome of the attempt was taken")
			}
			now = now.Add(tellDelay)
			late, err := d.Tick(now) // the log does not answer, the caller still gets the answer
			if err != nil || len(late.Tells) != 1 || late.Tells[0].Answer == nil {
				t.Fatal(late, err)
			}
			if done := commit(answered.Proposals[0]); len(done.Tells) != 0 || d.Pending() != 0 {
				t.Fatal("the caller was told twice")
			}
		})
	}
}
