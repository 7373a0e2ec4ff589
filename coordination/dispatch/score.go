package dispatch

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Weights of the score. The score is an expected delay in ms.
const (
	defaultPrefillTokensPerMs = 30.0
	// fullSlotsMs is the slowdown by running requests when they occupy all slots of the target.
	fullSlotsMs = 40.0
	// queuedMs is the delay caused by each queued request.
	queuedMs = 60.0
	// remoteMs is the cost of a target in another data centre: network latency and cross-data-centre traffic.
	remoteMs = 1.0
	// connectMs is the cost of a new connection: a round trip, the handshake at the target and the slot that it holds
	// meanwhile.
	connectMs = 3.0
	// failureMs is the penalty for one recent failure.
	failureMs = 150.0
	// overdueFirstByteMs is the penalty for each request without a first byte after firstByteOverdueAfter.
	overdueFirstByteMs = 400.0
	// missedHeartbeatsMs is the penalty for missed heartbeats.
	missedHeartbeatsMs = 400.0
	// excessLatencyMs is the penalty per unit by which the ratio of actual to expected time to first byte exceeds 1.
	excessLatencyMs = 60.0
	// slownessMs is the penalty per unit of slowness beyond slownessMargin. Sending a new prompt to a target that is
	// temporarily slow also delays the streams that it runs already.
	slownessMs = 300.0
	// slownessMargin is the slowness above 1 that lies within normal variation.
	slownessMargin = 0.25
	// maxJitterMs is the maximum random jitter of a score. It keeps gateways that see the same loads from all picking
	// the same target.
	maxJitterMs = 6.0
	// latencySampleWeight is the weight of a new sample in the exponential moving average of latency ratios.
	latencySampleWeight = 0.2
)

// score returns the expected delay at the target, in ms.
func (s *targetState) score(now time.Time, t *roster.Entry, q *Query, slots int) float64 {
	running := s.own.Running + s.others.Running + s.unreportedReservations(now)
	prefillTokensPerMs := defaultPrefillTokensPerMs * s.speed
	queuedPrefillMs := float64(s.own.PromptTokens+s.others.PromptTokens) / prefillTokensPerMs
	ms := max(queuedPrefillMs, float64(s.backlog(now))/float64(time.Millisecond)) + float64(q.Tokens)/prefillTokensPerMs
	ms += fullSlotsMs * float64(running) / float64(slots) / s.speed
	if queued := running - slots + 1; queued > 0 {
		ms += queuedMs * float64(queued) / s.speed
	}
	if t.DataCentre != q.DataCentre {
		ms += remoteMs
	}
	if s.latency > 1 {
		ms += excessLatencyMs * (s.latency - 1)
	}
	if slowness := s.slowness(now) - 1 - slownessMargin; slowness > 0 {
		ms += slownessMs * slowness
	}
	ms += max(s.failurePenaltyMs(now), s.othersPenaltyMs)
	if now.Sub(t.HeardAt) > heartbeatOverdueAfter {
		ms += missedHeartbeatsMs
	}
	return ms
}

// failurePenaltyMs returns the penalty, in ms, for recent failures and for requests without a first byte.
func (s *targetState) failurePenaltyMs(now time.Time) float64 {
	ms := failureMs * s.recentFailures(now)
	for inFlight := range s.pending {
		if now.Sub(inFlight.sentAt) > firstByteOverdueAfter {
			ms += overdueFirstByteMs
		}
	}
	return ms
}

func (s *targetState) recentFailures(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	age := now.Sub(s.failedAt)
	for ; age >= failureHalfLife && s.failures > 0.01; age -= failureHalfLife {
		s.failures /= 2
		s.failedAt = s.failedAt.Add(failureHalfLife)
	}
	if s.failures <= 0.01 {
		s.failures = 0
	}
	return s.failures
}
