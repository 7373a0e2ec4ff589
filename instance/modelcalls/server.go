// Package modelcalls answers model calls: it authorizes, admits, picks a target and splices the answer from as many
// attempts as it takes.
package modelcalls

import (
	"context"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

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

// Work describes one call to the policies.
type Work struct {
	RequestID   string
	Caller      string
	Weight      int
	Model       string
	Adapter     string
	Priority    releasenote.Priority
	Fingerprint quarantine.Fingerprint
	// PrefixHashes are the hashes of the prompt up to each block boundary.
	PrefixHashes []uint64
	// PromptTokens is estimated from the bytes of the prompt; TokenLimit is the caller's, or 0.
	PromptTokens int
	TokenLimit   int
	Deadline     time.Time
	// Units is the work that admission expects and Long its class. Units is 0 for work that is not admitted here.
	Units float64
	Long  bool
	// MaySpill says that the request may be passed on to another data centre. Spilled is set when it has to be, since
	// this data centre has no room.
	MaySpill bool
	Spilled  bool
}

// Placed is a target that was picked for an attempt.
type Placed struct {
	Target      string
	Incarnation uint64
	Address     string
	// Remote says that the target is an instance of another data centre.
	Remote bool
}

// ID joins the name of a target and its incarnation, because a restarted target is a new one.
func (p Placed) ID() string { return TargetID(p.Target, p.Incarnation) }

// TargetID is Placed.ID for a name and an incarnation.
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

// Admission holds work back until it may start.
type Admission interface {
	// Acquire waits for a place. The place must be released.
	Acquire(ctx context.Context, w *Work) (Place, *api.Result)
}

// Place is the permission to run.
type Place interface {
	// Interrupted is closed when the work has to stop until Resume returns.
	Interrupted() <-chan struct{}
	Resume(ctx context.Context) *api.Result
	// Release ends the work, with the number of tokens that were generated and whether the answer is complete.
	Release(tokens int, answered bool)
}

// Picker picks targets and learns from attempts.
type Picker interface {
	// Pick returns a target that is not avoided; targets are named by Placed.ID. Done must be called when the attempt has
	// ended.
	Pick(w *Work, avoided func(id string) bool) (p Placed, done func(Result), refusal *api.Result)
	// Expected is the usual time until the first token.
	Expected(w *Work) time.Duration
	// Overdue reports an attempt that has not answered for this long.
	Overdue(w *Work, p Placed, waited time.Duration)
	// Hedge says whether a second attempt may be started now.
	Hedge(w *Work, p Placed, waited time.Duration) bool
	// HedgeDelay is the time after which a second attempt is considered.
	HedgeDelay(w *Work) time.Duration
}

// Retries decides on further attempts.
type Retries interface {
	// First notes the first attempt of a request.
	First(w *Work, p Placed)
	// Allow says whether another attempt may be made on the next target after a number of attempts, of which the last
	// ended with err, and after what delay.
	Allow(w *Work, next Placed, attempts int, err error) (delay time.Duration, ok bool)
}

// Suspects knows the requests that were in flight on targets that died.
type Suspects interface {
	// Verdict refuses a request that is quarantined.
	Verdict(fingerprint quarantine.Fingerprint) *api.Result
	// Suspect says whether a request has a strike.
	Suspect(fingerprint quarantine.Fingerprint) bool
	// Begin registers an attempt and says whether it may be sent now.
	Begin(ctx context.Context, a quarantine.Attempt) bool
	// Succeeded clears a request that was answered completely.
	Succeeded(attemptID string)
	// Failed reports a broken attempt and returns when the other instances know of it.
	Failed(ctx context.Context, attemptID string, target quarantine.Target)
	// Ended removes an attempt whose end says nothing about the request.
	Ended(attemptID string)
}

// InForce gives what is in force.
type InForce interface{ Contents() *catalog.Contents }

// Streamer sends attempts to targets.
type Streamer interface {
	Stream(ctx context.Context, a targetclient.Attempt, onEvent func(targetclient.Event) error) error
	Cancel(ctx context.Context, address, attemptID string) error
}

// Server answers model calls.
type Server struct {
	InForce        InForce
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
	Metrics metrics.Registry
	// Instance is the name of this instance.
	Instance string
}

// Chat answers one call.
func (s *Server) Chat(ctx context.Context, call httpapi.ChatCall, out httpapi.TokenWriter) *api.Result {
	leave, ok := s.Gate.Enter()
	if !ok {
		return Draining()
	}
	defer leave()
	timed := &timedWriter{TokenWriter: out, now: s.Now}
	started := s.Now()
	result := s.answer(ctx, &call, timed)
	if result.Outcome == api.Answered && s.Metrics != nil {
		metrics.GetOrRegisterTimer("model_calls.total", s.Metrics).Update(s.Now().Sub(started))
		if !timed.first.IsZero() {
			metrics.GetOrRegisterTimer("model_calls.first_token", s.Metrics).Update(timed.first.Sub(started))
		}
	}
	s.record(&call, result)
	return result
}

// timedWriter notes when the first token was passed on.
type timedWriter struct {
	httpapi.TokenWriter
	now   func() time.Time
	first time.Time
}

// WriteEvent passes a token on.
func (w *timedWriter) WriteEvent(offset int, chunk []byte) error {
	if w.first.IsZero() {
		w.first = w.now()
	}
	return w.TokenWriter.WriteEvent(offset, chunk)
}

// Draining refuses a request of an instance that shuts down.
func Draining() *api.Result {
	return &api.Result{Outcome: api.Refused, Reason: api.ReasonDraining, Repeat: api.RepeatNow,
		Message: "this instance is shutting down; another one takes the request"}
}

func (s *Server) answer(ctx context.Context, call *httpapi.ChatCall, out httpapi.TokenWriter) *api.Result {
	work, refusal := s.work(call)
	if refusal != nil {
		return refusal
	}
	if refusal := s.Suspects.Verdict(work.Fingerprint); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	place, refusal := s.Admission.Acquire(ctx, work)
	if refusal != nil {
		return refusal
	}
	r := newRun(s, work, call, place, out)
	result := r.run(ctx)
	place.Release(r.forwarded, result.Outcome == api.Answered)
	return result
}

// work authorizes a call and gathers what the policies need.
func (s *Server) work(call *httpapi.ChatCall) (*Work, *api.Result) {
	model, adapter := call.Request.ModelAndAdapter()
	permission, refusal := s.InForce.Contents().PermitModel(call.Caller, model, adapter)
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
		Priority: priority, Fingerprint: fingerprint(call, model, adapter), PrefixHashes: targetapi.PrefixHashes(call.Request),
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
