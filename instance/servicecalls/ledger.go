package servicecalls

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/calls"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// tickInterval is the interval of dispatcher ticks, which repeat background commands.
const tickInterval = 100 * time.Millisecond

// expireInterval is how often the leader advances the time of the ledger, so that old records expire.
const expireInterval = time.Minute

// Log proposes commands to the replicated log of the call ledger.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Leads reports whether this instance is the leader of the log.
	Leads() bool
}

// FinalResult is the final result of a call for its caller.
type FinalResult struct {
	Result   *api.Result
	Answer   *targetclient.ServiceAnswer
	Replayed bool
}

// Dispatch sends an attempt once. If it returns an error, sent says whether any byte was sent.
type Dispatch func(attempt string) (answer *targetclient.ServiceAnswer, sent bool, err error)

// Ledger runs non-idempotent calls: it proposes the commands of the dispatcher to the log, sends the attempts and returns
// the results to the callers.
type Ledger struct {
	log      Log
	recorder *events.Recorder
	now      func() time.Time

	mu         sync.Mutex
	dispatcher *calls.Dispatcher
	running    map[string]*runningCall
	// ctx is the context of proposals, which outlive the requests of the callers.
	ctx context.Context
}

// runningCall is a call whose final result has not been returned yet.
type runningCall struct {
	dispatch   Dispatch
	result     chan FinalResult
	onFinished func()
	// answer is the complete answer, which may be larger than what the ledger records.
	answer *targetclient.ServiceAnswer
}

// NewLedger returns a ledger for this incarnation of the instance. Serve must be running while calls run.
func NewLedger(log Log, instance string, incarnation uint64, recorder *events.Recorder, now func() time.Time) (*Ledger, error) {
	dispatcher, actions, err := calls.New(now(), calls.Options{Instance: instance, Incarnation: incarnation})
	if err != nil {
		return nil, errors.Wrap(err, "create the call dispatcher")
	}
	l := &Ledger{log: log, recorder: recorder, now: now, dispatcher: dispatcher, running: make(map[string]*runningCall), ctx: context.Background()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perform(actions)
	return l, nil
}

// Serve repeats background commands and, on the leader, expires old records until ctx ends.
func (l *Ledger) Serve(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.step(func() (calls.Actions, error) { return l.dispatcher.Tick(l.now()) })
		case <-expire.C:
			if l.log.Leads() {
				go l.expire(ctx)
			}
		}
	}
}

// expire advances the time of the ledger. If it fails, it is repeated after expireInterval.
func (l *Ledger) expire(ctx context.Context) {
	command, err := (&callledger.Command{AtMs: l.now().UnixMilli(), Expire: &callledger.Expire{}}).Encode()
	if err == nil {
		_, err = l.log.Propose(ctx, command)
	}
	if err != nil {
		l.recorder.Record(events.InternalError, events.Fields{"task": "expire calls", "error": err.Error()})
	}
}

// Pending counts the calls whose outcome is not recorded yet.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.Pending()
}

// Run runs one call and returns its final result. If ctx ends first, the call continues and the result says that it is
// in progress. OnFinished is called when the final result is known.
func (l *Ledger) Run(ctx context.Context, call *httpapi.ServiceCall, deadline time.Time, dispatch Dispatch, onFinished func()) FinalResult {
	r := &runningCall{dispatch: dispatch, result: make(chan FinalResult, 1), onFinished: onFinished}
	l.mu.Lock()
	attempt, actions, refusal := l.dispatcher.Begin(l.now(), calls.Call{
		Key:      callledger.CallKey{Caller: call.Caller, Service: call.Service, Key: call.IdempotencyKey},
		Digest:   callledger.Digest(call.Call.Method, call.Call.PathAndQuery, call.Call.Body),
		Deadline: deadline,
	})
	if refusal != nil {
		l.mu.Unlock()
		onFinished()
		return FinalResult{Result: refusal}
	}
	l.running[attempt] = r
	l.perform(actions)
	l.mu.Unlock()
	select {
	case final := <-r.result:
		return final
	case <-ctx.Done():
		return l.detachCaller(attempt, r)
	}
}

// detachCaller returns the result for a caller whose context has ended.
func (l *Ledger) detachCaller(attempt string, r *runningCall) FinalResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case final := <-r.result:
		return final
	default:
	}
	l.dispatcher.Cancel(attempt)
	return FinalResult{Result: &api.Result{
		Outcome: api.Unknown, Reason: api.ReasonInProgress, Retry: api.RetryAfter, RetryAfter: time.Second,
		Message: "the call is in progress; repeat it with the same key to learn its outcome",
	}}
}

// step runs one step of the dispatcher and carries out its actions.
func (l *Ledger) step(f func() (calls.Actions, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	actions, err := f()
	if err != nil {
		l.recorder.Record(events.InternalError, events.Fields{"task": "call ledger", "error": err.Error()})
	}
	l.perform(actions)
}

// perform carries out the actions of the dispatcher. The lock must be held.
func (l *Ledger) perform(actions calls.Actions) {
	for _, p := range actions.Proposals {
		go l.propose(p)
	}
	for _, attempt := range actions.DispatchAttempts {
		if r, ok := l.running[attempt]; ok {
			go l.dispatch(attempt, r)
		}
	}
	for _, t := range actions.Results {
		l.deliver(t)
	}
}

func (l *Ledger) propose(p calls.Proposal) {
	result, err := l.log.Propose(l.ctx, p.Command)
	outcome := calls.ProposalUnknown
	var command *replica.CommandError
	switch {
	case err == nil:
		outcome = calls.Committed
	case errors.Is(err, replica.ErrNoQuorum), errors.As(err, &command):
		// A command that the ledger could not decode changed no state.
		outcome = calls.NotCommitted
	}
	l.step(func() (calls.Actions, error) { return l.dispatcher.ProposalDone(l.now(), p.ID, outcome, result) })
}

func (l *Ledger) dispatch(attempt string, r *runningCall) {
	l.recorder.Record(events.CallReserved, events.Fields{"attempt": attempt})
	answer, sent, err := r.dispatch(attempt)
	outcome, recorded := calls.AnswerReceived, (*callledger.Answer)(nil)
	switch {
	case err != nil && !sent:
		outcome = calls.NothingWritten
	case err != nil:
		outcome = calls.WrittenNoAnswer
		if errors.Is(err, context.DeadlineExceeded) {
			outcome = calls.TimedOut
		}
		l.recorder.Record(events.CallUncertain, events.Fields{"attempt": attempt, "error": err.Error()})
	case answer.Status == http.StatusTooManyRequests:
		// The target protocol requires that a target sends this status only for a call that it did not run.
		outcome = calls.NothingWritten
	default:
		recorded = &callledger.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	}
	l.step(func() (calls.Actions, error) {
		r.answer = answer
		actions, err := l.dispatcher.AttemptDone(l.now(), attempt, outcome, recorded)
		return actions, err
	})
}

// deliver returns the final result to the caller.
func (l *Ledger) deliver(t calls.CallResult) {
	r, ok := l.running[t.Attempt]
	if !ok {
		return
	}
	delete(l.running, t.Attempt)
	final := FinalResult{Result: t.Result, Replayed: t.Replayed}
	switch {
	case r.answer != nil && t.Result.Outcome == api.Answered:
		final.Answer = r.answer
	case t.Answer != nil:
		final.Answer = &targetclient.ServiceAnswer{Status: t.Answer.Status, ContentType: t.Answer.ContentType, Body: t.Answer.Body}
	}
	r.result <- final
	r.onFinished()
}
