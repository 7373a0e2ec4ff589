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

// HeaderForwardedFrom marks a request that an instance of another data centre forwards because that data centre lacks
// capacity. Such a request is not forwarded again.
const HeaderForwardedFrom = "Hoist-Spilled-From"

// Response headers.
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

// Outcomes. Refused means that the request did not run; Failed means that it may have run.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused"
	Failed   Outcome = "failed"
	Unknown  Outcome = "unknown"
)

// RetryAdvice says whether and when the caller may retry the request.
type RetryAdvice string

// Values of RetryAdvice.
const (
	RetryNow   RetryAdvice = "now"
	RetryAfter RetryAdvice = "after"
	RetryNever RetryAdvice = "never"
)

// Reason is the machine-readable cause of an outcome other than Answered.
type Reason string

// Values of Reason.
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

// httpStatus maps each reason to its HTTP status.
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

// Result is the outcome of one request. Outcome and Reason say what happened; Retry and RetryAfter say whether and
// when the caller may retry.
type Result struct {
	Outcome    Outcome
	Reason     Reason
	Retry      RetryAdvice
	RetryAfter time.Duration
	Message    string
}

// Error implements error, so that functions can return a result as an error.
func (r *Result) Error() string { return string(r.Reason) + ": " + r.Message }

// HTTPStatus returns the HTTP status code of the result.
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
	h.Set(HeaderRepeat, string(r.Retry))
	h.Set(HeaderReason, string(r.Reason))
	if r.Retry == RetryAfter {
		h.Set(HeaderRepeatAfterMs, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
		h.Set("Retry-After", strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
}

// Refuse returns the result for a request that did not run and must not be retried unchanged.
func Refuse(reason Reason, message string) *Result {
	return &Result{Outcome: Refused, Reason: reason, Retry: RetryNever, Message: message}
}

// RefuseWithRetry returns the result for a request that did not run and may be retried after a delay.
func RefuseWithRetry(reason Reason, after time.Duration, message string) *Result {
	return &Result{Outcome: Refused, Reason: reason, Retry: RetryAfter, RetryAfter: after, Message: message}
}

// Fail returns the result for a request that may have run.
func Fail(reason Reason, retry RetryAdvice, message string) *Result {
	return &Result{Outcome: Failed, Reason: reason, Retry: retry, Message: message}
}
