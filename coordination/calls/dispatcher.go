// Package calls drives the non-idempotent calls of one instance through the call ledger: reserve, dispatch once, and
// record what became of it.
package calls

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
	"github.com/tarragonhoist/tarragonhoist/state/defaults"
)

// Defaults of Options.
const (
	DefaultMaxCalls   = 4096
	DefaultRetryDelay = 250 * time.Millisecond
)

// maxRetryDelay bounds the doubling delay between proposals of a background command.
const maxRetryDelay = 8 * time.Second

// reserveTimeout bounds the time between the proposal of a reservation and the dispatch. It is far below
// callledger.Retention, so that a call is never dispatched after its record may have been forgotten.
const reserveTimeout = time.Minute

// tellDelay bounds how long the answer to a caller is held back for the command that records it.
const tellDelay = time.Second

// repeatDelay is the advice to callers whose call is in progress or could not be reserved.
const repeatDelay = time.Second

// ProposalOutcome is what became of a proposal to the log.
type ProposalOutcome int

// Outcomes of proposals. NotCommitted means that the proposal provably never will be committed; a proposal that was
// given up, or whose fate is only assumed, is ProposalUnknown.
const (
	Committed ProposalOutcome = iota
	NotCommitted
	ProposalUnknown
)

// AttemptOutcome is what became of the HTTP attempt.
type AttemptOutcome int

// Outcomes of attempts. NothingWritten means that not a single byte was handed to the connection. WrittenNoAnswer
// includes an answer that broke off. TimedOut is the end of the attempt's timer after something was written.
const (
	NothingWritten AttemptOutcome = iota
	WrittenNoAnswer
	TimedOut
	AnswerReceived
)

// Call is one non-idempotent call of a caller.
type Call struct {
	Key callledger.CallKey
	// Digest is callledger.Digest of the call.
	Digest []byte
	// Deadline ends the wait for the reservation. The zero value selects reserveTimeout.
	Deadline time.Time
}

// Propose asks the driver to propose a command once and to report the outcome to ProposalDone.
type Propose struct {
	ID      uint64
	Command []byte
}

// Tell is the final word to the caller of an attempt.
type Tell struct {
	Attempt string
	Result  *api.Result
	// Answer is set when the outcome is answered.
	Answer *callledger.Answer
	// Replayed says that the answer is the recorded one of an earlier attempt.
	Replayed bool
}

// Actions are what the driver has to do, in this order: Proposals, Dispatch, Tells.
type Actions struct {
	Proposals []Propose
	// Dispatch lists the attempts to be sent to a target, each exactly once and with this attempt id. The driver reports
	// each to AttemptDone.
	Dispatch []string
	Tells    []Tell
}

// Options of a dispatcher. Zero values of the numbers select the defaults.
type Options struct {
	Instance string
	// Incarnation is larger at each start of the process.
	Incarnation uint64
	// MaxCalls bounds the calls and the background commands.
	MaxCalls   int
	RetryDelay time.Duration
}

type phase int

const (
	reserving phase = iota
	dispatched
	closing
)

// call is one call from Begin until its last command is committed.
type call struct {
	attempt  callledger.Attempt
	key      callledger.CallKey
	phase    phase
	deadline time.Time
	// cancelled is set when the caller does not wait any more.
	cancelled bool
	// tell is held back until the first outcome of the closing command, so that a repeat usually finds the record.
	tell *Tell
}

// proposal is a command under way or waiting for its next try.
type proposal struct {
	command callledger.Command
	// call is nil for InstanceStarted.
	call    *call
	sent    bool
	sentAt  time.Time
	retryAt time.Time
	delay   time.Duration
}

// Dispatcher is the decision core of one process. It keeps nothing beyond the process: a new incarnation begins empty,
// and the ledger turns what its predecessors left open into calls that may have run. It is not safe for concurrent use.
type Dispatcher struct {
	opts      Options
	calls     map[string]*call
	proposals map[uint64]*proposal
	lastID    uint64
	lastCall  uint64
	clockMs   int64
}

// New returns the dispatcher of a process that has just started and the actions that announce it to the ledger.
func New(now time.Time, opts Options) (*Dispatcher, Actions, error) {
	if opts.Instance == "" || opts.Incarnation == 0 {
		return nil, Actions{}, errors.New("dispatcher needs an instance name and an incarnation above 0")
	}
	defaults.Positive(&opts.MaxCalls, DefaultMaxCalls)
	defaults.Positive(&opts.RetryDelay, DefaultRetryDelay)
	d := &Dispatcher{opts: opts, calls: make(map[string]*call), proposals: make(map[uint64]*proposal)}
	var out Actions
	err := d.propose(now, &out, nil, callledger.Command{
		InstanceStarted: &callledger.InstanceStarted{Instance: opts.Instance, Incarnation: opts.Incarnation}})
	return d, out, err
}

// Begin starts a call. The attempt id names it from then on. A refusal is a call that did not start.
func (d *Dispatcher) Begin(now time.Time, c Call) (attempt string, out Actions, refusal *api.Result) {
	if err := callledger.CheckKey(&c.Key); err != nil {
		return "", out, api.Refuse(api.ReasonMalformedRequest, err.Error())
	}
	if len(d.calls) >= d.opts.MaxCalls {
		return "", out, api.RefuseFor(api.ReasonNoCapacity, repeatDelay, "this instance has too many calls in progress")
	}
	d.lastCall++
	entry := &call{
		key:      c.Key,
		attempt:  callledger.Attempt{Instance: d.opts.Instance, Incarnation: d.opts.Incarnation, Number: d.lastCall},
		deadline: now.Add(reserveTimeout),
	}
	if !c.Deadline.IsZero() && c.Deadline.Before(entry.deadline) {
		entry.deadline = c.Deadline
	}
	err := d.propose(now, &out, entry, callledger.Command{
		Reserve: &callledger.Reserve{Call: c.Key, Digest: c.Digest, Attempt: entry.attempt}})
	if err != nil {
		return "", Actions{}, api.Refuse(api.ReasonMalformedRequest, err.Error())
	}
	d.calls[entry.attempt.ID()] = entry
	return entry.attempt.ID(), out, nil
}

// Cancel notes that the caller of an attempt does not wait any more. A call that was not dispatched will not be; a
// dispatched one goes on, so that its answer is recorded.
func (d *Dispatcher) Cancel(attempt string) {
	if c, ok := d.calls[attempt]; ok {
		c.cancelled = true
	}
}

// ProposalDone takes the outcome of a proposal, with the result of the ledger when it was committed. Outcomes of unknown
// proposals are ignored.
func (d *Dispatcher) ProposalDone(now time.Time, id uint64, outcome ProposalOutcome, result []byte) (Actions, error) {
	var out Actions
	p, ok := d.proposals[id]
	if !ok || !p.sent {
		return out, nil
	}
	var decoded *callledger.Result
	if outcome == Committed {
		var err error
		if decoded, err = callledger.DecodeResult(result); err != nil {
			return d.afterBadResult(now, id, p, err)
		}
	}
	if p.command.Reserve != nil {
		delete(d.proposals, id)
		return out, d.reserved(now, &out, p.call, outcome, decoded)
	}
	d.flushTell(&out, p.call)
	if outcome == Committed {
		delete(d.proposals, id)
		if p.call != nil {
			delete(d.calls, p.call.attempt.ID())
		}
		return out, nil
	}
	p.sent, p.retryAt = false, now.Add(p.delay)
	p.delay = min(2*p.delay, maxRetryDelay)
	return out, nil
}

// afterBadResult treats a result that cannot be read like an unknown outcome.
func (d *Dispatcher) afterBadResult(now time.Time, id uint64, p *proposal, cause error) (Actions, error) {
	out, err := d.ProposalDone(now, id, ProposalUnknown, nil)
	if err == nil {
		err = errors.Wrapf(cause, "result of proposal %d", id)
	}
	return out, err
}

// reserved decides after the outcome of a Reserve. Only a reservation that was granted in time to a caller who still
// waits is dispatched. One that exists or may come to exist without a dispatch is released.
func (d *Dispatcher) reserved(now time.Time, out *Actions, c *call, outcome ProposalOutcome, r *callledger.Result) error {
	switch {
	case outcome == NotCommitted:
		d.finish(out, c, refuseNoQuorum())
		return nil
	case outcome == ProposalUnknown:
		// This attempt never dispatches, so the refusal holds whether or not the reservation is committed later.
		c.tell = &Tell{Attempt: c.attempt.ID(), Result: refuseNoQuorum()}
		d.flushTell(out, c)
		return d.release(now, out, c)
	case r.Status != callledger.Granted:
		result := ResultOf(r)
		d.finishWith(out, c, Tell{Result: result, Answer: answerOf(r, result), Replayed: result.Outcome == api.Answered})
		return nil
	case c.cancelled || !now.Before(c.deadline):
		c.tell = &Tell{Attempt: c.attempt.ID(),
			Result: api.RefuseFor(api.ReasonTimeout, repeatDelay, "the reservation was not granted in time; nothing was sent")}
		return d.release(now, out, c)
	}
	c.phase = dispatched
	out.Dispatch = append(out.Dispatch, c.attempt.ID())
	return nil
}

// AttemptDone takes the outcome of a dispatched attempt. answer belongs to AnswerReceived. Outcomes of attempts that are
// not dispatched, or a second outcome, are ignored.
func (d *Dispatcher) AttemptDone(now time.Time, attempt string, outcome AttemptOutcome, answer *callledger.Answer) (Actions, error) {
	var out Actions
	c, ok := d.calls[attempt]
	if !ok || c.phase != dispatched {
		return out, nil
	}
	switch {
	case outcome == NothingWritten:
		c.tell = &Tell{Attempt: attempt, Result: api.RefuseFor(api.ReasonNoTarget, repeatDelay, "nothing was sent to a target")}
		return out, d.release(now, &out, c)
	case outcome == AnswerReceived && answer != nil:
		c.phase = closing
		c.tell = &Tell{Attempt: attempt, Result: &api.Result{Outcome: api.Answered}, Answer: answer}
		return out, d.propose(now, &out, c, callledger.Command{
			Complete: &callledger.Complete{Call: c.key, Attempt: c.attempt, Answer: recordable(answer)}})
	}
	c.phase = closing
	reason := api.ReasonTargetFailed
	if outcome == TimedOut {
		reason = api.ReasonTimeout
	}
	c.tell = &Tell{Attempt: attempt, Result: api.Fail(reason, api.RepeatNever,
		"the request was sent and no complete answer came; it may have run")}
	return out, d.propose(now, &out, c, callledger.Command{
		MarkUncertain: &callledger.MarkUncertain{Call: c.key, Attempt: c.attempt}})
}

// recordable drops what exceeds the limits of the ledger.
func recordable(a *callledger.Answer) callledger.Answer {
	recorded := *a
	if len(a.Body) > callledger.MaxAnswerBytes {
		recorded.Body, recorded.TooLarge = nil, true
	}
	if len(a.ContentType) > callledger.MaxHeaderBytes {
		recorded.ContentType = ""
	}
	return recorded
}

// Tick sends the background commands that are due, gives up reservations past their deadline and answers callers whose
// record takes too long. The driver calls it
// every RetryDelay or so.
func (d *Dispatcher) Tick(now time.Time) (Actions, error) {
	var out Actions
	for _, id := range d.ids() {
		p := d.proposals[id]
		switch {
		case !p.sent && !now.Before(p.retryAt):
			if err := d.send(now, &out, p); err != nil {
				return out, err
			}
			delete(d.proposals, id)
		case p.command.Reserve != nil && !now.Before(p.call.deadline):
			delete(d.proposals, id)
			if err := d.reserved(now, &out, p.call, ProposalUnknown, nil); err != nil {
				return out, err
			}
		case p.sent && now.Sub(p.sentAt) >= tellDelay:
			d.flushTell(&out, p.call)
		}
	}
	return out, nil
}

// ids lists the proposals in the order in which they were made.
func (d *Dispatcher) ids() []uint64 {
	ids := make([]uint64, 0, len(d.proposals))
	for id := range d.proposals {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Pending counts the calls that are not told or not yet recorded. A graceful shutdown waits for 0.
func (d *Dispatcher) Pending() int { return len(d.calls) }

// InProgress reports whether an attempt of this process is still being worked on.
func (d *Dispatcher) InProgress(attempt string) bool {
	_, ok := d.calls[attempt]
	return ok
}

func (d *Dispatcher) release(now time.Time, out *Actions, c *call) error {
	c.phase = closing
	return d.propose(now, out, c, callledger.Command{Release: &callledger.Release{Call: c.key, Attempt: c.attempt}})
}

// propose makes a command and sends it for the first time.
func (d *Dispatcher) propose(now time.Time, out *Actions, c *call, command callledger.Command) error {
	return d.send(now, out, &proposal{command: command, call: c, delay: d.opts.RetryDelay})
}

// send proposes a command under a new id, so that a late outcome of an earlier try is not taken for this one. The time
// of commands never goes back, because the ledger compares the times of a Reserve and its Release.
func (d *Dispatcher) send(now time.Time, out *Actions, p *proposal) error {
	d.clockMs = max(d.clockMs, now.UnixMilli())
	p.command.AtMs = d.clockMs
	data, err := p.command.Encode()
	if err != nil {
		return err
	}
	d.lastID++
	p.sent, p.sentAt = true, now
	d.proposals[d.lastID] = p
	out.Proposals = append(out.Proposals, Propose{ID: d.lastID, Command: data})
	return nil
}

func (d *Dispatcher) finish(out *Actions, c *call, result *api.Result) {
	d.finishWith(out, c, Tell{Result: result})
}

// finishWith ends a call that needs no further command.
func (d *Dispatcher) finishWith(out *Actions, c *call, tell Tell) {
	tell.Attempt = c.attempt.ID()
	c.tell = &tell
	d.flushTell(out, c)
	delete(d.calls, c.attempt.ID())
}

func (d *Dispatcher) flushTell(out *Actions, c *call) {
	if c == nil || c.tell == nil {
		return
	}
	out.Tells = append(out.Tells, *c.tell)
	c.tell = nil
}

func refuseNoQuorum() *api.Result {
	return api.RefuseFor(api.ReasonNoQuorum, repeatDelay, "the call could not be reserved; nothing was sent")
}

// ResultOf says what a caller is told when the ledger did not grant a reservation.
func ResultOf(r *callledger.Result) *api.Result {
	switch r.Status {
	case callledger.Answered:
		if r.Answer == nil || r.Answer.TooLarge {
			return api.Fail(api.ReasonMayHaveRun, api.RepeatNever, "the call ran; its answer was too large to be recorded")
		}
		return &api.Result{Outcome: api.Answered}
	case callledger.InProgress:
		return &api.Result{Outcome: api.Unknown, Reason: api.ReasonInProgress, Repeat: api.RepeatAfter, RepeatAfter: repeatDelay,
			Message: "an earlier attempt of this call is in progress on instance " + r.Owner.Instance}
	case callledger.MayHaveRun:
		return api.Fail(api.ReasonMayHaveRun, api.RepeatNever, "an earlier attempt of this call may have run and got no answer")
	case callledger.KeyReused:
		return api.Refuse(api.ReasonKeyReused, "the idempotency key is held by a call with another body")
	case callledger.Full:
		return api.RefuseFor(api.ReasonNoCapacity, repeatDelay, "the ledger of calls is full")
	}
	return api.RefuseFor(api.ReasonNoQuorum, repeatDelay, "the reservation was committed too late; nothing was sent")
}

func answerOf(r *callledger.Result, result *api.Result) *callledger.Answer {
	if result.Outcome != api.Answered {
		return nil
	}
	return r.Answer
}
