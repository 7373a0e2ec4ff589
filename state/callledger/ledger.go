// Package callledger is the replicated state machine that deduplicates non-idempotent calls. It decides which attempt may
// dispatch a call and records the outcome.
package callledger

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Retention is how long a record is kept after its call ended. A Reserve older than this is refused, so that an
// old Reserve is never granted after its record was evicted.
const Retention = 24 * time.Hour

// Memory limits. They are constants rather than settings because all voters must reach the same decisions.
const (
	// maxBytes is the memory limit for records. A voter has 128 MB for all of its state.
	maxBytes = 64 << 20
	// recordOverheadBytes is charged for each record in addition to its strings and body.
	recordOverheadBytes = 256
)

// Status is the result of a command or the state of a call.
type Status string

// Results of Reserve. Only Granted allows the attempt to dispatch.
const (
	Granted    Status = "granted"
	Answered   Status = "answered"
	InProgress Status = "in_progress"
	MayHaveRun Status = "may_have_run"
	KeyReused  Status = "key_reused"
	// Released means that the attempt was released or refused before.
	Released Status = "released"
	// Stale means that the command is older than Retention or from an earlier incarnation.
	Stale Status = "stale"
	// Full means that another call would exceed the memory limit.
	Full Status = "full"
)

// Results of the other commands. Ignored means that the key is held by another attempt or the call has already ended.
const (
	Done    Status = "done"
	Ignored Status = "ignored"
)

// Result is the outcome of a command. Apply returns it encoded.
type Result struct {
	Status Status  `cbor:"1,keyasint"`
	Answer *Answer `cbor:"2,keyasint,omitempty"`
	// Owner is the attempt that holds the key.
	Owner Attempt `cbor:"3,keyasint"`
	// Count is the number of records that changed.
	Count int `cbor:"4,keyasint,omitempty"`
}

// DecodeResult decodes a result of Apply.
func DecodeResult(data []byte) (*Result, error) {
	var r Result
	err := cbor.Unmarshal(data, &r)
	return &r, errors.Wrap(err, "decode a call ledger result")
}

// Record is the state of one call. State is InProgress, Answered or MayHaveRun.
type Record struct {
	Call       CallKey `cbor:"1,keyasint"`
	Digest     []byte  `cbor:"2,keyasint"`
	Owner      Attempt `cbor:"3,keyasint"`
	State      Status  `cbor:"4,keyasint"`
	ReservedMs int64   `cbor:"5,keyasint"`
	// EndedMs is when the call was answered or marked as uncertain; 0 while it is in progress.
	EndedMs int64   `cbor:"6,keyasint,omitempty"`
	Answer  *Answer `cbor:"7,keyasint,omitempty"`
}

// chargedBytes returns what the record counts toward maxBytes. A call in progress is charged with the largest possible
// answer, so that its answer can always be recorded.
func (r *Record) chargedBytes() int {
	n := recordOverheadBytes + len(r.Call.Caller) + len(r.Call.Service) + len(r.Call.Key) + len(r.Owner.Instance)
	switch r.State {
	case InProgress:
		return n + MaxAnswerBytes + MaxHeaderBytes
	case Answered:
		return n + len(r.Answer.Body) + len(r.Answer.ContentType)
	}
	return n
}

// instanceState is what the ledger stores about one instance.
type instanceState struct {
	// Incarnation is the highest one seen.
	Incarnation uint64 `cbor:"1,keyasint"`
	// UsedAttempts holds the attempts of that incarnation that may not be granted any more.
	UsedAttempts attemptWindow `cbor:"2,keyasint"`
	// SeenMs is the ledger's clock at the latest command that names the instance.
	SeenMs int64 `cbor:"3,keyasint"`
}

// expiry is the time at which the record of an ended call is evicted.
type expiry struct {
	atMs int64
	call CallKey
}

// Machine applies commands in log order. Apply, Snapshot and Restore must not run concurrently; the methods
// that read a record or counts may be called at any time.
type Machine struct {
	mu        sync.RWMutex
	nowMs     int64 // highest AtMs of the applied commands
	calls     map[CallKey]*Record
	instances map[string]*instanceState
	// inProgress holds the calls in progress by instance.
	inProgress      map[string]map[CallKey]*Record
	inProgressCount int
	// expiries is ordered by time, because nowMs never decreases.
	expiries []expiry
	bytes    int
	maxBytes int
}

// New returns an empty ledger.
func New() *Machine { return newMachine(maxBytes) }

func newMachine(maxBytes int) *Machine {
	m := &Machine{maxBytes: maxBytes}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.nowMs, m.bytes, m.expiries, m.inProgressCount = 0, 0, nil, 0
	m.calls = make(map[CallKey]*Record)
	m.instances = make(map[string]*instanceState)
	m.inProgress = make(map[string]map[CallKey]*Record)
}

// Apply applies one command. A command that cannot be decoded changes nothing.
func (m *Machine) Apply(_ uint64, data []byte) ([]byte, error) {
	c, err := DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nowMs = max(m.nowMs, c.AtMs)
	evicted := m.evictExpired()
	var result Result
	switch {
	case c.Reserve != nil:
		m.observeIncarnation(&c.Reserve.Attempt)
		result = m.reserve(c.AtMs, c.Reserve)
	case c.Release != nil:
		m.observeIncarnation(&c.Release.Attempt)
		result = m.release(c.AtMs, c.Release)
	case c.Complete != nil:
		m.observeIncarnation(&c.Complete.Attempt)
		result = m.complete(c.Complete)
	case c.MarkUncertain != nil:
		m.observeIncarnation(&c.MarkUncertain.Attempt)
		result = m.markUncertain(c.MarkUncertain)
	case c.InstanceStarted != nil:
		started := Attempt{Instance: c.InstanceStarted.Instance, Incarnation: c.InstanceStarted.Incarnation}
		result = Result{Status: Done, Count: m.observeIncarnation(&started)}
	case c.Expire != nil:
		m.evictInstances()
		result = Result{Status: Done, Count: evicted}
	}
	return cbor.Marshal(&result)
}

// isStale reports whether a command is from an earlier incarnation or older than Retention.
func (m *Machine) isStale(a *Attempt, atMs int64) bool {
	return a.Incarnation < m.instances[a.Instance].Incarnation || atMs+Retention.Milliseconds() <= m.nowMs
}

// reserve decides once for each attempt number. A repeated or late Reserve of an attempt that does not hold the key is
// never granted, because its process has abandoned the attempt.
func (m *Machine) reserve(atMs int64, c *Reserve) Result {
	r, held := m.calls[c.Call]
	if held && r.Owner == c.Attempt {
		return m.reserveHeld(r, c)
	}
	if m.isStale(&c.Attempt, atMs) {
		return Result{Status: Stale}
	}
	if !m.instances[c.Attempt.Instance].UsedAttempts.use(c.Attempt.Number) {
		return Result{Status: Released}
	}
	if held {
		return m.reserveHeld(r, c)
	}
	r = &Record{Call: c.Call, Digest: c.Digest, Owner: c.Attempt, State: InProgress, ReservedMs: m.nowMs}
	if m.bytes+r.chargedBytes() > m.maxBytes {
		return Result{Status: Full}
	}
	m.bytes += r.chargedBytes()
	m.calls[c.Call] = r
	m.addInProgress(r)
	return Result{Status: Granted, Owner: r.Owner}
}

// reserveHeld returns the result of a Reserve for a key that is held. A repeated proposal of the holder is granted again;
// the holder itself dispatches only once.
func (m *Machine) reserveHeld(r *Record, c *Reserve) Result {
	result := Result{Status: r.State, Owner: r.Owner, Answer: r.Answer}
	switch {
	case !bytes.Equal(r.Digest, c.Digest):
		return Result{Status: KeyReused}
	case r.Owner == c.Attempt && r.State == InProgress:
		result.Status = Granted
	}
	return result
}

func (m *Machine) release(atMs int64, c *Release) Result {
	result := Result{Status: Ignored}
	r, ok := m.calls[c.Call]
	if ok && r.Owner == c.Attempt && r.State != Answered {
		m.remove(r)
		result = Result{Status: Done, Count: 1}
	}
	if !m.isStale(&c.Attempt, atMs) && m.instances[c.Attempt.Instance].UsedAttempts.use(c.Attempt.Number) {
		result.Status = Done
	}
	return result
}

// complete records an answer. The call may have been marked as uncertain in the meantime, for example by a restart of
// the instance before this command was committed; the answer then replaces the mark.
func (m *Machine) complete(c *Complete) Result {
	r, ok := m.calls[c.Call]
	if !ok || r.Owner != c.Attempt || r.State == Answered {
		return Result{Status: Ignored}
	}
	answer := c.Answer
	m.end(r, Answered, &answer)
	if m.bytes > m.maxBytes { // only after MayHaveRun, which reserves no memory for an answer
		m.bytes -= len(answer.Body)
		answer.Body, answer.TooLarge = nil, true
	}
	return Result{Status: Done, Count: 1}
}

// end closes a call. It can end twice, as MayHaveRun and then as Answered.
func (m *Machine) end(r *Record, state Status, answer *Answer) {
	m.bytes -= r.chargedBytes()
	m.removeInProgress(r)
	r.State, r.Answer, r.EndedMs = state, answer, m.nowMs
	m.bytes += r.chargedBytes()
	m.expiries = append(m.expiries, expiry{call: r.Call, atMs: r.EndedMs + Retention.Milliseconds()})
}

func (m *Machine) markUncertain(c *MarkUncertain) Result {
	r, ok := m.calls[c.Call]
	if !ok || r.Owner != c.Attempt || r.State != InProgress {
		return Result{Status: Ignored}
	}
	m.end(r, MayHaveRun, nil)
	return Result{Status: Done, Count: 1}
}

// observeIncarnation records the incarnation of an instance and returns the number of calls that it marked as uncertain.
// A higher incarnation proves that the process of the lower one has ended: its calls in progress may have run, and its
// attempt numbers need not be kept because isStale reports them.
func (m *Machine) observeIncarnation(a *Attempt) int {
	state := m.instances[a.Instance]
	if state == nil {
		state = &instanceState{}
		m.instances[a.Instance] = state
	}
	state.SeenMs = m.nowMs
	if a.Incarnation <= state.Incarnation {
		return 0
	}
	state.Incarnation, state.UsedAttempts = a.Incarnation, attemptWindow{}
	count := 0
	for _, r := range m.inProgress[a.Instance] { // map order does not matter, since all calls get the same EndedMs
		if r.Owner.Incarnation < a.Incarnation {
			m.end(r, MayHaveRun, nil)
			count++
		}
	}
	return count
}

// evictInstances evicts instances that no command has named for the retention period. Older commands of these instances
// are stale, so they are refused without the instance's state.
func (m *Machine) evictInstances() {
	for name, state := range m.instances {
		if state.SeenMs+Retention.Milliseconds() <= m.nowMs {
			delete(m.instances, name)
		}
	}
}

func (m *Machine) addInProgress(r *Record) {
	calls := m.inProgress[r.Owner.Instance]
	if calls == nil {
		calls = make(map[CallKey]*Record)
		m.inProgress[r.Owner.Instance] = calls
	}
	calls[r.Call] = r
	m.inProgressCount++
}

func (m *Machine) removeInProgress(r *Record) {
	calls := m.inProgress[r.Owner.Instance]
	if _, ok := calls[r.Call]; !ok {
		return
	}
	m.inProgressCount--
	delete(calls, r.Call)
	if len(calls) == 0 {
		delete(m.inProgress, r.Owner.Instance)
	}
}

func (m *Machine) remove(r *Record) {
	m.bytes -= r.chargedBytes()
	m.removeInProgress(r)
	delete(m.calls, r.Call)
}

// evictExpired evicts the calls whose retention period is over and returns their number. An expiry is skipped if its call
// ended again later.
func (m *Machine) evictExpired() int {
	count := 0
	for len(m.expiries) > 0 && m.expiries[0].atMs <= m.nowMs {
		e := m.expiries[0]
		m.expiries = m.expiries[1:]
		r, ok := m.calls[e.call]
		if ok && r.State != InProgress && r.EndedMs+Retention.Milliseconds() == e.atMs {
			m.remove(r)
			count++
		}
	}
	return count
}

// Lookup returns a copy of the record of a call.
func (m *Machine) Lookup(call CallKey) (Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.calls[call]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Unresolved returns up to limit calls that are in progress or may have run, oldest first, and their total number. It is
// shown to operators.
func (m *Machine) Unresolved(limit int) ([]Record, int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var list []Record
	for _, r := range m.calls {
		if r.State != Answered {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, compareRecords)
	return list[:min(limit, len(list))], len(list)
}

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.ReservedMs, b.ReservedMs), cmp.Compare(a.Call.Caller, b.Call.Caller),
		cmp.Compare(a.Call.Service, b.Call.Service), cmp.Compare(a.Call.Key, b.Call.Key))
}

// Stats describes the size of the ledger.
type Stats struct {
	Records, InProgress, Bytes, MaxBytes int
}

func (m *Machine) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Stats{Records: len(m.calls), InProgress: m.inProgressCount, Bytes: m.bytes, MaxBytes: m.maxBytes}
}
