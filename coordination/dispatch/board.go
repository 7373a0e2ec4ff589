// Package dispatch picks the target of a request: it filters the targets that can run it, scores each by the delay to
// expect there, and takes the best. It answers bursts, targets that are slow, dark or fail part of their requests, and
// load that other gateways have sent lately.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

const (
	// failureHalfLife halves the weight of an observed failure.
	failureHalfLife = 2 * time.Second
	// connectBackoff is the pause before it is tried whether a target that accepted no connection accepts one again. It
	// doubles with each failure up to maxConnectBackoff.
	connectBackoff    = 400 * time.Millisecond
	maxConnectBackoff = 1600 * time.Millisecond
	// silentAfter is the age of a heartbeat after which a target may be dead: three heartbeats of 1.2 s, one of them late.
	silentAfter = 4500 * time.Millisecond
	// overdueAfter is the time without a first byte after which a request tells against its target.
	overdueAfter = 1500 * time.Millisecond
)

// Weights of the score, in ms of expected delay.
const (
	defaultPrefillTokensPerMs = 30.0
	// runningMs is the slowdown by each request that a target runs already, in proportion to its slots.
	runningMs = 40.0
	// queuedMs is the wait behind each request that has no slot.
	queuedMs = 60.0
	// remoteMs is the cost of another data centre: the way there and the bytes between data centres.
	remoteMs = 1.0
	// failureMs is the weight of one recent failure.
	failureMs = 150.0
	// overdueMs is the weight of one request without a first byte.
	overdueMs = 400.0
	// silentMs is the weight of missing heartbeats.
	silentMs = 400.0
	// latencyMs weighs the time to the first byte against what was expected.
	latencyMs = 60.0
	// slownessMs weighs the pauses of running streams against the usual ones. A new prompt on a target that is slow for
	// a moment makes its streams late as well.
	slownessMs = 300.0
	// slownessMargin is slowness that is within the usual spread.
	slownessMargin = 0.25
	// noiseMs spreads gateways that see the same loads.
	noiseMs = 6.0
	// latencyWeight is the weight of a new sample in the moving average of latencies.
	latencyWeight = 0.2
)

// EnginePerSlot bounds the requests at a model engine for each of its slots. It serves its queue by priority, so a short
// one is better held there than at the gateways.
const EnginePerSlot = 1.5

// Load is the work on one target.
type Load struct {
	Running      int
	Unstarted    int
	PromptTokens int // of unstarted requests
}

func (l *Load) add(other Load, sign int) {
	l.Running += sign * other.Running
	l.Unstarted += sign * other.Unstarted
	l.PromptTokens += sign * other.PromptTokens
}

type targetState struct {
	own      Load
	others   Load
	pending  map[*Ticket]struct{}
	failures float64
	failedAt time.Time
	// downFor is the latest backoff of a target that accepted no connection, 0 once it was reached. Until then it gets no
	// requests: each one would wait for the connection to time out. From downTill on it may be probed.
	downFor  time.Duration
	downTill time.Time
	downAt   time.Time
	latency  float64 // moving average of the time to the first byte over what was expected, 0 when unknown
	pace     pace
	// othersSlowness and othersTrouble are the highest that other gateways observed lately.
	othersSlowness float64
	othersTrouble  float64 // ms
	// promptsTill is when the target is expected to have read the prompts that it was given. A report of what runs
	// comes too late for prompts that are read within 20 ms.
	promptsTill time.Time
	// placed are the times of the latest reservations, which reports do not show yet.
	placed []time.Time
}

// reportDelay is the age of the load that reports show: the pause between two, and their way.
const reportDelay = 150 * time.Millisecond

// unreported counts the reservations that reports do not show yet.
func (s *targetState) unreported(now time.Time) int {
	old := 0
	for old < len(s.placed) && now.Sub(s.placed[old]) > reportDelay {
		old++
	}
	s.placed = s.placed[old:]
	return len(s.placed)
}

// backlog is the time until the prompts given to the target are read.
func (s *targetState) backlog(now time.Time) time.Duration { return max(s.promptsTill.Sub(now), 0) }

// slowness is the highest that anybody observed lately.
func (s *targetState) slowness(now time.Time) float64 {
	return max(s.pace.slowness(now), s.othersSlowness)
}

// addPrompt adds the time that a prompt takes to the backlog.
func (s *targetState) addPrompt(now time.Time, tokens float64) {
	took := time.Duration(tokens / defaultPrefillTokensPerMs * max(s.slowness(now), 1) * float64(time.Millisecond))
	s.promptsTill = now.Add(s.backlog(now) + took)
}

// Board is what a gateway knows of the load and health of targets. It is safe for concurrent use.
type Board struct {
	mu       sync.Mutex
	targets  map[string]*targetState // by target id
	retiring map[modelAt]bool
	// lacking are models and adapters that a target said it does not hold, adapters those that were ordered, each until
	// the time at which heartbeats tell.
	lacking  map[heldAt]time.Time
	adapters map[heldAt]time.Time
}

type modelAt struct{ id, model string }

type heldAt struct{ id, model, adapter string }

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{targets: make(map[string]*targetState), retiring: make(map[modelAt]bool),
		lacking: make(map[heldAt]time.Time), adapters: make(map[heldAt]time.Time)}
}

func (b *Board) state(id string) *targetState {
	s := b.targets[id]
	if s == nil {
		s = &targetState{pending: make(map[*Ticket]struct{}), pace: newPace()}
		b.targets[id] = s
	}
	return s
}

// Query describes a request that needs a target.
type Query struct {
	Service    string
	Model      string // empty for plain services
	Adapter    string
	Tokens     int // of the prompt
	DataCentre string
	Exclude    []string // target ids that failed this request
	Slots      int      // per target, used when the target does not tell
	// MaxPerSlot leaves out targets with this many requests for each of their slots; 0 leaves out none.
	MaxPerSlot float64
}

// Reason says why there is no target.
type Reason string

// Reasons.
const (
	Found      Reason = ""
	NoTarget   Reason = "no target of the service is known"
	NotLoaded  Reason = "no target holds the model"
	NoAdapter  Reason = "no target holds the adapter"
	AllFull    Reason = "all targets are full"
	AllExclude Reason = "every target that could run the request has failed it or is away"
)

// Pick returns the best target for a request.
func (b *Board) Pick(now time.Time, rng *rand.Rand, q Query, targets []roster.Entry) (*roster.Entry, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reason := NoTarget
	leftOut := func(r Reason) {
		if reasonRank[r] > reasonRank[reason] {
			reason = r
		}
	}
	var best *roster.Entry
	bestScore := 0.0
	for i := range targets {
		t := &targets[i]
		if t.Service != q.Service || t.State != roster.Ready {
			continue
		}
		if q.Model != "" && (t.Holds(q.Model) == nil || b.retiring[modelAt{t.ID, q.Model}] ||
			now.Before(b.lacking[heldAt{t.ID, q.Model, ""}])) {
			leftOut(NotLoaded)
			continue
		}
		if q.Adapter != "" && !b.holdsAdapter(now, t, &q) {
			leftOut(NoAdapter)
			continue
		}
		s := b.state(t.ID)
		if slices.Contains(q.Exclude, t.ID) || s.downFor > 0 {
			leftOut(AllExclude)
			continue
		}
		slots := slotsOf(t, q.Slots)
		if q.MaxPerSlot > 0 && float64(s.own.Running+s.others.Running) >= q.MaxPerSlot*float64(slots) {
			leftOut(AllFull)
			continue
		}
		score := s.score(now, t, &q, slots) + rng.Float64()*noiseMs
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	if best != nil {
		return best, Found
	}
	return nil, reason
}

func (b *Board) holdsAdapter(now time.Time, t *roster.Entry, q *Query) bool {
	at := heldAt{t.ID, q.Model, q.Adapter}
	if now.Before(b.lacking[at]) {
		return false
	}
	return now.Before(b.adapters[at]) || t.HoldsAdapter(q.Model, q.Adapter)
}

const (
	// lackingFor is how long the word of a target that it does not hold something counts more than its heartbeats, which
	// come every 1.2 s.
	lackingFor = 1500 * time.Millisecond
	// orderedFor is how long an adapter that was ordered counts as held without a heartbeat that says so.
	orderedFor = 2500 * time.Millisecond
)

// Lacks notes that a target rejected a request because it does not hold the model or the adapter.
func (b *Board) Lacks(now time.Time, id, model, adapter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	expire(now, b.lacking)
	b.lacking[heldAt{id, model, adapter}] = now.Add(lackingFor)
	delete(b.adapters, heldAt{id, model, adapter})
}

// Ordered notes that a target was ordered to load an adapter.
func (b *Board) Ordered(now time.Time, id, model, adapter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	expire(now, b.adapters)
	b.adapters[heldAt{id, model, adapter}] = now.Add(orderedFor)
	delete(b.lacking, heldAt{id, model, adapter})
}

func expire(now time.Time, m map[heldAt]time.Time) {
	for at, until := range m {
		if !now.Before(until) {
			delete(m, at)
		}
	}
}

// reasonRank orders reasons by how far the best target came through the filters.
var reasonRank = map[Reason]int{NoTarget: 0, NotLoaded: 1, NoAdapter: 2, AllExclude: 3, AllFull: 4}

func slotsOf(t *roster.Entry, otherwise int) int {
	if t.Slots > 0 {
		return t.Slots
	}
	return max(otherwise, 1)
}

// score is the delay to expect at the target, in ms.
func (s *targetState) score(now time.Time, t *roster.Entry, q *Query, slots int) float64 {
	running := s.own.Running + s.others.Running + s.unreported(now)
	unread := float64(s.own.PromptTokens+s.others.PromptTokens) / defaultPrefillTokensPerMs
	ms := max(unread, float64(s.backlog(now))/float64(time.Millisecond)) + float64(q.Tokens)/defaultPrefillTokensPerMs
	ms += runningMs * float64(running) / float64(slots)
	if queued := running - slots + 1; queued > 0 {
		ms += queuedMs * float64(queued)
	}
	if t.DataCentre != q.DataCentre {
		ms += remoteMs
	}
	if s.latency > 1 {
		ms += latencyMs * (s.latency - 1)
	}
	if slowness := s.slowness(now) - 1 - slownessMargin; slowness > 0 {
		ms += slownessMs * slowness
	}
	ms += max(s.trouble(now), s.othersTrouble)
	if now.Sub(t.HeardAt) > silentAfter {
		ms += silentMs
	}
	return ms
}

// trouble is the delay, in ms, that stands for failures and for requests without a first byte.
func (s *targetState) trouble(now time.Time) float64 {
	ms := failureMs * s.recentFailures(now)
	for ticket := range s.pending {
		if now.Sub(ticket.sentAt) > overdueAfter {
			ms += overdueMs
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

// Ticket is one request on its way to or at a target.
type Ticket struct {
	id      string
	model   string
	tokens  int
	sentAt  time.Time
	started bool
	ended   bool
}

// Start counts a request that is being sent.
func (b *Board) Start(now time.Time, id, model string, tokens int) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	t := &Ticket{id: id, model: model, tokens: tokens, sentAt: now}
	s.own.add(Load{Running: 1, Unstarted: 1, PromptTokens: tokens}, 1)
	s.pending[t] = struct{}{}
	return t
}

// FirstByte tells that the answer has begun. expected is the time that it should have taken, 0 if unknown.
func (b *Board) FirstByte(now time.Time, t *Ticket, expected time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.started || t.ended {
		return
	}
	s := b.state(t.id)
	t.begin(s)
	s.downFor = 0
	if expected > 0 {
		ratio := min(float64(now.Sub(t.sentAt))/float64(expected), 10)
		if s.latency == 0 {
			s.latency = 1
		}
		s.latency += latencyWeight * (ratio - s.latency)
	}
}

func (t *Ticket) begin(s *targetState) {
	t.started = true
	s.own.add(Load{Unstarted: 1, PromptTokens: t.tokens}, -1)
	delete(s.pending, t)
}

// End is how a request ended.
type End uint8

// Ends.
const (
	// Complete answers say that the target is well.
	Complete End = iota
	// Neutral ends say nothing of the target: the caller left, or the target rejected the request.
	Neutral
	// Failed answers and broken connections tell against the target.
	Failed
	// Unreachable targets are left out for a moment.
	Unreachable
)

// Finish ends the request.
func (b *Board) Finish(now time.Time, t *Ticket, end End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.ended {
		return
	}
	s := b.state(t.id)
	if !t.started {
		t.begin(s)
	}
	t.ended = true
	s.own.Running--
	switch end {
	case Complete:
		s.downFor = 0
		s.failures = s.recentFailures(now) * 0.7
	case Failed:
		s.failures = s.recentFailures(now) + 1
		s.failedAt = now
	case Unreachable:
		s.failures = s.recentFailures(now) + 1
		s.failedAt = now
		s.down(now)
	}
}

// down notes a request that found the target unreachable. Requests that failed together count once.
func (s *targetState) down(now time.Time) {
	if s.downFor > 0 && now.Before(s.downTill) {
		s.downTill, s.downAt = now.Add(s.downFor), now
		return
	}
	s.backOff(now)
}

// backOff begins the next backoff.
func (s *targetState) backOff(now time.Time) {
	s.downFor = min(max(2*s.downFor, connectBackoff), maxConnectBackoff)
	s.downTill, s.downAt = now.Add(s.downFor), now
}

// TakeProbes returns the targets for which it is time to try a connection. Each is returned again after another backoff
// unless Probed tells more before.
func (b *Board) TakeProbes(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, s := range b.targets {
		if s.downFor > 0 && !now.Before(s.downTill) {
			s.downTill = now.Add(s.downFor)
			ids = append(ids, id)
		}
	}
	return ids
}

// Probed tells whether a target accepted a connection.
func (b *Board) Probed(now time.Time, id string, accepted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targets[id]
	switch {
	case s == nil:
	case accepted:
		s.downFor = 0
	case s.downFor > 0:
		s.backOff(now)
	}
}

// Observed is the load that a gateway has sent to a target, and how slow the target is.
type Observed struct {
	Load
	// Slowness is the pause between events against the usual one, 0 when nothing was observed lately.
	Slowness float64
	// TroubleMs stands for failures and requests without a first byte.
	TroubleMs float64
}

// Own returns what this gateway has sent to targets and observes of them.
func (b *Board) Own(now time.Time) map[string]Observed {
	b.mu.Lock()
	defer b.mu.Unlock()
	observed := make(map[string]Observed)
	for id, s := range b.targets {
		o := Observed{Load: s.own, Slowness: s.pace.slowness(now), TroubleMs: s.trouble(now)}
		if o.Running > 0 || o.Slowness > 1+slownessMargin || o.TroubleMs > 0 {
			observed[id] = o
		}
	}
	return observed
}

// Unreachable returns the targets that accepted no connection within the period and none since.
func (b *Board) Unreachable(now time.Time, period time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, s := range b.targets {
		if s.downFor > 0 && now.Sub(s.downAt) <= period {
			ids = append(ids, id)
		}
	}
	return ids
}

// Event notes the pause before an event of a stream.
func (b *Board) Event(now time.Time, t *Ticket, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(t.id).pace.event(now, t.model, pause)
}

// SetOthers takes what the other gateways observe and the models that targets are about to unload.
func (b *Board) SetOthers(others map[string]Observed, retiring map[string][]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.targets {
		s.takeOthers(others[id])
	}
	for id, o := range others {
		b.state(id).takeOthers(o)
	}
	clear(b.retiring)
	for id, models := range retiring {
		for _, model := range models {
			b.retiring[modelAt{id, model}] = true
		}
	}
}

func (s *targetState) takeOthers(o Observed) {
	s.others, s.othersSlowness, s.othersTrouble = o.Load, o.Slowness, o.TroubleMs
}

// Reserve counts a prompt that is being sent to a target. scale is the number of gateways when each of them picks by
// itself: they see the same loads, so each has to expect that the others pick as it does.
func (b *Board) Reserve(now time.Time, id string, tokens int, scale float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.addPrompt(now, float64(tokens)*scale)
	for range int(scale) {
		s.placed = append(s.placed, now)
	}
}

// Down returns the targets that accept no connections at the moment.
func (b *Board) Down() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, s := range b.targets {
		if s.downFor > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget drops targets that are not wanted and have no requests.
func (b *Board) Forget(wanted map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.targets {
		if !wanted[id] && s.own.Running == 0 {
			delete(b.targets, id)
		}
	}
}
