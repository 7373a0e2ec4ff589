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

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
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

// targetScript is the behaviour of a fake target in one attempt.
type targetScript struct {
	// refusal is returned without running the attempt.
	refusal error
	// software is the software version of the target.
	software string
	// tokens are sent at the given interval from the resume offset on; then the attempt ends, breaks or hangs.
	tokens          int
	interval        time.Duration
	firstTokenDelay time.Duration
	breaks          bool
	hangs           bool
	// skippedOffset is an offset that is left out, or 0 for none.
	skippedOffset int
}

const answerTokens = 10

// stub implements the policies and the target client. Each pick returns a new target that follows the next script.
type stub struct {
	scripts []targetScript
	hedge   time.Duration
	// interrupt is the time after which the request loses its slot for one minute, or 0 for never.
	interrupt time.Duration
	// resumeRefusal is the refusal that Resume returns, or nil.
	resumeRefusal *api.Result

	mu        sync.Mutex
	picked    int
	cancelled []string
	ran       int
}

func (f *stub) Acquire(context.Context, *modelcalls.Work) (modelcalls.Permit, *api.Result) {
	interrupted := make(chan struct{})
	if f.interrupt > 0 {
		time.AfterFunc(f.interrupt, func() { close(interrupted) })
	}
	return &slot{interrupted: interrupted, refusal: f.resumeRefusal}, nil
}

// slot is interrupted once; its Resume takes one minute.
type slot struct {
	interrupted chan struct{}
	refusal     *api.Result
}

func (p *slot) Interrupted() <-chan struct{} { return p.interrupted }
func (p *slot) Resume(context.Context) *api.Result {
	p.interrupted = nil
	time.Sleep(time.Minute)
	return p.refusal
}
func (p *slot) Release(int, bool) {}
func (f *stub) Pick(*modelcalls.Work, func(string) bool) (modelcalls.PickedTarget, func(modelcalls.Result), *api.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.picked == len(f.scripts) {
		return modelcalls.PickedTarget{}, nil, api.RefuseWithRetry(api.ReasonNoTarget, time.Second, "no target")
	}
	name := fmt.Sprint(f.picked)
	f.picked++
	return modelcalls.PickedTarget{Target: name, Address: name}, func(modelcalls.Result) {}, nil
}
func (f *stub) Expected(*modelcalls.Work) time.Duration                                { return time.Second }
func (f *stub) ReportOverdue(*modelcalls.Work, modelcalls.PickedTarget, time.Duration) {}
func (f *stub) Hedge(*modelcalls.Work, modelcalls.PickedTarget, time.Duration) bool {
	return f.hedge > 0
}
func (f *stub) RecordFirstAttempt(*modelcalls.Work, modelcalls.PickedTarget)      {}
func (f *stub) Verdict(quarantine.Fingerprint, []crashes.Suspect) *api.Result     { return nil }
func (f *stub) MayRepeat([]crashes.Suspect) bool                                  { return true }
func (f *stub) Answering(string)                                                  {}
func (f *stub) Begin(context.Context, quarantine.Attempt, []crashes.Suspect) bool { return true }
func (f *stub) IsSuspect(quarantine.Fingerprint) bool                             { return false }
func (f *stub) Succeeded(string)                                                  {}
func (f *stub) RemoveAttempt(string)                                              {}
func (f *stub) Failed(context.Context, string, quarantine.Target)                 {}
func (f *stub) HedgeDelay(*modelcalls.Work) time.Duration {
	if f.hedge > 0 {
		return f.hedge
	}
	return time.Hour
}
func (f *stub) Allow(_ *modelcalls.Work, _ modelcalls.PickedTarget, attempts int, _ error) (time.Duration, bool) {
	return 10 * time.Millisecond, attempts < 4
}
func (f *stub) Contents() *catalog.ActiveConfig {
	return &catalog.ActiveConfig{Models: map[string]releasenote.Model{
		"m": {Name: "m", Version: "1", Priority: releasenote.Standard, Callers: []string{"crew"}}}}
}
func (f *stub) Cancel(_ context.Context, address, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, address)
	return nil
}

func token(i int) string {
	return fmt.Sprintf(`{"choices":[{"delta":{"content":"t%d "}}],"created":%d}`, i, time.Now().UnixNano())
}

func (f *stub) Stream(ctx context.Context, a targetclient.Attempt, onEvent func(targetclient.Event) error) error {
	var n int
	_, _ = fmt.Sscan(a.Address, &n)
	s := f.scripts[n]
	if s.refusal != nil {
		return s.refusal
	}
	if a.Offset > 0 && a.SoftwareVersion != s.software {
		return &targetclient.OtherVersionError{Want: a.SoftwareVersion, Got: s.software}
	}
	f.mu.Lock()
	f.ran++
	f.mu.Unlock()
	time.Sleep(s.firstTokenDelay)
	for i := a.Offset; i < min(a.Offset+s.tokens, answerTokens); i++ {
		if s.skippedOffset > 0 && i == s.skippedOffset {
			continue
		}
		time.Sleep(s.interval)
		if err := onEvent(targetclient.Event{Offset: i, Data: []byte(token(i)), SoftwareVersion: s.software}); err != nil {
			return err
		}
	}
	switch {
	case s.hangs:
		// A frozen target does not react to the cancellation either.
		time.Sleep(24 * time.Hour)
		return nil
	case s.breaks:
		return &targetclient.IncompleteError{Cause: errors.New("connection reset")}
	}
	return onEvent(targetclient.Event{Offset: answerTokens - 1, Done: true})
}

// collectedOffsets records the offsets that a caller receives.
type collectedOffsets struct {
	offsets []int
	// begun are the software versions with which the answer began.
	begun []string
}

func (c *collectedOffsets) Begin(softwareVersion string) { c.begun = append(c.begun, softwareVersion) }

func (c *collectedOffsets) WriteEvent(offset int, _ []byte) error {
	c.offsets = append(c.offsets, offset)
	return nil
}

func run(f *stub, timeout time.Duration) (*api.Result, *collectedOffsets, time.Duration) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := drain.NewGate()
	server := &modelcalls.Server{
		Config: f, Gate: gate, Admission: f, Picker: f, Retries: f, Suspects: f, Client: f,
		Recorder: events.NewRecorder(log, "a1", "a", time.Now), RequestTimeout: timeout, Now: time.Now,
	}
	out := &collectedOffsets{}
	request := &api.ChatRequest{Model: "m", Messages: []api.ChatMessage{{Role: "user", Content: "?"}}}
	started := time.Now()
	result := server.Chat(context.Background(), httpapi.ChatCall{RequestID: "r", Caller: "crew", Request: request}, out)
	return result, out, time.Since(started)
}

// Guards against answers with gaps, duplicates or a missing end, refusals of requests that ran, and waits beyond the
// time-outs, when targets break, stall, refuse or answer late.
func TestAnswersOverSeveralAttempts(t *testing.T) {
	complete := targetScript{tokens: answerTokens, interval: 10 * time.Millisecond}
	overloaded := targetScript{refusal: &targetclient.OverloadedError{}}
	for _, test := range []struct {
		name        string
		scripts     []targetScript
		hedge       time.Duration
		outcome     api.Outcome
		reason      api.Reason
		tokens      int
		maxDuration time.Duration
		cancels     string
	}{
		{name: "one attempt", scripts: []targetScript{complete}, outcome: api.Answered, tokens: answerTokens, maxDuration: time.Second},
		{name: "break and resume", scripts: []targetScript{{tokens: 4, breaks: true}, {tokens: 3, breaks: true}, complete}, outcome: api.Answered, tokens: answerTokens, maxDuration: time.Second},
		{name: "gap in the offsets", scripts: []targetScript{{tokens: 6, skippedOffset: 2}, complete}, outcome: api.Answered, tokens: answerTokens, maxDuration: time.Second},
		{name: "end without a marker", scripts: []targetScript{{tokens: 5}, complete}, outcome: api.Answered, tokens: answerTokens, maxDuration: time.Second},
		{name: "target stalls after some tokens", scripts: []targetScript{{tokens: 4, hangs: true}, complete}, outcome: api.Answered, tokens: answerTokens, maxDuration: 7 * time.Second},
		{name: "target stalls before the first token", scripts: []targetScript{{hangs: true}, complete}, outcome: api.Answered, tokens: answerTokens, maxDuration: 17 * time.Second},
		{name: "break and resume at the same software version", scripts: []targetScript{{software: "v1", tokens: 4, breaks: true}, {software: "v2", tokens: answerTokens}, {software: "v1", tokens: answerTokens}}, outcome: api.Answered, tokens: answerTokens, maxDuration: time.Second},
		{name: "break, only another software version", scripts: []targetScript{{software: "v1", tokens: 4, breaks: true}, {software: "v2", tokens: answerTokens}}, outcome: api.Failed, reason: api.ReasonNoTarget, tokens: 4, maxDuration: 21 * time.Second},
		{name: "break before the first token, another software version", scripts: []targetScript{{software: "v1", breaks: true}, {software: "v2", tokens: answerTokens}}, outcome: api.Answered, tokens: answerTokens, maxDuration: time.Second},
		{name: "first target overloaded", scripts: []targetScript{overloaded, complete}, outcome: api.Answered, tokens: answerTokens, maxDuration: time.Second},
		{name: "refusal that may be an earlier one", scripts: []targetScript{{refusal: &targetclient.UnprovenError{Cause: &targetclient.OverloadedError{}}}}, outcome: api.Failed, reason: api.ReasonNoTarget, maxDuration: time.Second},
		{name: "all targets overloaded", scripts: []targetScript{overloaded, overloaded}, outcome: api.Refused, reason: api.ReasonNoTarget, maxDuration: time.Second},
		{name: "all attempts break", scripts: []targetScript{{breaks: true}, {breaks: true}}, outcome: api.Failed, reason: api.ReasonNoTarget, maxDuration: time.Second},
		{name: "not connected", scripts: []targetScript{{refusal: &targetclient.ConnectError{Cause: io.EOF}}}, outcome: api.Refused, reason: api.ReasonNoTarget, maxDuration: time.Second},
		{name: "request rejected by the target", scripts: []targetScript{{refusal: &targetclient.RejectedError{Status: 400}}}, outcome: api.Refused, reason: api.ReasonMalformedRequest, maxDuration: time.Second},
		{name: "stall without another target", scripts: []targetScript{{tokens: 3, hangs: true}}, outcome: api.Failed, reason: api.ReasonNoTarget, tokens: 3, maxDuration: 21 * time.Second},
		{name: "slow first token, hedged", scripts: []targetScript{{firstTokenDelay: 10 * time.Second, tokens: answerTokens}, complete}, hedge: 500 * time.Millisecond, outcome: api.Answered, tokens: answerTokens, maxDuration: time.Second, cancels: "0"},
		{name: "hedge without another target", scripts: []targetScript{{firstTokenDelay: 2 * time.Second, tokens: answerTokens}}, hedge: 500 * time.Millisecond, outcome: api.Answered, tokens: answerTokens, maxDuration: 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &stub{scripts: test.scripts, hedge: test.hedge}
				result, out, took := run(f, 20*time.Second)
				if result.Outcome != test.outcome || result.Reason != test.reason {
					t.Errorf("got %s %s: %s, want %s %s", result.Outcome, result.Reason, result.Message, test.outcome, test.reason)
				}
				for i, offset := range out.offsets {
					if offset != i {
						t.Fatalf("offsets %v are not consecutive from 0", out.offsets)
					}
				}
				if want := min(test.tokens, 1); len(out.begun) != want {
					t.Errorf("the answer began %d times, want %d", len(out.begun), want)
				}
				if len(out.offsets) != test.tokens || took > test.maxDuration {
					t.Errorf("got %d tokens in %s, want %d in at most %s", len(out.offsets), took, test.tokens, test.maxDuration)
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
func TestInterruptedAnswerResumesAtItsOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &stub{
			scripts: []targetScript{{tokens: answerTokens, interval: time.Second}, {tokens: answerTokens, interval: time.Second}}, interrupt: 3500 * time.Millisecond,
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
	silent := targetScript{firstTokenDelay: time.Hour, tokens: answerTokens}
	for _, test := range []struct {
		name string
		stub *stub
	}{
		{"interrupted", &stub{scripts: []targetScript{silent}, interrupt: time.Second, resumeRefusal: api.Refuse(api.ReasonDeadlineUnreachable, "no slot")}},
		{"deadline before the first token", &stub{scripts: []targetScript{silent}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if result, _, _ := run(test.stub, 2*time.Minute); result.Outcome != api.Failed {
					t.Errorf("got %s %s, want failed: %s", result.Outcome, result.Reason, result.Message)
				}
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// Guards against an instance that accepts work while it shuts down.
func TestClosedGateRefusesCalls(t *testing.T) {
	f := &stub{}
	gate := drain.NewGate()
	gate.Close()
	server := &modelcalls.Server{Config: f, Gate: gate}
	result := server.Chat(context.Background(), httpapi.ChatCall{}, &collectedOffsets{})
	if result.Outcome != api.Refused || result.Reason != api.ReasonDraining || result.Retry != api.RetryNow {
		t.Errorf("got %+v", result)
	}
}
