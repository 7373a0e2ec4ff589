// Package modelcalls serves model calls: it authorizes and admits a call, picks targets, retries and hedges attempts, and
// splices their streams into one answer.
package modelcalls

import (
	"context"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/coordination/quarantine"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// Work describes a call to the admission, routing and retry policies.
type Work struct {
	RequestID   string
	Caller      string
	Weight      int
	Model       string
	Adapter     string
	Priority    releasenote.Priority
	Fingerprint quarantine.Fingerprint
	// Parts are the messages that other requests may share, all but the last.
	Parts []crashes.Suspect
	// PrefixHashes are the hashes of the prompt up to each block boundary.
	PrefixHashes []uint64
	// PromptTokens is estimated from the bytes of the prompt; TokenLimit is the caller's, or 0.
	PromptTokens int
	TokenLimit   int
	Deadline     time.Time
	// Units is the work that admission estimates. It is 0 for work that is not admitted here. Long says that the estimate
	// is many times the usual work of the model.
	Units float64
	Long  bool
	// MaySpill says that the request may be forwarded to another data centre. Spilled is set when it must be, since this
	// data centre has no capacity.
	MaySpill bool
	Spilled  bool
	// Unreached is set when a connection to a target could not be opened. If no other target is left, another instance of the
	// data centre may reach one.
	Unreached bool
}

// PickedTarget is the target picked for an attempt.
type PickedTarget struct {
	Target      string
	Incarnation uint64
	Address     string
	// Remote says that the target is an instance, of another data centre or, if this one reaches no target, of the same.
	Remote bool
}

// ID joins the name of a target and its incarnation, because a restarted target is a new one.
func (p PickedTarget) ID() string { return TargetID(p.Target, p.Incarnation) }

// TargetID is PickedTarget.ID for a name and an incarnation.
func TargetID(name string, incarnation uint64) string {
	return name + "@" + strconv.FormatUint(incarnation, 10)
}

// Result is how an attempt ended.
type Result struct {
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	Err        error
}

// Admission queues work until it may start.
type Admission interface {
	// Acquire waits for a slot, which must be released.
	Acquire(ctx context.Context, w *Work) (Permit, *api.Result)
}

// Permit is the slot of an admitted call.
type Permit interface {
	// Interrupted is closed when the work has to stop until Resume returns.
	Interrupted() <-chan struct{}
	Resume(ctx context.Context) *api.Result
	// Release ends the work, with the number of tokens that were generated and whether the answer is complete.
	Release(tokens int, answered bool)
}

// Picker picks targets and updates its estimates from the results of attempts.
type Picker interface {
	// Pick returns a target that is not avoided; avoided takes a PickedTarget.ID. Done must be called when the attempt
	// has ended.
	Pick(w *Work, avoided func(id string) bool) (p PickedTarget, done func(Result), refusal *api.Result)
	// Expected is the expected time to the first token.
	Expected(w *Work) time.Duration
	// ReportOverdue reports an attempt that has waited this long for its first token.
	ReportOverdue(w *Work, p PickedTarget, waited time.Duration)
	// Hedge reports whether a hedged attempt may be started now.
	Hedge(w *Work, p PickedTarget, waited time.Duration) bool
	// HedgeDelay is the time after which a hedged attempt is considered.
	HedgeDelay(w *Work) time.Duration
}

// Retries decides on further attempts.
type Retries interface {
	// RecordFirstAttempt records the first attempt of a request.
	RecordFirstAttempt(w *Work, p PickedTarget)
	// Allow reports whether, and after what delay, another attempt may be made on the next target. Attempts is the number
	// of attempts so far; the last one ended with err.
	Allow(w *Work, next PickedTarget, attempts int, err error) (delay time.Duration, ok bool)
}

// Suspects tracks the requests that were in flight on targets that crashed.
type Suspects interface {
	// Verdict refuses a request that is quarantined, or that shares a quarantined message with others.
	Verdict(fingerprint quarantine.Fingerprint, parts []crashes.Suspect) *api.Result
	// MayRepeat reports whether a request that was on a crashed target may be sent to another one.
	MayRepeat(parts []crashes.Suspect) bool
	// IsSuspect reports whether a request has a strike, that is, was in flight on a target that crashed.
	IsSuspect(fingerprint quarantine.Fingerprint) bool
	// Begin registers an attempt and reports whether it may be sent now.
	Begin(ctx context.Context, a quarantine.Attempt, parts []crashes.Suspect) bool
	// Answering records that the target of an attempt goes on after it began the answer.
	Answering(attemptID string)
	// Succeeded clears the strikes of a request that was answered completely.
	Succeeded(attemptID string)
	// Failed reports a broken attempt. It returns when the other instances have acknowledged the strike or a timeout has
	// passed.
	Failed(ctx context.Context, attemptID string, target quarantine.Target)
	// RemoveAttempt removes an attempt whose end is no evidence about the request.
	RemoveAttempt(attemptID string)
}

// ConfigSource provides the configuration set by the applied release notes.
type ConfigSource interface{ Contents() *catalog.ActiveConfig }

// Streamer sends attempts to targets.
type Streamer interface {
	Stream(ctx context.Context, a targetclient.Attempt, onEvent func(targetclient.Event) error) error
	Cancel(ctx context.Context, address, attemptID string) error
}

// Server answers model calls.
type Server struct {
	Config         ConfigSource
	Gate           *drain.Gate
	Admission      Admission
	Picker         Picker
	Retries        Retries
	Suspects       Suspects
	Client         Streamer
	Recorder       *events.Recorder
	RequestTimeout time.Duration
	Now            func() time.Time
	// Metrics receives the timers; nil means none.
	Metrics  metrics.Registry
	Instance string
}

// Chat answers one call.
func (s *Server) Chat(ctx context.Context, call httpapi.ChatCall, out httpapi.EventWriter) *api.Result {
	leave, ok := s.Gate.Enter()
	if !ok {
		return Draining()
	}
	defer leave()
	timed := &timedWriter{EventWriter: out, now: s.Now}
	started := s.Now()
	result := s.answer(ctx, &call, timed)
	if result.Outcome == api.Answered && s.Metrics != nil {
		metrics.GetOrRegisterTimer("model_calls.total", s.Metrics).Update(s.Now().Sub(started))
		if !timed.firstToken.IsZero() {
			metrics.GetOrRegisterTimer("model_calls.first_token", s.Metrics).Update(timed.firstToken.Sub(started))
		}
	}
	s.record(&call, result)
	return result
}

// timedWriter records when the first token was forwarded.
type timedWriter struct {
	httpapi.EventWriter
	now        func() time.Time
	firstToken time.Time
}

// WriteEvent forwards a token.
func (w *timedWriter) WriteEvent(offset int, chunk []byte) error {
	if w.firstToken.IsZero() {
		w.firstToken = w.now()
	}
	return w.EventWriter.WriteEvent(offset, chunk)
}

// Draining returns the refusal of an instance that is shutting down.
func Draining() *api.Result {
	return &api.Result{Outcome: api.Refused, Reason: api.ReasonDraining, Retry: api.RetryNow,
		Message: "this instance is shutting down; repeat the request on another instance"}
}

func (s *Server) answer(ctx context.Context, call *httpapi.ChatCall, out httpapi.EventWriter) *api.Result {
	work, refusal := s.work(call)
	if refusal != nil {
		return refusal
	}
	if refusal := s.Suspects.Verdict(work.Fingerprint, work.Parts); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	permit, refusal := s.Admission.Acquire(ctx, work)
	if refusal != nil {
		return refusal
	}
	r := newRun(s, work, call, permit, out)
	result := r.run(ctx)
	permit.Release(r.forwarded, result.Outcome == api.Answered)
	return result
}

// work authorizes a call and describes it to the policies.
func (s *Server) work(call *httpapi.ChatCall) (*Work, *api.Result) {
	model, adapter := call.Request.ModelAndAdapter()
	permission, refusal := s.Config.Contents().PermitModel(call.Caller, model, adapter)
	if refusal != nil {
		return nil, refusal
	}
	priority := permission.Priority
	if call.Priority != "" && call.Priority.Rank() > priority.Rank() {
		priority = call.Priority
	}
	timeout := s.RequestTimeout
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	}
	return &Work{
		RequestID: call.RequestID, Caller: call.Caller, Weight: permission.Weight, Model: model, Adapter: adapter,
		Priority: priority, Fingerprint: fingerprint(call, model, adapter), Parts: sharedMessages(call), PrefixHashes: targetapi.PrefixHashes(call.Request),
		PromptTokens: call.Request.PromptTokens(), TokenLimit: call.Request.TokenLimit(), Deadline: s.Now().Add(timeout),
		MaySpill: call.SpilledFrom == "",
	}, nil
}

// fingerprint identifies a request by caller, model and messages, since a caller that sends a crashing request again may
// change its headers or its token limit.
func fingerprint(call *httpapi.ChatCall, model, adapter string) quarantine.Fingerprint {
	var body []byte
	for _, m := range call.Request.Messages {
		body = append(append(append(append(body, m.Role...), 0), m.Content...), 0)
	}
	return quarantine.FingerprintOf(call.Caller, model, adapter, body)
}

// sharedMessages returns the messages of a request but the last, which is its own.
func sharedMessages(call *httpapi.ChatCall) []crashes.Suspect {
	var parts []crashes.Suspect
	for i, m := range call.Request.Messages[:max(len(call.Request.Messages)-1, 0)] {
		parts = append(parts, crashes.Suspect{Key: crashes.PartKey(m.Role + "\x00" + m.Content), Depth: i + 1})
	}
	return parts
}

func (s *Server) record(call *httpapi.ChatCall, result *api.Result) {
	fields := events.Fields{"request": call.RequestID, "caller": call.Caller, "model": call.Request.Model}
	switch result.Outcome {
	case api.Answered:
		s.Recorder.Record(events.RequestAnswered, fields)
	case api.Refused:
		fields["reason"] = result.Reason
		s.Recorder.Record(events.RequestRefused, fields)
	default:
		fields["reason"] = result.Reason
		fields["error"] = result.Message
		s.Recorder.Record(events.RequestFailed, fields)
	}
}
