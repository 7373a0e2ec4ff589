// Package dispatch selects the target of a request. It filters out targets that cannot run the request, estimates the
// delay at each of the others and picks the lowest. The estimate accounts for bursts, for slow, unreachable and
// partially failing targets, and for the load sent by other gateways.
package dispatch

import (
	"sync"
	"time"
)

const (
	// failureHalfLife is the time in which the weight of an observed failure decays by half.
	failureHalfLife = 2 * time.Second
	// initialConnectBackoff is the delay before an unreachable target is probed for the first time. It doubles with
	// each failed probe, up to maxConnectBackoff.
	initialConnectBackoff = 400 * time.Millisecond
	maxConnectBackoff     = 1600 * time.Millisecond
	// heartbeatOverdueAfter is the heartbeat age from which a target is suspected to have failed: three intervals of
	// 1.2 s plus an allowance for one late heartbeat.
	heartbeatOverdueAfter = 4500 * time.Millisecond
	// firstByteOverdueAfter is the time without a first byte after which a request adds overdueFirstByteMs to the score
	// of its target.
	firstByteOverdueAfter = 1500 * time.Millisecond
)

const (
	// maxUrgentPerSlot and maxOtherPerSlot are the maximum numbers of requests per slot that are sent to a model engine,
	// for requests of the most urgent rank and for all others. An engine with full slots preempts the least urgent request
	// for a more urgent one and reads its prompt again later, so its stream pauses for too long. The few requests beyond
	// the slots keep them busy, and the engine serves these first.
	maxUrgentPerSlot = 1.25
	maxOtherPerSlot  = 1.0
	mostUrgentRank   = 0
)

// MaxEngineRequestsPerSlot returns the maximum number of requests per slot of an engine for a request of a rank.
func MaxEngineRequestsPerSlot(rank int) float64 {
	if rank <= mostUrgentRank {
		return maxUrgentPerSlot
	}
	return maxOtherPerSlot
}

// Load is the work on one target.
type Load struct {
	Running      int
	Unstarted    int
	PromptTokens int // of requests without a first byte
}

func (l *Load) add(other Load, sign int) {
	l.Running += sign * other.Running
	l.Unstarted += sign * other.Unstarted
	l.PromptTokens += sign * other.PromptTokens
}

type targetState struct {
	own      Load
	others   Load
	pending  map[*InFlightRequest]struct{}
	failures float64
	failedAt time.Time
	// connectBackoff is the current backoff of an unreachable target, 0 when the target is reachable. An unreachable
	// target gets no requests, since each would wait for its connection attempt to time out. The next probe is due at
	// probeDueAt.
	connectBackoff time.Duration
	probeDueAt     time.Time
	unreachableAt  time.Time
	// heardAt is when the target last sent something or accepted a connection that was opened to find out.
	heardAt time.Time
	// othersKnown is set while others is that of a report. allowance is the number of own requests up to which a brittle target
	// may get more before the next report, if allowanceKnown is set.
	othersKnown, allowanceKnown bool
	allowance                   int
	claim                       claim
	// lastOthers is others as last known.
	lastOthers Load
	// leaveAloneUntil is the end of the time for which the target asked this gateway to send it nothing.
	leaveAloneUntil time.Time
	// pausedUntil is until when a brittle target that rejected a request gets none.
	pausedUntil time.Time
	// silentProbeAt is the time of the latest probe for its silence.
	silentProbeAt time.Time
	latency       float64 // moving average of actual over expected time to first byte, 0 when unknown
	gaps          gapTracker
	// rank orders the targets for this gateway, see LoadTracker.rank.
	rank uint64
	// speed is that of the target relative to the median target of its service, 1 if it is unknown.
	speed float64
	// othersSlowness and othersPenaltyMs are the highest values that other gateways observed recently.
	othersSlowness  float64
	othersPenaltyMs float64
	// prefillDoneAt is when the target is expected to finish prefill of the prompts sent to it. It is estimated locally
	// because load reports arrive too late for prompts whose prefill takes 20 ms.
	prefillDoneAt time.Time
	// reservedAt are the times of recent reservations that load reports do not include yet.
	reservedAt []time.Time
}

// reportDelay is the maximum age of the load in a report: the reporting interval plus the network delay.
const reportDelay = 150 * time.Millisecond

// unreportedReservations counts the reservations that load reports do not include yet.
func (s *targetState) unreportedReservations(now time.Time) int {
	reported := 0
	for reported < len(s.reservedAt) && now.Sub(s.reservedAt[reported]) > reportDelay {
		reported++
	}
	s.reservedAt = s.reservedAt[reported:]
	return len(s.reservedAt)
}

// backlog returns the estimated time until the target finishes prefill of the prompts sent to it.
func (s *targetState) backlog(now time.Time) time.Duration { return max(s.prefillDoneAt.Sub(now), 0) }

// slowness returns the highest slowness that any gateway observed recently.
func (s *targetState) slowness(now time.Time) float64 {
	return max(s.gaps.slowness(now), s.othersSlowness)
}

// addPrefill adds the estimated prefill time of a prompt to the prefill backlog.
func (s *targetState) addPrefill(now time.Time, tokens float64) {
	prefillTime := time.Duration(tokens / (defaultPrefillTokensPerMs * s.speed) * max(s.slowness(now), 1) * float64(time.Millisecond))
	s.prefillDoneAt = now.Add(s.backlog(now) + prefillTime)
}

// LoadTracker tracks the load and health of targets as seen by one gateway. It is safe for concurrent use.
type LoadTracker struct {
	gateway string // name, constant

	mu      sync.Mutex
	targets map[string]*targetState // by target id
	// ownBrittle is what targets said to this gateway, by target, and peerBrittle what they said to others, by service. brittle is, by
	// service, how many requests a target may have to reject in a second.
	ownBrittle  map[string]brittleObservation
	peerBrittle map[string]int
	brittle     map[string]int
	// othersKnown is set while the loads of the other gateways are those of a report. Targets without an entry have none.
	othersKnown bool
	gateways    int // number of gateways that share the targets, 0 if unknown
	unloading   map[modelKey]bool
	speeds      map[string]float64 // by target id
	// notHeld are models and adapters that a target reported as not resident, and orderedAdapters those that a target
	// was ordered to load. The values are expiry times, from which heartbeats are authoritative again.
	notHeld         map[residentKey]time.Time
	orderedAdapters map[residentKey]time.Time
}

type modelKey struct{ id, model string }

type residentKey struct{ id, model, adapter string }

// NewLoadTracker returns an empty load tracker of a gateway.
func NewLoadTracker(gateway string) *LoadTracker {
	return &LoadTracker{gateway: gateway, targets: make(map[string]*targetState), unloading: make(map[modelKey]bool), brittle: make(map[string]int),
		ownBrittle: make(map[string]brittleObservation),
		notHeld:    make(map[residentKey]time.Time), orderedAdapters: make(map[residentKey]time.Time)}
}

func (tracker *LoadTracker) state(id string) *targetState {
	s := tracker.targets[id]
	if s == nil {
		s = &targetState{pending: make(map[*InFlightRequest]struct{}), gaps: newGapTracker(), speed: tracker.speedOf(id), rank: tracker.rank(id)}
		tracker.targets[id] = s
	}
	return s
}

const (
	// notHeldTTL is how long a target's rejection for a missing model or adapter overrides its heartbeats, which are
	// sent every 1.2 s.
	notHeldTTL = 1500 * time.Millisecond
	// orderedAdapterTTL is how long an adapter that a target was ordered to load counts as held before a heartbeat
	// confirms it.
	orderedAdapterTTL = 2500 * time.Millisecond
)

// MarkNotHeld records that a target rejected a request because it does not hold the model or the adapter.
func (tracker *LoadTracker) MarkNotHeld(now time.Time, id, model, adapter string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	expire(now, tracker.notHeld)
	tracker.notHeld[residentKey{id, model, adapter}] = now.Add(notHeldTTL)
	delete(tracker.orderedAdapters, residentKey{id, model, adapter})
}

// MarkAdapterOrdered records that a target was ordered to load an adapter.
func (tracker *LoadTracker) MarkAdapterOrdered(now time.Time, id, model, adapter string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	expire(now, tracker.orderedAdapters)
	tracker.orderedAdapters[residentKey{id, model, adapter}] = now.Add(orderedAdapterTTL)
	delete(tracker.notHeld, residentKey{id, model, adapter})
}

func expire(now time.Time, m map[residentKey]time.Time) {
	for key, until := range m {
		if !now.Before(until) {
			delete(m, key)
		}
	}
}

// InFlightRequest is one in-flight request to a target.
type InFlightRequest struct {
	id      string
	model   string
	tokens  int
	sentAt  time.Time
	started bool
	ended   bool
}

// Start counts a request as in flight.
func (tracker *LoadTracker) Start(now time.Time, id, model string, tokens int) *InFlightRequest {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	s := tracker.state(id)
	t := &InFlightRequest{id: id, model: model, tokens: tokens, sentAt: now}
	s.own.add(Load{Running: 1, Unstarted: 1, PromptTokens: tokens}, 1)
	s.pending[t] = struct{}{}
	return t
}

// FirstByte records the first byte of the response. expected is the expected time to first byte, 0 if unknown.
func (tracker *LoadTracker) FirstByte(now time.Time, t *InFlightRequest, expected time.Duration) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if t.started || t.ended {
		return
	}
	s := tracker.state(t.id)
	s.heardAt = now
	t.markStarted(s)
	s.connectBackoff = 0
	if expected > 0 {
		ratio := min(float64(now.Sub(t.sentAt))/float64(expected), 10)
		if s.latency == 0 {
			s.latency = 1
		}
		s.latency += latencySampleWeight * (ratio - s.latency)
	}
}

func (t *InFlightRequest) markStarted(s *targetState) {
	t.started = true
	s.own.add(Load{Unstarted: 1, PromptTokens: t.tokens}, -1)
	delete(s.pending, t)
}

// RequestEnd is how a request ended.
type RequestEnd uint8

const (
	// Complete responses count as a sign of health of the target.
	Complete RequestEnd = iota
	// Neutral ends say nothing about the health of the target: the caller disconnected or the target rejected the
	// request.
	Neutral
	// Failed means an error response or a broken connection, which counts as a failure of the target.
	Failed
	// Unreachable means that the target accepted no connection; it gets no requests until it is reachable again.
	Unreachable
)

// Finish records the end of a request. Further calls for the same request have no effect.
func (tracker *LoadTracker) Finish(now time.Time, t *InFlightRequest, end RequestEnd) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if t.ended {
		return
	}
	s := tracker.state(t.id)
	if !t.started {
		t.markStarted(s)
	}
	t.ended = true
	s.own.Running--
	switch end {
	case Complete:
		s.connectBackoff = 0
		s.failures = s.recentFailures(now) * 0.7
	case Failed:
		s.failures = s.recentFailures(now) + 1
		s.failedAt = now
	case Unreachable:
		s.failures = s.recentFailures(now) + 1
		s.failedAt = now
		s.markUnreachable(now)
	}
}

// markUnreachable records a failed connection attempt. Attempts that fail during a backoff restart it but don't
// lengthen it, so concurrent failures count once.
func (s *targetState) markUnreachable(now time.Time) {
	if s.connectBackoff > 0 && now.Before(s.probeDueAt) {
		s.probeDueAt, s.unreachableAt = now.Add(s.connectBackoff), now
		return
	}
	s.startBackoff(now)
}

// startBackoff starts the next backoff, twice as long as the previous one up to maxConnectBackoff.
func (s *targetState) startBackoff(now time.Time) {
	s.connectBackoff = min(max(2*s.connectBackoff, initialConnectBackoff), maxConnectBackoff)
	s.probeDueAt, s.unreachableAt = now.Add(s.connectBackoff), now
}

// TakeDueProbes returns the unreachable targets whose probe is due. A target is returned again after another backoff of
// the same length unless RecordProbe reports a result before.
func (tracker *LoadTracker) TakeDueProbes(now time.Time) []string {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var ids []string
	for id, s := range tracker.targets {
		if s.connectBackoff > 0 && !now.Before(s.probeDueAt) {
			s.probeDueAt = now.Add(s.connectBackoff)
			ids = append(ids, id)
		}
	}
	return ids
}

// RecordConnectFailure records that a target accepted no connection outside of a request and of a probe.
func (tracker *LoadTracker) RecordConnectFailure(now time.Time, id string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if s := tracker.targets[id]; s != nil {
		s.markUnreachable(now)
	}
}

// RecordProbe records whether a probed target accepted a connection.
func (tracker *LoadTracker) RecordProbe(now time.Time, id string, accepted bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	s := tracker.targets[id]
	switch {
	case s == nil:
	case accepted:
		s.connectBackoff, s.heardAt = 0, now
	case s.connectBackoff > 0:
		s.startBackoff(now)
	}
}

// Observation is the load that one gateway sent to a target, with the slowness and failures that it observed there.
type Observation struct {
	Load
	// Slowness is the ratio of the current gap between stream events to the baseline, 0 without recent observations.
	Slowness float64
	// FailurePenaltyMs is the score penalty for recent failures and for requests without a first byte.
	FailurePenaltyMs float64
}

// OwnObservations returns the observations of this gateway by target id. Targets without running requests, slowness and
// failures are omitted.
func (tracker *LoadTracker) OwnObservations(now time.Time) map[string]Observation {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	observed := make(map[string]Observation)
	for id, s := range tracker.targets {
		o := Observation{Load: s.own, Slowness: s.gaps.slowness(now), FailurePenaltyMs: s.failurePenaltyMs(now)}
		if o.Running > 0 || o.Slowness > 1+slownessMargin || o.FailurePenaltyMs > 0 {
			observed[id] = o
		}
	}
	return observed
}

// Unreachable returns the unreachable targets whose latest failed connection attempt lies within the period.
func (tracker *LoadTracker) Unreachable(now time.Time, period time.Duration) []string {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var ids []string
	for id, s := range tracker.targets {
		if s.connectBackoff > 0 && now.Sub(s.unreachableAt) <= period {
			ids = append(ids, id)
		}
	}
	return ids
}

// Event records the time since the previous event of a stream.
func (tracker *LoadTracker) Event(now time.Time, t *InFlightRequest, gap time.Duration) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	s := tracker.state(t.id)
	s.heardAt = now
	s.gaps.observe(now, t.model, gap)
}

// SetPeerObservations replaces the observations of the other gateways and the models that targets are about to unload.
func (tracker *LoadTracker) SetPeerObservations(others map[string]Observation, unloading map[string][]string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for id, o := range others {
		tracker.state(id).setOthers(o)
	}
	tracker.othersKnown = others != nil
	for id, s := range tracker.targets {
		s.renewClaim(others != nil)
		if others != nil {
			s.lastOthers = others[id].Load
		}
		s.setOthers(others[id])
		s.othersKnown, s.allowanceKnown = others != nil, false
	}
	clear(tracker.unloading)
	for id, models := range unloading {
		for _, model := range models {
			tracker.unloading[modelKey{id, model}] = true
		}
	}
}

func (s *targetState) setOthers(o Observation) {
	s.others, s.othersSlowness, s.othersPenaltyMs = o.Load, o.Slowness, o.FailurePenaltyMs
}

// Reserve accounts for a prompt that is about to be sent to a target. scale is the number of gateways that pick
// independently: they see the same loads, so each assumes that the others pick the same target.
func (tracker *LoadTracker) Reserve(now time.Time, id string, tokens int, scale float64) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	s := tracker.state(id)
	s.addPrefill(now, float64(tokens)*scale)
	for range int(scale) {
		s.reservedAt = append(s.reservedAt, now)
	}
}

// Down returns the targets that are unreachable.
func (tracker *LoadTracker) Down() []string {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var ids []string
	for id, s := range tracker.targets {
		if s.connectBackoff > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget drops the state of targets that are not wanted and have no requests in flight.
func (tracker *LoadTracker) Forget(wanted map[string]bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for id, s := range tracker.targets {
		if !wanted[id] && s.own.Running == 0 {
			delete(tracker.targets, id)
		}
	}
}
