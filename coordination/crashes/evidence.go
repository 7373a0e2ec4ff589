package crashes

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Evidence is what one instance tells others about a suspect. Times are ages at the sender, since the clocks of instances
// differ.
type Evidence struct {
	Key     Key     `json:"k"`
	Depth   int     `json:"d,omitempty"`
	Crashes []Crash `json:"c"`
	// SoundMsAgo is the age of the latest answer, 0 without one. It is for builds that do not read Answers.
	SoundMsAgo int64 `json:"s,omitempty"`
	// Answers holds the latest answer of each software version.
	Answers []Answer `json:"v,omitempty"`
}

// Answer is the latest answer of targets of a software version.
type Answer struct {
	Version Version `json:"v,omitempty"`
	MsAgo   int64   `json:"a"`
}

// Older returns evidence that is older by a number of milliseconds.
func (e Evidence) Older(ms int64) Evidence {
	e.Crashes, e.Answers = slices.Clone(e.Crashes), slices.Clone(e.Answers)
	for i := range e.Crashes {
		e.Crashes[i].MsAgo += ms
	}
	for i := range e.Answers {
		e.Answers[i].MsAgo += ms
	}
	if e.SoundMsAgo > 0 {
		e.SoundMsAgo += ms
	}
	return e
}

// Crash is the crash of a target.
type Crash struct {
	Target uint64 `json:"t"` // see TargetID
	MsAgo  int64  `json:"a"`
	// SentMsAgo is the age of the request, 0 if it is not known.
	SentMsAgo int64 `json:"n,omitempty"`
	// Version is the software version of the target.
	Version Version `json:"v,omitempty"`
}

// maxEvidence and maxEntries bound the suspects in one message and their crashes and answers, which have some 60 bytes each, so that
// it fits into a frame between processes. What is beyond them follows in the next one.
const (
	maxEvidence = 256
	maxEntries  = 4096
)

// Since returns the evidence that changed after a change number, oldest changes first, and the number to continue from.
func (t *Table) Since(now time.Time, change uint64) ([]Evidence, uint64) {
	return t.since(now, change, 1)
}

// SuspectsSince returns the same about what was on several targets when these crashed. Nothing follows from a single crash, and most
// requests and parts are on a crashed target once.
func (t *Table) SuspectsSince(now time.Time, change uint64) ([]Evidence, uint64) {
	return t.since(now, change, suspectCrashes)
}

func (t *Table) since(now time.Time, change uint64, minCrashes int) ([]Evidence, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var changed []*record
	for e := t.changed.Back(); e != nil; e = e.Prev() {
		r := e.Value.(*record)
		if r.change <= change {
			break
		}
		if len(r.crashes) >= minCrashes {
			changed = append(changed, r)
		}
	}
	slices.Reverse(changed)
	return t.message(now, changed, change, func(n changeNumbers) uint64 { return n.any }, (*record).evidence)
}

// message returns the evidence of the entries of records that changed after a change number, as far as it fits into one message, and the
// number to continue from. number returns the number that counts.
func (t *Table) message(now time.Time, records []*record, change uint64, number func(changeNumbers) uint64,
	evidence func(*record, time.Time, func(changeNumbers) bool) Evidence) ([]Evidence, uint64) {
	last := t.change
	if n := lastOfMessage(records, change, number); n > 0 {
		last = n
	}
	wanted := func(n changeNumbers) bool { return number(n) > change && number(n) <= last }
	var list []Evidence
	for _, r := range records {
		if e := evidence(r, now, wanted); len(e.Crashes) > 0 || len(e.Answers) > 0 {
			list = append(list, e)
		}
	}
	return list, last
}

// lastOfMessage returns the last change number up to which the entries fit into one message, 0 if all of them do.
func lastOfMessage(records []*record, change uint64, number func(changeNumbers) uint64) uint64 {
	type entry struct {
		number uint64
		record *record
	}
	var entries []entry
	for _, r := range records {
		r.eachEntry(func(n changeNumbers) {
			if number(n) > change {
				entries = append(entries, entry{number(n), r})
			}
		})
	}
	if len(entries) == 0 || len(records) <= maxEvidence && len(entries) <= maxEntries {
		return 0
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.number, b.number) })
	included := make(map[*record]bool)
	last := entries[0].number // the entries of one number, which are of one record, are not separated
	for i, e := range entries {
		included[e.record] = true
		if e.number != last && (i >= maxEntries || len(included) > maxEvidence) {
			return last
		}
		last = e.number
	}
	return last
}

// eachEntry calls f for the numbers of each crash and answer.
func (r *record) eachEntry(f func(changeNumbers)) {
	for _, n := range r.crashChanges {
		f(n)
	}
	for _, n := range r.soundChanges {
		f(n)
	}
}

// OwnSince returns the evidence that this instance observed itself after a change number, without answers that other instances have
// reported.
func (t *Table) OwnSince(now time.Time, change uint64) ([]Evidence, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ownChange <= change {
		return nil, t.change
	}
	var own []*record
	for _, r := range t.records {
		if r.change > change && r.hasOwnAfter(change) {
			own = append(own, r)
		}
	}
	return t.message(now, own, change, func(n changeNumbers) uint64 { return n.own }, (*record).ownEvidence)
}

func (r *record) hasOwnAfter(change uint64) (found bool) {
	r.eachEntry(func(n changeNumbers) { found = found || n.own > change })
	return found
}

// OwnCrashAfter reports whether this instance observed a crash after a change number.
func (t *Table) OwnCrashAfter(change uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownCrashChange > change
}

// ownEvidence returns the evidence of the wanted entries, which this instance observed itself. An answer comes with the latest crash that
// it says something about: an instance that does not know the record yet could not keep it otherwise.
func (r *record) ownEvidence(now time.Time, wanted func(changeNumbers) bool) Evidence {
	e := r.evidence(now, wanted)
	if len(e.Answers) > 0 && len(e.Crashes) == 0 {
		e.Crashes = []Crash{r.latestExcused(e.Answers).evidenceOf(now)}
	}
	return e
}

// crashOf is the crash of a target.
type crashOf struct {
	target uint64
	Occurrence
}

// latestExcused returns the latest crash about which any of the answers says something.
func (r *record) latestExcused(answers []Answer) crashOf {
	var latest crashOf
	for target, crash := range r.crashes {
		about := slices.ContainsFunc(answers, func(a Answer) bool { return excuses(a.Version, crash.Version) })
		if about && (latest.At.Before(crash.At) || latest.At.Equal(crash.At) && latest.target < target) {
			latest = crashOf{target, crash}
		}
	}
	return latest
}

func (c crashOf) evidenceOf(now time.Time) Crash {
	e := Crash{Target: c.target, MsAgo: now.Sub(c.At).Milliseconds(), Version: c.Version}
	if !c.SentAt.IsZero() {
		e.SentMsAgo = max(now.Sub(c.SentAt).Milliseconds(), 1)
	}
	return e
}

func allEntries(changeNumbers) bool { return true }

// Of returns the evidence about suspects.
func (t *Table) Of(now time.Time, suspects []Suspect) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for _, s := range suspects {
		if r := t.records[s.Key]; r != nil {
			list = append(list, r.evidence(now, allEntries))
		}
	}
	return list
}

// Latest returns the evidence about the n suspects that changed last.
func (t *Table) Latest(now time.Time, n int) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	keys := slices.Collect(maps.Keys(t.records))
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(t.records[b].change, t.records[a].change) })
	var list []Evidence
	for _, key := range keys[:min(n, len(keys))] {
		list = append(list, t.records[key].evidence(now, allEntries))
	}
	return list
}

// evidence returns the evidence of the wanted entries.
func (r *record) evidence(now time.Time, wanted func(changeNumbers) bool) Evidence {
	e := Evidence{Key: r.key, Depth: r.depth}
	for target, crash := range r.crashes {
		if wanted(r.crashChanges[target]) {
			e.Crashes = append(e.Crashes, crashOf{target, crash}.evidenceOf(now))
		}
	}
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return cmp.Compare(a.Target, b.Target) })
	for version, at := range r.sounds {
		if !wanted(r.soundChanges[version]) {
			continue
		}
		answer := Answer{Version: version, MsAgo: max(now.Sub(at).Milliseconds(), 1)}
		e.Answers = append(e.Answers, answer)
		if e.SoundMsAgo == 0 || answer.MsAgo < e.SoundMsAgo {
			e.SoundMsAgo = answer.MsAgo
		}
	}
	slices.SortFunc(e.Answers, func(a, b Answer) int { return cmp.Compare(a.Version, b.Version) })
	return e
}

// answers returns the answers of the evidence. Those of a build that sends no versions are of an unknown one.
func (e *Evidence) answers(now time.Time) answers {
	sounds := make(answers)
	if len(e.Answers) == 0 && e.SoundMsAgo > 0 {
		sounds[UnknownVersion] = now.Add(-age(e.SoundMsAgo))
	}
	for _, answer := range e.Answers[:min(len(e.Answers), maxSoundVersions)] {
		sounds[answer.Version] = now.Add(-age(answer.MsAgo))
	}
	return sounds
}

// Merge applies evidence of another instance and reports whether anything is new. Evidence may arrive in any order and more
// than once.
func (t *Table) Merge(now time.Time, list []Evidence) bool {
	if len(list) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, e := range list {
		crashes := make(map[uint64]Occurrence, len(e.Crashes))
		for _, c := range e.Crashes[:min(len(e.Crashes), maxCrashesPerRecord)] {
			crash := Occurrence{Version: c.Version, At: now.Add(-age(c.MsAgo))}
			if c.SentMsAgo > 0 {
				crash.SentAt = now.Add(-age(c.SentMsAgo))
			}
			crashes[c.Target] = crash
		}
		s := Suspect{Key: e.Key, Depth: max(e.Depth, 0)}
		changed = t.merge(now, s, crashes, e.answers(now), false) || changed
		// Answers that this instance passed on may clear what others suspect.
		if known := t.passedOn(e.Key, crashes); len(known) > 0 {
			changed = t.merge(now, s, nil, known, true) || changed
		}
	}
	if changed {
		t.judge(now)
	}
	return changed
}

// age converts an age from a message. Ages beyond the retention only mean that it is over.
func age(ms int64) time.Duration {
	return min(time.Duration(max(ms, 0))*time.Millisecond, retention)
}

// ChangedAfter reports whether anything changed after a change number.
func (t *Table) ChangedAfter(change uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.change > change
}
