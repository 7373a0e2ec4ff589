// Package crashes finds out what crashes targets: a request that its caller sends again, or a part that many prompts share.
//
// A crash alone blames everything that was running on the target. A part is cleared by an answer on it from a target of the
// same software version: a part that crashes every target that begins to write an answer never gets that far, while a sound
// part that was only running beside it is soon answered elsewhere. What is left after several crashes is quarantined.
//
// Load pattern: a few requests a second, no two alike, share one part with each other and the rest of their prompts with
// sound requests, and arrive at every gateway.
package crashes

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// requestCrashes is the number of different targets that crashed under one request after which it is quarantined.
	requestCrashes = 2
	// suspectCrashes is the number of crashes from which a request with a part is not sent to a second target.
	suspectCrashes = 2
	// quarantinePeriod is the time from the latest crash for which something is quarantined.
	quarantinePeriod = 10 * time.Minute
	// retention is the time from the latest crash for which crashes are remembered. Between the end of the quarantine and
	// that of the retention, a single further crash renews the quarantine.
	retention = time.Hour
	// soundPeriod is the time for which an answer excuses the first crash after it, and soundPeriodAgain that for the second
	// one. It excuses no later one, so that a part is quarantined at the fifth crash after it was answered: new weights may
	// fail on a part that earlier ones answered. A part that is answered again and again stays excused.
	soundPeriod      = time.Minute
	soundPeriodAgain = soundPeriod / 4
	// soundRefresh is the least time by which an answer is newer than the known one to be passed on if it follows no crash. It
	// is far above the transit time that each hop adds to an age.
	soundRefresh = 10 * time.Second
	// replaceAfter is the least time by which a crash is later than one that it replaces in a full record, far above the transit
	// time that each hop adds to an age.
	replaceAfter = 10 * time.Second
	// maxSoundVersions bounds the software versions whose answers are kept for one key.
	maxSoundVersions = 16
	// maxRecords bounds the records, and maxCrashesPerRecord the crashes of each.
	maxRecords          = 2048
	maxCrashesPerRecord = 64
	// evictDivisor sets the share of the records that are dropped at once, so that a full table is not sorted for each new
	// record.
	evictDivisor = 16
	// maxSoundParts bounds the parts that are remembered as answered.
	maxSoundParts = 1 << 14
)

// Key identifies a request or a part of prompts on all instances.
type Key uint64

// PartKey returns the key of a part of prompts. It depends on nothing else in the prompt.
func PartKey(id string) Key { return Key(xxhash.Sum64String("part\x00" + id)) }

// TargetID returns the number that stands for one start of a target.
func TargetID(id string, start uint64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(id)
	for range 8 {
		_, _ = d.Write([]byte{byte(start)})
		start >>= 8
	}
	return d.Sum64()
}

// Suspect is a request or a part of its prompt that was on a target when it crashed.
type Suspect struct {
	Key Key
	// Depth is the position of a part in the prompt, from 1, and 0 for a whole request.
	Depth int
}

// Version stands for a software version of targets. An answer excuses crashes of targets of the same version.
type Version uint32

// UnknownVersion is that of targets that announce none, and of evidence of builds that do not send it. Its answers excuse
// the crashes of all versions, and answers of all versions excuse its crashes.
const UnknownVersion Version = 0

// VersionOf returns the number that stands for the name of a software version.
func VersionOf(name string) Version {
	if name == "" {
		return UnknownVersion
	}
	return max(Version(xxhash.Sum64String(name)), 1)
}

// Occurrence tells when a target crashed under a request.
type Occurrence struct {
	// Version is the software version of the target.
	Version Version
	// SentAt is the time at which the request was sent, or zero if it is not known.
	SentAt time.Time
	// At is the time at which the connection of the request broke.
	At time.Time
}

// record is what is known about one key. Merging takes the union of the crashes with the earliest times of each, and the
// latest answer of each version, so that the order of merging does not matter.
type record struct {
	key     Key
	depth   int
	crashes map[uint64]Occurrence // by target
	sounds  answers
	// crashChanges and soundChanges tell when crashes and sounds changed.
	crashChanges map[uint64]changeNumbers
	soundChanges map[Version]changeNumbers
	// change is the change number of the table at the latest change.
	change uint64
	// element is the place of the record in the order of changes.
	element *list.Element
}

// changeNumbers are the change numbers of the table at the latest change of an entry, and at the latest observation by this instance that
// has to be reported to others; 0 for none.
type changeNumbers struct{ any, own uint64 }

func newRecord(key Key, depth int) *record {
	return &record{key: key, depth: depth, crashes: make(map[uint64]Occurrence), sounds: make(answers),
		crashChanges: make(map[uint64]changeNumbers), soundChanges: make(map[Version]changeNumbers)}
}

// latestCrash returns the time of the latest crash.
func (r *record) latestCrash() time.Time {
	var latest time.Time
	for _, crash := range r.crashes {
		if crash.At.After(latest) {
			latest = crash.At
		}
	}
	return latest
}

// answers holds the time of the latest known answer of each version.
type answers map[Version]time.Time

// latestFor returns the time of the latest answer that excuses crashes of a version, zero without one.
func (a answers) latestFor(version Version) time.Time {
	var latest time.Time
	for v, at := range a {
		if excuses(v, version) && at.After(latest) {
			latest = at
		}
	}
	return latest
}

// excuses reports whether an answer of a version says anything about crashes of a version.
func excuses(answered, crashed Version) bool {
	return answered == crashed || answered == UnknownVersion || crashed == UnknownVersion
}

// Table holds the crashes that all instances observed, as far as known here. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Key]*record
	// changed holds the records in the order of their latest change.
	changed *list.List
	change  uint64
	// ownChange and ownCrashChange are the change numbers at the latest observation of this instance, and at its latest crash.
	ownChange, ownCrashChange uint64
	expiredAt                 time.Time
	// sound holds the times of the latest answers on parts that this instance passed on.
	sound *lru.Cache[answeredPart, time.Time]
	// verdicts are replaced at each change, so that reading them takes no lock.
	verdicts atomic.Pointer[verdicts]
}

// answeredPart is a part that targets of a version answered.
type answeredPart struct {
	key     Key
	version Version
}

type verdicts struct {
	quarantined map[Key]time.Time // the end of each quarantine
	suspected   map[Key]bool      // parts, see suspectCrashes
}

// NewTable returns an empty table.
func NewTable() *Table {
	sound, err := lru.New[answeredPart, time.Time](maxSoundParts)
	if err != nil {
		panic(err) // only a size that is not positive is an error
	}
	t := &Table{records: make(map[Key]*record), changed: list.New(), sound: sound}
	t.verdicts.Store(&verdicts{})
	return t
}

// Quarantined returns the first of the suspects that is quarantined, and for how much longer.
func (t *Table) Quarantined(now time.Time, suspects []Suspect) (s Suspect, left time.Duration, found bool) {
	quarantined := t.verdicts.Load().quarantined
	if len(quarantined) == 0 {
		return s, 0, false
	}
	for _, s := range suspects {
		if until, ok := quarantined[s.Key]; ok && now.Before(until) {
			return s, until.Sub(now), true
		}
	}
	return s, 0, false
}

// MayRepeat reports whether a request that was on a crashed target may be sent to another one. It may not while a part of its
// prompt was on several targets when these crashed and no answer has excused it.
func (t *Table) MayRepeat(suspects []Suspect) bool {
	suspected := t.verdicts.Load().suspected
	return !slices.ContainsFunc(suspects, func(s Suspect) bool { return suspected[s.Key] })
}

// Keys returns the keys that are quarantined.
func (t *Table) Keys(now time.Time) []Key {
	var keys []Key
	for key, until := range t.verdicts.Load().quarantined {
		if now.Before(until) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// RecordCrash records that a target crashed while it worked on suspects. It reports whether anything is new.
func (t *Table) RecordCrash(now time.Time, crash Occurrence, target uint64, suspects []Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, s := range suspects {
		known := t.passedOn(s.Key, map[uint64]Occurrence{target: crash})
		changed = t.merge(now, s, map[uint64]Occurrence{target: crash}, known, true) || changed
	}
	if changed {
		t.judge(now)
	}
	return changed
}

// passedOn returns the answers on a part that this instance passed on and that say something about crashes.
func (t *Table) passedOn(key Key, crashes map[uint64]Occurrence) answers {
	known := make(answers)
	for _, version := range versionsOf(crashes) {
		if at, ok := t.sound.Peek(answeredPart{key, version}); ok {
			known[version] = at
		}
	}
	return known
}

// versionsOf returns the versions of crashed targets, and the unknown one.
func versionsOf(crashes map[uint64]Occurrence) []Version {
	versions := []Version{UnknownVersion}
	for _, crash := range crashes {
		if !slices.Contains(versions, crash.Version) {
			versions = append(versions, crash.Version)
		}
	}
	return versions
}

// RecordSound records that a target of a version went on after it had begun an answer on parts, or has completed the answer
// to a request. It reports whether this is news for other instances.
func (t *Table) RecordSound(now time.Time, version Version, suspects []Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, s := range suspects {
		if s.Depth > 0 {
			t.sound.Add(answeredPart{s.Key, version}, now)
		}
		if t.records[s.Key] != nil {
			changed = t.merge(now, s, nil, answers{version: now}, true) || changed
		}
	}
	if changed {
		t.judge(now)
	}
	return changed
}

// merge adds crashes and answers to the record of a suspect and reports whether anything is new.
func (t *Table) merge(now time.Time, s Suspect, crashes map[uint64]Occurrence, sounds answers, own bool) bool {
	r := t.records[s.Key]
	if r == nil {
		r = newRecord(s.Key, s.Depth)
	}
	r.depth = max(r.depth, s.Depth)
	r.dropExpired(now)
	numbers := changeNumbers{any: t.change + 1}
	if own {
		numbers.own = t.change + 1
	}
	known, changed, crashed := len(r.crashes), false, false
	for target, crash := range crashes {
		if now.Sub(crash.At) < retention && r.addCrash(target, crash) {
			r.crashChanges[target] = numbers
			changed, crashed = true, true
		}
	}
	if len(r.crashes) == 0 {
		return false
	}
	for version, at := range sounds {
		if !own {
			r.coverOwn(version, at)
		}
		if r.addAnswer(version, at) {
			r.soundChanges[version] = numbers
			changed = true
		}
	}
	if !changed {
		return false
	}
	if t.records[s.Key] == nil {
		t.makeRoom(now)
		t.records[s.Key] = r
		r.element = t.changed.PushBack(r)
	}
	t.change++
	r.change = t.change
	t.changed.MoveToBack(r.element)
	if known < suspectCrashes && len(r.crashes) >= suspectCrashes {
		r.renumber(t.change) // gateways that have got nothing of it so far get all of it
	}
	if own {
		t.ownChange = t.change
		if crashed {
			t.ownCrashChange = t.change
		}
	}
	return true
}

// dropExpired drops crashes that are older than the retention.
func (r *record) dropExpired(now time.Time) {
	for target, crash := range r.crashes {
		if now.Sub(crash.At) >= retention {
			delete(r.crashes, target)
			delete(r.crashChanges, target)
		}
	}
}

// renumber marks all entries as changed.
func (r *record) renumber(change uint64) {
	for target, numbers := range r.crashChanges {
		r.crashChanges[target] = changeNumbers{change, numbers.own}
	}
	for version, numbers := range r.soundChanges {
		r.soundChanges[version] = changeNumbers{change, numbers.own}
	}
}

// coverOwn marks an own answer as not to be reported if an answer that another instance reported says the same about the crashes.
func (r *record) coverOwn(version Version, at time.Time) {
	numbers := r.soundChanges[version]
	known := r.sounds[version]
	if numbers.own == 0 || known.Sub(at) >= soundRefresh {
		return
	}
	for _, crash := range r.crashes {
		if excuses(version, crash.Version) && crash.At.After(at) && !crash.At.After(known) {
			return
		}
	}
	r.soundChanges[version] = changeNumbers{any: numbers.any}
}

// addCrash adds a crash and reports whether it is new. In a full record it replaces the earliest one if it is much later: crashes
// that are close to each other differ in their order at the instances, and would replace each other for ever.
func (r *record) addCrash(target uint64, crash Occurrence) bool {
	if known, ok := r.crashes[target]; ok {
		r.crashes[target] = Occurrence{Version: max(known.Version, crash.Version), SentAt: earlier(known.SentAt, crash.SentAt),
			At: earlier(known.At, crash.At)}
		return false
	}
	if len(r.crashes) >= maxCrashesPerRecord {
		earliest := r.earliestCrash()
		if crash.At.Sub(r.crashes[earliest].At) < replaceAfter {
			return false
		}
		delete(r.crashes, earliest)
		delete(r.crashChanges, earliest)
	}
	r.crashes[target] = crash
	return true
}

// addAnswer adds an answer that says something about the crashes and reports whether it is worth passing on: when it is the
// first one after a crash, or much later than the known one.
func (r *record) addAnswer(version Version, at time.Time) bool {
	known, ok := r.sounds[version]
	if !ok && len(r.sounds) >= maxSoundVersions {
		return false
	}
	relevant, news := false, at.After(known.Add(soundRefresh))
	for _, crash := range r.crashes {
		if excuses(version, crash.Version) {
			relevant = true
			news = news || crash.At.After(known) && !crash.At.After(at)
		}
	}
	if !relevant || !news {
		return false
	}
	r.sounds[version] = at
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// earliestCrash returns the target of the earliest crash.
func (r *record) earliestCrash() uint64 {
	var target uint64
	var earliest time.Time
	for candidate, crash := range r.crashes {
		if earliest.IsZero() || crash.At.Before(earliest) || crash.At.Equal(earliest) && candidate < target {
			target, earliest = candidate, crash.At
		}
	}
	return target
}

// makeRoom drops expired records and, while the table is full, those that are not quarantined and whose latest crash is the
// oldest.
func (t *Table) makeRoom(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	t.expire(now)
	if len(t.records) < maxRecords {
		return
	}
	quarantined := t.verdicts.Load().quarantined
	rank := func(key Key) int {
		if now.Before(quarantined[key]) {
			return 1
		}
		return 0
	}
	keys := slices.Collect(maps.Keys(t.records))
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), t.records[a].latestCrash().Compare(t.records[b].latestCrash()))
	})
	for _, key := range keys[:maxRecords/evictDivisor] {
		t.drop(key)
	}
}

// drop drops a record.
func (t *Table) drop(key Key) {
	t.changed.Remove(t.records[key].element)
	delete(t.records, key)
}

// expireInterval is the least time between two searches for records that are older than the retention.
const expireInterval = time.Minute

func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expireInterval {
		return
	}
	t.expiredAt = now
	for key, r := range t.records {
		if now.Sub(r.latestCrash()) >= retention {
			t.drop(key)
		}
	}
}

// judge decides what is quarantined and what is suspected.
func (t *Table) judge(now time.Time) {
	v := &verdicts{quarantined: make(map[Key]time.Time), suspected: make(map[Key]bool)}
	var candidates []candidate
	for key, r := range t.records {
		if len(r.crashes) < min(requestCrashes, suspectCrashes) {
			continue
		}
		crashed := r.unexcused()
		switch {
		case r.depth == 0 && len(crashed) >= requestCrashes:
			v.quarantine(now, key, r)
		case r.depth > 0 && len(crashed) >= suspectCrashes:
			v.suspected[key] = true
			candidates = append(candidates, candidate{key: key, depth: r.depth, crashed: crashed})
		}
	}
	for _, key := range blame(candidates) {
		v.quarantine(now, key, t.records[key])
	}
	t.verdicts.Store(v)
}

func (v *verdicts) quarantine(now time.Time, key Key, r *record) {
	if until := r.latestCrash().Add(quarantinePeriod); now.Before(until) {
		v.quarantined[key] = until
	}
}

// unexcused returns the crashes that no answer excuses.
func (r *record) unexcused() map[uint64]Occurrence {
	unexcused := make(map[uint64]Occurrence, len(r.crashes))
	for _, version := range versionsOf(r.crashes) {
		var targets []uint64
		for target, crash := range r.crashes {
			if crash.Version == version {
				targets = append(targets, target)
			}
		}
		slices.SortFunc(targets, func(a, b uint64) int { return compareOccurrences(r.crashes[a], r.crashes[b]) })
		answeredAt := r.sounds.latestFor(version)
		var current moment
		periods := []time.Duration{0, soundPeriod, soundPeriodAgain, 0}
		for _, target := range targets {
			crash := r.crashes[target]
			if !crash.At.After(answeredAt) {
				continue
			}
			if current.next(crash) && len(periods) > 1 {
				periods = periods[1:]
			}
			if answeredAt.IsZero() || crash.At.Sub(answeredAt) >= periods[0] {
				unexcused[target] = crash
			}
		}
	}
	return unexcused
}
