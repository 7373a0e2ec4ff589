package crashes

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partCrashes is the number of crashes after which a part of prompts is quarantined. It is higher than for a request,
	// since refusing a part refuses the requests of many.
	partCrashes = 3
	// simultaneousCrashes is the time within which the crashes of several targets may have one cause, such as a lost rack, and
	// count once against a part, unless the request was sent after an earlier one of them.
	simultaneousCrashes = 30 * time.Millisecond
	// sentAfterMargin is the least time between a crash and a send after it, above the rounding of times in messages.
	sentAfterMargin = time.Millisecond
)

// candidate is a part that was on several targets when these crashed.
type candidate struct {
	key     Key
	depth   int
	crashed map[uint64]Occurrence // by target
}

// blame returns the parts that caused crashes.
//
// The deepest part is the most specific one and is blamed first. Crashes that it explains don't count against the others, so
// that a first part, which nearly all prompts share, is not refused for what one that follows it does. A part with more
// crashes than the deeper ones explain was in all of them, as the one part that prompts of several sessions share is. It is
// blamed in place of those that were on some of the same targets only.
func blame(candidates []candidate) []Key {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(a.key, b.key))
	})
	explained := make(map[uint64]bool)
	var blamed []candidate
	for _, c := range candidates {
		all, unexplained := c.moments(nil), c.moments(explained)
		if unexplained < partCrashes && (all <= partCrashes || unexplained == 0) {
			continue
		}
		blamed = append(blamed, c)
		for target := range c.crashed {
			explained[target] = true
		}
	}
	var keys []Key
	for _, c := range blamed {
		if !slices.ContainsFunc(blamed, c.isPartOf) {
			keys = append(keys, c.key)
		}
	}
	return keys
}

// isPartOf reports whether another part was on all targets that crashed under this one, and on more.
func (c candidate) isPartOf(other candidate) bool {
	if len(other.crashed) <= len(c.crashed) {
		return false
	}
	for target := range c.crashed {
		if _, ok := other.crashed[target]; !ok {
			return false
		}
	}
	return true
}

// moments counts the crashes of targets that are not explained. Simultaneous ones count once.
func (c candidate) moments(explained map[uint64]bool) int {
	var list []Occurrence
	for target, crash := range c.crashed {
		if !explained[target] {
			list = append(list, crash)
		}
	}
	slices.SortFunc(list, compareOccurrences)
	n := 0
	var current moment
	for _, crash := range list {
		if current.next(crash) {
			n++
		}
	}
	return n
}

func compareOccurrences(a, b Occurrence) int {
	return cmp.Or(a.At.Compare(b.At), a.SentAt.Compare(b.SentAt))
}

// moment is the time of a crash, and of those after it that are simultaneous with it.
type moment struct {
	began bool
	at    time.Time
}

// next reports whether a crash is the first one of a new moment. Crashes have to be in the order of compareOccurrences.
func (m *moment) next(crash Occurrence) bool {
	if m.began && crash.At.Sub(m.at) < simultaneousCrashes && crash.SentAt.Sub(m.at) < sentAfterMargin {
		return false
	}
	m.began, m.at = true, crash.At
	return true
}
