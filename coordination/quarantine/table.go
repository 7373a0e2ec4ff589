// Package quarantine detects requests that crash targets, with strikes shared by all instances, and refuses to run them
// on a third target.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/defaults"
)

// Defaults of Options.
const (
	DefaultMaxRecords = 10_000
	DefaultPeriod     = 10 * time.Minute
	// DefaultClaimLease is how long the claim of an instance that died keeps other suspects from a target.
	DefaultClaimLease = 30 * time.Second
)

// strikesToQuarantine is the number of uncleared strikes, each on another target, that quarantine a request.
const strikesToQuarantine = 2

// Verdict tells whether and how a request may be run.
type Verdict int

// Verdicts. A suspect needs a claim on its target before it is sent. A quarantined request is refused.
const (
	Clean Verdict = iota
	Suspect
	Quarantined
)

// Options configures a table. Zero values select the defaults.
type Options struct {
	MaxRecords int
	// Period is how long a record is kept after its latest strike.
	Period     time.Duration
	ClaimLease time.Duration
}

// Attempt is one attempt to run a request on one target. The id is unique across all instances.
type Attempt struct {
	ID          string
	Fingerprint Fingerprint
	Target      Target
}

// Table holds the strikes, the claims and the attempts of this instance in flight. It is safe for concurrent use.
type Table struct {
	opts Options

	mu            sync.Mutex
	records       map[Fingerprint]*record
	changeCounter uint64
	inFlight      map[string]Attempt
	// byRequest is the number of attempts in flight for each request; byTarget holds the requests in flight on each
	// target, keyed by attempt id.
	byRequest map[Fingerprint]int
	byTarget  map[Target]map[string]Fingerprint
	// claims is keyed by attempt id. It has about one claim for each suspect in flight in the data centre.
	claims map[string]*heldClaim
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	defaults.Positive(&opts.MaxRecords, DefaultMaxRecords)
	defaults.Positive(&opts.Period, DefaultPeriod)
	defaults.Positive(&opts.ClaimLease, DefaultClaimLease)
	return &Table{
		opts: opts, records: make(map[Fingerprint]*record), inFlight: make(map[string]Attempt),
		byRequest: make(map[Fingerprint]int), byTarget: make(map[Target]map[string]Fingerprint),
		claims: make(map[string]*heldClaim),
	}
}

// Verdict returns the verdict on a request and, if it is quarantined, for how much longer it will be refused.
func (t *Table) Verdict(now time.Time, fingerprint Fingerprint) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(now, fingerprint)
}

func (t *Table) verdict(now time.Time, fingerprint Fingerprint) (Verdict, time.Duration) {
	r := t.unexpired(now, fingerprint)
	if r == nil {
		return Clean, 0
	}
	switch n := r.uncleared(); {
	case n >= strikesToQuarantine:
		return Quarantined, r.latestStrike().Add(t.opts.Period).Sub(now)
	case n > 0:
		return Suspect, 0
	}
	return Clean, 0
}

// unexpired returns the record of a request, or nil if there is none or it has expired.
func (t *Table) unexpired(now time.Time, fingerprint Fingerprint) *record {
	r := t.records[fingerprint]
	if r == nil || now.Sub(r.latestStrike()) >= t.opts.Period {
		return nil
	}
	return r
}

// Start registers an attempt right before it is sent and reports whether it may be sent. A clean request may always be
// sent, a suspect only with a valid claim of this instance for the same attempt, and a quarantined request never. The
// returned claim, if any, has to be sent to the other instances; their answers are not needed.
func (t *Table) Start(now time.Time, a Attempt) (started *Claim, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, used := t.inFlight[a.ID]; used {
		return nil, false
	}
	switch v, _ := t.verdict(now, a.Fingerprint); v {
	case Quarantined:
		return nil, false
	case Suspect:
		c := t.claims[a.ID]
		if c == nil || !c.own || c.yielded || c.Fingerprint != a.Fingerprint || c.Target != a.Target || !now.Before(c.expires) {
			return nil, false
		}
		c.Started = true
		claim := c.Claim
		started = &claim
	}
	t.inFlight[a.ID] = a
	t.byRequest[a.Fingerprint]++
	if t.byTarget[a.Target] == nil {
		t.byTarget[a.Target] = make(map[string]Fingerprint)
	}
	t.byTarget[a.Target][a.ID] = a.Fingerprint
	return started, true
}

// Updates holds what has to be sent to the other instances. Frame is nil if no strike changed.
type Updates struct {
	// Frame holds the changed records for Merge. The other instances have to acknowledge a strike before the failure is
	// reported to the caller, who may send the request again through any of them.
	Frame []byte
	// StruckRequests lists the requests that got a strike.
	StruckRequests []Fingerprint
	// WithdrawnClaims lists the claims of this instance that have to be withdrawn.
	WithdrawnClaims []Claim
}

// EndAttempt removes an attempt that was not sent, or whose end does not tell whether the request crashes targets:
// refused, cancelled or overloaded.
func (t *Table) EndAttempt(attemptID string) Updates {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Updates{WithdrawnClaims: t.removeAttempt(attemptID)}
}

// CompleteAttempt removes an attempt whose response was complete and clears the strikes of its request.
func (t *Table) CompleteAttempt(now time.Time, attemptID string) (Updates, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.inFlight[attemptID]
	if !ok {
		return Updates{}, nil
	}
	updates := Updates{WithdrawnClaims: t.removeAttempt(attemptID)}
	r := t.unexpired(now, a.Fingerprint)
	if r == nil || r.uncleared() == 0 {
		return updates, nil
	}
	for i := range r.strikes {
		r.strikes[i].cleared = true
	}
	t.markChanged(r)
	var err error
	updates.Frame, err = t.encodeRecords(now, []Fingerprint{a.Fingerprint})
	return updates, err
}

// TargetFailed adds a strike to every request in flight on a target that died or closed a connection before the
// response was complete. This includes suspects that other instances started on the target, because those instances may
// have died too.
func (t *Table) TargetFailed(now time.Time, target Target) (Updates, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	struck := make(map[Fingerprint]bool)
	var updates Updates
	for id, fingerprint := range maps.Clone(t.byTarget[target]) {
		struck[fingerprint] = true
		updates.WithdrawnClaims = append(updates.WithdrawnClaims, t.removeAttempt(id)...)
	}
	for id, held := range t.claims {
		if held.Target == target && held.Started && !held.own {
			struck[held.Fingerprint] = true
			delete(t.claims, id)
		}
	}
	for fingerprint := range struck {
		if t.merge(now, fingerprint, []strike{{target: target, at: now}}) {
			updates.StruckRequests = append(updates.StruckRequests, fingerprint)
		}
	}
	slices.SortFunc(updates.StruckRequests, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	if len(updates.StruckRequests) == 0 {
		return updates, nil
	}
	var err error
	updates.Frame, err = t.encodeRecords(now, updates.StruckRequests)
	return updates, err
}

// removeAttempt removes an attempt and its claim, if this instance made it, and returns the claim to be withdrawn.
func (t *Table) removeAttempt(attemptID string) []Claim {
	if a, ok := t.inFlight[attemptID]; ok {
		delete(t.inFlight, attemptID)
		if t.byRequest[a.Fingerprint]--; t.byRequest[a.Fingerprint] == 0 {
			delete(t.byRequest, a.Fingerprint)
		}
		delete(t.byTarget[a.Target], attemptID)
		if len(t.byTarget[a.Target]) == 0 {
			delete(t.byTarget, a.Target)
		}
	}
	held := t.claims[attemptID]
	if held == nil || !held.own {
		return nil
	}
	delete(t.claims, attemptID)
	ended := held.Claim
	ended.Ended = true
	return []Claim{ended}
}

// merge adds strikes to the record of a request and reports whether anything is new. It ignores strikes if the
// resulting record has expired.
func (t *Table) merge(now time.Time, fingerprint Fingerprint, strikes []strike) bool {
	r := t.unexpired(now, fingerprint)
	if r == nil {
		r = &record{}
	}
	if !r.merge(strikes) || now.Sub(r.latestStrike()) >= t.opts.Period {
		return false
	}
	if t.records[fingerprint] == nil && len(t.records) >= t.opts.MaxRecords {
		t.evict(now)
	}
	t.records[fingerprint] = r
	t.markChanged(r)
	return true
}

func (t *Table) markChanged(r *record) {
	t.changeCounter++
	r.changeNumber, r.sendCount = t.changeCounter, 0
}

// evictDivisor sets the number of records that are evicted at once to a sixteenth of the maximum, so that a full table
// is not sorted again for each new record.
const evictDivisor = 16

// evict removes the expired records and, if the table is still full, a batch of others: records without uncleared
// strikes first, then those whose latest strike is the oldest.
func (t *Table) evict(now time.Time) {
	t.expire(now)
	if len(t.records) < t.opts.MaxRecords {
		return
	}
	fingerprints := slices.Collect(maps.Keys(t.records))
	slices.SortFunc(fingerprints, func(a, b Fingerprint) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(min(x.uncleared(), 1), min(y.uncleared(), 1)), x.latestStrike().Compare(y.latestStrike()))
	})
	for _, fingerprint := range fingerprints[:max(1, t.opts.MaxRecords/evictDivisor)] {
		delete(t.records, fingerprint)
	}
}

// Expire removes the records whose period has ended and returns the number of remaining records.
func (t *Table) Expire(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return len(t.records)
}

func (t *Table) expire(now time.Time) {
	for fingerprint := range t.records {
		if t.unexpired(now, fingerprint) == nil {
			delete(t.records, fingerprint)
		}
	}
}
