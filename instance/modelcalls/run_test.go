package modelcalls_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/coordination/quarantine"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// script is the behaviour of a fake target in one attempt.
type script struct {
	// refuse is returned without running the attempt.
	refuse error
	// tokens are sent at the given interval from the resume offset on; then the attempt ends, breaks or hangs.
	tokens   int
	interval time.Duration
	first    time.Duration
	breaks   bool
	hangs    bool
	// skip is an offset that is left out, or 0 for none.
	skip int
}

const answerTokens = 10

// fake implements the policies and the target client. Each pick returns a new target that follows the next script.
type fake struct {
	scripts []script
	hedge   time.Duration
	// interrupt is the time after which the request loses its slot for one minute, or 0 for never.
	interrupt time.Duration
	// resumed is the refusal that Resume returns, or nil.
	resumed *api.Result

	mu        sync.Mutex
	picked    int
	cancelled []string
	ran       int
}

func (f *fake) Acquire(context.Context, *modelcalls.Work) (modelcalls.Place, *api.Result) {
	interrupted := make(chan struct{})
	if f.interrupt > 0 {
		time.AfterFunc(f.interrupt, func() { close(interrupted) })
	}
	return &place{interrupted: interrupted, refusal: f.resumed}, nil
}

// place is interrupted once; its Resume takes one minute.
type place struct {
	interrupted chan struct{}
	refusal     *api.Result
}

func (p *place) Interrupted() <-chan struct{} { return p.interrupted }
func (p *place) Resume(context.Context) *api.Result {
	p.interrupted = nil
	time.Sleep(time.Minute)
	return p.refusal
}
func (p *place) Release(int, bool) {}
func (f *fake) Pick(*modelcalls.Work, func(string) bool) (modelcalls.Placed, func(modelcalls.Result), *api.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.picked == len(f.scripts) {
		return modelcalls.Placed{}, nil, api.RefuseFor(api.ReasonNoTarget, time.Second, "no target")
	}
	name := fmt.Sprint(f.picked)
	f.picked++
	return modelcalls.Placed{Target: name, Address: name}, func(modelcalls.Result) {}, nil
}
func (f *fake) Expected(*modelcalls.Work) time.Duration                       { return time.Second }
func (f *fake) Overdue(*modelcalls.Work, modelcalls.Placed, time.Duration)    {}
func (f *fake) Hedge(*modelcalls.Work, modelcalls.Placed, time.Duration) bool { return f.hedge > 0 }
func (f *fake) First(*modelcalls.Work, modelcalls.Placed)                     {}
func (f *fake) Verdict(quarantine.Fingerprint) *api.Result                    { return nil }
func (f *fake) Begin(context.Context, quarantine.Attempt) bool                { return true }
func (f *fake) Suspect(quarantine.Fingerprint) bool                           { return false }
func (f *fake) Succeeded(string)                                              {}
func (f *fake) Ended(string)                                                  {}
func (f *fake) Failed(context.Context, string, quarantine.Target)             {}
func (f *fake) HedgeDelay(*modelcalls.Work) time.Duration {
	if f.hedge > 0 {
		return f.hedge
	}
	return time.Hour
}
func (f *fake) Allow(_ *modelcalls.Work, _ modelcalls.Placed, attempts int, _ error) (time.Duration, bool) {
	return 10 * time.Millisecond, attempts < 4
}
func (f *fake) Contents() *catalog.Contents {
	return &catalog.Contents{Models: map[string]releasenote.Model{
		"m": {Name: "m", Version: "1", Priority: releasenote.Standard, Callers: []string{"crew"}}}}
}
func (f *fake) Cancel(_ context.Context, address, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, address)
	return nil
}

func token(i int) string {
	return fmt.Sprintf(`{"choices":[{"delta":{"content":"t%d "}}],"created":%d}`, i, time.Now().UnixNano())
}

func (f *fake) Stream(ctx context.Context, a targetclient.Attempt, onEvent func(targetclient.Event) error) error {
	var n int
	_, _ = fmt.Sscan(a.Address, &n)
	s := f.scripts[n]
	if s.refuse != nil {
		return s.refuse
	}
	f.mu.Lock()
	f.ran++
	f.mu.Unlock()
	time.Sleep(s.first)
	for i := a.Offset; i < min(a.Offset+s.tokens, answerTokens); i++ {
		if s.skip > 0 && i == s.skip {
			continue
		}
		time.Sleep(s.interval)
		if err := onEvent(targetclient.Event{Offset: i, Data: []byte(token(i))}); err != nil {
			return err
		}
	}
	switch {
	case s.hangs:
		// A frozen target does not react to the cancellation either.
		time.Sleep(24 * time.Hour)
		return nil
	case s.breaks:
		return &targetclient.ErrBroken{Cause: errors.New("connection reset")}
	}
	return onEvent(targetclient.Event{Offset: answerTokens - 1, Done: true})
}

// collected records the offsets that a caller receives.
type collected struct{ offsets []int }

func (c *collected) WriteEvent(offset int, _ []byte) error {
	c.offsets = append(c.offsets, offset)
	return nil
}

func run(f *fake, timeout time.Duration) (*api.Result, *collected, time.Duration) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := drain.NewGate()
	server := &modelcalls.Server{
		InForce: f, Gate: gate, Admission: f, Picker: f, Retries: f, Suspects: f, Client: f,
		Recorder: events.NewRecorder(log, "a1", "a", time.Now), RequestTimeout: timeout, Now: time.Now,
	}
	out := &collected{}
	request := &api.ChatRequest{Model: "m", Messages: []api.ChatMessage{{Role: "user", Content: "?"}}}
	started := time.Now()
	result := server.Chat(context.Background(), httpapi.ChatCall{RequestID: "r", Caller: "crew", Request: request}, out)
	return result, out, time.Since(started)
}

// Guards against answers with gaps, duplicates or a missing end, refusals of requests that ran, and waits beyond the
// time-outs, when targets break, stall, refuse or answer late.
func TestAnswersOverSeveralAttempts(t *testing.T) {
	whole := script{tokens: answerTokens, interval: 10 * time.Millisecond}
	overloaded := script{refuse: &targetclient.ErrOverloaded{}}
	for _, test := range []struct {
		name    string
		scripts []script
		hedge   time.Duration
		outcome api.Outcome
		reason  api.Reason
		tokens  int
		atMost  time.Duration
		cancels string
	}{
		{name: "one attempt", scripts: []script{whole}, outcome: api.Answered, tokens: answerTokens, atMost: time.Second},
		{name: "break and resume", scripts: []script{{tokens: 4, breaks: true}, {tokens: 3, breaks: true}, whole}, outcome: api.Answered, tokens: answerTokens, atMost: time.Second},
		{name: "gap in the offsets", scripts: []script{{tokens: 6, skip: 2}, whole}, outcome: api.Answered, tokens: answerTokens, atMost: time.Second},
		{name: "end without a marker", scripts: []script{{tokens: 5}, whole}, outcome: api.Answered, tokens: answerTokens, atMost: time.Second},
		{name: "target stalls after some tokens", scripts: []script{{tokens: 4, hangs: true}, whole}, outcome: api.Answered, tokens: answerTokens, atMost: 7 * time.Second},
		{name: "target stalls before the first token", scripts: []script{{hangs: true}, whole}, outcome: api.Answered, tokens: answerTokens, atMost: 17 * time.Second},
		{name: "first target overloaded", scripts: []script{overloaded, whole}, outcome: api.Answered, tokens: answerTokens, atMost: time.Second},
		{name: "all targets overloaded", scripts: []script{overloaded, overloaded}, outcome: api.Refused, reason: api.ReasonNoTarget, atMost: time.Second},
		{name: "all attempts break", scripts: []script{{breaks: true}, {breaks: true}}, outcome: api.Failed, reason: api.ReasonNoTarget, atMost: time.Second},
		{name: "not connected", scripts: []script{{refuse: &targetclient.ErrNotConnected{Cause: io.EOF}}}, outcome: api.Refused, reason: api.ReasonNoTarget, atMost: time.Second},
		{name: "request rejected by the target", scripts: []script{{refuse: &targetclient.ErrRejected{Status: 400}}}, outcome: api.Refused, reason: api.ReasonMalformedRequest, atMost: time.Second},
		{name: "stall without another target", scripts: []script{{tokens: 3, hangs: true}}, outcome: api.Failed, reason: api.ReasonNoTarget, tokens: 3, atMost: 21 * time.Second},
		{name: "slow first token, hedged", scripts: []script{{first: 10 * time.Second, tokens: answerTokens}, whole}, hedge: 500 * time.Millisecond, outcome: api.Answered, tokens: answerTokens, atMost: time.Second, cancels: "0"},
		{name: "hedge without another target", scripts: []script{{first: 2 * time.Second, tokens: answerTokens}}, hedge: 500 * time.Millisecond, outcome: api.Answered, tokens: answerTokens, atMost: 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{scripts: test.scripts, hedge: test.hedge}
				result, out, took := run(f, 20*time.Second)
				if result.Outcome != test.outcome || result.Reason != test.reason {
					t.Errorf("got %s %s: %s, want %s %s", result.Outcome, result.Reason, result.Message, test.outcome, test.reason)
				}
				for i, offset := range out.offsets {
					if offset != i {
						t.Fatalf("offsets %v are not consecutive from 0", out.offsets)
					}
				}
				if len(out.offsets) != test.tokens || took > test.atMost {
					t.Errorf("got %d tokens in %s, want %d in at most %s", len(out.offsets), took, test.tokens, test.atMost)
				}
				time.Sleep(25 * time.Hour) // lets frozen targets end
				f.mu.Lock()
				defer f.mu.Unlock()
				if result.Outcome == api.Refused && f.ran > 0 {
					t.Error("a request that ran was refused as not run")
				}
				if got := strings.Join(f.cancelled, ","); test.cancels != "" && got != test.cancels {
					t.Errorf("cancelled %q, want %q", got, test.cancels)
				}
			})
		})
	}
}

// Guards against batch work that loses or repeats tokens when it is interrupted and resumed, and against interrupted
// attempts that are not cancelled on their target.
func TestInterruptedWorkGoesOnFromItsOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{
			scripts: []script{{tokens: answerTokens, interval: time.Second}, {tokens: answerTokens, interval: time.Second}}, interrupt: 3500 * time.Millisecond,
		}
		result, out, took := run(f, 10*time.Minute)
		if result.Outcome != api.Answered || len(out.offsets) != answerTokens || took > 75*time.Second {
			t.Errorf("got %+v with offsets %v after %s", result, out.offsets, took)
		}
		time.Sleep(time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		if strings.Join(f.cancelled, ",") != "0" {
			t.Errorf("cancelled %v, want only the interrupted attempt on target 0", f.cancelled)
		}
	})
}

// Guards against refusing a request as not run when its attempt was interrupted, or ended by the deadline, before its
// first token: the target may have run it.
func TestAttemptWithoutTokensMayHaveRun(t *testing.T) {
	silent := script{first: time.Hour, tokens: answerTokens}
	for _, test := range []struct {
		name string
		fake *fake
	}{
		{"interrupted", &fake{scripts: []script{silent}, interrupt: time.Second, resumed: api.Refuse(api.ReasonDeadlineUnreachable, "no slot")}},
		{"deadline before the first token", &fake{scripts: []script{silent}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if result, _, _ := run(test.fake, 2*time.Minute); result.Outcome != api.Failed {
					t.Errorf("got %s %s, want failed: %s", result.Outcome, result.Reason, result.Message)
				}
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// Guards against an instance that accepts work while it shuts down.
func TestClosedGateRefuses(t *testing.T) {
	f := &fake{}
	gate := drain.NewGate()
	gate.Close()
	server := &modelcalls.Server{InForce: f, Gate: gate}
	result := server.Chat(context.Background(), httpapi.ChatCall{}, &collected{})
	if result.Outcome != api.Refused || result.Reason != api.ReasonDraining || result.Repeat != api.RepeatNow {
		t.Errorf("got %+v", result)
	}
}
