// Package calls takes the non-idempotent calls of one instance through the call ledger: it reserves the idempotency
// key, dispatches the call at most once and records the outcome. It does no input or output itself: the driver passes
// events to the Dispatcher and carries out the Actions that it returns.
package calls

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
	"github.com/tarragonhoist/tarragonhoist/state/defaults"
)

// Default values of Options.
const (
	DefaultMaxCalls   = 4096
	DefaultRetryDelay = 250 * time.Millisecond
)

// maxRetryDelay limits the exponential backoff between proposals of a background command.
const maxRetryDelay = 8 * time.Second

// reserveTimeout bounds the time from the proposal of a reservation to the dispatch. It is far below
// callledger.Retention, so that a call is never dispatched after its record may have expired.
const reserveTimeout = time.Minute

// maxResponseDelay bounds how long the answer to a caller waits for the command that records it.
const maxResponseDelay = time.Second

// callerRepeatDelay is the delay after which callers are told to repeat a call that was refused or is in progress.
const callerRepeatDelay = time.Second

// ProposalOutcome is the outcome of a proposal to the replicated log.
type ProposalOutcome int

// Outcomes of proposals. NotCommitted means that the proposal is known never to be committed. A proposal that was
// abandoned, or about which that is not certain, is ProposalUnknown.
const (
	Committed ProposalOutcome = iota
	NotCommitted
	ProposalUnknown
)

// AttemptOutcome is the outcome of an HTTP attempt.
type AttemptOutcome int

// Outcomes of attempts. NothingWritten means that no byte was passed to the connection. WrittenNoAnswer includes a
// truncated answer. TimedOut means that the timeout of the attempt expired after at least one byte was written.
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
	// Deadline is when the wait for the reservation ends. It can only shorten reserveTimeout, which the zero value
	// selects.
	Deadline time.Time
}

// Proposal is a command that the driver proposes once. It reports the outcome to ProposalDone.
type Proposal struct {
	ID      uint64
	Command []byte
}

// CallResult is the final response to the caller of an attempt.
type CallResult struct {
	Attempt string
	Result  *api.Result
	// Answer is set if the outcome of Result is api.Answered.
	Answer *callledger.Answer
	// Replayed is set if Answer is the recorded answer of an earlier attempt.
	Replayed bool
}

// Actions are what the driver must carry out, in this order: Proposals, DispatchAttempts, Results.
type Actions struct {
	Proposals []Proposal
	// DispatchAttempts lists the ids of the attempts that the driver sends to a target, each exactly once. It reports
	// the outcome of each to AttemptDone.
	DispatchAttempts []string
	Results          []CallResult
}

// Options configure a dispatcher. Zero values of MaxCalls and RetryDelay select the defaults.
type Options struct {
	Instance string
	// Incarnation must increase with each start of the process.
	Incarnation uint64
	// MaxCalls bounds the calls in progress, and with them the background commands.
	MaxCalls   int
	RetryDelay time.Duration
}

type phase int

const (
	phaseReserving phase = iota
	phaseDispatched
	phaseRecording
)

// call is the state of a call from Begin until its last command is committed.
type call struct {
	attempt  callledger.Attempt
	key      callledger.CallKey
	phase    phase
	deadline time.Time
	// cancelled is set when the caller no longer waits.
	cancelled bool
	// response is delayed until the first outcome of the command that records the result, so that a repeated call usually
	// finds the record.
	response *CallResult
}

// proposal is a command that was proposed, or that waits for its next attempt.
type proposal struct {
	command callledger.Command
	// call is nil for InstanceStarted.
	call    *call
	sent    bool
	sentAt  time.Time
	retryAt time.Time
	delay   time.Duration
}

// Dispatcher is the state machine that decides on the calls of one process. Its state is in memory only: a new
// incarnation starts empty, and the ledger marks the unfinished calls of earlier incarnations as MayHaveRun. It is not
// safe for concurrent use.
type Dispatcher struct {
	opts              Options
	calls             map[string]*call
	proposals         map[uint64]*proposal
	lastProposalID    uint64
	lastAttemptNumber uint64
	lastCommandMs     int64
}

// New returns the dispatcher of a process that has just started, and the actions that report the start to the ledger.
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

// Begin starts a call and returns the attempt id that identifies it. If refusal is not nil, the call was not started.
func (d *Dispatcher) Begin(now time.Time, c Call) (attempt string, out Actions, refusal *api.Result) {
	if err := callledger.CheckKey(&c.Key); err != nil {
		return "", out, api.Refuse(api.ReasonMalformedRequest, err.Error())
	}
	if len(d.calls) >= d.opts.MaxCalls {
		return "", out, api.RefuseWithRetry(api.ReasonNoCapacity, callerRepeatDelay, "this instance has too many calls in progress")
	}
	d.lastAttemptNumber++
	entry := &call{
		key:      c.Key,
		attempt:  callledger.Attempt{Instance: d.opts.Instance, Incarnation: d.opts.Incarnation, Number: d.lastAttemptNumber},
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

// Cancel records that the caller of an attempt no longer waits. A call that was not dispatched will not be; a
// dispatched one continues, so that its answer is recorded.
func (d *Dispatcher) Cancel(attempt string) {
	if c, ok := d.calls[attempt]; ok {
		c.cancelled = true
	}
}

// ProposalDone handles the outcome of a proposal, with the result of the ledger if it was committed. Outcomes of
// unknown proposals are ignored.
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
			return d.handleUndecodableResult(now, id, p, err)
		}
	}
	if p.command.Reserve != nil {
		delete(d.proposals, id)
		return out, d.handleReserveOutcome(now, &out, p.call, outcome, decoded)
	}
	d.emitResponse(&out, p.call)
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

// handleUndecodableResult handles a result that cannot be decoded like an unknown outcome.
func (d *Dispatcher) handleUndecodableResult(now time.Time, id uint64, p *proposal, cause error) (Actions, error) {
	out, err := d.ProposalDone(now, id, ProposalUnknown, nil)
	if err == nil {
		err = errors.Wrapf(cause, "decode result of proposal %d", id)
	}
	return out, err
}

// handleReserveOutcome handles the outcome of a Reserve command. A call is dispatched only if its reservation was
// granted in time and the caller still waits. A reservation that exists, or may be committed later, without a dispatch
// is released.
func (d *Dispatcher) handleReserveOutcome(now time.Time, out *Actions, c *call, outcome ProposalOutcome, r *callledger.Result) error {
	switch {
	case outcome == NotCommitted:
		d.endCall(out, c, refuseNoQuorum())
		return nil
	case outcome == ProposalUnknown:
		// This attempt is never dispatched, so the refusal is true even if the reservation is committed later.
		c.response = &CallResult{Attempt: c.attempt.ID(), Result: refuseNoQuorum()}
		d.emitResponse(out, c)
		return d.release(now, out, c)
	case r.Status != callledger.Granted:
		result := ResultForCaller(r)
		d.endCallWithResponse(out, c, CallResult{Result: result, Answer: recordedAnswer(r, result), Replayed: result.Outcome == api.Answered})
		return nil
	case c.cancelled || !now.Before(c.deadline):
		c.response = &CallResult{Attempt: c.attempt.ID(),
			Result: api.RefuseWithRetry(api.ReasonTimeout, callerRepeatDelay, "the reservation was not granted in time; nothing was sent")}
		return d.release(now, out, c)
	}
	c.phase = phaseDispatched
	out.DispatchAttempts = append(out.DispatchAttempts, c.attempt.ID())
	return nil
}

// AttemptDone handles the outcome of a dispatched attempt. answer is required for AnswerReceived and ignored otherwise.
// Outcomes of attempts that were not dispatched, and second outcomes, are ignored.
func (d *Dispatcher) AttemptDone(now time.Time, attempt string, outcome AttemptOutcome, answer *callledger.Answer) (Actions, error) {
	var out Actions
	c, ok := d.calls[attempt]
	if !ok || c.phase != phaseDispatched {
		return out, nil
	}
	switch {
	case outcome == NothingWritten:
		c.response = &CallResult{Attempt: attempt, Result: api.RefuseWithRetry(api.ReasonNoTarget, callerRepeatDelay, "nothing was sent to a target")}
		return out, d.release(now, &out, c)
	case outcome == AnswerReceived && answer != nil:
		c.phase = phaseRecording
		c.response = &CallResult{Attempt: attempt, Result: &api.Result{Outcome: api.Answered}, Answer: answer}
		return out, d.propose(now, &out, c, callledger.Command{
			Complete: &callledger.Complete{Call: c.key, Attempt: c.attempt, Answer: truncateForLedger(answer)}})
	}
	c.phase = phaseRecording
	reason := api.ReasonTargetFailed
	if outcome == TimedOut {
		reason = api.ReasonTimeout
	}
	c.response = &CallResult{Attempt: attempt, Result: api.Fail(reason, api.RetryNever,
		"the request was sent and no complete answer came; it may have run")}
	return out, d.propose(now, &out, c, callledger.Command{
		MarkUncertain: &callledger.MarkUncertain{Call: c.key, Attempt: c.attempt}})
}

// truncateForLedger returns the answer without a body or content type that exceeds the limits of the ledger.
func truncateForLedger(a *callledger.Answer) callledger.Answer {
	recorded := *a
	if len(a.Body) > callledger.MaxAnswerBytes {
		recorded.Body, recorded.TooLarge = nil, true
	}
	if len(a.ContentType) > callledger.MaxHeaderBytes {
		recorded.ContentType = ""
	}
	return recorded
}

// Tick proposes the background commands that are due, abandons reservations past their deadline and answers callers
// whose result takes longer than maxResponseDelay to be recorded. The driver calls it about every RetryDelay.
func (d *Dispatcher) Tick(now time.Time) (Actions, error) {
	var out Actions
	for _, id := range d.proposalIDs() {
		p := d.proposals[id]
		switch {
		case !p.sent && !now.Before(p.retryAt):
			if err := d.sendProposal(now, &out, p); err != nil {
				return out, err
			}
			delete(d.proposals, id)
		case p.command.Reserve != nil && !now.Before(p.call.deadline):
			delete(d.proposals, id)
			if err := d.handleReserveOutcome(now, &out, p.call, ProposalUnknown, nil); err != nil {
				return out, err
			}
		case p.sent && now.Sub(p.sentAt) >= maxResponseDelay:
			d.emitResponse(&out, p.call)
		}
	}
	return out, nil
}

// proposalIDs returns the ids of the proposals in the order in which they were made.
func (d *Dispatcher) proposalIDs() []uint64 {
	ids := make([]uint64, 0, len(d.proposals))
	for id := range d.proposals {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Pending returns the number of calls that are not yet answered or not yet recorded. A graceful shutdown waits for 0.
func (d *Dispatcher) Pending() int { return len(d.calls) }

// InProgress reports whether an attempt of this process is among the calls that Pending counts.
func (d *Dispatcher) InProgress(attempt string) bool {
	_, ok := d.calls[attempt]
	return ok
}

func (d *Dispatcher) release(now time.Time, out *Actions, c *call) error {
	c.phase = phaseRecording
	return d.propose(now, out, c, callledger.Command{Release: &callledger.Release{Call: c.key, Attempt: c.attempt}})
}

// propose creates the proposal of a command and sends it for the first time.
func (d *Dispatcher) propose(now time.Time, out *Actions, c *call, command callledger.Command) error {
	return d.sendProposal(now, out, &proposal{command: command, call: c, delay: d.opts.RetryDelay})
}

// sendProposal proposes a command under a new id, so that a late outcome of an earlier attempt is not attributed to
// this one. The timestamps of commands never decrease, because the ledger compares those of a Reserve and its Release.
func (d *Dispatcher) sendProposal(now time.Time, out *Actions, p *proposal) error {
	d.lastCommandMs = max(d.lastCommandMs, now.UnixMilli())
	p.command.AtMs = d.lastCommandMs
	data, err := p.command.Encode()
	if err != nil {
		return err
	}
	d.lastProposalID++
	p.sent, p.sentAt = true, now
	d.proposals[d.lastProposalID] = p
	out.Proposals = append(out.Proposals, Proposal{ID: d.lastProposalID, Command: data})
	return nil
}

func (d *Dispatcher) endCall(out *Actions, c *call, result *api.Result) {
	d.endCallWithResponse(out, c, CallResult{Result: result})
}

// endCallWithResponse ends a call that needs no further command, and answers the caller.
func (d *Dispatcher) endCallWithResponse(out *Actions, c *call, callResult CallResult) {
	callResult.Attempt = c.attempt.ID()
	c.response = &callResult
	d.emitResponse(out, c)
	delete(d.calls, c.attempt.ID())
}

func (d *Dispatcher) emitResponse(out *Actions, c *call) {
	if c == nil || c.response == nil {
		return
	}
	out.Results = append(out.Results, *c.response)
	c.response = nil
}

func refuseNoQuorum() *api.Result {
	return api.RefuseWithRetry(api.ReasonNoQuorum, callerRepeatDelay, "the call could not be reserved; nothing was sent")
}

// ResultForCaller returns the result for the caller when the ledger did not grant a reservation.
func ResultForCaller(r *callledger.Result) *api.Result {
	switch r.Status {
	case callledger.Answered:
		if r.Answer == nil || r.Answer.TooLarge {
			return api.Fail(api.ReasonMayHaveRun, api.RetryNever, "the call ran; its answer was too large to be recorded")
		}
		return &api.Result{Outcome: api.Answered}
	case callledger.InProgress:
		return &api.Result{Outcome: api.Unknown, Reason: api.ReasonInProgress, Retry: api.RetryAfter, RetryAfter: callerRepeatDelay,
			Message: "an earlier attempt of this call is in progress on instance " + r.Owner.Instance}
	case callledger.MayHaveRun:
		return api.Fail(api.ReasonMayHaveRun, api.RetryNever, "an earlier attempt of this call may have run and got no answer")
	case callledger.KeyReused:
		return api.Refuse(api.ReasonKeyReused, "the idempotency key is held by a call with another body")
	case callledger.Full:
		return api.RefuseWithRetry(api.ReasonNoCapacity, callerRepeatDelay, "the ledger of calls is full")
	}
	return api.RefuseWithRetry(api.ReasonNoQuorum, callerRepeatDelay, "the reservation was committed too late; nothing was sent")
}

func recordedAnswer(r *callledger.Result, result *api.Result) *callledger.Answer {
	if result.Outcome != api.Answered {
		return nil
	}
	return r.Answer
}
