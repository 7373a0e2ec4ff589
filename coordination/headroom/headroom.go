// Package headroom decides how full a target may be for a request, and which part of the free slots a gateway may take, while the
// requests for a model exceed the slots of its copies.
//
// Load pattern: for some seconds a service gets more requests than its targets have slots for. Some callers need the first
// event within a fraction of a second, others are content with one after several seconds, and many gateways send without
// knowing what waits at the others. Taken in the order of arrival, requests that could wait occupy the slots, and urgent
// ones start when their objective is missed, together with those that are late already. When a load report shows a free
// slot, the requests that wait at all gateways are sent to it at once, and the target rejects most of them.
//
// Part of the slots is therefore left free by requests that can wait, and by those that have missed their objective. Fresh
// urgent requests find room there without a message between gateways. Each gateway takes free slots in proportion to the
// requests that wait at it.
package headroom

import "time"

const (
	// MinDeferrableObjective is the objective from which the callers of a route have time to spare: within it, all slots of a
	// target become free at least twice.
	MinDeferrableObjective = 4 * time.Second
	// startTime is the time before its objective at which a request has to start. Within it, about half of the slots of a
	// target become free.
	startTime = 1500 * time.Millisecond
	// deferrableShare, lateShare and overShareShare are the shares of the slots up to which a target may be full for requests with
	// time to spare, for those that have missed their objective, and for those of accounts above their fair share.
	deferrableShare = 0.75
	lateShare       = 0.85
	overShareShare  = 0.75
)

// Request is what is known of a request when a target is looked for.
type Request struct {
	// Objective is the time from the first attempt of the caller within which the response, or the first event of a stream,
	// is in time; 0 if there is none.
	Objective time.Duration
	// Age is the time since the first attempt of the caller.
	Age time.Duration
	// OverShare is set if the account of the caller is above its fair share.
	OverShare bool
}

// Urgent reports whether the request is in time only if it starts soon.
func (r Request) Urgent() bool {
	left := r.Objective - r.Age
	return left > 0 && left <= startTime
}

// Share returns the share of the slots of a target up to which it may be full for the request.
func (r Request) Share() float64 {
	share := 1.0
	if r.OverShare {
		share = overShareShare
	}
	switch left := r.Objective - r.Age; {
	case r.Objective <= 0:
	case left <= 0:
		share = min(share, lateShare)
	case left > startTime:
		share = min(share, deferrableShare)
	}
	return share
}

// Queue counts the requests that wait for a model.
type Queue struct {
	Urgent, Other int
}

// Total returns the number of all requests.
func (q Queue) Total() int { return q.Urgent + q.Other }

// Competing returns the number of requests that compete for the slots that one is looking for.
func Competing(own, others Queue, urgent bool) int {
	if urgent {
		return max(own.Urgent, 1) + others.Urgent
	}
	return max(own.Total(), 1) + others.Total()
}

// Part returns the part of the free slots that a gateway may take for a request, given the requests that wait at it and at the
// others. Urgent requests compete with urgent ones only, since the others leave a part of the slots free.
func Part(own, others Queue, urgent bool) float64 {
	if urgent {
		return proportion(own.Urgent, others.Urgent)
	}
	return proportion(own.Total(), others.Total())
}

// proportion counts the request that looks for a target, which may not wait yet.
func proportion(own, others int) float64 {
	n := float64(max(own, 1))
	return n / (n + float64(max(others, 0)))
}
