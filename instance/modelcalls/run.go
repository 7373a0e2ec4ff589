package modelcalls

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/quarantine"
	"github.com/tarragonhoist/tarragonhoist/coordination/stream"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

var errStalled = errors.New("the target sent no token within the time limit")

const (
	// firstTokenTimeout ends an attempt on a target that accepts connections but does not answer.
	firstTokenTimeout = 15 * time.Second
	// nextTokenTimeout ends an attempt whose stream stalls, for example because the target is frozen.
	nextTokenTimeout = 5 * time.Second
	cancelTimeout    = time.Second
	eventBuffer      = 64
	// targetPollInterval is the polling interval of a request that waits for a target.
	targetPollInterval = 50 * time.Millisecond
	// targetWait bounds the total wait for a target of a request that has begun to stream or is a suspect. It covers
	// loading a model.
	targetWait = 15 * time.Second
	// soundTokens is the number of tokens of an answer after which a crash of the target is not blamed on the prompt: a target
	// that fails when it begins the answer may still have sent the first token.
	soundTokens = 2
)

// attempt is a request sent to one target.
type attempt struct {
	id         string
	picked     PickedTarget
	cancel     context.CancelFunc
	done       func(Result)
	started    time.Time
	firstToken time.Duration
	tokens     int
	// lastActivity is the time of the latest token, or the start time before the first token.
	lastActivity time.Time
}

// message carries an event from the goroutine of an attempt to the goroutine of the run.
type message struct {
	attempt *attempt
	event   targetclient.Event
	// ended is set on the last message of an attempt, with its error.
	ended bool
	err   error
}

// run serves one request. One goroutine owns its state; the goroutines of the attempts send it messages.
type run struct {
	server       *Server
	work         *Work
	call         *httpapi.ChatCall
	permit       Permit
	out          httpapi.EventWriter
	splicer      *stream.Splicer
	messages     chan message
	openAttempts map[string]*attempt
	// excluded holds the target incarnations that broke an attempt or could not be reached.
	excluded map[string]bool
	// mayHaveRun is set when an attempt was closed without proof that its target did not run it.
	mayHaveRun bool
	// softwareVersion is the version of the targets that wrote the answer up to now. It may go on only at that version.
	softwareVersion string
	forwarded       int
	// lastForwarded is set once the token was forwarded with which the answer ends.
	lastForwarded bool
	attempts      int
	// targetWaited is the time spent waiting for a target.
	targetWaited time.Duration
	// skipped holds the targets that refused an attempt or run one that is hedged. They are not picked until the next
	// wait for a target.
	skipped map[string]bool
}

func newRun(s *Server, w *Work, call *httpapi.ChatCall, permit Permit, out httpapi.EventWriter) *run {
	return &run{
		server: s, work: w, call: call, permit: permit, out: out, splicer: stream.NewAt(call.ResumeOffset), messages: make(chan message, eventBuffer),
		softwareVersion: call.SoftwareVersion, openAttempts: make(map[string]*attempt), excluded: make(map[string]bool), skipped: make(map[string]bool),
	}
}

// run starts attempts until the answer is complete or can't be completed.
func (r *run) run(ctx context.Context) *api.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.closeAll()
	if refusal := r.pickAndStart(ctx); refusal != nil {
		return refusal
	}
	hedge := time.NewTimer(r.server.Picker.HedgeDelay(r.work))
	defer hedge.Stop()
	stall := time.NewTicker(nextTokenTimeout / 10)
	defer stall.Stop()
	for {
		select {
		case m := <-r.messages:
			if result := r.handleMessage(ctx, m); result != nil {
				return result
			}
		case <-hedge.C:
			r.hedge(ctx)
		case <-stall.C:
			if result := r.endStalled(ctx); result != nil {
				return result
			}
		case <-r.permit.Interrupted():
			if result := r.interrupt(ctx); result != nil {
				return result
			}
		case <-ctx.Done():
			return r.timedOut(ctx)
		}
	}
}

// interrupt cancels the open attempts so that more urgent work gets the slot, waits until the slot is granted again and
// resumes the answer from the offset reached.
func (r *run) interrupt(ctx context.Context) *api.Result {
	r.server.Recorder.Record(events.RequestInterrupted, events.Fields{"request": r.work.RequestID, "offset": r.splicer.NextOffset()})
	for _, a := range slices.Collect(maps.Values(r.openAttempts)) {
		r.splicer.CloseAttempt(a.id)
		r.close(a, context.Canceled)
		// An interruption is no failure, so it does not count against the limit on attempts.
		r.attempts = max(1, r.attempts-1)
	}
	if refusal := r.permit.Resume(ctx); refusal != nil {
		return r.cannotContinue(refusal)
	}
	return r.pickAndStart(ctx)
}

// pickAndStart picks a target and starts an attempt there.
func (r *run) pickAndStart(ctx context.Context) *api.Result {
	picked, done, refusal := r.server.Picker.Pick(r.work, r.isAvoided)
	if refusal != nil {
		return r.noTarget(ctx, refusal)
	}
	if r.attempts == 0 {
		r.server.Retries.RecordFirstAttempt(r.work, picked)
	}
	return r.start(ctx, picked, done)
}

// start sends an attempt to a picked target.
func (r *run) start(ctx context.Context, picked PickedTarget, done func(Result)) *api.Result {
	id := uuid.NewString()
	if !picked.Remote && !r.server.Suspects.Begin(ctx, quarantine.Attempt{ID: id, Fingerprint: r.work.Fingerprint, Target: targetOf(picked)}, r.work.Parts) {
		done(Result{Err: context.Canceled})
		return r.waitForTarget(ctx)
	}
	offset, err := r.splicer.Begin(id)
	if err != nil {
		r.server.Suspects.RemoveAttempt(id)
		done(Result{Err: err})
		return r.failure(err)
	}
	r.attempts++
	attemptCtx, cancel := context.WithCancel(ctx)
	now := r.server.Now()
	a := &attempt{id: id, picked: picked, cancel: cancel, done: done, started: now, lastActivity: now}
	r.openAttempts[id] = a
	if offset > 0 {
		r.server.Recorder.Record(events.StreamResumed, events.Fields{
			"request": r.work.RequestID, "target": picked.Target, "offset": offset, "software": r.softwareVersion})
	}
	go r.stream(attemptCtx, a, int(offset), r.softwareVersion)
	return nil
}

// noTarget handles a refused pick. It waits for a target when part of the answer has been forwarded, or when the
// request is a suspect, which may have to wait until other suspects have finished on their targets. Other requests end
// at once.
func (r *run) noTarget(ctx context.Context, refusal *api.Result) *api.Result {
	waits := r.forwarded > 0 || r.server.Suspects.IsSuspect(r.work.Fingerprint)
	if refusal.Reason != api.ReasonNoTarget || !waits || r.targetWaited >= targetWait {
		return r.cannotContinue(refusal)
	}
	return r.waitForTarget(ctx)
}

// waitForTarget picks a target again after targetPollInterval. It does not wait while other attempts are open.
func (r *run) waitForTarget(ctx context.Context) *api.Result {
	r.targetWaited += targetPollInterval
	clear(r.skipped)
	if refusal := r.server.Suspects.Verdict(r.work.Fingerprint, r.work.Parts); refusal != nil {
		return r.cannotContinue(refusal)
	}
	if len(r.openAttempts) > 0 {
		return nil
	}
	timer := time.NewTimer(targetPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return r.pickAndStart(ctx)
	case <-ctx.Done():
		return r.timedOut(ctx)
	}
}

// isAvoided reports whether a target must not be picked now.
func (r *run) isAvoided(id string) bool { return r.excluded[id] || r.skipped[id] }

func targetOf(p PickedTarget) quarantine.Target {
	return quarantine.Target{Name: p.Target, Incarnation: p.Incarnation}
}

// stream runs an attempt in its own goroutine. Unless ctx ends, its last message has ended set.
func (r *run) stream(ctx context.Context, a *attempt, offset int, softwareVersion string) {
	request := targetclient.Attempt{
		Address: a.picked.Address, RequestID: r.work.RequestID, AttemptID: a.id, Priority: r.work.Priority,
		Offset: offset, SoftwareVersion: softwareVersion, Body: r.call.Body,
	}
	if a.picked.Remote {
		request.Header = r.call.Identity.Clone()
		request.Header.Set(api.HeaderForwardedFrom, r.server.Instance)
		request.Header.Set(api.HeaderDeadlineMs, strconv.FormatInt(max(1, r.work.Deadline.Sub(r.server.Now()).Milliseconds()), 10))
	}
	err := r.server.Client.Stream(ctx, request, func(e targetclient.Event) error {
		e.Data = append([]byte(nil), e.Data...)
		return r.send(ctx, message{attempt: a, event: e})
	})
	_ = r.send(ctx, message{attempt: a, ended: true, err: err})
}

func (r *run) send(ctx context.Context, m message) error {
	select {
	case r.messages <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleMessage handles one message. A non-nil result ends the run.
func (r *run) handleMessage(ctx context.Context, m message) *api.Result {
	a := m.attempt
	if r.openAttempts[a.id] == nil {
		return nil
	}
	switch {
	case m.ended:
		return r.attemptFailed(ctx, a, m.err)
	case m.event.Done:
		return r.complete(ctx, a, m.event)
	default:
		return r.forwardToken(ctx, a, m.event)
	}
}

func (r *run) forwardToken(ctx context.Context, a *attempt, e targetclient.Event) *api.Result {
	now := r.server.Now()
	if a.tokens == 0 {
		a.firstToken = now.Sub(a.started)
		r.closeOthers(a)
	}
	a.tokens++
	if a.tokens == soundTokens {
		r.server.Suspects.Answering(a.id)
	}
	a.lastActivity = now
	content, err := targetapi.ChunkContent(e.Data)
	if err != nil {
		return r.attemptFailed(ctx, a, err)
	}
	forward, err := r.splicer.Token(a.id, uint64(e.Offset), content)
	if err != nil {
		return r.attemptFailed(ctx, a, err)
	}
	if !forward {
		return nil
	}
	if r.forwarded == 0 {
		r.softwareVersion = e.SoftwareVersion
		r.out.Begin(e.SoftwareVersion)
	}
	r.forwarded++
	r.lastForwarded = targetapi.IsLastChunk(content)
	if err := r.out.WriteEvent(e.Offset, e.Data); err != nil {
		return api.Fail(api.ReasonStreamBroken, api.RetryNow, "writing the answer to the caller failed: "+err.Error())
	}
	return nil
}

func (r *run) complete(ctx context.Context, a *attempt, e targetclient.Event) *api.Result {
	tokens := r.splicer.NextOffset()
	if a.tokens == 0 && r.forwarded > 0 && !r.lastForwarded {
		// The marker alone does not show that the target knows the answer that it was to go on with.
		return r.attemptFailed(ctx, a, &targetclient.IncompleteError{Cause: errors.Errorf("the end marker came at offset %d, before the last token", tokens)})
	}
	if a.tokens > 0 {
		tokens = uint64(e.Offset) + 1
	}
	if err := r.splicer.End(a.id, tokens); err != nil {
		return r.attemptFailed(ctx, a, err)
	}
	r.close(a, nil)
	r.server.Suspects.Succeeded(a.id)
	return &api.Result{Outcome: api.Answered}
}

// attemptFailed handles an attempt that did not complete the answer and starts another one if that is allowed.
func (r *run) attemptFailed(ctx context.Context, a *attempt, err error) *api.Result {
	if err == nil {
		err = &targetclient.IncompleteError{Cause: errors.New("the stream ended without an end marker")}
	}
	r.splicer.CloseAttempt(a.id)
	r.close(a, err)
	if ctx.Err() != nil {
		r.server.Suspects.RemoveAttempt(a.id)
		return r.timedOut(ctx)
	}
	if r.isBroken(err) || isUnreachable(err) || isOtherVersion(err) {
		r.excluded[a.picked.ID()] = true
	} else {
		r.skipped[a.picked.ID()] = true
	}
	r.work.Unreached = r.work.Unreached || isUnreachable(err)
	var rejected *targetclient.RejectedError
	if errors.As(err, &rejected) {
		return r.cannotContinue(api.Refuse(api.ReasonMalformedRequest, rejected.Message))
	}
	if r.isBroken(err) {
		r.server.Recorder.Record(events.AttemptBroken, events.Fields{
			"request": r.work.RequestID, "target": a.picked.Target, "offset": r.splicer.NextOffset(), "error": err.Error()})
		if !a.picked.Remote {
			r.server.Suspects.Failed(ctx, a.id, targetOf(a.picked))
		}
	}
	if len(r.openAttempts) > 0 {
		return nil
	}
	return r.retry(ctx, err)
}

// isBroken reports whether the connection broke after the request may have reached the target.
func (r *run) isBroken(err error) bool {
	var incomplete *targetclient.IncompleteError
	return errors.As(err, &incomplete)
}

// didNotRun reports whether an error proves that the target did not run an attempt.
func didNotRun(err error) bool {
	var overloaded *targetclient.OverloadedError
	var notReady *targetclient.NotReadyError
	var rejected *targetclient.RejectedError
	var unproven *targetclient.UnprovenError
	if errors.As(err, &unproven) {
		return false
	}
	return isUnreachable(err) || errors.As(err, &overloaded) || errors.As(err, &notReady) || errors.As(err, &rejected)
}

// isUnreachable reports whether no connection to the target could be made. Such an incarnation is not tried again: a
// restarted target has a new incarnation.
func isUnreachable(err error) bool {
	var connectErr *targetclient.ConnectError
	return errors.As(err, &connectErr)
}

// isOtherVersion reports whether a target can't go on with the answer because it runs another software version.
func isOtherVersion(err error) bool {
	var otherVersion *targetclient.OtherVersionError
	return errors.As(err, &otherVersion)
}

// retry starts the next attempt if quarantine, retry budget and deadline allow it.
func (r *run) retry(ctx context.Context, err error) *api.Result {
	if refusal := r.server.Suspects.Verdict(r.work.Fingerprint, r.work.Parts); refusal != nil {
		return r.cannotContinue(refusal)
	}
	if r.isBroken(err) && !r.server.Suspects.MayRepeat(r.work.Parts) {
		return r.failure(err)
	}
	picked, done, refusal := r.server.Picker.Pick(r.work, r.isAvoided)
	if refusal != nil {
		return r.noTarget(ctx, refusal)
	}
	delay, ok := r.server.Retries.Allow(r.work, picked, r.attempts, err)
	if !ok {
		done(Result{Err: context.Canceled})
		return r.failure(err)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return r.start(ctx, picked, done)
	case <-ctx.Done():
		done(Result{Err: context.Canceled})
		return r.timedOut(ctx)
	}
}

// hedge starts a hedged attempt when the first one is late and the budget allows it.
func (r *run) hedge(ctx context.Context) {
	if r.forwarded > 0 || len(r.openAttempts) != 1 {
		return
	}
	for _, a := range r.openAttempts {
		waited := r.server.Now().Sub(a.started)
		r.server.Picker.ReportOverdue(r.work, a.picked, waited)
		if !r.server.Picker.Hedge(r.work, a.picked, waited) {
			return
		}
		r.skipped[a.picked.ID()] = true
		r.server.Recorder.Record(events.RequestHedged, events.Fields{"request": r.work.RequestID, "target": a.picked.Target})
	}
	// If no other target is available, the first attempt continues.
	_ = r.pickAndStart(ctx)
}

// endStalled ends attempts that exceeded their first-token or next-token timeout. It does not depend on the target
// reacting to the cancellation.
func (r *run) endStalled(ctx context.Context) *api.Result {
	now := r.server.Now()
	for _, a := range slices.Collect(maps.Values(r.openAttempts)) {
		limit := nextTokenTimeout
		if a.tokens == 0 {
			limit = firstTokenTimeout
		}
		if now.Sub(a.lastActivity) < limit {
			continue
		}
		if result := r.attemptFailed(ctx, a, &targetclient.IncompleteError{Cause: errStalled}); result != nil {
			return result
		}
	}
	return nil
}

// closeOthers cancels all attempts but the one that answered first.
func (r *run) closeOthers(winner *attempt) {
	for _, a := range r.openAttempts {
		if a != winner {
			r.splicer.CloseAttempt(a.id)
			r.close(a, context.Canceled)
		}
	}
}

func (r *run) closeAll() {
	for _, a := range r.openAttempts {
		r.close(a, context.Canceled)
	}
}

// close removes an attempt, reports its result and, if the attempt was cancelled, tells the target to stop.
func (r *run) close(a *attempt, err error) {
	delete(r.openAttempts, a.id)
	a.cancel()
	r.mayHaveRun = r.mayHaveRun || !didNotRun(err)
	if err != nil && !r.isBroken(err) {
		r.server.Suspects.RemoveAttempt(a.id)
	}
	a.done(Result{FirstToken: a.firstToken, Total: r.server.Now().Sub(a.started), Tokens: a.tokens, Err: err})
	if !errors.Is(err, context.Canceled) || a.picked.Remote {
		// An instance of another data centre detects the closed connection itself.
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// If the cancellation is lost, the target only generates the rest of the answer needlessly.
		_ = r.server.Client.Cancel(ctx, a.picked.Address, a.id)
	}()
}

// anyMayHaveRun reports whether any attempt may have run. One that is still open may be running on its target.
func (r *run) anyMayHaveRun() bool { return r.mayHaveRun || len(r.openAttempts) > 0 }

// cannotContinue turns a refusal into a failure when an earlier attempt may have run.
func (r *run) cannotContinue(refusal *api.Result) *api.Result {
	if !r.anyMayHaveRun() {
		return refusal
	}
	return &api.Result{Outcome: api.Failed, Reason: refusal.Reason, Retry: refusal.Retry, RetryAfter: refusal.RetryAfter,
		Message: refusal.Message}
}

func (r *run) failure(err error) *api.Result {
	if !r.anyMayHaveRun() {
		return api.RefuseWithRetry(api.ReasonNoCapacity, time.Second, "no target accepted the request: "+err.Error())
	}
	reason := api.ReasonTargetFailed
	if r.forwarded > 0 {
		reason = api.ReasonStreamBroken
	}
	return &api.Result{Outcome: api.Failed, Reason: reason, Retry: api.RetryAfter, RetryAfter: time.Second, Message: err.Error()}
}

func (r *run) timedOut(ctx context.Context) *api.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return api.Fail(api.ReasonTimeout, api.RetryNow, "the caller closed the connection")
	}
	if r.anyMayHaveRun() {
		return api.Fail(api.ReasonTimeout, api.RetryNow, "the deadline passed before the answer was complete")
	}
	return &api.Result{Outcome: api.Refused, Reason: api.ReasonDeadlineUnreachable, Retry: api.RetryNow,
		Message: "the deadline passed before a target accepted the request"}
}
