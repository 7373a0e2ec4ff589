package raft

import (
	"github.com/pkg/errors"
)

// entryLog holds the log entries after a base entry. Only the index and term of the base entry are kept.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
}

func newEntryLog(snapshot Snapshot, entries []Entry) (*entryLog, error) {
	l := &entryLog{baseIndex: snapshot.Index, baseTerm: snapshot.Term}
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 || entries[i].Term < entries[i-1].Term {
			return nil, errors.Errorf("raft: saved entry %d of term %d follows entry %d of term %d",
				entries[i].Index, entries[i].Term, entries[i-1].Index, entries[i-1].Term)
		}
	}
	if len(entries) == 0 {
		return l, nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if first > snapshot.Index+1 {
		return nil, errors.Errorf("raft: saved entries start at index %d, but the snapshot ends at index %d", first, snapshot.Index)
	}
	if last <= snapshot.Index {
		return l, nil
	}
	if first == snapshot.Index+1 {
		l.entries = entries
		return l, nil
	}
	if e := entries[snapshot.Index-first]; e.Term != snapshot.Term {
		return nil, errors.Errorf("raft: saved entry %d has term %d, but the snapshot has term %d at this index", e.Index, e.Term, snapshot.Term)
	}
	// The term of the entry before the first saved entry is unknown, so the first saved entry becomes the base.
	l.baseIndex, l.baseTerm, l.entries = first, entries[0].Term, entries[1:]
	return l, nil
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of an entry. ok is false if the entry was compacted or does not exist.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	case index == l.baseIndex:
		return l.baseTerm, true
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first to last, inclusive, limited to maxBytes but at least one entry.
func (l *entryLog) slice(first, last uint64, maxBytes int) []Entry {
	if first <= l.baseIndex || first > last || last > l.lastIndex() {
		return nil
	}
	selected := l.entries[first-l.baseIndex-1 : last-l.baseIndex]
	size := 0
	for i := range selected {
		size += selected[i].sizeBytes()
		if i > 0 && size > maxBytes {
			return selected[:i:i]
		}
	}
	return selected[:len(selected):len(selected)]
}

// append adds entries and drops all existing entries from the first new index on. The full slice expression makes the
// built-in append copy the entries, so that slices returned earlier do not change.
func (l *entryLog) append(entries ...Entry) {
	keptCount := entries[0].Index - l.baseIndex - 1
	if keptCount < uint64(len(l.entries)) {
		l.entries = l.entries[:keptCount:keptCount]
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to index, which becomes the base entry.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.baseIndex {
		return
	}
	remaining := l.entries[index-l.baseIndex:]
	l.baseIndex, l.baseTerm = index, term
	// A copy lets the garbage collector free the dropped entries.
	l.entries = append([]Entry(nil), remaining...)
}

func (l *entryLog) reset(index, term uint64) { *l = entryLog{baseIndex: index, baseTerm: term} }

// findConflictByTerm returns the index and term of the last entry at or before index whose term is at most term.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for index > l.baseIndex {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.baseIndex, l.baseTerm
}
