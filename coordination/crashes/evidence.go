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

// maxEvidence bounds the suspects in one message. What is beyond it follows in the next one.
const maxEvidence = 256

// Since returns the evidence that changed after a change number, oldest changes first, and the number to continue from.
func (t *Table) Since(now time.Time, change uint64) ([]Evidence, uint64) {
	return t.since(now, change, func(r *record) uint64 { return r.change })
}

// OwnSince returns the evidence that this instance observed itself after a change number.
func (t *Table) OwnSince(now time.Time, change uint64) ([]Evidence, uint64) {
	return t.since(now, change, func(r *record) uint64 { return r.ownChange })
}

func (t *Table) since(now time.Time, change uint64, changeOf func(*record) uint64) ([]Evidence, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.change <= change {
		return nil, t.change
	}
	t.expire(now)
	var keys []Key
	for key, r := range t.records {
		if changeOf(r) > change {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(changeOf(t.records[a]), changeOf(t.records[b])) })
	next := t.change
	if len(keys) > maxEvidence {
		keys = keys[:maxEvidence]
		next = changeOf(t.records[keys[maxEvidence-1]])
	}
	list := make([]Evidence, 0, len(keys))
	for _, key := range keys {
		list = append(list, t.records[key].evidence(now, key))
	}
	return list, next
}

// Of returns the evidence about suspects.
func (t *Table) Of(now time.Time, suspects []Suspect) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for _, s := range suspects {
		if r := t.records[s.Key]; r != nil {
			list = append(list, r.evidence(now, s.Key))
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
		list = append(list, t.records[key].evidence(now, key))
	}
	return list
}

func (r *record) evidence(now time.Time, key Key) Evidence {
	e := Evidence{Key: key, Depth: r.depth}
	for target, crash := range r.crashes {
		c := Crash{Target: target, MsAgo: now.Sub(crash.At).Milliseconds(), Version: crash.Version}
		if !crash.SentAt.IsZero() {
			c.SentMsAgo = max(now.Sub(crash.SentAt).Milliseconds(), 1)
		}
		e.Crashes = append(e.Crashes, c)
	}
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return cmp.Compare(a.Target, b.Target) })
	for version, at := range r.sounds {
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
