package servicecalls

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

const requestTimeout = 10 * time.Second

var errReset = errors.New("connection reset")

// fault returns the delays before and after the commit of a command, and the error of its proposal. With ErrNoQuorum the
// command is not committed.
type fault func(c *callledger.Command) (before, after time.Duration, err error)

// fakeLog is a calls log with one voter.
type fakeLog struct {
	mu      sync.Mutex
	machine *callledger.Machine
	fault   fault
}

func (f *fakeLog) Leads() bool { return true }

func (f *fakeLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	c, err := callledger.DecodeCommand(command)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	before, after, err := f.fault(c)
	f.mu.Unlock()
	time.Sleep(before)
	if errors.Is(err, replica.ErrNoQuorum) {
		return nil, err
	}
	f.mu.Lock()
	result, applyErr := f.machine.Apply(1, command)
	f.mu.Unlock()
	time.Sleep(after)
	if err == nil {
		err = applyErr
	}
	return result, err
}

// heal ends the fault.
func (f *fakeLog) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = faultOn(noCommand, 0, 0, nil)
}

func noCommand(*callledger.Command) bool       { return false }
func isReservation(c *callledger.Command) bool { return c.Reserve != nil }
func isCompletion(c *callledger.Command) bool {
	return c.Complete != nil || c.MarkUncertain != nil || c.Release != nil
}

func faultOn(kind func(*callledger.Command) bool, before, after time.Duration, err error) fault {
	return func(c *callledger.Command) (time.Duration, time.Duration, error) {
		if !kind(c) {
			return 0, 0, nil
		}
		return before, after, err
	}
}

// targetBehaviour is the response of a target to one call.
type targetBehaviour func(context.Context, targetclient.ServiceCall) (answer *targetclient.ServiceAnswer, sent bool, err error)

// fakeTarget implements the policy and the client. It counts calls that run, slots and attempts.
type fakeTarget struct {
	call     targetBehaviour
	noTarget bool
	noSlot   bool

	mu                                sync.Mutex
	ran                               map[string]int
	acquired, released, picked, ended int
	blamed                            int // attempts that ended with an error of the target
}

func (f *fakeTarget) Contents() *catalog.ActiveConfig {
	return &catalog.ActiveConfig{Services: map[string]releasenote.Service{"haul-desk": {
		Name: "haul-desk", Priority: releasenote.Standard, Callers: []string{"crew"}, NonIdempotent: []string{http.MethodPost}}}}
}

type slot struct{ f *fakeTarget }

func (p slot) Interrupted() <-chan struct{}       { return nil }
func (p slot) Resume(context.Context) *api.Result { return nil }
func (p slot) Release(int, bool) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.f.released++
}

func (f *fakeTarget) Acquire(context.Context, *modelcalls.Work) (modelcalls.Permit, *api.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noSlot {
		return nil, api.RefuseWithRetry(api.ReasonNoCapacity, time.Second, "full")
	}
	f.acquired++
	return slot{f}, nil
}

func (f *fakeTarget) PickService(_ *modelcalls.Work, avoided func(string) bool) (modelcalls.PickedTarget, func(modelcalls.Result), *api.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	excluded := 0
	for avoided(modelcalls.TargetID(fmt.Sprint("t", excluded), 0)) {
		excluded++
	}
	name := fmt.Sprint("t", excluded)
	if f.noTarget || excluded == 2 {
		return modelcalls.PickedTarget{}, nil, api.RefuseWithRetry(api.ReasonNoTarget, time.Second, "no target")
	}
	f.picked++
	return modelcalls.PickedTarget{Target: name, Address: name}, func(r modelcalls.Result) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ended++
		if r.Err != nil {
			f.blamed++
		}
	}, nil
}
func (f *fakeTarget) RecordFirstAttempt(*modelcalls.Work, modelcalls.PickedTarget) {}
func (f *fakeTarget) Allow(_ *modelcalls.Work, _ modelcalls.PickedTarget, attempts int, _ error) (time.Duration, bool) {
	return 10 * time.Millisecond, attempts < 3
}

func (f *fakeTarget) CallService(ctx context.Context, call targetclient.ServiceCall) (*targetclient.ServiceAnswer, bool, error) {
	answer, sent, err := f.call(ctx, call)
	if sent && (err != nil || answer.Status != http.StatusTooManyRequests) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ran[string(call.Body)]++
	}
	return answer, sent, err
}

func answers(size int, after time.Duration) targetBehaviour {
	return func(ctx context.Context, _ targetclient.ServiceCall) (*targetclient.ServiceAnswer, bool, error) {
		select {
		case <-time.After(after):
			return &targetclient.ServiceAnswer{Status: http.StatusCreated, Body: bytes.Repeat([]byte("x"), size)}, true, nil
		case <-ctx.Done():
			return nil, true, errors.Wrap(ctx.Err(), "service call")
		}
	}
}

func fails(sent bool, err error) targetBehaviour {
	return func(context.Context, targetclient.ServiceCall) (*targetclient.ServiceAnswer, bool, error) {
		time.Sleep(time.Millisecond)
		return nil, sent, errors.Wrap(err, "service call")
	}
}

// neverConnects gets no connection until the deadline.
func neverConnects(ctx context.Context, _ targetclient.ServiceCall) (*targetclient.ServiceAnswer, bool, error) {
	<-ctx.Done()
	return nil, false, errors.Wrap(ctx.Err(), "service call")
}

func overloaded(context.Context, targetclient.ServiceCall) (*targetclient.ServiceAnswer, bool, error) {
	return &targetclient.ServiceAnswer{Status: http.StatusTooManyRequests}, true, nil
}

// testServer is a server with a fake log and a fake target.
type testServer struct {
	*Server
	log    *fakeLog
	target *fakeTarget
	stop   func()
}

func newTestServer(t *testing.T, commitFault fault, f *fakeTarget) *testServer {
	t.Helper()
	log := &fakeLog{machine: callledger.New(), fault: commitFault}
	if commitFault == nil {
		log.heal()
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	recorder := events.NewRecorder(quiet, "a1", "a", time.Now)
	f.ran = make(map[string]int)
	ledger, err := NewLedger(log, "a1", 1, recorder, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { ledger.Serve(ctx) })
	return &testServer{log: log, target: f, stop: func() { cancel(); wg.Wait() }, Server: &Server{
		Config: f, Gate: drain.NewGate(), Policy: f, Client: f, Ledger: ledger, Recorder: recorder, RequestTimeout: requestTimeout, Now: time.Now}}
}

func (b *testServer) post(ctx context.Context, timeout time.Duration) (*httpapi.ServiceAnswer, *api.Result) {
	return b.CallService(ctx, httpapi.ServiceCall{RequestID: "r", Caller: "crew", Service: "haul-desk", Timeout: timeout, IdempotencyKey: "k",
		Call: targetclient.ServiceCall{Method: http.MethodPost, PathAndQuery: "/book", Body: []byte("load 7")}})
}

// shutDownAndCheck shuts the server down and checks that every slot and gate entry was released exactly once.
func (b *testServer) shutDownAndCheck(t *testing.T) {
	t.Helper()
	b.log.heal()
	b.Gate.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute) // a leak must fail, not wait forever
	defer cancel()
	if err := b.Gate.Wait(ctx); err != nil {
		t.Error(err)
	}
	f := b.target
	f.mu.Lock()
	if f.acquired != f.released || f.picked != f.ended {
		t.Errorf("%d of %d slots released, %d of %d attempts ended", f.released, f.acquired, f.ended, f.picked)
	}
	if f.ran["load 7"] > 1 {
		t.Errorf("the call ran %d times, want at most once", f.ran["load 7"])
	}
	f.mu.Unlock()
	time.Sleep(time.Minute) // longer than all repetitions of background commands
	if b.Ledger.Pending() != 0 || len(b.Ledger.running) != 0 || b.Gate.Active() != 0 {
		t.Errorf("after the shutdown %d calls are pending, %d running and %d in the gate, want none", b.Ledger.Pending(), len(b.Ledger.running), b.Gate.Active())
	}
	b.stop()
}

type expectation struct {
	outcome api.Outcome
	reason  api.Reason
}

// Guards against calls that run twice, refusals of calls that ran, lost answers, and slots or gate entries that leak or
// are released twice, when the log is slow or fails, the target fails or the caller leaves. Each call is repeated with its
// idempotency key.
func TestNonIdempotentCallsRunAtMostOnce(t *testing.T) {
	answered := expectation{outcome: api.Answered}
	inProgress := expectation{api.Unknown, api.ReasonInProgress}
	mayHaveRun := expectation{api.Failed, api.ReasonMayHaveRun}
	noQuorum := expectation{api.Refused, api.ReasonNoQuorum}
	noTarget := expectation{api.Refused, api.ReasonNoTarget}
	for _, test := range []struct {
		name     string
		fault    fault
		call     targetBehaviour
		noTarget bool
		// callerLeaves is the time after which the caller gives up, or 0 for never.
		callerLeaves time.Duration
		timeout      time.Duration
		first        expectation
		// repeatAfter is the time until the repeat, at which the log has no fault.
		repeatAfter time.Duration
		repeat      expectation
		ran         int
		// runsOnRepeat says that the call must not run before the repeat.
		runsOnRepeat bool
	}{
		{name: "answered", call: answers(10, time.Second), first: answered, repeat: answered, ran: 1},
		{name: "caller leaves before the dispatch", fault: faultOn(isReservation, 0, 2*time.Second, nil), call: answers(10, 0), callerLeaves: time.Second,
			first: inProgress, repeatAfter: 5 * time.Second, repeat: answered, ran: 1, runsOnRepeat: true},
		{name: "caller leaves after the dispatch", call: answers(10, 2*time.Second), callerLeaves: time.Second, first: inProgress,
			repeatAfter: 5 * time.Second, repeat: answered, ran: 1},
		{name: "repeat while in progress", call: answers(10, 5*time.Second), callerLeaves: time.Second, first: inProgress, repeat: inProgress, ran: 1},
		{name: "deadline before the reservation", fault: faultOn(isReservation, 3*time.Second, 0, nil), call: answers(10, 0), timeout: 1050 * time.Millisecond,
			first: inProgress, repeatAfter: 10 * time.Second, repeat: answered, ran: 1, runsOnRepeat: true},
		{name: "no quorum for the reservation", fault: faultOn(isReservation, 0, 0, replica.ErrNoQuorum), call: answers(10, 0), first: noQuorum,
			repeat: answered, ran: 1, runsOnRepeat: true},
		{name: "unknown result of a committed reservation", fault: faultOn(isReservation, 0, 0, replica.ErrUnknownResult), call: answers(10, 0),
			first: noQuorum, repeatAfter: time.Minute, repeat: answered, ran: 1, runsOnRepeat: true},
		{name: "no quorum for the answer", fault: faultOn(isCompletion, 0, 0, replica.ErrNoQuorum), call: answers(10, 0), first: answered,
			repeatAfter: time.Minute, repeat: answered, ran: 1},
		{name: "unknown result of the answer", fault: faultOn(isCompletion, 0, 0, replica.ErrUnknownResult), call: answers(10, 0), first: answered,
			repeatAfter: time.Minute, repeat: answered, ran: 1},
		{name: "slow commit of the answer", fault: faultOn(isCompletion, 20*time.Second, 0, nil), call: answers(10, 0), first: answered,
			repeatAfter: time.Minute, repeat: answered, ran: 1},
		{name: "target refuses", call: overloaded, first: noTarget, repeatAfter: time.Second, repeat: noTarget},
		{name: "no connection", call: fails(false, errReset), first: noTarget, repeatAfter: time.Second, repeat: noTarget},
		{name: "no target", noTarget: true, first: noTarget, repeatAfter: time.Second, repeat: noTarget},
		{name: "broken after the request was written", call: fails(true, errReset), first: expectation{api.Failed, api.ReasonTargetFailed},
			repeat: mayHaveRun, ran: 1},
		{name: "attempt times out after the caller", fault: faultOn(isReservation, 10*time.Millisecond, 0, nil), call: answers(10, time.Hour), first: inProgress,
			repeatAfter: 5 * time.Second, repeat: mayHaveRun, ran: 1},
		{name: "attempt times out before the caller", call: fails(true, context.DeadlineExceeded), first: expectation{api.Failed, api.ReasonTimeout}, repeat: mayHaveRun, ran: 1},
		{name: "answer too large for the record", call: answers(callledger.MaxAnswerBytes+1, 0), first: answered, repeat: mayHaveRun, ran: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestServer(t, test.fault, &fakeTarget{call: test.call, noTarget: test.noTarget})
				ctx, cancel := context.WithCancel(t.Context())
				if test.callerLeaves > 0 {
					ctx, cancel = context.WithTimeout(t.Context(), test.callerLeaves)
				}
				defer cancel()
				started := time.Now()
				answer, result := b.post(ctx, test.timeout)
				if got := (expectation{result.Outcome, result.Reason}); got != test.first {
					t.Errorf("first: %+v, want %+v", got, test.first)
				}
				if took := time.Since(started); took > requestTimeout {
					t.Errorf("the caller waited %v, longer than the request timeout", took)
				}
				if test.first == answered && (answer == nil || answer.Replayed || answer.Status != http.StatusCreated) {
					t.Errorf("first: answer %+v, want a new one with status 201", answer)
				}
				b.log.heal()
				time.Sleep(test.repeatAfter)
				if test.runsOnRepeat && b.target.ran["load 7"] != 0 {
					t.Error("the call ran before the repeat")
				}
				answer, result = b.post(t.Context(), 0)
				if got := (expectation{result.Outcome, result.Reason}); got != test.repeat {
					t.Errorf("repeat: %+v, want %+v", got, test.repeat)
				}
				if test.first == answered && test.repeat == answered && (answer == nil || !answer.Replayed) {
					t.Errorf("repeat: answer %+v is not the recorded one", answer)
				}
				b.shutDownAndCheck(t)
				if b.target.ran["load 7"] != test.ran {
					t.Errorf("the call ran %d times, want %d", b.target.ran["load 7"], test.ran)
				}
			})
		})
	}
}

// Guards against two dispatches when many calls with the same key arrive at the same time.
func TestConcurrentCallsWithOneKeyRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestServer(t, faultOn(isReservation, time.Second, time.Second, nil), &fakeTarget{call: answers(10, time.Second)})
		var wg sync.WaitGroup
		var mu sync.Mutex
		outcomes := make(map[api.Outcome]int)
		for range 20 {
			wg.Go(func() {
				_, result := b.post(t.Context(), 0)
				mu.Lock()
				defer mu.Unlock()
				outcomes[result.Outcome]++
			})
		}
		wg.Wait()
		if outcomes[api.Answered] != 1 || outcomes[api.Unknown] != 19 || b.target.ran["load 7"] != 1 {
			t.Errorf("outcomes %v and %d runs, want 1 answered, 19 unknown and 1 run", outcomes, b.target.ran["load 7"])
		}
		b.shutDownAndCheck(t)
	})
}

// Guards against a shutdown that ends while an abandoned call still runs on its target.
func TestShutdownWaitsForAbandonedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestServer(t, nil, &fakeTarget{call: answers(10, 8*time.Second)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		b.post(ctx, 0)
		b.Gate.Close()
		if err := b.Gate.Wait(t.Context()); err != nil || time.Since(started) != 8*time.Second || b.Ledger.Pending() != 0 {
			t.Errorf("the shutdown waited %v, want 8s: error %v, %d calls pending", time.Since(started), err, b.Ledger.Pending())
		}
		if _, result := b.post(t.Context(), 0); result.Reason != api.ReasonDraining {
			t.Errorf("a call after the shutdown got %+v, want draining", result)
		}
		b.shutDownAndCheck(t)
	})
}

// Guards against idempotent calls that are refused although an attempt may have run, and against leaked slots.
func TestIdempotentCallsAreRefusedOnlyIfNotRun(t *testing.T) {
	for _, test := range []struct {
		name string
		call targetBehaviour
		want expectation
	}{
		{"answered", answers(10, 0), expectation{outcome: api.Answered}},
		{"no connection", fails(false, errReset), expectation{api.Refused, api.ReasonNoTarget}},
		{"overloaded", overloaded, expectation{api.Refused, api.ReasonNoTarget}},
		{"connection broken after sending", fails(true, errReset), expectation{api.Failed, api.ReasonTargetFailed}},
		{"answer after the deadline", answers(10, time.Hour), expectation{api.Failed, api.ReasonTimeout}},
		{"no connection until the deadline", neverConnects, expectation{api.Refused, api.ReasonDeadlineUnreachable}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestServer(t, nil, &fakeTarget{call: test.call})
				_, result := b.CallService(t.Context(), httpapi.ServiceCall{Caller: "crew", Service: "haul-desk",
					Call: targetclient.ServiceCall{Method: http.MethodGet}})
				if got := (expectation{result.Outcome, result.Reason}); got != test.want {
					t.Errorf("got %+v, want %+v", got, test.want)
				}
				b.shutDownAndCheck(t)
			})
		})
	}
}

// Guards against refusals that leak a gate entry or a slot: a shutdown would wait for them forever.
func TestRefusalsReleaseGateAndSlot(t *testing.T) {
	for name, test := range map[string]struct {
		key    string
		noSlot bool
		reason api.Reason
	}{
		"no key":       {"", false, api.ReasonMalformedRequest},
		"key too long": {strings.Repeat("k", 300), false, api.ReasonMalformedRequest},
		"no slot":      {"k", true, api.ReasonNoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestServer(t, nil, &fakeTarget{call: answers(10, 0), noSlot: test.noSlot})
				_, result := b.CallService(t.Context(), httpapi.ServiceCall{Caller: "crew", Service: "haul-desk", IdempotencyKey: test.key,
					Call: targetclient.ServiceCall{Method: http.MethodPost}})
				if result.Outcome != api.Refused || result.Reason != test.reason {
					t.Errorf("got %+v", result)
				}
				b.shutDownAndCheck(t)
			})
		})
	}
}

// Guards against targets that are blamed, and idempotent calls that are repeated, because the client of a call gets no room for its
// answer, and against a refusal of a call that has run.
func TestTargetIsNotBlamedForAnswerWithoutRoom(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeTarget{call: fails(true, intake.ErrFull)}
			b := newTestServer(t, nil, f)
			_, result := b.CallService(t.Context(), httpapi.ServiceCall{Caller: "crew", Service: "haul-desk", IdempotencyKey: "k",
				Call: targetclient.ServiceCall{Method: method, Body: []byte("load 7")}})
			b.shutDownAndCheck(t)
			b.stop()
			if f.blamed != 0 || f.ran["load 7"] != 1 || result.Outcome != api.Failed {
				t.Errorf("%s: %d targets are blamed, %d runs, outcome %s (%s)", method, f.blamed, f.ran["load 7"], result.Outcome, result.Reason)
			}
		})
	}
}

// Guards against the answer of a call that runs at most once being lost, so that a repeat never gets it, because the caller left before
// the answer was read and its request had ended.
func TestAnswerIsRecordedAfterTheCallerHasLeft(t *testing.T) {
	started, answerNow := make(chan struct{}), make(chan struct{})
	f := &fakeTarget{call: func(ctx context.Context, _ targetclient.ServiceCall) (*targetclient.ServiceAnswer, bool, error) {
		close(started)
		<-answerNow
		body, err := intake.ReadAll(ctx, strings.NewReader(strings.Repeat("x", 20_000)), -1, targetclient.MaxServiceAnswerBytes)
		if err != nil {
			return nil, true, err
		}
		return &targetclient.ServiceAnswer{Status: http.StatusCreated, Body: body}, true, nil
	}}
	b := newTestServer(t, nil, f)
	defer b.stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { b.post(r.Context(), 0) }),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				close(closed)
			}
		},
	}
	defer func() { _ = server.Close() }()
	go func() { _ = intake.New(intake.Options{MemoryMB: 64}).Serve(server, listener) }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-started
	_ = caller.Close()
	<-closed
	close(answerNow)
	var result *api.Result
	for range 1000 {
		if _, result = b.post(t.Context(), 0); result.Outcome != api.Unknown {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if result.Outcome != api.Answered {
		t.Errorf("repeat: %s (%s), want the recorded answer", result.Outcome, result.Reason)
	}
}
