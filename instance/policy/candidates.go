package policy

import (
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/coordination/routing"
)

// entryCandidate is a sampled target.
type entryCandidate struct {
	candidate routing.Candidate
	entry     *membership.Entry
}

// candidates is a sample of the targets of a model. It implements routing.Set.
type candidates []entryCandidate

// Len implements routing.Set.
func (c candidates) Len() int { return len(c) }

// At implements routing.Set.
func (c candidates) At(i int) routing.Candidate { return c[i].candidate }

// Find implements routing.Set.
func (c candidates) Find(target string) (routing.Candidate, bool) {
	if i := c.index(target); i >= 0 {
		return c[i].candidate, true
	}
	return routing.Candidate{}, false
}

func (c candidates) index(target string) int {
	return slices.IndexFunc(c, func(e entryCandidate) bool { return e.candidate.Target == target })
}

func (c candidates) entry(target string) *membership.Entry { return c[c.index(target)].entry }

func candidate(e *membership.Entry) entryCandidate {
	a := &e.Announcement
	return entryCandidate{entry: e, candidate: routing.Candidate{
		Target: TargetID(a.Target, a.Incarnation), DataCentre: a.DataCentre, Leaving: a.Leaving, LeaseUntil: e.ExpiresAt,
		// The sample holds only targets on which model and adapter are ready.
		ModelReady: true, AdapterReady: true, Slots: a.Slots, Reported: a.Load.Running + a.Load.Queued,
		MeasuredAt: time.UnixMilli(a.Load.MeasuredAtMs),
	}}
}
