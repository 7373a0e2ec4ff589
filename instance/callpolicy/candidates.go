package callpolicy

import (
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/coordination/quarantine"
	"github.com/tarragonhoist/tarragonhoist/coordination/routing"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
)

// entryCandidate is a routing candidate with the table entry of its target, which is nil for another data centre.
type entryCandidate struct {
	candidate routing.Candidate
	entry     *membership.Entry
}

// candidates implements routing.Set for a sample of the targets of a model.
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
		Target: modelcalls.TargetID(a.Target, a.Incarnation), DataCentre: a.DataCentre, Leaving: a.Leaving, LeaseUntil: e.ExpiresAt,
		// The table samples only targets on which model and adapter are ready.
		ModelReady: true, AdapterReady: true, Slots: a.Slots, Reported: a.Load.Running + a.Load.Queued,
		MeasuredAt: time.UnixMilli(a.Load.MeasuredAtMs),
	}}
}

// localCandidates returns the candidates of this data centre without the avoided ones and those on which a suspect runs.
// Two suspects never run on one target, so that a crash identifies the one that caused it. Other requests use such a
// target only when there is no other candidate, since they would fail with it in a crash. Targets that have named a time until
// the next request are left out; pause is the shortest of these times, 0 without such targets.
func (p *Policy) localCandidates(now time.Time, w *modelcalls.Work, avoided func(string) bool, entries []*membership.Entry) (list candidates, pause time.Duration) {
	var free, claimed candidates
	for _, e := range entries {
		a := &e.Announcement
		id := modelcalls.TargetID(a.Target, a.Incarnation)
		if avoided(id) {
			continue
		}
		if left := p.pauses.left(now, id); left > 0 {
			if pause == 0 || left < pause {
				pause = left
			}
			continue
		}
		switch {
		case p.suspects.HasClaim(quarantine.Target{Name: a.Target, Incarnation: a.Incarnation}):
			claimed = append(claimed, candidate(e))
		default:
			free = append(free, candidate(e))
		}
	}
	if len(free) == 0 && !p.suspects.IsSuspect(w.Fingerprint) {
		return claimed, pause
	}
	return free, pause
}

// remoteCandidates returns one candidate for each other data centre that has a ready replica with free capacity.
func (p *Policy) remoteCandidates(now time.Time, w *modelcalls.Work, avoided func(string) bool) candidates {
	if !w.MaySpill {
		return nil
	}
	var list candidates
	for _, summary := range p.table.RemoteReplicas(now, w.Model, w.Adapter) {
		target := remotePrefix + summary.DataCentre
		if summary.Ready == 0 || summary.FreeWork == 0 || avoided(modelcalls.TargetID(target, 0)) {
			continue
		}
		list = append(list, entryCandidate{candidate: routing.Candidate{
			Target: target, DataCentre: summary.DataCentre, LeaseUntil: now.Add(time.Second), ModelReady: true, AdapterReady: true,
			Slots: summary.FreeWork, MeasuredAt: now.Add(-time.Duration(summary.AgeMs) * time.Millisecond),
		}})
	}
	return list
}

// remotePrefix is the prefix of target names that stand for a whole data centre.
const remotePrefix = "data-centre:"

func (p *Policy) hasRemoteRoom(w *modelcalls.Work) bool {
	return len(p.remoteCandidates(p.now(), w, func(string) bool { return false })) > 0
}

// finishedRemote reports the end of an attempt in another data centre to the router only. The straggler detector must
// not see its latency, which says nothing about local targets.
func (p *Policy) finishedRemote(w *modelcalls.Work, picked modelcalls.PickedTarget, r modelcalls.Result) {
	p.router.Finished(p.now(), routing.Finish{Target: picked.Target, Model: w.Model, Long: w.Long, Service: r.Total})
}
