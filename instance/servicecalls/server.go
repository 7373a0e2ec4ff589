// Package servicecalls serves calls of plain services. Calls that must run at most once go through the call ledger.
package servicecalls

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// ConfigSource provides the configuration set by the applied release notes.
type ConfigSource interface{ Contents() *catalog.ActiveConfig }

// Caller sends calls to targets.
type Caller interface {
	CallService(ctx context.Context, call targetclient.ServiceCall) (answer *targetclient.ServiceAnswer, sent bool, err error)
}

// Policy admits calls and picks targets.
type Policy interface {
	modelcalls.Admission
	PickService(w *modelcalls.Work, avoided func(id string) bool) (p modelcalls.PickedTarget, done func(modelcalls.Result), refusal *api.Result)
	modelcalls.Retries
}

// Server answers service calls.
type Server struct {
	Config         ConfigSource
	Gate           *drain.Gate
	Policy         Policy
	Client         Caller
	Ledger         *Ledger
	Recorder       *events.Recorder
	RequestTimeout time.Duration
	Now            func() time.Time
}

// CallService answers one call.
func (s *Server) CallService(ctx context.Context, call httpapi.ServiceCall) (*httpapi.ServiceAnswer, *api.Result) {
	leave, ok := s.Gate.Enter()
	if !ok {
		return nil, modelcalls.Draining()
	}
	defer leave()
	answer, result := s.answer(ctx, &call)
	s.record(&call, answer, result)
	return answer, result
}

func (s *Server) answer(ctx context.Context, call *httpapi.ServiceCall) (*httpapi.ServiceAnswer, *api.Result) {
	permission, nonIdempotent, refusal := s.Config.Contents().PermitService(call.Caller, call.Service, call.Call.Method)
	if refusal != nil {
		return nil, refusal
	}
	if nonIdempotent && call.IdempotencyKey == "" {
		return nil, api.Refuse(api.ReasonMalformedRequest, "calls with method "+call.Call.Method+" of this service need the header "+api.HeaderIdempotencyKey)
	}
	timeout := s.RequestTimeout
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	}
	work := &modelcalls.Work{
		RequestID: call.RequestID, Caller: call.Caller, Weight: permission.Weight, Model: call.Service,
		Priority: permission.Priority, Deadline: s.Now().Add(timeout),
	}
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	if nonIdempotent {
		return s.callAtMostOnce(ctx, call, work)
	}
	place, refusal := s.Policy.Acquire(ctx, work)
	if refusal != nil {
		return nil, refusal
	}
	started := s.Now()
	answer, result := s.callWithRetries(ctx, call, work)
	place.Release(workUnits(s.Now().Sub(started)), answer != nil)
	return answer, result
}

// unitDuration is the duration of a service call that counts as one unit of work.
const unitDuration = 40 * time.Millisecond

func workUnits(d time.Duration) int { return max(1, int(d/unitDuration)) }

// callWithRetries sends an idempotent call and retries it on other targets after a failure.
func (s *Server) callWithRetries(ctx context.Context, call *httpapi.ServiceCall, work *modelcalls.Work) (*httpapi.ServiceAnswer, *api.Result) {
	excluded := make(map[string]bool)
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		picked, done, refusal := s.Policy.PickService(work, func(id string) bool { return excluded[id] })
		if refusal != nil {
			return nil, failedOrRefused(mayHaveRun, refusal)
		}
		if attempts == 1 {
			s.Policy.RecordFirstAttempt(work, picked)
		}
		started := s.Now()
		request := call.Call
		request.Address = picked.Address
		answer, sent, err := s.Client.CallService(ctx, request)
		done(modelcalls.Result{FirstToken: s.Now().Sub(started), Total: s.Now().Sub(started), Err: targetFault(err)})
		if intake.Refused(err) {
			return nil, &api.Result{Outcome: api.Failed, Reason: api.ReasonNoCapacity, Retry: api.RetryAfter, RetryAfter: time.Second,
				Message: "the answer of the service was not read: " + err.Error()}
		}
		if err == nil && answer.Status != http.StatusTooManyRequests {
			return &httpapi.ServiceAnswer{ServiceAnswer: *answer}, &api.Result{Outcome: api.Answered}
		}
		mayHaveRun = mayHaveRun || sent && err != nil
		if ctx.Err() != nil {
			return nil, deadlineResult(mayHaveRun)
		}
		excluded[picked.ID()] = true
		if err == nil {
			err = &targetclient.OverloadedError{}
		}
		delay, ok := s.Policy.Allow(work, picked, attempts, err)
		if !ok {
			return nil, failedOrRefused(mayHaveRun, api.RefuseWithRetry(api.ReasonNoCapacity, time.Second, err.Error()))
		}
		if !sleep(ctx, delay) {
			return nil, deadlineResult(mayHaveRun)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// deadlineResult is the result of a call at its deadline. A call of which no byte was sent did not run and is refused.
func deadlineResult(mayHaveRun bool) *api.Result {
	if !mayHaveRun {
		return &api.Result{Outcome: api.Refused, Reason: api.ReasonDeadlineUnreachable, Retry: api.RetryNow,
			Message: "the deadline passed before a target accepted the call"}
	}
	return api.Fail(api.ReasonTimeout, api.RetryNow, "the deadline passed before the service answered")
}

// failedOrRefused turns a refusal into a failure when an earlier attempt may have run.
func failedOrRefused(mayHaveRun bool, refusal *api.Result) *api.Result {
	if !mayHaveRun {
		return refusal
	}
	return &api.Result{Outcome: api.Failed, Reason: api.ReasonTargetFailed, Retry: api.RetryAfter, RetryAfter: time.Second, Message: refusal.Message}
}

// callAtMostOnce sends a call that must run at most once. The dispatch continues when the caller's context ends, so that
// its answer is recorded.
func (s *Server) callAtMostOnce(ctx context.Context, call *httpapi.ServiceCall, work *modelcalls.Work) (*httpapi.ServiceAnswer, *api.Result) {
	leave, ok := s.Gate.Enter()
	if !ok {
		return nil, modelcalls.Draining()
	}
	place, refusal := s.Policy.Acquire(ctx, work)
	if refusal != nil {
		leave()
		return nil, refusal
	}
	started := s.Now()
	client := intake.ClientOf(ctx)
	final := s.Ledger.Run(ctx, call, work.Deadline, func(attempt string) (*targetclient.ServiceAnswer, bool, error) {
		client, done := client.Outlive()
		defer done()
		return s.dispatch(intake.WithClient(context.Background(), client), call, work, attempt)
	}, func() {
		// The duration includes the wait for the replicated log and says little about the work, so it is kept out of the
		// admission estimates.
		place.Release(workUnits(s.Now().Sub(started)), false)
		leave()
	})
	if final.Answer == nil {
		return nil, final.Result
	}
	return &httpapi.ServiceAnswer{ServiceAnswer: *final.Answer, Replayed: final.Replayed}, final.Result
}

// dispatch sends a reserved call once. It never retries on a second target, even if nothing seems to have been sent: the
// caller repeats the call with the same idempotency key.
func (s *Server) dispatch(ctx context.Context, call *httpapi.ServiceCall, work *modelcalls.Work, attempt string) (*targetclient.ServiceAnswer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.RequestTimeout)
	defer cancel()
	picked, done, refusal := s.Policy.PickService(work, func(string) bool { return false })
	if refusal != nil {
		return nil, false, errors.New(refusal.Message)
	}
	request := call.Call
	request.Address = picked.Address
	request.AttemptID = attempt
	started := s.Now()
	answer, sent, err := s.Client.CallService(ctx, request)
	done(modelcalls.Result{FirstToken: s.Now().Sub(started), Total: s.Now().Sub(started), Err: targetFault(err)})
	return answer, sent, err
}

// targetFault returns the error of a call if the target is to blame for it: not for an answer that was not read because its client gets
// no room for it.
func targetFault(err error) error {
	if intake.Refused(err) {
		return nil
	}
	return err
}

func (s *Server) record(call *httpapi.ServiceCall, answer *httpapi.ServiceAnswer, result *api.Result) {
	fields := events.Fields{"request": call.RequestID, "caller": call.Caller, "service": call.Service}
	if call.IdempotencyKey != "" {
		fields["key"] = call.IdempotencyKey
	}
	switch {
	case answer != nil && answer.Replayed:
		s.Recorder.Record(events.CallReplayed, fields)
	case answer != nil:
		s.Recorder.Record(events.RequestAnswered, fields)
	case result.Outcome == api.Refused:
		fields["reason"] = result.Reason
		s.Recorder.Record(events.RequestRefused, fields)
	default:
		fields["reason"] = result.Reason
		s.Recorder.Record(events.RequestFailed, fields)
	}
}
