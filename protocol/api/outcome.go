// Package api holds the types, headers and outcome codes that callers and operators see.
package api

import (
	"net/http"
	"strconv"
	"time"
)

// Request headers that callers may set.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderCaller         = "Hoist-Caller"
	HeaderPriority       = "Hoist-Priority"
	HeaderDeadlineMs     = "Hoist-Deadline-Ms"
)

// HeaderSpilled marks a request that an instance of another data centre passes on because it has no room. Such a
// request is not passed on again.
const HeaderSpilled = "Hoist-Spilled-From"

// Response headers of every answer.
const (
	HeaderOutcome       = "Hoist-Outcome"
	HeaderRepeat        = "Hoist-Repeat"
	HeaderRepeatAfterMs = "Hoist-Repeat-After-Ms"
	HeaderReason        = "Hoist-Reason"
	HeaderInstance      = "Hoist-Instance"
	HeaderReplayed      = "Hoist-Replayed"
)

// Outcome says what happened to a request.
type Outcome string

// Outcomes. Refused means that the request did not run.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused"
	Failed   Outcome = "failed"
	Unknown  Outcome = "unknown"
)

// Repeat says what the caller may do next.
type Repeat string

// Repeat advice.
const (
	RepeatNow   Repeat = "now"
	RepeatAfter Repeat = "after"
	RepeatNever Repeat = "never"
)

// Reason is a machine-readable cause of a refusal or failure.
type Reason string

// Reasons.
const (
	ReasonUnknownModel        Reason = "unknown_model"
	ReasonUnknownAdapter      Reason = "unknown_adapter"
	ReasonCallerNotPermitted  Reason = "caller_not_permitted"
	ReasonUnauthenticated     Reason = "unauthenticated"
	ReasonBodyTooLarge        Reason = "body_too_large"
	ReasonMalformedRequest    Reason = "malformed_request"
	ReasonOverShare           Reason = "over_share"
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	ReasonNoCapacity          Reason = "no_capacity"
	ReasonNoTarget            Reason = "no_target"
	ReasonQuarantined         Reason = "quarantined"
	ReasonDraining            Reason = "draining"
	ReasonNoQuorum            Reason = "no_quorum"
	ReasonKeyReused           Reason = "key_reused"
	ReasonInProgress          Reason = "in_progress"
	ReasonMayHaveRun          Reason = "may_have_run"
	ReasonTargetFailed        Reason = "target_failed"
	ReasonStreamBroken        Reason = "stream_broken"
	ReasonTimeout             Reason = "timeout"
)

// httpStatus gives the HTTP status for each reason.
var httpStatus = map[Reason]int{
	ReasonUnknownModel:        http.StatusNotFound,
	ReasonUnknownAdapter:      http.StatusNotFound,
	ReasonCallerNotPermitted:  http.StatusForbidden,
	ReasonUnauthenticated:     http.StatusUnauthorized,
	ReasonBodyTooLarge:        http.StatusRequestEntityTooLarge,
	ReasonMalformedRequest:    http.StatusBadRequest,
	ReasonOverShare:           http.StatusTooManyRequests,
	ReasonDeadlineUnreachable: http.StatusServiceUnavailable,
	ReasonNoCapacity:          http.StatusServiceUnavailable,
	ReasonNoTarget:            http.StatusServiceUnavailable,
	ReasonQuarantined:         http.StatusServiceUnavailable,
	ReasonDraining:            http.StatusServiceUnavailable,
	ReasonNoQuorum:            http.StatusServiceUnavailable,
	ReasonKeyReused:           http.StatusConflict,
	ReasonInProgress:          http.StatusConflict,
	ReasonMayHaveRun:          http.StatusConflict,
	ReasonTargetFailed:        http.StatusBadGateway,
	ReasonStreamBroken:        http.StatusBadGateway,
	ReasonTimeout:             http.StatusGatewayTimeout,
}

// Result is the typed outcome of one request: what happened, apart from what the caller may do about it.
type Result struct {
	Outcome     Outcome
	Reason      Reason
	Repeat      Repeat
	RepeatAfter time.Duration
	Message     string
}

// Error implements error, so that a result can travel up a call chain.
func (r *Result) Error() string { return string(r.Reason) + ": " + r.Message }

// HTTPStatus gives the status code that goes with the result.
func (r *Result) HTTPStatus() int {
	if r.Outcome == Answered {
		return http.StatusOK
	}
	if status, ok := httpStatus[r.Reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// SetHeaders writes the outcome headers. Retry-After has a resolution of one second and is rounded up.
func (r *Result) SetHeaders(h http.Header) {
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.Outcome == Answered {
		return
	}
	h.Set(HeaderRepeat, string(r.Repeat))
	h.Set(HeaderReason, string(r.Reason))
	if r.Repeat == RepeatAfter {
		h.Set(HeaderRepeatAfterMs, strconv.FormatInt(r.RepeatAfter.Milliseconds(), 10))
		h.Set("Retry-After", strconv.FormatInt(int64((r.RepeatAfter+time.Second-1)/time.Second), 10))
	}
}

// Refuse makes the result of a request that did not run and must not be repeated unchanged.
func Refuse(reason Reason, message string) *Result {
	return &Result{Outcome: Refused, Reason: reason, Repeat: RepeatNever, Message: message}
}

// RefuseFor makes the result of a request that did not run and may be repeated after a delay.
func RefuseFor(reason Reason, after time.Duration, message string) *Result {
	return &Result{Outcome: Refused, Reason: reason, Repeat: RepeatAfter, RepeatAfter: after, Message: message}
}

// Fail makes the result of a request that may have run.
func Fail(reason Reason, repeat Repeat, message string) *Result {
	return &Result{Outcome: Failed, Reason: reason, Repeat: repeat, Message: message}
}
