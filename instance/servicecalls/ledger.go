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

// tickInterval drives the repetition of background commands.
const tickInterval = 100 * time.Millisecond

// expireInterval is how often the leader brings the time of the ledger forward, so that old records are forgotten.
const expireInterval = time.Minute

// Log puts commands into the calls log.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Leads says whether this instance leads the log.
	Leads() bool
}

// Told is the final word to a caller.
type Told struct {
	Result   *api.Result
	Answer   *targetclient.ServiceAnswer
	Replayed bool
}

// Dispatch sends an attempt once. When it returns an error, sent says whether any byte left.
type Dispatch func(attempt string) (answer *targetclient.ServiceAnswer, sent bool, err error)

// Ledger runs non-idempotent calls through the dispatcher core and the calls log.
type Ledger struct {
	log      Log
	recorder *events.Recorder
	now      func() time.Time

	mu         sync.Mutex
	dispatcher *calls.Dispatcher
	running    map[string]*running
	// stopped ends proposals in flight at the end of the process.
	ctx context.Context
}

// running is one call of this process.
type running struct {
	dispatch Dispatch
	told     chan Told
	leave    func()
	// answer is the whole answer, which may be larger than what the ledger records.
	answer *targetclient.ServiceAnswer
}

// NewLedger makes a ledger for this start of the process. Serve must run.
func NewLedger(log Log, instance string, incarnation uint64, recorder *events.Recorder, now func() time.Time) (*Ledger, error) {
	dispatcher, actions, err := calls.New(now(), calls.Options{Instance: instance, Incarnation: incarnation})
	if err != nil {
		return nil, errors.Wrap(err, "call dispatcher")
	}
	l := &Ledger{log: log, recorder: recorder, now: now, dispatcher: dispatcher, running: make(map[string]*running), ctx: context.Background()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.act(actions)
	return l, nil
}

// Serve repeats background commands until ctx ends.
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

// expire is tried again a minute later when it fails.
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

// Run takes one call to its final word. When ctx ends first, the call goes on and the caller is told that it is in
// progress. Leave is called when the process has nothing more to send for the call.
func (l *Ledger) Run(ctx context.Context, call *httpapi.ServiceCall, deadline time.Time, dispatch Dispatch, leave func()) Told {
	r := &running{dispatch: dispatch, told: make(chan Told, 1), leave: leave}
	l.mu.Lock()
	attempt, actions, refusal := l.dispatcher.Begin(l.now(), calls.Call{
		Key:      callledger.CallKey{Caller: call.Caller, Service: call.Service, Key: call.IdempotencyKey},
		Digest:   callledger.Digest(call.Call.Method, call.Call.PathAndQuery, call.Call.Body),
		Deadline: deadline,
	})
	if refusal != nil {
		l.mu.Unlock()
		leave()
		return Told{Result: refusal}
	}
	l.running[attempt] = r
	l.act(actions)
	l.mu.Unlock()
	select {
	case told := <-r.told:
		return told
	case <-ctx.Done():
		return l.abandon(attempt, r)
	}
}

// abandon answers a caller that does not wait any more.
func (l *Ledger) abandon(attempt string, r *running) Told {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case told := <-r.told:
		return told
	default:
	}
	l.dispatcher.Cancel(attempt)
	return Told{Result: &api.Result{
		Outcome: api.Unknown, Reason: api.ReasonInProgress, Repeat: api.RepeatAfter, RepeatAfter: time.Second,
		Message: "the call is in progress; repeat it with the same key to learn its outcome",
	}}
}

// step runs one step of the core and does what it asks for.
func (l *Ledger) step(f func() (calls.Actions, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	actions, err := f()
	if err != nil {
		l.recorder.Record(events.InternalError, events.Fields{"task": "call ledger", "error": err.Error()})
	}
	l.act(actions)
}

// act starts what the core asks for. It runs under the lock.
func (l *Ledger) act(actions calls.Actions) {
	for _, p := range actions.Proposals {
		go l.propose(p)
	}
	for _, attempt := range actions.Dispatch {
		if r, ok := l.running[attempt]; ok {
			go l.dispatch(attempt, r)
		}
	}
	for _, t := range actions.Tells {
		l.tell(t)
	}
}

func (l *Ledger) propose(p calls.Propose) {
	result, err := l.log.Propose(l.ctx, p.Command)
	outcome := calls.ProposalUnknown
	var command *replica.CommandError
	switch {
	case err == nil:
		outcome = calls.Committed
	case errors.Is(err, replica.ErrNoQuorum), errors.As(err, &command):
		// A command that the ledger could not decode changed nothing.
		outcome = calls.NotCommitted
	}
	l.step(func() (calls.Actions, error) { return l.dispatcher.ProposalDone(l.now(), p.ID, outcome, result) })
}

func (l *Ledger) dispatch(attempt string, r *running) {
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
		// The target refused the call before it ran it, as the target protocol demands.
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

// tell delivers the final word.
func (l *Ledger) tell(t calls.Tell) {
	r, ok := l.running[t.Attempt]
	if !ok {
		return
	}
	delete(l.running, t.Attempt)
	told := Told{Result: t.Result, Replayed: t.Replayed}
	switch {
	case r.answer != nil && t.Result.Outcome == api.Answered:
		told.Answer = r.answer
	case t.Answer != nil:
		told.Answer = &targetclient.ServiceAnswer{Status: t.Answer.Status, ContentType: t.Answer.ContentType, Body: t.Answer.Body}
	}
	r.told <- told
	r.leave()
}
